"""Steps for the balance of groups among models."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator import run_in_virtual_time
from cowslipcourse.entry.domains import DomainTracker
from cowslipcourse.entry.engine_reassignment import GroupBalancer
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.group_plans import (
    DomainPlan,
    PlannedGroup,
    choose_reassignments,
    choose_standby,
)
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import CallerLimits, EngineModel, RouteTable, ServiceSpec

DATA_CENTRES = ("north", "south", "west")
ORDINALS = {"first": 0, "second": 1}


@given(
    "models large of {large:d} engines with {large_share:f} of the work and small of "
    "{small:d} with {small_share:f}"
)
def step_models(context, large, large_share, small, small_share):
    context.models = (
        EngineModel("large", large, large_share, 1.0, 16.0, 1.6),
        EngineModel("small", small, small_share, 0.6, 12.0, 1.1),
    )
    context.plans, context.data_centres = {}, {}
    context.stored_models, context.incomplete_groups = {}, set()


def _add_domain(context, model, number, group_count):
    domain = f"{model.name}-{number}"
    context.data_centres[domain] = DATA_CENTRES[number % len(DATA_CENTRES)]
    planned = tuple(
        PlannedGroup(
            f"{domain}-g{index}",
            model.name,
            1,
            tuple(f"{domain}-{index}-{rank}" for rank in range(model.size)),
        )
        for index in range(group_count)
    )
    context.plans[domain] = DomainPlan(domain, 1, planned)


@given(
    "{large:d} domains of {large_groups:d} groups of large and {small:d} domains of "
    "{small_groups:d} groups of small"
)
def step_domains(context, large, large_groups, small, small_groups):
    for number in range(1, large + 1):
        _add_domain(context, context.models[0], number, large_groups)
    for number in range(1, small + 1):
        _add_domain(context, context.models[1], number, small_groups)


def _lose_domains(context, domains):
    """Retire the groups of domains, as their coordinators do."""
    for name in domains:
        plan = context.plans[name]
        retired = tuple(group._replace(is_retired=True) for group in plan.groups)
        context.plans[name] = plan._replace(groups=retired)


@when("one domain of small is lost")
def step_lose_domain_of_small(context):
    _lose_domains(context, ["small-1"])


@when("both domains of small are lost")
def step_lose_domains_of_small(context):
    _lose_domains(context, ["small-1", "small-2"])


@when("all domains of large are lost")
def step_lose_domains_of_large(context):
    _lose_domains(context, [name for name in context.plans if name.startswith("large")])


def _group_name(context, which, domain):
    return context.plans[domain].groups[ORDINALS[which]].name


@given("the hosts of the {which} group of {domain} store small")
@when("the hosts of the {which} group of {domain} store small")
def step_hosts_store(context, which, domain):
    context.stored_models[_group_name(context, which, domain)] = "small"


@when("the {which} group of {domain} lacks a member")
def step_lacks_member(context, which, domain):
    context.incomplete_groups.add(_group_name(context, which, domain))


def _warm_member_counter(context):
    def count_warm_members(group, domain, model):
        return len(group.members) * (context.stored_models.get(group.name) == model)

    return count_warm_members


def _reassignments(context):
    return choose_reassignments(
        context.plans,
        context.models,
        lambda group, domain: group.name not in context.incomplete_groups,
        _warm_member_counter(context),
    )


def _begin_reassignments(context, reassignments):
    for reassignment in reassignments:
        plan = context.plans[reassignment.domain]
        groups = tuple(
            group._replace(is_retired=True, successor=reassignment.model)
            if group.name in reassignment.groups
            else group
            for group in plan.groups
        )
        context.plans[reassignment.domain] = plan._replace(groups=groups)


@when("the first of these reassignments has begun")
def step_begin_first(context):
    _begin_reassignments(context, _reassignments(context)[:1])


@when("the rest of these reassignments have begun")
def step_begin_rest(context):
    _begin_reassignments(context, _reassignments(context))


@then("no group is to be reassigned")
def step_no_reassignment(context):
    assert _reassignments(context) == [], _reassignments(context)


@then(
    "{number:d} groups of large are to be reassigned to small, in {domains:d} domains"
)
def step_reassignment_count(context, number, domains):
    reassignments = _reassignments(context)
    assert {reassignment.model for reassignment in reassignments} == {"small"}, (
        reassignments
    )
    assert sum(len(reassignment.groups) for reassignment in reassignments) == number, (
        reassignments
    )
    assert len({reassignment.domain for reassignment in reassignments}) == domains, (
        reassignments
    )


@then("the first to be reassigned is the {which} group of {domain}, which is warm")
def step_first_reassigned(context, which, domain):
    first = _reassignments(context)[0]
    assert first.groups == (_group_name(context, which, domain),), first
    assert first.is_warm, first


@then("the others are not warm")
def step_others_cold(context):
    assert not any(reassignment.is_warm for reassignment in _reassignments(context)[1:])


@then("the {which} group of {domain} is not among those to be reassigned")
def step_not_reassigned(context, which, domain):
    name = _group_name(context, which, domain)
    assert all(
        name not in reassignment.groups for reassignment in _reassignments(context)
    )


@then("2 groups of one domain are to be reassigned to large together")
def step_reassigned_together(context):
    first = _reassignments(context)[0]
    assert first.model == "large" and len(first.groups) == 2, first


def _standby_models(context):
    return choose_standby(
        context.plans,
        context.data_centres,
        context.models,
        _warm_member_counter(context),
    )


@then(
    "hosts of {number:d} groups of large are to store small, in {data_centres:d} data "
    "centres"
)
def step_standby_groups(context, number, data_centres):
    chosen = _standby_models(context)
    groups = [name for name, model in chosen.items() if model == "small"]
    assert len(groups) == number, chosen
    chosen_data_centres = {
        context.data_centres[name.rsplit("-", 1)[0]] for name in groups
    }
    assert len(chosen_data_centres) == data_centres, chosen


@then("no host is to store large")
def step_no_large(context):
    assert "large" not in _standby_models(context).values(), _standby_models(context)


@then("the {which} group of {domain} is among those that are to store small")
def step_group_on_standby(context, which, domain):
    name = _group_name(context, which, domain)
    assert _standby_models(context).get(name) == "small", _standby_models(context)


class _FreshPlanTable:
    """The part of a plan table that :class:`GroupBalancer` uses, always up to date."""

    def __init__(self, plans):
        self.plans = plans

    def plan(self, domain):
        return self.plans[domain]

    def is_readable(self, domain):
        return True

    def age_s(self, now):
        return 0.0


def _entry(engine, domain, membership=None):
    return TargetEntry(
        engine, "llm", f"{engine}:1", "n", 13, domain=domain, membership=membership
    )


def _member_entries(plan):
    """Return the list entries of all members of a plan's groups."""
    return [
        _entry(
            member, plan.domain, GroupMembership(group.name, 1, rank, GroupState.READY)
        )
        for group in plan.groups
        for rank, member in enumerate(group.members)
    ]


