"""Steps over engines that start again under their ids."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator import Faults, WholeSite, World
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.entry.plan_table import GROUPS_TABLE
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.groups import (
    DomainAssignment,
    DomainPlan,
    EngineView,
    ModelDemand,
    ObservedDomain,
    PlannedGroup,
    revise_plan,
)
from cowslipcourse.groups.situation import is_free
from cowslipcourse.ports import (
    EngineOrder,
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    OrderResult,
    RowWrite,
    TargetEntry,
)
from cowslipcourse.routes import CallerLimits, RouteTable, ServiceSpec
from features.support.engine_world import LARGE, MODELS, SMALL, route_table

FIRST, SECOND = 100, 200
STALL_S = 4.0
SIZES = {"large": 4, "small": 2}
IN_G1 = GroupMembership("g1", 4, 0, GroupState.READY, "large")
G1 = PlannedGroup("g1", "large", 4, ("e1",))


def _entry(engine="e1", membership=None, incarnation=FIRST, service="llm"):
    return TargetEntry(
        engine,
        service,
        "10.0.0.1:1",
        "dc",
        13,
        domain="d1",
        staged=("large",),
        membership=membership,
        incarnation=incarnation,
    )


@given("the engine e1, ready in g1 at epoch 4, silent, slow, with 5 orders")
def step_engine(context):
    context.domain = ObservedDomain()
    context.domain.update_from_entry(_entry(membership=IN_G1))
    report = EngineReport(5, IN_G1, ("large",), pace=3.0, incarnation=FIRST)
    context.domain.update_from_report("e1", report, 10.0)
    context.domain.engines["e1"].mark_silent(11.0)


@when("the list tells of a later life of e1 that is in no group")
def step_later_entry(context):
    context.domain.update_from_entry(_entry(incarnation=SECOND))


@when("the list repeats the entry of the earlier life of e1")
def step_earlier_entry(context):
    context.domain.update_from_entry(_entry(membership=IN_G1))


@when("a report of a later life of e1 says that it is in no group, with 0 orders")
def step_later_report(context):
    report = EngineReport(0, None, ("large",), incarnation=SECOND)
    context.domain.update_from_report("e1", report, 12.0)


@when(
    "a report of the earlier life of e1 says that it is ready in g1, with {orders:d} "
    "orders"
)
def step_earlier_report(context, orders):
    report = EngineReport(orders, IN_G1, ("large",), incarnation=FIRST)
    context.domain.update_from_report("e1", report, 12.0)


@when("a plan holds the later life of e1 in g1 at epoch 5")
def step_plan(context):
    group = G1._replace(epoch=5, incarnations=(SECOND,))
    context.domain.update_from_plan(DomainPlan("d1", 4, (group,)), 12.0)


@then("e1 has no order count, is not silent, not slow, and was never ready in g1")
def step_nothing(context):
    engine = context.domain.engines["e1"]
    assert engine.order_count is None and engine.silent_since is None
    assert engine.pace == 1.0 and engine.membership is None
    assert not engine.was_ready(G1) and engine.incarnation == SECOND


@then("e1 has taken {orders:d} orders and was never ready in g1")
def step_orders(context, orders):
    engine = context.domain.engines["e1"]
    assert engine.order_count == orders and not engine.was_ready(G1)
    assert engine.incarnation == SECOND


@given("a domain of large with g1 on {members}, all of which hold large")
def step_domain(context, members):
    members = tuple(members.split())
    group = PlannedGroup("g1", "large", 3, members, False, (FIRST,) * len(members))
    context.plan = DomainPlan("d1", 7, (group,))
    context.views = {
        member: EngineView(member, ("large",), True, False, incarnation=FIRST)
        for member in members
    }


def _start_again(context, engine):
    context.views[engine] = EngineView(
        engine, ("large",), True, True, incarnation=SECOND
    )


def _revise(context):
    shape, model_demands = DomainAssignment("large", 0), [ModelDemand("large", 4, 1.0)]
    views = context.views.values()
    context.groups = revise_plan(context.plan, views, SIZES, model_demands, shape)


@when("{engine} starts again")
def step_starts_again(context, engine):
    _start_again(context, engine)
    _revise(context)


@when("e3 starts again, e1 is lost and e2 is 5 s away from being ready")
def step_two_lost(context):
    _start_again(context, "e3")
    context.views["e1"] = context.views["e1"]._replace(is_live=False)
    context.views["e2"] = context.views["e2"]._replace(ready_in_s=5.0)
    _revise(context)


@then("g1 holds {members} in their present lives at a newer epoch")
def step_holds(context, members):
    (group,) = context.groups
    assert group.name == "g1" and group.epoch == 8, group
    assert group.members == tuple(members.split()), group
    lives = tuple(context.views[member].incarnation for member in group.members)
    assert group.incarnations == lives, group


@then("no group holds an engine twice")
def step_not_twice(context):
    members = [member for group in context.groups for member in group.members]
    assert len(set(members)) == len(members), context.groups


@given("a retired group on e1 e2 whose head e1 has started again")
def step_head_again(context):
    context.knowledge = ObservedDomain()
    context.knowledge.update_from_entry(_entry("e1", incarnation=SECOND))
    context.knowledge.update_from_entry(_entry("e2", IN_G1._replace(rank=1)))
    group = PlannedGroup("g1", "large", 4, ("e1", "e2"), True, (FIRST, FIRST))
    context.plan = DomainPlan("d1", 7, (group,))


@then("e2 is free, and e1 is not yet")
def step_head_not_yet(context):
    free = [
        engine.id
        for engine in context.knowledge.engines.values()
        if is_free(context.plan, context.knowledge, engine, STALL_S)
    ]
    assert free == ["e2"], free


@when("a report of the new life of e1 says that it is in no group")
def step_head_reports(context):
    report = EngineReport(0, None, ("large",), incarnation=SECOND)
    context.knowledge.update_from_report("e1", report, 12.0)


@then("e1 and e2 are free")
def step_free(context):
    for engine in context.knowledge.engines.values():
        assert is_free(context.plan, context.knowledge, engine, STALL_S), engine.id


class _Context:
    def __init__(self, table):
        self.table = table
        self.fleet = FleetView()


class _Silent:
    """An engine control that is never needed."""


@given("a coordinator that knows the services llm and desk, of which llm has models")
def step_coordinator(context):
    services = ServiceSpec("llm", models=(LARGE, SMALL)), ServiceSpec("desk")
    table = RouteTable(1, (), services, CallerLimits(), {})
    context.coordinator = Coordinator(
        _Context(table),
        None,
        _Silent(),
        ControlSettings(),
        WholeSite(lambda: True),
        lambda news: None,
    )


@when("entries of llm, desk and nobody come, all with the domain d1")
def step_entries(context):
    async def run():
        context.coordinator.domains.update_entries(
            [_entry(name, service=name) for name in ("llm", "desk", "nobody")]
        )

    run_paused(run())


@then("only the entry of llm is an engine of d1")
def step_only_llm(context):
    engines = context.coordinator.domains.engines
    assert [engine.id for engine in engines] == ["llm"], engines


@given(
    "a coordinator whose store has a readable plan of d1 and an unreadable one of d2"
)
def step_bad_plan(context):
    context.seed = 3


@when("it coordinates for 3 s")
def step_coordinates(context):
    async def run():
        faults = Faults(late=0, lost=0, unanswered=0, pause=0, store=0)
        world = World(random.Random(context.seed), faults, MODELS)
        for domain in ("d1", "d2"):
            for _ in range(8):
                world.add_engine(domain)
        await world.write(RowWrite(GROUPS_TABLE, "d2", b'[["g"]]', None))
        coordinator = Coordinator(
            _Context(route_table()),
            world,
            world,
            ControlSettings(),
            WholeSite(lambda: True),
            lambda news: None,
        )
        coordinator.domains.update_entries(world.entries())
        tasks = [asyncio.create_task(c) for c in (coordinator.run(), world.run())]
        await asyncio.sleep(3.0)
        for task in tasks:
            task.cancel()
        context.world = world
        rows = await world.read_table(GROUPS_TABLE)
        context.rows = {row.key: row.value for row in rows.rows}

    run_paused(run())


@then("it forms groups in d1 and does nothing in d2")
def step_formed(context):
    domains = {e.domain for e in context.world.engines.values() if e.membership}
    assert domains == {"d1"}, domains
    assert context.rows["d2"] == b'[["g"]]'


@given(
    "a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2"
)
def step_address(context):
    context.knowledge = ObservedDomain()
    context.knowledge.update_from_entry(_entry("e2"))
    context.group = PlannedGroup("g1", "large", 5, ("e1", "e2"), False, (FIRST, FIRST))


@when("the report says that its engine is ready in g1 at epoch 5 with rank {rank:d}")
def step_report_rank(context, rank):
    found = GroupMembership("g1", 5, rank, GroupState.READY, "large")
    report = EngineReport(2, found, ("large",), incarnation=FIRST)
    context.knowledge.update_from_report("e2", report, 5.0)


@then("e2 was not ready in g1")
def step_not_ready(context):
    assert not context.knowledge.engines["e2"].was_ready(context.group)


@then("e2 was ready in g1")
def step_was_ready(context):
    assert context.knowledge.engines["e2"].was_ready(context.group)


class _OtherEngine:
    """An engine control whose orders another engine refuses."""

    async def order(self, entry, order):
        return OrderResult.OTHER_ENGINE


@when("an order to e2 is answered by another engine")
def step_other_engine(context):
    async def run():
        calls = EngineClient(_OtherEngine(), ControlSettings(), None, None, None)
        order = EngineOrder(OrderOperation.JOIN, 0, "g1", 5, "large", ("e1", "e2"))
        calls.send_order(context.knowledge.engines["e2"], order, {"large": LARGE})
        await asyncio.sleep(0.1)

    run_paused(run())


@then("e2 is not live, and reports from its address change nothing")
def step_replaced(context):
    engine = context.knowledge.engines["e2"]
    assert not engine.is_live
    step_report_rank(context, 1)
    assert not engine.is_live and not engine.was_ready(context.group)


@then("it is not live when its entry is listed again")
def step_listed_again(context):
    context.knowledge.mark_unlisted("e2")
    context.knowledge.update_from_entry(_entry("e2"))
    assert not context.knowledge.engines["e2"].is_live


@then("it is live when its entry names another address")
def step_other_address(context):
    context.knowledge.update_from_entry(_entry("e2")._replace(address="10.0.0.2:1"))
    assert context.knowledge.engines["e2"].is_live
