"""Balances the groups of all domains among the models; pure decisions.

A model whose domains are lost together has no group left, however many engines serve
the others. Groups of the most overprovisioned model are then reassigned to it, as many
as bring it back to half of its share. A reassignment takes a few seconds if the hosts
of the group already store the weights; otherwise it takes a load in addition.
"""

import math
from collections import Counter
from typing import NamedTuple

__all__ = [
    "AGREED_THRESHOLDS",
    "DECLARED_THRESHOLDS",
    "MIN_DONOR_DOMAINS",
    "UNDERPROVISIONED_RATIO",
    "BalanceThresholds",
    "Reassignment",
    "choose_reassignments",
    "group_counts",
    "underprovisioned_models",
]

UNDERPROVISIONED_RATIO = 0.5
"""Ratio of a model's groups to its entitlement by share of the work, below which the
model is underprovisioned: with half of them its requests still find capacity."""
SUFFICIENT_RATIO = 0.8
"""Ratio up to which an underprovisioned model gains groups: requests that queue for its
first groups come on top of its usual load."""
AGREED_UNDERPROVISIONED_RATIO = 0.9
"""Ratio below which a model gains groups if its share follows observed work: that share
was changed only because a whole group or more is to move."""
AGREED_SUFFICIENT_RATIO = 1.0
"""Ratio up to which it then gains groups."""
MIN_DONOR_DOMAINS = 3
"""Domains in which a model keeps groups when others gain by observed work: some survive
the loss of any two."""


class BalanceThresholds(NamedTuple):
    """Ratios of a model's groups to its entitlement that start and end an exchange.

    :param underprovisioned: ratio below which a model gains groups.
    :param sufficient: ratio up to which it gains them.
    :param donor: least ratio that a donor keeps.
    :param donor_domains: domains in which a donor keeps groups if it has so many.
    """

    underprovisioned: float
    sufficient: float
    donor: float
    donor_domains: int


DECLARED_THRESHOLDS = BalanceThresholds(
    UNDERPROVISIONED_RATIO, SUFFICIENT_RATIO, 0.0, 0
)
AGREED_THRESHOLDS = BalanceThresholds(
    AGREED_UNDERPROVISIONED_RATIO,
    AGREED_SUFFICIENT_RATIO,
    AGREED_UNDERPROVISIONED_RATIO,
    MIN_DONOR_DOMAINS,
)


class Reassignment(NamedTuple):
    """Groups of a domain whose engines are reassigned to another model.

    :param domain: name of the domain.
    :param groups: names of the groups, in one domain.
    :param model: model that their engines shall serve.
    :param is_warm: whether enough of their hosts store its weights.
    """

    domain: str
    groups: tuple[str, ...]
    model: str
    is_warm: bool


class _Donor(NamedTuple):
    """Groups that a domain could donate.

    :param domain: name of the domain.
    :param groups: tuple of :class:`~cowslipcourse.group_plans.PlannedGroup`
    :param warm_count: members whose hosts store the recipient's weights.
    :param reassigned_count: groups of the domain that are already reassigned.
    """

    domain: str
    groups: tuple
    warm_count: int
    reassigned_count: int


class _Exchange(NamedTuple):
    """An exchange of groups between two models.

    :param donor: model that loses groups.
    :param recipient: model that gains.
    :param donated_groups: number of groups of the donor.
    :param gained_groups: number of groups that the recipient gains.
    """

    donor: str
    recipient: str
    donated_groups: int
    gained_groups: int


