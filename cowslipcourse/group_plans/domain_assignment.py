"""Assigns fabric domains to models; pure decisions.

Only an engine that already has the weights repairs a group at once; loading them takes
ten times as long. If all engines of a domain have the same model, the survivors of a
group that cannot be completed are warm spares for the other groups, and no engine needs
to be reserved. Domains are therefore divided among the models where there are enough.
"""

from collections import Counter
from typing import NamedTuple

from cowslipcourse.group_plans.plan_inputs import model_demands

__all__ = ["MIXED_ASSIGNMENT", "DomainAssignment", "assign_domain"]

MIN_DOMAINS_PER_MODEL = 2
"""Domains that each model must have: one may fail as a whole."""
MIXED_DOMAIN_SPARES = 2
"""Engines kept free in a domain that serves several models, one warm for each: about
two are lost there a day."""
SAINTE_LAGUE_OFFSET = 0.5
"""Added to the number of domains in the divisor of the Sainte-Lague method."""
SAME_DATA_CENTRE_FACTOR = 0.7
"""Factor on the quotient of a model that already has a domain in the same data centre.
It decides only between close quotients: proportionality comes first."""


class DomainAssignment(NamedTuple):
    """The model that a domain serves, and its reserve.

    :param model: model that the domain serves, apart from reassigned groups and groups
        of engines that are warm for another model; ``None`` for any.
    :param spare_count: number of engines kept free for repairs.
    """

    model: str | None
    spare_count: int


MIXED_ASSIGNMENT = DomainAssignment(None, MIXED_DOMAIN_SPARES)


def assign_domain(
    domain, plans, data_centres, models, warm_models=(), declared_models=None
):
    """Return the :class:`DomainAssignment` of a domain.

    :param domain: name of the domain.
    :param plans: :class:`~cowslipcourse.group_plans.DomainPlan` by domain.
    :param data_centres: data centre by domain, for all known domains.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`.
    :param warm_models: models that the domain's engines can join without a load, with
        one item for each engine and model.
    :param declared_models: ``models`` with their declared shares, if others are agreed.
        They alone decide whether domains are divided among the models.
    """
    if not _are_domains_divided(len(data_centres), declared_models or models):
        return MIXED_ASSIGNMENT
    model = _most_served_model(plans.get(domain), models)
    if model is None:
        model = _most_warm_model(warm_models, plans, models)
    if model is None:
        model = _apportioned_model(domain, plans, data_centres, models)
    return DomainAssignment(model, 0)


def _are_domains_divided(domain_count, models):
    """Whether there are enough domains for each model to have some of its own."""
    total = sum(model.share for model in models)
    if total <= 0 or len(models) < 2:
        return False
    return all(
        round(domain_count * m.share / total) >= MIN_DOMAINS_PER_MODEL for m in models
    )


def _most_served_model(plan, models):
    """Return the model that most engines of a plan serve, or ``None``."""
    engines = Counter()
    for group in () if plan is None else plan.groups:
        if not group.is_retired:
            engines[group.model] += len(group.members)
    return _top_model(engines, models)


def _most_warm_model(warm_models, plans, models):
    """Return the model that most engines are warm for, as after an outage.

    ``None`` if another model has a higher demand: hosts may store a model only
    because they stand by for it.
    """
    model = _top_model(Counter(warm_models), models)
    urgencies = {
        demand.model: demand.urgency for demand in model_demands(models, plans.values())
    }
    is_top_demand = model is not None and urgencies[model] >= max(urgencies.values())
    return model if is_top_demand else None


def _top_model(counts, models):
    known = [model for model in models if counts[model.name]]
    best = max(known, key=lambda m: (counts[m.name], m.share, m.name), default=None)
    return None if best is None else best.name


def _active_models(plan):
    """Return the models of a plan's active groups."""
    if plan is None:
        return set()
    return {group.model for group in plan.groups if not group.is_retired}


def _apportioned_model(domain, plans, data_centres, models):
    """Return the model of a domain that has no groups yet.

    All such domains are assigned in the order of their names, so that coordinators
    that start at the same time arrive at the same division.
    """
    assigned_data_centres = {model.name: [] for model in models}
    for other, plan in plans.items():
        for model in _active_models(plan):
            if model in assigned_data_centres:
                assigned_data_centres[model].append(data_centres.get(other))
    for other in sorted(data_centres):
        if _active_models(plans.get(other)):
            continue
        model = _highest_quotient(other, assigned_data_centres, data_centres, models)
        if other == domain:
            return model
        assigned_data_centres[model].append(data_centres[other])
    raise ValueError(f"{domain} is not among the domains")


def _highest_quotient(domain, assigned_data_centres, data_centres, models):
    def quotient(model):
        divisor = len(assigned_data_centres[model.name]) + SAINTE_LAGUE_OFFSET
        factor = (
            SAME_DATA_CENTRE_FACTOR
            if data_centres[domain] in assigned_data_centres[model.name]
            else 1.0
        )
        return model.share / divisor * factor, model.name

    return max(models, key=quotient).name
