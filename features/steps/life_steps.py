"""Steps for engines that restart under their ids."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.plan_table import GROUPS_TABLE
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.entry.unloaded_components import AlwaysReachable
from cowslipcourse.group_plans import (
    DomainAssignment,
    DomainPlan,
    EngineView,
    ModelDemand,
    ObservedDomain,
    PlannedGroup,
    revise_plan,
)
from cowslipcourse.group_plans.plan_inputs import is_free
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

FIRST_INCARNATION, SECOND_INCARNATION = 100, 200
STALL_S = 4.0
GROUP_SIZES = {"large": 4, "small": 2}
READY_IN_G1 = GroupMembership("g1", 4, 0, GroupState.READY, "large")
G1 = PlannedGroup("g1", "large", 4, ("e1",))


def _entry(engine="e1", membership=None, incarnation=FIRST_INCARNATION, service="llm"):
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
    context.observed = ObservedDomain()
    context.observed.update_from_entry(_entry(membership=READY_IN_G1))
    report = EngineReport(
        5, READY_IN_G1, ("large",), pace=3.0, incarnation=FIRST_INCARNATION
    )
    context.observed.update_from_report("e1", report, 10.0)
    context.observed.engines["e1"].mark_silent(11.0)


@when("the target list has a later incarnation of e1 that is in no group")
def step_later_incarnation_listed(context):
    context.observed.update_from_entry(_entry(incarnation=SECOND_INCARNATION))


@when("the target list repeats the entry of the earlier incarnation of e1")
def step_earlier_incarnation_listed(context):
    context.observed.update_from_entry(_entry(membership=READY_IN_G1))


@when(
    "a report of a later incarnation of e1 says that it is in no group, with 0 orders"
)
def step_later_incarnation_reports(context):
    report = EngineReport(0, None, ("large",), incarnation=SECOND_INCARNATION)
    context.observed.update_from_report("e1", report, 12.0)


@when(
    "a report of the earlier incarnation of e1 says that it is ready in g1, with "
    "{orders:d} orders"
)
def step_earlier_incarnation_reports(context, orders):
    report = EngineReport(
        orders, READY_IN_G1, ("large",), incarnation=FIRST_INCARNATION
    )
    context.observed.update_from_report("e1", report, 12.0)


@when("a plan has the later incarnation of e1 in g1 at epoch 5")
def step_later_incarnation_planned(context):
    group = G1._replace(epoch=5, incarnations=(SECOND_INCARNATION,))
    context.observed.update_from_plan(DomainPlan("d1", 4, (group,)), 12.0)


@then("e1 has no order count, is not silent, not slow, and was never ready in g1")
def step_state_discarded(context):
    engine = context.observed.engines["e1"]
    assert engine.order_count is None and engine.silent_since is None
    assert engine.pace == 1.0 and engine.membership is None
    assert not engine.was_ready(G1) and engine.incarnation == SECOND_INCARNATION


@then("e1 has accepted {orders:d} orders and was never ready in g1")
def step_accepted_orders(context, orders):
    engine = context.observed.engines["e1"]
    assert engine.order_count == orders and not engine.was_ready(G1)
    assert engine.incarnation == SECOND_INCARNATION


@given("a domain of large with g1 on {members}, all of which store large")
def step_domain(context, members):
    members = tuple(members.split())
    group = PlannedGroup(
        "g1", "large", 3, members, False, (FIRST_INCARNATION,) * len(members)
    )
    context.plan = DomainPlan("d1", 7, (group,))
    context.views = {
        member: EngineView(
            member, ("large",), True, False, incarnation=FIRST_INCARNATION
        )
        for member in members
    }


def _restart(context, engine):
    context.views[engine] = EngineView(
        engine, ("large",), True, True, incarnation=SECOND_INCARNATION
    )


def _revise(context):
    assignment, demands = DomainAssignment("large", 0), [ModelDemand("large", 4, 1.0)]
    views = context.views.values()
    context.groups = revise_plan(context.plan, views, GROUP_SIZES, demands, assignment)


@when("member {engine} restarts")
def step_restarts(context, engine):
    _restart(context, engine)
    _revise(context)


@when("member e3 restarts, e1 is lost and e2 is 5 s away from being ready")
def step_restart_loss_and_load(context):
    _restart(context, "e3")
    context.views["e1"] = context.views["e1"]._replace(is_live=False)
    context.views["e2"] = context.views["e2"]._replace(ready_in_s=5.0)
    _revise(context)


@then("g1 has {members} in their current incarnations at a newer epoch")
def step_reformed(context, members):
    (group,) = context.groups
    assert group.name == "g1" and group.epoch == 8, group
    assert group.members == tuple(members.split()), group
    incarnations = tuple(context.views[member].incarnation for member in group.members)
    assert group.incarnations == incarnations, group


@then("no group has an engine twice")
def step_no_duplicate_member(context):
    members = [member for group in context.groups for member in group.members]
    assert len(set(members)) == len(members), context.groups


@given("a retired group on e1 e2 whose head e1 has restarted")
def step_head_restarted(context):
    context.observed = ObservedDomain()
    context.observed.update_from_entry(_entry("e1", incarnation=SECOND_INCARNATION))
    context.observed.update_from_entry(_entry("e2", READY_IN_G1._replace(rank=1)))
    group = PlannedGroup(
        "g1", "large", 4, ("e1", "e2"), True, (FIRST_INCARNATION, FIRST_INCARNATION)
    )
    context.plan = DomainPlan("d1", 7, (group,))


@then("e2 is free, and e1 is not yet")
def step_head_not_free(context):
    free_ids = [
        engine.id
        for engine in context.observed.engines.values()
        if is_free(context.plan, context.observed, engine, STALL_S)
    ]
    assert free_ids == ["e2"], free_ids


@when("a report of the new incarnation of e1 says that it is in no group")
def step_restarted_head_reports(context):
    report = EngineReport(0, None, ("large",), incarnation=SECOND_INCARNATION)
    context.observed.update_from_report("e1", report, 12.0)


@then("e1 and e2 are free")
def step_members_free(context):
    for engine in context.observed.engines.values():
        assert is_free(context.plan, context.observed, engine, STALL_S), engine.id


class _CoordinatorContext:
    def __init__(self, table):
        self.reachability = AlwaysReachable()
        self.table = table
        self.fleet = FleetView()


class _UnusedEngineControl:
    """An engine control that is never called."""


@given("a coordinator with the services llm and desk, of which llm has models")
def step_coordinator(context):
    services = ServiceSpec("llm", models=(LARGE, SMALL)), ServiceSpec("desk")
    table = RouteTable(1, (), services, CallerLimits())
    context.coordinator = Coordinator(
        _CoordinatorContext(table),
        None,
        _UnusedEngineControl(),
        ControlSettings(),
        SingleCoordinatorScope(lambda: True),
        lambda update: None,
    )


@when("entries of llm, desk and nobody arrive, all with the domain d1")
def step_entries(context):
    async def run():
        context.coordinator.domains.update_entries(
            [_entry(name, service=name) for name in ("llm", "desk", "nobody")]
        )

    run_in_virtual_time(run())


@then("only the entry of llm is an engine of d1")
def step_only_llm(context):
    engines = context.coordinator.domains.engines
    assert [engine.id for engine in engines] == ["llm"], engines


@given(
    "a coordinator whose store has a readable plan of d1 and an unreadable one of d2"
)
def step_undecodable_plan(context):
    context.seed = 3


@when("it coordinates for 3 s")
def step_coordinates(context):
    async def run():
        faults = Faults(
            late_order_fraction=0,
            lost_order_fraction=0,
            unanswered_order_fraction=0,
            pause_fraction=0,
            store_failure_fraction=0,
        )
        world = World(random.Random(context.seed), faults, MODELS)
        for domain in ("d1", "d2"):
            for _ in range(8):
                world.add_engine(domain)
        await world.write(RowWrite(GROUPS_TABLE, "d2", b'[["g"]]', None))
        coordinator = Coordinator(
            _CoordinatorContext(route_table()),
            world,
            world,
            ControlSettings(),
            SingleCoordinatorScope(lambda: True),
            lambda update: None,
        )
        coordinator.domains.update_entries(world.entries())
        tasks = [asyncio.create_task(c) for c in (coordinator.run(), world.run())]
        await asyncio.sleep(3.0)
        for task in tasks:
            task.cancel()
        context.world = world
        rows = await world.read_table(GROUPS_TABLE)
        context.plan_rows = {row.key: row.value for row in rows.rows}

    run_in_virtual_time(run())


@then("it forms groups in d1 and does nothing in d2")
def step_formed_in_d1_only(context):
    domains = {e.domain for e in context.world.engines.values() if e.membership}
    assert domains == {"d1"}, domains
    assert context.plan_rows["d2"] == b'[["g"]]'


@given(
    "a planned group g1 of e1 and e2 at epoch 5, and a report from the address of e2"
)
def step_group_and_address(context):
    context.observed = ObservedDomain()
    context.observed.update_from_entry(_entry("e2"))
    context.group = PlannedGroup(
        "g1", "large", 5, ("e1", "e2"), False, (FIRST_INCARNATION, FIRST_INCARNATION)
    )


@when("the report says that its engine is ready in g1 at epoch 5 with rank {rank:d}")
def step_report_rank(context, rank):
    membership = GroupMembership("g1", 5, rank, GroupState.READY, "large")
    report = EngineReport(2, membership, ("large",), incarnation=FIRST_INCARNATION)
    context.observed.update_from_report("e2", report, 5.0)


@then("e2 was not ready in g1")
def step_not_ready(context):
    assert not context.observed.engines["e2"].was_ready(context.group)


@then("e2 was ready in g1")
def step_was_ready(context):
    assert context.observed.engines["e2"].was_ready(context.group)


class _OtherEngineControl:
    """An engine control whose orders reach another engine."""

    async def order(self, entry, order):
        return OrderResult.OTHER_ENGINE


@when("an order to e2 is answered by another engine")
def step_other_engine_answers(context):
    async def run():
        engine_client = EngineClient(
            _OtherEngineControl(), ControlSettings(), None, None, None
        )
        order = EngineOrder(OrderOperation.JOIN, 0, "g1", 5, "large", ("e1", "e2"))
        engine_client.send_order(
            context.observed.engines["e2"], order, {"large": LARGE}
        )
        await asyncio.sleep(0.1)

    run_in_virtual_time(run())


@then("e2 is not live, and reports from its address change nothing")
def step_not_live(context):
    engine = context.observed.engines["e2"]
    assert not engine.is_live
    step_report_rank(context, 1)
    assert not engine.is_live and not engine.was_ready(context.group)


@then("it is not live when its entry is listed again")
def step_listed_again(context):
    context.observed.mark_unlisted("e2")
    context.observed.update_from_entry(_entry("e2"))
    assert not context.observed.engines["e2"].is_live


@then("it is live when its entry has another address")
def step_other_address(context):
    context.observed.update_from_entry(_entry("e2")._replace(address="10.0.0.2:1"))
    assert context.observed.engines["e2"].is_live
