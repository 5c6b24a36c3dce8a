"""How the groups of all domains are balanced among the models; pure decisions.

A model whose domains are lost together has no group left, however many engines serve
the others. Groups of the model that has most for its share then change over to it, as
many as bring it back to half of its share. A change takes a few seconds if the hosts
of the group hold the weights already, and a load more if they do not; so some groups
elsewhere hold, on their hosts, the weights of each model that the loss of two domains
would leave short.
"""

import math
from collections import Counter
from typing import NamedTuple

__all__ = ["Change", "choose_changes", "choose_standby", "group_counts", "short_models"]

LEAST_RATIO = 0.5
"""Groups of a model, over the groups that its share of the work entitles it to, from
which it is not short: with half of them its requests still find room."""
ENOUGH_RATIO = 0.8
"""The same, up to which a model that was short is helped: requests that wait for its
first groups come on top of its usual load."""
LOST_DOMAINS = 2
"""Domains that may be lost together without leaving a model short for a load's time."""


class Change(NamedTuple):
    """Groups of a domain that give their engines to another model.

    :param domain: name of the domain.
    :param groups: names of the groups, in one domain.
    :param model: model that their engines shall serve.
    :param is_warm: whether the hosts of enough of them hold it.
    """

    domain: str
    groups: tuple[str, ...]
    model: str
    is_warm: bool


class _Donor(NamedTuple):
    """Groups that a domain could give.

    :param domain: name of the domain.
    :param groups: tuple of :class:`~cowslipcourse.groups.PlannedGroup`
    :param held: members whose hosts hold the model that is short.
    :param given: groups that the domain gives already.
    """

    domain: str
    groups: tuple
    held: int
    given: int


class _Trade(NamedTuple):
    """Groups of one model for those of another.

    :param giving: model whose groups are given.
    :param wanted: model that gains.
    :param number: groups that are given.
    :param gained: groups that are gained.
    """

    giving: str
    wanted: str
    number: int
    gained: int


