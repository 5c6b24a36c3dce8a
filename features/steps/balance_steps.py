"""Steps over the balance of groups among models."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator import run_paused
from cowslipcourse.entry.balancing import GroupBalancer
from cowslipcourse.entry.domains import DomainTracker
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.groups import (
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
    context.plans, context.places = {}, {}
    context.held, context.lacking = {}, set()


def _domain(context, model, number, groups):
    domain = f"{model.name}-{number}"
    context.places[domain] = DATA_CENTRES[number % len(DATA_CENTRES)]
    planned = tuple(
        PlannedGroup(
            f"{domain}-g{each}",
            model.name,
            1,
            tuple(f"{domain}-{each}-{rank}" for rank in range(model.size)),
        )
        for each in range(groups)
    )
    context.plans[domain] = DomainPlan(domain, 1, planned)


@given(
    "{large:d} domains of {large_groups:d} groups of large and {small:d} domains of "
    "{small_groups:d} groups of small"
)
def step_domains(context, large, large_groups, small, small_groups):
    for number in range(1, large + 1):
        _domain(context, context.models[0], number, large_groups)
    for number in range(1, small + 1):
        _domain(context, context.models[1], number, small_groups)


def _lose(context, names):
    """Retire the groups of domains, as their coordinators do."""
    for name in names:
        plan = context.plans[name]
        retired = tuple(group._replace(is_retired=True) for group in plan.groups)
        context.plans[name] = plan._replace(groups=retired)


@when("one domain of small is lost")
def step_lose_one(context):
    _lose(context, ["small-1"])


@when("both domains of small are lost")
def step_lose_small(context):
    _lose(context, ["small-1", "small-2"])


@when("all domains of large are lost")
def step_lose_large(context):
    _lose(context, [name for name in context.plans if name.startswith("large")])


def _group(context, which, domain):
    return context.plans[domain].groups[ORDINALS[which]].name


@given("the hosts of the {which} group of {domain} hold small")
@when("the hosts of the {which} group of {domain} hold small")
def step_hold(context, which, domain):
    context.held[_group(context, which, domain)] = "small"


@when("the {which} group of {domain} lacks a member")
def step_lacks(context, which, domain):
    context.lacking.add(_group(context, which, domain))


def _held(context):
    def held(group, domain, model):
        return len(group.members) * (context.held.get(group.name) == model)

    return held


def _changes(context):
    return choose_reassignments(
        context.plans,
        context.models,
        lambda group, domain: group.name not in context.lacking,
        _held(context),
    )


def _begin(context, changes):
    for change in changes:
        plan = context.plans[change.domain]
        groups = tuple(
            group._replace(is_retired=True, successor=change.model)
            if group.name in change.groups
            else group
            for group in plan.groups
        )
        context.plans[change.domain] = plan._replace(groups=groups)


@when("the first of these changes has begun")
def step_begin_first(context):
    _begin(context, _changes(context)[:1])


@when("the rest of these changes have begun")
def step_begin_rest(context):
    _begin(context, _changes(context))


@then("no group is to change over")
def step_none(context):
    assert _changes(context) == [], _changes(context)


@then("{number:d} groups of large are to change over to small, in {domains:d} domains")
def step_number(context, number, domains):
    changes = _changes(context)
    assert {change.model for change in changes} == {"small"}, changes
    assert sum(len(change.groups) for change in changes) == number, changes
    assert len({change.domain for change in changes}) == domains, changes


@then("the first to change over is the {which} group of {domain}, which is warm")
def step_first(context, which, domain):
    first = _changes(context)[0]
    assert first.groups == (_group(context, which, domain),), first
    assert first.is_warm, first


@then("the others are not warm")
def step_others(context):
    assert not any(change.is_warm for change in _changes(context)[1:])


@then("the {which} group of {domain} is not among those to change over")
def step_not_among(context, which, domain):
    name = _group(context, which, domain)
    assert all(name not in change.groups for change in _changes(context))


@then("2 groups of one domain are to change over to large together")
def step_together(context):
    first = _changes(context)[0]
    assert first.model == "large" and len(first.groups) == 2, first


def _standby(context):
    return choose_standby(context.plans, context.places, context.models, _held(context))


@then(
    "hosts of {number:d} groups of large are to hold small, in {places:d} data centres"
)
def step_standby(context, number, places):
    chosen = _standby(context)
    names = [name for name, model in chosen.items() if model == "small"]
    assert len(names) == number, chosen
    found = {context.places[name.rsplit("-", 1)[0]] for name in names}
    assert len(found) == places, chosen


@then("no host is to hold large")
def step_no_large(context):
    assert "large" not in _standby(context).values(), _standby(context)


@then("the {which} group of {domain} is among those that are to hold small")
def step_among(context, which, domain):
    name = _group(context, which, domain)
    assert _standby(context).get(name) == "small", _standby(context)


class _Table:
    """Meets what :class:`GroupBalancer` uses of the plan table; always just read."""

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


def _members(plan):
    """Return the entries of all members of a plan's groups."""
    return [
        _entry(member, plan.domain, GroupMembership(g.name, 1, rank, GroupState.READY))
        for g in plan.groups
        for rank, member in enumerate(g.members)
    ]


@given("a coordinator of all domains")
def step_coordinator(context):
    context.spec = ServiceSpec("llm", models=context.models, slots=13)
    table = RouteTable(1, (), (context.spec,), CallerLimits(), {})
    context.tools = SimpleNamespace(table=table, fleet=FleetView())
    context.newcomers = ()


@when("{number:d} engines come to {domain}")
def step_come(context, number, domain):
    context.newcomers = tuple(_entry(f"new-{n}", domain) for n in range(number))


async def _chosen_after(context, seconds):
    domains = DomainTracker(context.tools)
    for plan in context.plans.values():
        domains.update_entries(_members(plan))
    await asyncio.sleep(10.0)
    domains.update_entries(context.newcomers)
    await asyncio.sleep(seconds)
    now = asyncio.get_running_loop().time()
    balancing = GroupBalancer(context.tools, domains, _Table(context.plans))
    await balancing.rebalance(context.spec, set(context.plans), now)
    return [
        c for domain in context.plans for c in balancing.changes_to_begin(domain, now)
    ]


@then("after {seconds:d} s it has chosen nothing")
def step_chosen_nothing(context, seconds):
    assert not run_paused(_chosen_after(context, seconds))


@then("after {seconds:d} s it has chosen changes to small")
def step_chosen(context, seconds):
    changes = run_paused(_chosen_after(context, seconds))
    assert {change.model for change in changes} == {"small"}, changes
