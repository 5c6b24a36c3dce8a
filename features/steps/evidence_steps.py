"""Steps for the age of evidence about an engine."""

from behave import given, then, when

from cowslipcourse.group_plans import (
    DomainPlan,
    ObservedDomain,
    ObservedEngine,
    PlannedGroup,
    StepKind,
    next_steps,
)
from cowslipcourse.group_plans.plan_inputs import is_free
from cowslipcourse.ports import (
    EngineOrder,
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    TargetEntry,
)
from cowslipcourse.routes import EngineModel

STALL_S = 4.0
LARGE = EngineModel("large", 1, 1.0, 1.0, 16.0, 1.6)


def _entry(membership=None):
    return TargetEntry(
        "e1", "llm", "a:1", "dc", 13, domain="north", membership=membership
    )


def _membership(epoch):
    return GroupMembership("g1", epoch, 0, GroupState.READY, "large")


@given(
    "an engine whose reports since {requested_at:f} s say that it is in no group, with "
    "5 orders"
)
def step_reports_ungrouped(context, requested_at):
    context.engine = ObservedEngine(_entry(_membership(3)))
    context.engine.update_from_report(EngineReport(5, None, ()), requested_at)


@when("a report requested at {requested_at:f} s says the same")
def step_same_report(context, requested_at):
    context.engine.update_from_report(EngineReport(5, None, ()), requested_at)


@when(
    "a report requested at {requested_at:f} s says that it is in no group, with "
    "{orders:d} orders"
)
def step_report_with_count(context, requested_at, orders):
    context.engine.update_from_report(EngineReport(orders, None, ()), requested_at)


@then("it has been ungrouped for {seconds:f} s")
def step_ungrouped_for(context, seconds):
    assert abs(context.engine.ungrouped_s - seconds) < 1e-6, context.engine.ungrouped_s


@given("an engine in group g1 at epoch {epoch:d}")
def step_in_group(context, epoch):
    context.engine = ObservedEngine(_entry(_membership(epoch)))


@when("the target list says that it is in no group")
def step_listed_ungrouped(context):
    context.engine.update_from_entry(_entry())


@when("a report says that it is in group g1 at epoch {epoch:d}")
def step_report_in_group(context, epoch):
    context.engine.update_from_report(EngineReport(5, _membership(epoch), ()), 11.0)


@then("its known epoch is {epoch:d}")
def step_known_epoch(context, epoch):
    assert context.engine.membership.epoch == epoch


@given(
    "a domain whose engine refused an order at {at:f} s because its order count "
    "differed"
)
def step_refused_order(context, at):
    context.engine = ObservedEngine(_entry())
    context.engine.mark_order_refused(at)
    group = PlannedGroup("g1", "large", 4, ("e1",))
    context.plan = DomainPlan("north", 3, (group,))


def _step_kinds(context, now):
    engines, models = {"e1": context.engine}, {"large": LARGE}
    steps = next_steps(context.plan, engines, models, STALL_S, now)
    return [step.kind for step in steps]


@then("no report is requested at {now:f} s")
def step_no_report_requested(context, now):
    assert _step_kinds(context, now) == []


@then("a report is requested at {now:f} s")
def step_report_requested(context, now):
    assert _step_kinds(context, now) == [StepKind.ASK]


@given("a retired group whose head is lost, with {engine} that left at {at:f} s")
def step_retired_group(context, engine, at):
    context.engine = ObservedEngine(_entry())
    context.engine.update_from_report(EngineReport(5, None, ()), at)
    group = PlannedGroup("g1", "large", 4, ("e0", "e1"), is_retired=True)
    context.plan = DomainPlan("north", 3, (group,))


@when("its group becomes known as retired at {now:f} s")
def step_retirement_known(context, now):
    domain = ObservedDomain()
    domain.engines["e1"] = context.engine
    group = PlannedGroup("g1", "large", 3, ("e1",), is_retired=True)
    domain.update_from_plan(DomainPlan("north", 4, (group,)), now)