def group_counts(plans, models):
    """Return the number of groups by model, including pending successors.

    :param plans: iterable of :class:`~cowslipcourse.group_plans.DomainPlan`
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    """
    sizes = {model.name: model.size for model in models}
    counts = Counter(dict.fromkeys(sizes, 0))
    for plan in plans:
        incoming_engines = Counter()
        for group in plan.groups:
            if group.successor in sizes:
                incoming_engines[group.successor] += len(group.members)
            elif group.model in sizes and not group.is_retired:
                counts[group.model] += 1
        counts.update(
            {model: n // sizes[model] for model, n in incoming_engines.items()}
        )
    return counts


def _provisioning_ratios(counts, models):
    """Return the ratio of actual to entitled groups by model."""
    engines = sum(counts[model.name] * model.size for model in models)
    total = sum(model.share for model in models)
    return {
        m.name: counts[m.name] / max(m.share / total * engines / m.size, 1e-9)
        for m in models
        if m.share > 0
    }


def underprovisioned_models(counts, models, thresholds=DECLARED_THRESHOLDS):
    """Return the names of underprovisioned models, lowest ratio first.

    :param counts: number of groups by model.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param thresholds: :class:`BalanceThresholds`
    """
    if not any(counts[model.name] for model in models):
        return []
    ratios = _provisioning_ratios(counts, models)
    return sorted(
        (name for name in ratios if ratios[name] < thresholds.underprovisioned),
        key=lambda name: (ratios[name], name),
    )


def choose_reassignments(
    plans, models, is_complete, count_warm_members, thresholds=DECLARED_THRESHOLDS
):
    """Return :class:`Reassignment` objects that leave no model underprovisioned.

    Each takes groups of the model with the highest ratio; the list is incomplete if
    no donor is left. The result depends only on the arguments, so coordinators with
    the same view choose the same list, and each carries out that of its own domains.

    :param plans: :class:`~cowslipcourse.group_plans.DomainPlan` by domain.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
    :param is_complete: predicate of a group and its domain: whether all members
        are live.
    :param count_warm_members: function of a group, its domain and a model that returns
        the number of members whose hosts store the model's weights.
    :param thresholds: :class:`BalanceThresholds`
    """
    models = tuple(models)
    counts = group_counts(plans.values(), models)
    eligible = {
        *underprovisioned_models(counts, models, thresholds),
        *_pending_successors(plans),
    }
    chosen, reassigned = [], set()
    while recipient := _most_underprovisioned(counts, models, eligible, thresholds):
        reassignment = _best_reassignment(
            plans,
            models,
            counts,
            recipient,
            reassigned,
            is_complete,
            count_warm_members,
            thresholds,
        )
        if reassignment is None:
            break
        chosen.append(reassignment)
        reassigned.update((reassignment.domain, name) for name in reassignment.groups)
    return chosen


def _pending_successors(plans):
    """Return the models to which groups are already being reassigned."""
    return {g.successor for plan in plans.values() for g in plan.groups if g.successor}


def _most_underprovisioned(counts, models, eligible, thresholds):
    """Return the eligible model with the lowest ratio; ``None`` if all suffice."""
    if not any(counts[model.name] for model in models):
        return None
    ratios = _provisioning_ratios(counts, models)
    sufficient = thresholds.sufficient
    candidates = [n for n in eligible if n in ratios and ratios[n] < sufficient]
    return min(candidates, key=lambda name: (ratios[name], name), default=None)


def _best_reassignment(
    plans,
    models,
    counts,
    recipient_name,
    reassigned,
    is_complete,
    count_warm_members,
    thresholds,
):
    """Return the best :class:`Reassignment`, or ``None``; updates ``counts``."""
    recipient = next(model for model in models if model.name == recipient_name)
    ratios = _provisioning_ratios(counts, models)
    for donor in sorted(models, key=lambda m: (-ratios.get(m.name, 0.0), m.name)):
        exchange = _exchange(donor, recipient)
        if not _is_improvement(exchange, counts, models, thresholds):
            continue
        donors = _donors(plans, exchange, reassigned, is_complete, count_warm_members)
        donors = _spared(donors, plans, exchange, reassigned, thresholds.donor_domains)
        if donors:
            counts.update(
                {
                    donor.name: -exchange.donated_groups,
                    recipient_name: exchange.gained_groups,
                }
            )
            best = min(
                donors, key=lambda d: (-d.warm_count, d.reassigned_count, d.domain)
            )
            is_warm = best.warm_count >= exchange.gained_groups * recipient.size
            groups = tuple(group.name for group in best.groups)
            return Reassignment(best.domain, groups, recipient_name, is_warm)
    return None


def _exchange(donor, recipient):
    donated_groups = math.ceil(recipient.size / donor.size)
    gained_groups = donated_groups * donor.size // recipient.size
    return _Exchange(donor.name, recipient.name, donated_groups, gained_groups)


def _is_improvement(exchange, counts, models, thresholds):
    """Whether both models end above the recipient's present ratio.

    The donor also keeps the ratio that the thresholds leave it.
    """
    before = _provisioning_ratios(counts, models)
    if exchange.donor == exchange.recipient or exchange.donor not in before:
        return False
    after = counts.copy()
    after[exchange.donor] -= exchange.donated_groups
    after[exchange.recipient] += exchange.gained_groups
    ratios = _provisioning_ratios(after, models)
    least = min(ratios[exchange.donor], ratios[exchange.recipient])
    if after[exchange.donor] < 0 or ratios[exchange.donor] < thresholds.donor:
        return False
    return least > before[exchange.recipient]


def _spared(donors, plans, exchange, reassigned, min_domains):
    """Return the donors without which their model keeps groups in enough domains.

    :param min_domains: domains in which it keeps groups if it has so many.
    """
    counts = Counter(
        domain
        for domain, plan in plans.items()
        for group in plan.groups
        if group.model == exchange.donor
        and not group.is_retired
        and (domain, group.name) not in reassigned
    )
    if len(counts) > min_domains:
        return donors
    return [d for d in donors if counts[d.domain] > exchange.donated_groups]


def _donors(plans, exchange, reassigned, is_complete, count_warm_members):
    """Return a :class:`_Donor` for each domain with enough groups."""
    donors = []
    for domain, plan in plans.items():
        groups = [
            group
            for group in plan.groups
            if group.model == exchange.donor
            and not group.is_retired
            and (domain, group.name) not in reassigned
            and is_complete(group, domain)
        ]
        groups.sort(
            key=lambda group: (
                -count_warm_members(group, domain, exchange.recipient),
                group.name,
            )
        )
        if len(groups) >= exchange.donated_groups:
            best = tuple(groups[: exchange.donated_groups])
            warm_count = sum(
                count_warm_members(group, domain, exchange.recipient) for group in best
            )
            reassigned_count = sum(bool(group.successor) for group in plan.groups)
            reassigned_count += sum(each == domain for each, _ in reassigned)
            donors.append(_Donor(domain, best, warm_count, reassigned_count))
    return donors
