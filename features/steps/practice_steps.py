"""Steps over spares that practise a join."""

from behave import given, then, when

from cowslipcourse.emulator.report import compare
from cowslipcourse.groups import (
    DomainKnowledge,
    DomainPlan,
    StepKind,
    next_steps,
    practice_step,
)
from cowslipcourse.groups.situation import is_free
from cowslipcourse.ports import (
    EngineReport,
    GroupState,
    Membership,
    OrderName,
    TargetEntry,
)

STALL_S = 4.0
PLAN = DomainPlan("d1", 7)


def _entry(staged=("large",)):
    return TargetEntry(
        "e1", "llm", "10.0.0.1:1", "dc", 13, domain="d1", staged=staged, incarnation=1
    )


def _alone(state):
    return Membership("d1-alone-e1", 7, 0, state, "large")


def _report(context, membership):
    report = EngineReport(1, membership, ("large",), incarnation=1)
    context.knowledge.see_report("e1", report, 5.0)


@given(
    "a spare that holds {held}, joined {joined} last, and has {orders} orders by report"
)
def step_spare(context, held, joined, orders):
    staged = () if held == "nothing" else (held,)
    context.knowledge = DomainKnowledge()
    context.knowledge.see_entry(_entry(staged))
    engine = context.knowledge.engines["e1"]
    engine.joined_model = None if joined == "nothing" else joined
    engine.order_count = None if orders == "no" else int(orders)


@then("in a domain of large it is to {do}")
def step_is_to(context, do):
    step = practice_step(PLAN, context.knowledge.engines["e1"], ["large"])
    if do == "rest":
        assert step is None, step
    elif do == "be asked for its count":
        assert step.kind is StepKind.ASK, step
    else:
        order = step.order
        assert order.name is OrderName.JOIN and order.members == ("e1",), order
        assert order.epoch == PLAN.version and order.model == "large", order


@given("a spare that is joining a group of its own")
def step_joining(context):
    context.knowledge = DomainKnowledge()
    context.knowledge.see_entry(_entry())
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
    assert step.order.name is OrderName.LEAVE, step
    assert step.order.group == "d1-alone-e1", step


@then("it counts as free")
def step_is_free(context):
    engine = context.knowledge.engines["e1"]
    assert is_free(PLAN, context.knowledge, engine, STALL_S)


@then("without practice callers get less")
def step_less(context):
    (found,) = compare(context.runs, context.without, ("credit",))
    assert found.mean < 0, found
