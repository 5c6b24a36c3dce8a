"""Steps over the models of fabric domains, and over engines that a group sets free."""

from behave import given, then, when

from cowslipcourse.groups import (
    MIXED_ASSIGNMENT,
    DomainPlan,
    ObservedDomain,
    PlannedGroup,
    assign_domain,
)
from cowslipcourse.groups.situation import is_free
from cowslipcourse.ports import EngineReport, GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import EngineModel

DATA_CENTRES = ("north", "south", "west")
STALL_S = 4.0


@given("{number:d} domains in each of 3 data centres")
@given("{number:d} domain in each of 3 data centres")
def step_domains(context, number):
    context.places = {
        f"{place}-{each}": place for each in range(number) for place in DATA_CENTRES
    }
    context.plans = {}


@given("the models large with {large:f} of the work and small with {small:f}")
def step_models(context, large, small):
    context.models = (
        EngineModel("large", 4, large, 1.0, 16.0, 1.6),
        EngineModel("small", 2, small, 0.6, 12.0, 1.1),
    )


@given("a group of {model} in the domain {domain}")
def step_group(context, model, domain):
    _plan_group(context, domain, model)


def _plan_group(context, domain, model):
    group = PlannedGroup(f"{domain}-1", model, 1, ("e1", "e2"))
    context.plans[domain] = DomainPlan(domain, 1, (group,))


@when("each domain in turn is given its models")
def step_choose(context):
    context.shapes = {}
    for domain in context.places:
        shape = assign_domain(domain, context.plans, context.places, context.models)
        context.shapes[domain] = shape
        if shape.model is not None:
            _plan_group(context, domain, shape.model)


@when("each domain is given its models while no other one has any yet")
def step_choose_at_once(context):
    context.at_once = {
        domain: assign_domain(domain, {}, context.places, context.models).model
        for domain in context.places
    }


@then("the domains have the models that they get one after the other")
def step_as_one(context):
    for domain in sorted(context.places):
        shape = assign_domain(domain, context.plans, context.places, context.models)
        _plan_group(context, domain, shape.model)
        assert shape.model == context.at_once[domain], (domain, context.at_once)


def _domains_of(context, model):
    return [domain for domain, s in context.shapes.items() if s.model == model]


@then("{large:d} domains serve large alone and {small:d} serve small alone")
def step_numbers(context, large, small):
    numbers = [len(_domains_of(context, model)) for model in ("large", "small")]
    assert numbers == [large, small], context.shapes


@then("the domains of small are in {number:d} data centres")
def step_places(context, number):
    places = {context.places[domain] for domain in _domains_of(context, "small")}
    assert len(places) == number, context.shapes


@then("every domain serves any model and keeps 2 spares")
def step_mixed(context):
    assert set(context.shapes.values()) == {MIXED_ASSIGNMENT}
    assert MIXED_ASSIGNMENT.spare_count == 2


@then("{domain} serves {model} alone")
def step_serves(context, domain, model):
    assert context.shapes[domain].model == model


@given("a retired group on a b c d whose head a is lost")
def step_retired(context):
    members = ("a", "b", "c", "d")
    group = PlannedGroup("g1", "large", 3, members, is_retired=True)
    context.plan = DomainPlan("north", 3, (group,))
    context.knowledge = ObservedDomain()
    for rank, member in enumerate(members):
        membership = GroupMembership("g1", 3, rank, GroupState.READY, "large")
        entry = TargetEntry(
            member, "llm", "a:1", "north", 13, domain="north", membership=membership
        )
        context.knowledge.update_from_entry(entry)
    context.knowledge.engines["a"].mark_silent(10.0)


def _report_away(context, members):
    for member in members:
        for at in (10.0, 14.6):
            context.knowledge.engines[member].update_from_report(
                EngineReport(2, None, ()), at
            )


@when("b, c and d have been away for 4.6 s by reports")
def step_all_away(context):
    _report_away(context, "bcd")


@when("b and c have been away for 4.6 s by reports, and d has not left")
def step_two_away(context):
    _report_away(context, "bc")


def _free(context):
    engines = context.knowledge.engines.values()
    found = [
        e.id for e in engines if is_free(context.plan, context.knowledge, e, STALL_S)
    ]
    return "".join(found)


@then("b, c and d are free, and a does not hold up the group's end")
def step_all_free(context):
    assert _free(context) == "abcd"


@then("b and c are free and d is not")
def step_two_free(context):
    assert _free(context) == "abc"


@given("groups of {model} in {number:d} domains")
def step_groups_in(context, model, number):
    free = [each for each in sorted(context.places) if each not in context.plans]
    for domain in free[:number]:
        _plan_group(context, domain, model)


@when("a domain without groups comes back whose engines hold {model}")
def step_comes_back(context, model):
    domain = next(d for d in sorted(context.places) if d not in context.plans)
    context.shape = assign_domain(
        domain, context.plans, context.places, context.models, (model,) * 8
    )


@then("it shall serve {model}")
def step_shall_serve(context, model):
    assert context.shape.model == model, context.shape