def group_counts(plans, models):
    """Return the number of groups by model, those that are to come included.

    :param plans: iterable of :class:`~cowslipcourse.groups.DomainPlan`
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    """
    sizes = {model.name: model.size for model in models}
    counts = Counter(dict.fromkeys(sizes, 0))
    for plan in plans:
        coming = Counter()
        for group in plan.groups:
            if group.successor in sizes:
                coming[group.successor] += len(group.members)
            elif group.model in sizes and not group.is_retired:
                counts[group.model] += 1
        counts.update({model: n // sizes[model] for model, n in coming.items()})
    return counts


def _ratios(counts, models):
    """Return groups over those that its share entitles a model to, by model."""
    engines = sum(counts[model.name] * model.size for model in models)
    total = sum(model.share for model in models)
    return {
        m.name: counts[m.name] / max(m.share / total * engines / m.size, 1e-9)
        for m in models
        if m.share > 0
    }


def short_models(counts, models):
    """Return the names of the models that are short, the shortest first.

    :param counts: number of groups by model.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    """
    if not any(counts[model.name] for model in models):
        return []
    ratios = _ratios(counts, models)
    return sorted(
        (name for name, ratio in ratios.items() if ratio < LEAST_RATIO),
        key=lambda name: (ratios[name], name),
    )


def choose_changes(plans, models, is_whole, held):
    """Return the :class:`Change` list after which no model is short, if possible.

    Each change takes groups of the model that has most for its share. The outcome
    depends on nothing but the arguments, so coordinators that know the same choose
    the same and each makes the changes of its own domains.

    :param plans: :class:`~cowslipcourse.groups.DomainPlan` by domain.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param is_whole: callable that takes a group and its domain and tells whether all
        members live.
    :param held: callable that takes a group, its domain and a model, and returns the
        number of members whose hosts hold its weights.
    """
    models = tuple(models)
    counts = group_counts(plans.values(), models)
    urgent = {*short_models(counts, models), *_successors(plans)}
    chosen, taken = [], set()
    while lacking := _most_lacking(counts, models, urgent):
        change = _best_change(plans, models, counts, lacking, taken, is_whole, held)
        if change is None:
            break
        chosen.append(change)
        taken.update((change.domain, name) for name in change.groups)
    return chosen


def _successors(plans):
    """Return the models to which groups change over already."""
    return {g.successor for plan in plans.values() for g in plan.groups if g.successor}


def _most_lacking(counts, models, helped):
    """Return the model among some that lacks most, ``None`` if all have enough."""
    if not any(counts[model.name] for model in models):
        return None
    ratios = _ratios(counts, models)
    lacking = [n for n in helped if n in ratios and ratios[n] < ENOUGH_RATIO]
    return min(lacking, key=lambda name: (ratios[name], name), default=None)


def _best_change(plans, models, counts, short, taken, is_whole, held):
    """Return one :class:`Change` and count it, or ``None`` if none helps."""
    wanted = next(model for model in models if model.name == short)
    ratios = _ratios(counts, models)
    for giving in sorted(models, key=lambda m: (-ratios.get(m.name, 0.0), m.name)):
        trade = _trade(giving, wanted)
        if not _helps(trade, counts, models):
            continue
        donors = _donors(plans, trade, taken, is_whole, held)
        if donors:
            counts.update({giving.name: -trade.number, short: trade.gained})
            best = min(donors, key=lambda d: (-d.held, d.given, d.domain))
            is_warm = best.held >= trade.gained * wanted.size
            groups = tuple(group.name for group in best.groups)
            return Change(best.domain, groups, short, is_warm)
    return None


def _trade(giving, wanted):
    number = math.ceil(wanted.size / giving.size)
    gained = number * giving.size // wanted.size
    return _Trade(giving.name, wanted.name, number, gained)


def _helps(trade, counts, models):
    """Whether the model that is short is better off, and the other one no worse."""
    before = _ratios(counts, models)
    if trade.giving == trade.wanted or trade.giving not in before:
        return False
    after = counts.copy()
    after[trade.giving] -= trade.number
    after[trade.wanted] += trade.gained
    ratios = _ratios(after, models)
    least = min(ratios[trade.giving], ratios[trade.wanted])
    return after[trade.giving] >= 0 and least > before[trade.wanted]


def _donors(plans, trade, taken, is_whole, held):
    """Return the :class:`_Donor` of each domain that has groups to give."""
    donors = []
    for domain, plan in plans.items():
        groups = [
            group
            for group in plan.groups
            if group.model == trade.giving
            and not group.is_retired
            and (domain, group.name) not in taken
            and is_whole(group, domain)
        ]
        groups.sort(key=lambda group: (-held(group, domain, trade.wanted), group.name))
        if len(groups) >= trade.number:
            best = tuple(groups[: trade.number])
            hosts = sum(held(group, domain, trade.wanted) for group in best)
            given = sum(bool(group.successor) for group in plan.groups)
            given += sum(each == domain for each, _ in taken)
            donors.append(_Donor(domain, best, hosts, given))
    return donors


def choose_standby(plans, places, models, held):
    """Return the model that the hosts of some groups shall hold, by group name.

    :param plans: :class:`~cowslipcourse.groups.DomainPlan` by domain.
    :param places: data centre by domain.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param held: see :func:`choose_changes`.
    """
    models = tuple(models)
    standby = {}
    for model in sorted(models, key=lambda model: model.name):
        lost = _largest_domains(plans, model.name)
        left = {domain: plan for domain, plan in plans.items() if domain not in lost}
        counts = group_counts(left.values(), models)
        number = counts[model.name]
        if not any(counts.values()) or not _is_short(number, counts, model, models):
            continue
        wanted = math.ceil(_entitled(counts, model, models) * LEAST_RATIO)
        _stand_by(standby, left, places, models, model, wanted - number, held)
    return standby


def _largest_domains(plans, model):
    """Return the names of the domains whose loss costs a model most."""
    numbers = {
        domain: sum(g.model == model and not g.is_retired for g in plan.groups)
        for domain, plan in plans.items()
    }
    ranked = sorted(numbers, key=lambda domain: (-numbers[domain], domain))
    return {domain for domain in ranked[:LOST_DOMAINS] if numbers[domain]}


def _entitled(counts, model, models):
    """Return the number of groups that a model's share entitles it to."""
    engines = sum(counts[each.name] * each.size for each in models)
    return model.share / sum(each.share for each in models) * engines / model.size


def _is_short(number, counts, model, models):
    return number < LEAST_RATIO * _entitled(counts, model, models)


def _stand_by(standby, plans, places, models, model, wanted, held):
    """Let groups of other models stand by for some more groups of a model.

    Those whose hosts hold it go first, then those of data centres with fewest, so that
    what stands by is not lost together.
    """
    near = Counter()
    while wanted > 0:
        donors = _standby_donors(standby, plans, models, model, held)
        if not donors:
            return
        best = min(
            donors,
            key=lambda donor: (
                -donor.held,
                near[places.get(donor.domain)],
                donor.domain,
                donor.groups[0].name,
            ),
        )
        standby.update((group.name, model.name) for group in best.groups)
        near[places.get(best.domain)] += 1
        wanted -= sum(len(group.members) for group in best.groups) // model.size


def _standby_donors(standby, plans, models, model, held):
    """Return a :class:`_Donor` for each group that could stand by, with those beside.

    A group that is smaller than those of the model needs others of its domain.
    """
    sizes = {each.name: each.size for each in models}
    donors = []
    for domain, plan in plans.items():
        free = [
            group
            for group in plan.groups
            if group.model in sizes
            and group.model != model.name
            and not group.is_retired
            and group.name not in standby
        ]
        for group in free:
            number = math.ceil(model.size / sizes[group.model])
            beside = [g for g in free if g.model == group.model and g is not group]
            if len(beside) >= number - 1:
                groups = (group, *beside[: number - 1])
                donors.append(
                    _Donor(domain, groups, held(group, domain, model.name), 0)
                )
    return donors
