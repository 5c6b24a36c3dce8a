"""Steps over what is known of an engine, and how old that is."""

from behave import given, then, when

from cowslipcourse.groups import (
    DomainPlan,
    ObservedDomain,
    ObservedEngine,
    PlannedGroup,
    StepKind,
    next_steps,
)
from cowslipcourse.groups.situation import is_free
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
    "an engine whose reports say from {at:f} s that it is in no group, with 5 orders"
)
def step_reports_none(context, at):
    context.engine = ObservedEngine(_entry(_membership(3)))
    context.engine.update_from_report(EngineReport(5, None, ()), at)


@when("a report asked for at {at:f} s says the same")
def step_same(context, at):
    context.engine.update_from_report(EngineReport(5, None, ()), at)


@when(
    "a report asked for at {at:f} s says that it is in no group, with {orders:d} orders"
)
def step_other_count(context, at, orders):
    context.engine.update_from_report(EngineReport(orders, None, ()), at)


@then("it has been away for {seconds:f} s")
def step_away(context, seconds):
    assert abs(context.engine.ungrouped_s - seconds) < 1e-6, context.engine.ungrouped_s


@given("an engine in group g1 at epoch {epoch:d}")
def step_in_group(context, epoch):
    context.engine = ObservedEngine(_entry(_membership(epoch)))


@when("the list says that it is in no group")
def step_list(context):
    context.engine.update_from_entry(_entry())


@when("a report says that it is in group g1 at epoch {epoch:d}")
def step_report_group(context, epoch):
    context.engine.update_from_report(EngineReport(5, _membership(epoch), ()), 11.0)


@then("it is known in epoch {epoch:d}")
def step_known_epoch(context, epoch):
    assert context.engine.membership.epoch == epoch


@given("a domain whose engine refused an order at {at:f} s as its count differed")
def step_refused(context, at):
    context.engine = ObservedEngine(_entry())
    context.engine.mark_order_refused(at)
    group = PlannedGroup("g1", "large", 4, ("e1",))
    context.plan = DomainPlan("north", 3, (group,))


def _kinds(context, now):
    engines, models = {"e1": context.engine}, {"large": LARGE}
    steps = next_steps(context.plan, engines, models, STALL_S, now)
    return [step.kind for step in steps]


@then("nothing is asked at {now:f} s")
def step_not_asked(context, now):
    assert _kinds(context, now) == []


@then("it is asked at {now:f} s")
def step_asked(context, now):
    assert _kinds(context, now) == [StepKind.ASK]


@given("a retired group whose head is lost, with {engine} that left at {at:f} s")
def step_retired(context, engine, at):
    context.engine = ObservedEngine(_entry())
    context.engine.update_from_report(EngineReport(5, None, ()), at)
    group = PlannedGroup("g1", "large", 4, ("e0", "e1"), is_retired=True)
    context.plan = DomainPlan("north", 3, (group,))


@when("it becomes known at {now:f} s that its group is given up")
def step_given_up(context, now):
    domain = ObservedDomain()
    domain.engines["e1"] = context.engine
    group = PlannedGroup("g1", "large", 3, ("e1",), is_retired=True)
    domain.update_from_plan(DomainPlan("north", 4, (group,)), now)


@given(
    "engines e1 and e2, ready in g1 at epoch {epoch:d}, of which it has told e1 to open"
)
def step_told_to_open(context, epoch):
    context.engines = {}
    for rank, name in enumerate(("e1", "e2")):
        membership = GroupMembership("g1", epoch, rank, GroupState.READY, "small")
        engine = ObservedEngine(_entry(membership)._replace(id=name))
        engine.update_from_report(EngineReport(7, membership, ()), 10.0)
        context.engines[name] = engine
    context.engines["e1"].apply_started_order(
        EngineOrder(OrderOperation.OPEN, 7, "g1", epoch)
    )


@when("a plan holds them in g2 instead")
def step_instead(context):
    group = PlannedGroup("g2", "small", 5, ("e1", "e2"))
    context.plan = DomainPlan("north", 5, (group,))


@then("e1 and e2 are told to leave g1 and nobody is joined")
def step_both_leave(context):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, 10.1)
    orders = [(step.engine, step.order.operation, step.order.group) for step in steps]
    assert orders == [(name, OrderOperation.LEAVE, "g1") for name in ("e1", "e2")], (
        orders
    )


def _domain(context):
    context.domain = getattr(context, "domain", None) or ObservedDomain()
    context.domain.engines["e1"] = context.engine
    return context.domain


@when("another coordinator's plan without groups becomes known at {now:f} s")
def step_other_plan(context, now):
    _domain(context).update_from_plan(DomainPlan("north", 9), now)


@then("it is free in a domain without groups")
def step_is_free(context):
    assert is_free(DomainPlan("north"), _domain(context), context.engine, STALL_S)


@then("it is not free, and is asked")
def step_is_not_free(context):
    plan = DomainPlan("north")
    assert not is_free(plan, _domain(context), context.engine, STALL_S)
    steps = next_steps(plan, {"e1": context.engine}, {}, STALL_S, 21.0)
    assert [step.kind for step in steps] == [StepKind.ASK], steps


@given(
    "a planned group g2 of e1 and e2, which are in the open group g1 at epoch {epoch:d}"
)
def step_open_elsewhere(context, epoch):
    context.engines = {}
    for rank, engine in enumerate(("e1", "e2")):
        state = GroupState.READY if rank else GroupState.OPEN
        membership = GroupMembership("g1", epoch, rank, state, "small")
        entry = _entry(membership)._replace(id=engine)
        context.engines[engine] = ObservedEngine(entry)
        context.engines[engine].order_count = 7
    group = PlannedGroup("g2", "small", epoch + 1, ("e1", "e2"))
    context.plan = DomainPlan("north", epoch + 1, (group,))


@then("e1 is told to leave g1 and nobody is joined")
def step_only_leave(context):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, 30.0)
    orders = [(step.engine, step.order.operation, step.order.group) for step in steps]
    assert orders == [("e1", OrderOperation.LEAVE, "g1")], orders


@given("an engine that reported group g1 and began to leave it, and no plan")
def step_left_unknown(context):
    context.engine = ObservedEngine(_entry(_membership(3)))
    context.engine.update_from_report(EngineReport(5, _membership(3), ()), 10.0)
    leave = EngineOrder(OrderOperation.LEAVE, 5, group="g1", epoch=3)
    context.engine.apply_started_order(leave)
    context.plan = DomainPlan("north")


@then("it is asked")
def step_is_asked(context):
    assert _kinds(context, 11.0) == [StepKind.ASK], _kinds(context, 11.0)


@then("it is free, and not asked any more")
def step_is_free(context):
    domain = ObservedDomain()
    domain.engines["e1"] = context.engine
    assert is_free(context.plan, domain, context.engine, STALL_S)
    assert _kinds(context, 12.5) == [], _kinds(context, 12.5)
