"""How the groups of all domains are balanced among the models; pure decisions.

A model whose domains are lost together has no group left, however many engines serve
the others. Groups of the model that has most for its share then change over to it, as
many as bring it back to half of its share. A change takes a few seconds if the hosts
of the group hold the weights already, and a load more if they do not.
"""

import math
from collections import Counter
from typing import NamedTuple

__all__ = [
    "LEAST_RATIO",
    "Reassignment",
    "choose_reassignments",
    "group_counts",
    "underprovisioned_models",
]

LEAST_RATIO = 0.5
"""Groups of a model, over the groups that its share of the work entitles it to, from
which it is not short: with half of them its requests still find room."""
ENOUGH_RATIO = 0.8
"""The same, up to which a model that was short is helped: requests that wait for its
first groups come on top of its usual load."""


class Reassignment(NamedTuple):
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


def underprovisioned_models(counts, models):
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


def choose_reassignments(plans, models, is_whole, held):
    """Return the :class:`Reassignment` list after which no model is short, if possible.

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
    urgent = {*underprovisioned_models(counts, models), *_successors(plans)}
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
    """Return one :class:`Reassignment` and count it, or ``None`` if none helps."""
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
            return Reassignment(best.domain, groups, short, is_warm)
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
