"""Steps over spares that practise a join."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator import Faults, WholeSite, World, run_paused
from cowslipcourse.emulator.policies import in_force
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.groups import (
    DomainPlan,
    ObservedDomain,
    StepKind,
    next_steps,
    warmup_step,
)
from cowslipcourse.groups.situation import is_free
from cowslipcourse.ports import (
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    TargetEntry,
)
from cowslipcourse.routes import CallerLimits, RouteTable, ServiceSpec
from features.support.engine_world import LARGE, SERVICE, STALL_S

PLAN = DomainPlan("d1", 7)


def _entry(staged=("large",)):
    return TargetEntry(
        "e1", "llm", "10.0.0.1:1", "dc", 13, domain="d1", staged=staged, incarnation=1
    )


def _alone(state):
    return GroupMembership("d1-e1.alone", 7, 0, state, "large")


def _report(context, membership):
    report = EngineReport(1, membership, ("large",), incarnation=1)
    context.knowledge.update_from_report("e1", report, 5.0)


@given(
    "a spare that holds {held}, joined {joined} last, and has {orders} orders by report"
)
def step_spare(context, held, joined, orders):
    staged = () if held == "nothing" else (held,)
    context.knowledge = ObservedDomain()
    context.knowledge.update_from_entry(_entry(staged))
    engine = context.knowledge.engines["e1"]
    engine.joined_model = None if joined == "nothing" else joined
    engine.order_count = None if orders == "no" else int(orders)


@then("in a domain of large it is to {do}")
def step_is_to(context, do):
    step = warmup_step(PLAN, context.knowledge.engines["e1"], ["large"])
    if do == "rest":
        assert step is None, step
    elif do == "be asked for its count":
        assert step.kind is StepKind.ASK, step
    else:
        order = step.order
        assert order.operation is OrderOperation.JOIN and order.members == ("e1",), (
            order
        )
        assert order.epoch == PLAN.version and order.model == "large", order


@given("a spare that is joining a group of its own")
def step_joining(context):
    context.knowledge = ObservedDomain()
    context.knowledge.update_from_entry(_entry())
    _report(context, _alone(GroupState.JOINING))


def _steps(context):
    return next_steps(PLAN, context.knowledge.engines, {}, STALL_S, 10.0)


@then("nothing is ordered")
def step_nothing(context):
    assert _steps(context) == []


@when("it is ready there")
def step_ready(context):
    _report(context, _alone(GroupState.READY))


@then("it is told to leave that group")
def step_leave(context):
    (step,) = _steps(context)
    assert step.order.operation is OrderOperation.LEAVE, step
    assert step.order.group == "d1-e1.alone", step


@then("it counts as free")
def step_is_free(context):
    engine = context.knowledge.engines["e1"]
    assert is_free(PLAN, context.knowledge, engine, STALL_S)


@given("a stray in the group {group} of a domain called {domain}")
def step_stray(context, group, domain):
    context.knowledge = ObservedDomain()
    found = GroupMembership(group, 7, 1, GroupState.READY, "large")
    context.knowledge.update_from_entry(
        _entry()._replace(domain=domain, membership=found)
    )


@then("it does not count as free")
def step_not_free(context):
    engine = context.knowledge.engines["e1"]
    assert not is_free(PLAN, context.knowledge, engine, STALL_S)


LIST_S = 0.25
LOOK_S = 0.05
LOST_AT_S = 12.0
PATIENCE_S = 20.0


class _Tools:
    table = RouteTable(
        1, (), (ServiceSpec(SERVICE, models=(LARGE,), slots=13),), CallerLimits(), {}
    )
    fleet = FleetView()


async def _list(world, coordinator):
    listed = set()
    while True:
        entries = world.entries()
        present = {entry.id for entry in entries}
        coordinator.domains.mark_unlisted(listed - present)
        coordinator.domains.update_entries(entries)
        listed = present
        await asyncio.sleep(LIST_S)


async def _repair_s():
    """Return the seconds from the loss of a member until its group serves again."""
    faults = Faults(late=0, lost=0, unanswered=0, pause=0, store=0)
    world = World(random.Random(1), faults, (LARGE,), remembers_models=True)
    for _ in range(9):
        world.add_engine("d1", ("large",))
    coordinator = Coordinator(
        _Tools(),
        world,
        world,
        ControlSettings(),
        WholeSite(lambda: True),
        lambda news: None,
    )
    running = coordinator.run(), world.run(), _list(world, coordinator)
    tasks = [asyncio.create_task(coroutine) for coroutine in running]
    await asyncio.sleep(LOST_AT_S)
    loop = asyncio.get_running_loop()
    (head,) = [engine for engine in world.engines.values() if engine.is_open_head]
    del world.engines[head.members[-1]]
    lost_at = loop.time()
    while loop.time() < lost_at + PATIENCE_S:
        await asyncio.sleep(LOOK_S)
        if any(e.is_open_head and world.is_whole(e) for e in world.engines.values()):
            break
    for task in tasks:
        task.cancel()
    return loop.time() - lost_at


@given("a coordinator of nine engines, one group of which serves")
def step_nine(context):
    context.took_s = {}


@when("a member of the group is lost, with practised spares and with others")
def step_lost(context):
    for policy in ("as-is", "without-practice"):
        with in_force(policy):
            context.took_s[policy] = run_paused(_repair_s())


@then("the group serves again at least {seconds:f} s sooner with practised spares")
def step_sooner(context, seconds):
    took_s = context.took_s
    assert took_s["without-practice"] - took_s["as-is"] >= seconds, took_s
