"""Steps for the assignment of domains to models and for engines of retired groups."""

from behave import given, then, when

from cowslipcourse.group_plans import (
    MIXED_ASSIGNMENT,
    DomainPlan,
    ObservedDomain,
    PlannedGroup,
    assign_domain,
)
from cowslipcourse.group_plans.plan_inputs import is_free
from cowslipcourse.ports import EngineReport, GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import EngineModel

DATA_CENTRES = ("north", "south", "west")
STALL_S = 4.0


@given("{number:d} domains in each of 3 data centres")
@given("{number:d} domain in each of 3 data centres")
def step_domains(context, number):
    context.data_centres = {
        f"{data_centre}-{index}": data_centre
        for index in range(number)
        for data_centre in DATA_CENTRES
    }
    context.plans = {}


@given(
    "the models large with {large_share:f} of the work and small with {small_share:f}"
)
def step_models(context, large_share, small_share):
    context.models = (
        EngineModel("large", 4, large_share, 1.0, 16.0, 1.6),
        EngineModel("small", 2, small_share, 0.6, 12.0, 1.1),
    )


@given("a group of {model} in the domain {domain}")
def step_group(context, model, domain):
    _plan_group(context, domain, model)


def _plan_group(context, domain, model):
    group = PlannedGroup(f"{domain}-1", model, 1, ("e1", "e2"))
    context.plans[domain] = DomainPlan(domain, 1, (group,))


@when("the domains are assigned one after the other")
def step_assign_sequentially(context):
    context.assignments = {}
    for domain in context.data_centres:
        assignment = assign_domain(
            domain, context.plans, context.data_centres, context.models
        )
        context.assignments[domain] = assignment
        if assignment.model is not None:
            _plan_group(context, domain, assignment.model)


@when("each domain is assigned while no other is assigned yet")
def step_assign_concurrently(context):
    context.concurrent_models = {
        domain: assign_domain(domain, {}, context.data_centres, context.models).model
        for domain in context.data_centres
    }


@then("the domains have the models that they get one after the other")
def step_match_sequential(context):
    for domain in sorted(context.data_centres):
        assignment = assign_domain(
            domain, context.plans, context.data_centres, context.models
        )
        _plan_group(context, domain, assignment.model)
        assert assignment.model == context.concurrent_models[domain], (
            domain,
            context.concurrent_models,
        )


def _domains_of(context, model):
    return [
        domain
        for domain, assignment in context.assignments.items()
        if assignment.model == model
    ]


@then("{large:d} domains serve large alone and {small:d} serve small alone")
def step_domain_counts(context, large, small):
    domain_counts = [len(_domains_of(context, model)) for model in ("large", "small")]
    assert domain_counts == [large, small], context.assignments


@then("the domains of small are in {number:d} data centres")
def step_data_centres(context, number):
    data_centres = {
        context.data_centres[domain] for domain in _domains_of(context, "small")
    }
    assert len(data_centres) == number, context.assignments


@then("every domain serves any model and keeps 2 spares")
def step_all_mixed(context):
    assert set(context.assignments.values()) == {MIXED_ASSIGNMENT}
    assert MIXED_ASSIGNMENT.spare_count == 2


@then("{domain} serves {model} alone")
def step_serves(context, domain, model):
    assert context.assignments[domain].model == model


@given("a retired group on a b c d whose head a is lost")
def step_retired_group(context):
    members = ("a", "b", "c", "d")
    group = PlannedGroup("g1", "large", 3, members, is_retired=True)
    context.plan = DomainPlan("north", 3, (group,))
    context.observed = ObservedDomain()
    for rank, member in enumerate(members):
        membership = GroupMembership("g1", 3, rank, GroupState.READY, "large")
        entry = TargetEntry(
            member, "llm", "a:1", "north", 13, domain="north", membership=membership
        )
        context.observed.update_from_entry(entry)
    context.observed.engines["a"].mark_silent(10.0)


def _report_ungrouped(context, members):
    for member in members:
        for requested_at in (10.0, 14.6):
            context.observed.engines[member].update_from_report(
                EngineReport(2, None, ()), requested_at
            )


@when("b, c and d have reported no group for 4.6 s")
def step_survivors_ungrouped(context):
    _report_ungrouped(context, "bcd")


@when("b and c have reported no group for 4.6 s, and d has not left")
def step_two_ungrouped(context):
    _report_ungrouped(context, "bc")


def _free_ids(context):
    engines = context.observed.engines.values()
    free_ids = [
        e.id for e in engines if is_free(context.plan, context.observed, e, STALL_S)
    ]
    return "".join(free_ids)


@then("b, c and d are free, and a does not delay the group's end")
def step_all_free(context):
    assert _free_ids(context) == "abcd"


@then("b and c are free and d is not")
def step_two_free(context):
    assert _free_ids(context) == "abc"


@given("groups of {model} in {number:d} domains")
def step_groups_in(context, model, number):
    unplanned = [d for d in sorted(context.data_centres) if d not in context.plans]
    for domain in unplanned[:number]:
        _plan_group(context, domain, model)


@when("a domain without groups returns whose hosts store {model}")
def step_domain_returns(context, model):
    domain = next(d for d in sorted(context.data_centres) if d not in context.plans)
    context.assignment = assign_domain(
        domain, context.plans, context.data_centres, context.models, (model,) * 8
    )


@then("it is assigned to {model}")
def step_assigned_to(context, model):
    assert context.assignment.model == model, context.assignment