@given("a coordinator of all domains")
def step_coordinator(context):
    context.spec = ServiceSpec("llm", models=context.models, slots=13)
    route_table = RouteTable(1, (), (context.spec,), CallerLimits())
    context.coordinator_context = SimpleNamespace(table=route_table, fleet=FleetView())
    context.added_entries = ()


@when("{number:d} engines are added to {domain}")
def step_add_engines(context, number, domain):
    context.added_entries = tuple(_entry(f"new-{n}", domain) for n in range(number))


async def _reassignments_after(context, seconds):
    domains = DomainTracker(context.coordinator_context)
    for plan in context.plans.values():
        domains.update_entries(_member_entries(plan))
    await asyncio.sleep(10.0)
    domains.update_entries(context.added_entries)
    await asyncio.sleep(seconds)
    now = asyncio.get_running_loop().time()
    balancer = GroupBalancer(
        context.coordinator_context, domains, _FreshPlanTable(context.plans)
    )
    await balancer.rebalance(context.spec, set(context.plans), now)
    return [
        reassignment
        for domain in context.plans
        for reassignment in balancer.changes_to_begin(domain, now)
    ]


@then("after {seconds:d} s it has chosen no reassignment")
def step_no_reassignment_after(context, seconds):
    assert not run_in_virtual_time(_reassignments_after(context, seconds))


@then("after {seconds:d} s it has chosen reassignments to small")
def step_reassignments_after(context, seconds):
    reassignments = run_in_virtual_time(_reassignments_after(context, seconds))
    assert {reassignment.model for reassignment in reassignments} == {"small"}, (
        reassignments
    )
