"""Steps for warm-up joins of spares."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator import (
    Faults,
    SingleCoordinatorScope,
    World,
    run_in_virtual_time,
)
from cowslipcourse.emulator.ablations import active_policy
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.entry.unloaded_components import AlwaysReachable
from cowslipcourse.group_plans import (
    DomainPlan,
    ObservedDomain,
    StepKind,
    next_steps,
    warmup_step,
)
from cowslipcourse.group_plans.plan_inputs import is_free
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


def _warmup_membership(state):
    return GroupMembership("d1-e1.alone", 7, 0, state, "large")


def _update_from_report(context, membership):
    report = EngineReport(1, membership, ("large",), incarnation=1)
    context.observed.update_from_report("e1", report, 5.0)


@given(
    "a spare that stores {stored}, joined {joined} last, and has {orders} orders by "
    "report"
)
def step_spare(context, stored, joined, orders):
    staged = () if stored == "nothing" else (stored,)
    context.observed = ObservedDomain()
    context.observed.update_from_entry(_entry(staged))
    engine = context.observed.engines["e1"]
    engine.joined_model = None if joined == "nothing" else joined
    engine.order_count = None if orders == "no" else int(orders)


@then("in a domain of large it is to {action}")
def step_warmup_action(context, action):
    step = warmup_step(PLAN, context.observed.engines["e1"], ["large"])
    if action == "do nothing":
        assert step is None, step
    elif action == "be asked for a report":
        assert step.kind is StepKind.ASK, step
    else:
        order = step.order
        assert order.operation is OrderOperation.JOIN and order.members == ("e1",), (
            order
        )
        assert order.epoch == PLAN.version and order.model == "large", order


@given("a spare that is joining a warm-up group")
def step_joining_warmup_group(context):
    context.observed = ObservedDomain()
    context.observed.update_from_entry(_entry())
    _update_from_report(context, _warmup_membership(GroupState.JOINING))


def _next_steps(context):
    return next_steps(PLAN, context.observed.engines, {}, STALL_S, 10.0)


@then("no order is sent")
def step_no_order(context):
    assert _next_steps(context) == []


@when("it is ready in that group")
def step_ready(context):
    _update_from_report(context, _warmup_membership(GroupState.READY))


@then("it is ordered to leave that group")
def step_ordered_to_leave(context):
    (step,) = _next_steps(context)
    assert step.order.operation is OrderOperation.LEAVE, step
    assert step.order.group == "d1-e1.alone", step


@then("it counts as free")
def step_is_free(context):
    engine = context.observed.engines["e1"]
    assert is_free(PLAN, context.observed, engine, STALL_S)


@given("an unplanned member of the group {group} in a domain called {domain}")
def step_unplanned_member(context, group, domain):
    context.observed = ObservedDomain()
    membership = GroupMembership(group, 7, 1, GroupState.READY, "large")
    context.observed.update_from_entry(
        _entry()._replace(domain=domain, membership=membership)
    )


@then("it does not count as free")
def step_not_free(context):
    engine = context.observed.engines["e1"]
    assert not is_free(PLAN, context.observed, engine, STALL_S)


LIST_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.05
LOST_AT_S = 12.0
REPAIR_TIMEOUT_S = 20.0


class _CoordinatorContext:
    table = RouteTable(
        1, (), (ServiceSpec(SERVICE, models=(LARGE,), slots=13),), CallerLimits()
    )
    fleet = FleetView()
    reachability = AlwaysReachable()


async def _update_target_list(world, coordinator):
    previous_ids = set()
    while True:
        entries = world.entries()
        current_ids = {entry.id for entry in entries}
        coordinator.domains.mark_unlisted(previous_ids - current_ids)
        coordinator.domains.update_entries(entries)
        previous_ids = current_ids
        await asyncio.sleep(LIST_INTERVAL_S)


async def _measure_repair_s():
    """Return the seconds from the loss of a member until its group serves again."""
    faults = Faults(
        late_order_fraction=0,
        lost_order_fraction=0,
        unanswered_order_fraction=0,
        pause_fraction=0,
        store_failure_fraction=0,
    )
    world = World(random.Random(1), faults, (LARGE,), remembers_models=True)
    for _ in range(9):
        world.add_engine("d1", ("large",))
    coordinator = Coordinator(
        _CoordinatorContext(),
        world,
        world,
        ControlSettings(),
        SingleCoordinatorScope(lambda: True),
        lambda update: None,
    )
    coroutines = coordinator.run(), world.run(), _update_target_list(world, coordinator)
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    await asyncio.sleep(LOST_AT_S)
    loop = asyncio.get_running_loop()
    (head,) = [engine for engine in world.engines.values() if engine.is_open_head]
    del world.engines[head.members[-1]]
    lost_at = loop.time()
    while loop.time() < lost_at + REPAIR_TIMEOUT_S:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if any(e.is_open_head and world.is_complete(e) for e in world.engines.values()):
            break
    for task in tasks:
        task.cancel()
    return loop.time() - lost_at


@given("a coordinator of nine engines with one serving group")
def step_coordinator(context):
    context.repair_s = {}


@when("a member of the group is lost, with and without warm-ups of the spares")
def step_lose_member(context):
    for policy in ("as-is", "without-practice"):
        with active_policy(policy):
            context.repair_s[policy] = run_in_virtual_time(_measure_repair_s())


@then("the group serves again at least {seconds:f} s sooner with warm-ups")
def step_repaired_sooner(context, seconds):
    repair_s = context.repair_s
    assert repair_s["without-practice"] - repair_s["as-is"] >= seconds, repair_s