@given(
    "engines e1 and e2, ready in g1 at epoch {epoch:d}, with an open order sent to e1"
)
def step_open_order_sent(context, epoch):
    context.engines = {}
    for rank, name in enumerate(("e1", "e2")):
        membership = GroupMembership("g1", epoch, rank, GroupState.READY, "small")
        engine = ObservedEngine(_entry(membership)._replace(id=name))
        engine.update_from_report(EngineReport(7, membership, ()), 10.0)
        context.engines[name] = engine
    context.engines["e1"].apply_started_order(
        EngineOrder(OrderOperation.OPEN, 7, "g1", epoch)
    )


@when("a plan assigns them to g2 instead")
def step_planned_in_g2(context):
    group = PlannedGroup("g2", "small", 5, ("e1", "e2"))
    context.plan = DomainPlan("north", 5, (group,))


@then("e1 and e2 are ordered to leave g1 and no engine is ordered to join")
def step_both_leave(context):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, 10.1)
    orders = [(step.engine, step.order.operation, step.order.group) for step in steps]
    assert orders == [(name, OrderOperation.LEAVE, "g1") for name in ("e1", "e2")], (
        orders
    )


def _observed_domain(context):
    context.observed = getattr(context, "observed", None) or ObservedDomain()
    context.observed.engines["e1"] = context.engine
    return context.observed


@when("another coordinator's plan without groups becomes known at {now:f} s")
def step_other_plan(context, now):
    _observed_domain(context).update_from_plan(DomainPlan("north", 9), now)


@then("it is free in a domain without groups")
def step_free_without_groups(context):
    assert is_free(
        DomainPlan("north"), _observed_domain(context), context.engine, STALL_S
    )


@then("it is not free, and a report is requested")
def step_not_free_and_requested(context):
    plan = DomainPlan("north")
    assert not is_free(plan, _observed_domain(context), context.engine, STALL_S)
    steps = next_steps(plan, {"e1": context.engine}, {}, STALL_S, 21.0)
    assert [step.kind for step in steps] == [StepKind.ASK], steps


@given(
    "a planned group g2 of e1 and e2, which are in the open group g1 at epoch {epoch:d}"
)
def step_members_of_open_group(context, epoch):
    context.engines = {}
    for rank, engine in enumerate(("e1", "e2")):
        state = GroupState.READY if rank else GroupState.OPEN
        membership = GroupMembership("g1", epoch, rank, state, "small")
        entry = _entry(membership)._replace(id=engine)
        context.engines[engine] = ObservedEngine(entry)
        context.engines[engine].order_count = 7
    group = PlannedGroup("g2", "small", epoch + 1, ("e1", "e2"))
    context.plan = DomainPlan("north", epoch + 1, (group,))


@then("e1 is ordered to leave g1 and no engine is ordered to join")
def step_only_e1_leaves(context):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, 30.0)
    orders = [(step.engine, step.order.operation, step.order.group) for step in steps]
    assert orders == [("e1", OrderOperation.LEAVE, "g1")], orders


@given("an engine that reported group g1 and began to leave it, and no plan")
def step_leaving_unplanned_group(context):
    context.engine = ObservedEngine(_entry(_membership(3)))
    context.engine.update_from_report(EngineReport(5, _membership(3), ()), 10.0)
    leave = EngineOrder(OrderOperation.LEAVE, 5, group="g1", epoch=3)
    context.engine.apply_started_order(leave)
    context.plan = DomainPlan("north")


@then("a report of it is requested")
def step_its_report_requested(context):
    assert _step_kinds(context, 11.0) == [StepKind.ASK], _step_kinds(context, 11.0)


@then("it is free, and no further report is requested")
def step_free_and_not_requested(context):
    domain = ObservedDomain()
    domain.engines["e1"] = context.engine
    assert is_free(context.plan, domain, context.engine, STALL_S)
    assert _step_kinds(context, 12.5) == [], _step_kinds(context, 12.5)
