"""Chooses groups whose hosts store a second model's weights; pure decisions.

A group is reassigned to an underprovisioned model within seconds if its hosts already
store the weights. Enough groups therefore store those of each model that the loss of
two domains would leave underprovisioned.
"""

import math
from collections import Counter
from typing import NamedTuple

from cowslipcourse.group_plans.balance import UNDERPROVISIONED_RATIO, group_counts

__all__ = ["choose_standby"]

TOLERATED_DOMAIN_LOSSES = 2
"""Domains that may be lost together without leaving a model underprovisioned for the
duration of a load."""


class _Candidate(NamedTuple):
    """Groups of a domain that could stand by for a model together.

    :param domain: name of the domain.
    :param groups: tuple of :class:`~cowslipcourse.group_plans.PlannedGroup`
    :param warm_count: members whose hosts already store the model.
    """

    domain: str
    groups: tuple
    warm_count: int


def choose_standby(plans, data_centres, models, count_warm_members, least_fraction=0.0):
    """Return the model whose weights hosts shall store, by group name.

    :param plans: :class:`~cowslipcourse.group_plans.DomainPlan` by domain.
    :param data_centres: data centre by domain.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param count_warm_members: see
        :func:`~cowslipcourse.group_plans.choose_reassignments`.
    :param least_fraction: fraction of the engines of the other models that shall store
        each model in any case.
    """
    models = tuple(models)
    standby = {}
    for model in sorted(models, key=lambda model: model.name):
        lost_domains = _largest_domains(plans, model.name)
        remaining_plans = {
            domain: plan for domain, plan in plans.items() if domain not in lost_domains
        }
        missing = max(
            _missing_groups(remaining_plans, model, models),
            _least_standby_groups(plans, model, models, least_fraction),
        )
        _assign_standby(
            standby,
            remaining_plans,
            data_centres,
            models,
            model,
            missing,
            count_warm_members,
        )
    return standby


def _missing_groups(plans, model, models):
    """Return the groups that a model would lack if it had only those of some plans."""
    counts = group_counts(plans.values(), models)
    group_count = counts[model.name]
    if not any(counts.values()) or not _is_underprovisioned(
        group_count, counts, model, models
    ):
        return 0
    entitled = _entitled_groups(counts, model, models)
    return math.ceil(entitled * UNDERPROVISIONED_RATIO) - group_count


def _least_standby_groups(plans, model, models, least_fraction):
    counts = group_counts(plans.values(), models)
    engines = sum(counts[m.name] * m.size for m in models if m.name != model.name)
    return int(least_fraction * engines) // model.size


def _largest_domains(plans, model):
    """Return the names of the domains whose loss costs a model most groups."""
    group_counts_by_domain = {
        domain: sum(g.model == model and not g.is_retired for g in plan.groups)
        for domain, plan in plans.items()
    }
    ranked = sorted(
        group_counts_by_domain,
        key=lambda domain: (-group_counts_by_domain[domain], domain),
    )
    return {
        domain
        for domain in ranked[:TOLERATED_DOMAIN_LOSSES]
        if group_counts_by_domain[domain]
    }


def _entitled_groups(counts, model, models):
    """Return the number of groups that a model's share entitles it to."""
    engines = sum(counts[other.name] * other.size for other in models)
    return model.share / sum(other.share for other in models) * engines / model.size


def _is_underprovisioned(group_count, counts, model, models):
    return group_count < UNDERPROVISIONED_RATIO * _entitled_groups(
        counts, model, models
    )


def _assign_standby(
    standby, plans, data_centres, models, model, missing, count_warm_members
):
    """Assign groups of other models as standby for a model's missing groups.

    Groups whose hosts already store it come first, then those of the data centres
    with the fewest standby groups, so that standby groups are not lost together.
    """
    standby_counts = Counter()
    while missing > 0:
        candidates = _candidates(standby, plans, models, model, count_warm_members)
        if not candidates:
            return
        best = min(
            candidates,
            key=lambda candidate: (
                -candidate.warm_count,
                standby_counts[data_centres.get(candidate.domain)],
                candidate.domain,
                candidate.groups[0].name,
            ),
        )
        standby.update((group.name, model.name) for group in best.groups)
        standby_counts[data_centres.get(best.domain)] += 1
        missing -= sum(len(group.members) for group in best.groups) // model.size


def _candidates(standby, plans, models, model, count_warm_members):
    """Return a :class:`_Candidate` for each group that could stand by.

    A group that is smaller than the model's needs companions of its domain.
    """
    sizes = {other.name: other.size for other in models}
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
            group_count = math.ceil(model.size / sizes[group.model])
            companions = [g for g in free if g.model == group.model and g is not group]
            if len(companions) >= group_count - 1:
                groups = (group, *companions[: group_count - 1])
                warm_count = count_warm_members(group, domain, model.name)
                candidates.append(_Candidate(domain, groups, warm_count))
    return candidates
