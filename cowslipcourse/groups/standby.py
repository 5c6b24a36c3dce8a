"""Which groups hold the weights of another model on their hosts; pure decisions.

A group changes over to a model that is short within seconds if its hosts hold the
weights. So some groups hold those of each model that the loss of two domains would
leave short.
"""

import math
from collections import Counter
from typing import NamedTuple

from cowslipcourse.groups.balance import LEAST_RATIO, group_counts

__all__ = ["choose_standby"]

LOST_DOMAINS = 2
"""Domains that may be lost together without leaving a model short for a load's time."""


class _Candidate(NamedTuple):
    """Groups of a domain that could stand by together.

    :param domain: name of the domain.
    :param groups: tuple of :class:`~cowslipcourse.groups.PlannedGroup`
    :param held: members whose hosts hold the model already.
    """

    domain: str
    groups: tuple
    held: int


def choose_standby(plans, places, models, held):
    """Return the model that the hosts of some groups shall hold, by group name.

    :param plans: :class:`~cowslipcourse.groups.DomainPlan` by domain.
    :param places: data centre by domain.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param held: see :func:`~cowslipcourse.groups.choose_reassignments`.
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
        candidates = _candidates(standby, plans, models, model, held)
        if not candidates:
            return
        best = min(
            candidates,
            key=lambda candidate: (
                -candidate.held,
                near[places.get(candidate.domain)],
                candidate.domain,
                candidate.groups[0].name,
            ),
        )
        standby.update((group.name, model.name) for group in best.groups)
        near[places.get(best.domain)] += 1
        wanted -= sum(len(group.members) for group in best.groups) // model.size


def _candidates(standby, plans, models, model, held):
    """Return a :class:`_Candidate` for each group that could stand by.

    One that is smaller than those of the model needs others of its domain beside it.
    """
    sizes = {each.name: each.size for each in models}
    candidates = []
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
                hosts = held(group, domain, model.name)
                candidates.append(_Candidate(domain, groups, hosts))
    return candidates
