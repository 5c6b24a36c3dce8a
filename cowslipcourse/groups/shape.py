"""Which models a fabric domain serves; pure decisions.

A group is repaired at once only by an engine that holds its model; loading weights
takes ten times as long. If all engines of a domain hold one model, the survivors of a
group that cannot be completed are such spares for the other groups, and no engine has
to stand by from the start. So domains are divided among the models where there are
enough.
"""

from collections import Counter
from typing import NamedTuple

from cowslipcourse.groups.situation import model_demands

__all__ = ["MIXED_ASSIGNMENT", "DomainAssignment", "assign_domain"]

LEAST_DOMAINS = 2
"""Domains that each model must have: one may go dark as a whole."""
MIXED_SPARES = 2
"""Engines kept free in a domain of several models, one that holds each model: about two
are lost there in a day."""
HALF_DOMAIN = 0.5
"""Added to the number of domains in the divisor of Sainte-Lague's method."""
SAME_PLACE = 0.7
"""Factor on the claim of a model that has a domain in the same data centre already. It
moves a domain only if claims are close: numbers by share come first."""


class DomainAssignment(NamedTuple):
    """What a domain shall be used for.

    :param model: the model that it serves, but for groups that have changed over or
        are formed of engines which hold another one; ``None`` for any.
    :param spares: engines to be kept free for repairs.
    """

    model: str | None
    spares: int


MIXED_ASSIGNMENT = DomainAssignment(None, MIXED_SPARES)


def assign_domain(domain, plans, places, models, held=()):
    """Return the :class:`DomainAssignment` of a domain.

    :param domain: name of the domain.
    :param plans: :class:`~cowslipcourse.groups.DomainPlan` by domain.
    :param places: data centre by domain, of all domains that are known.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`.
    :param held: models that the domain's engines hold, once for each engine.
    """
    total = sum(model.share for model in models)
    if total <= 0 or len(models) < 2:
        return MIXED_ASSIGNMENT
    number = len(places)
    if any(round(number * m.share / total) < LEAST_DOMAINS for m in models):
        return MIXED_ASSIGNMENT
    model = _most_served(plans.get(domain), models)
    if model is None:
        model = _most_held(held, plans, models)
    if model is None:
        model = _assigned(domain, plans, places, models)
    return DomainAssignment(model, 0)


def _most_served(plan, models):
    """Return the model that most engines of a plan serve, ``None`` if none does."""
    engines = Counter()
    for group in () if plan is None else plan.groups:
        if not group.is_retired:
            engines[group.model] += len(group.members)
    return _first(engines, models)


def _most_held(held, plans, models):
    """Return the model that most engines hold: a domain that was dark comes back so.

    ``None`` if another model is wanted more: hosts may hold what they stand by for.
    """
    model = _first(Counter(held), models)
    urgencies = {
        wish.model: wish.urgency for wish in model_demands(models, plans.values())
    }
    is_wanted = model is not None and urgencies[model] >= max(urgencies.values())
    return model if is_wanted else None


def _first(numbers, models):
    known = [model for model in models if numbers[model.name]]
    best = max(known, key=lambda m: (numbers[m.name], m.share, m.name), default=None)
    return None if best is None else best.name


def _served(plan):
    """Return the models of a plan's active groups."""
    if plan is None:
        return set()
    return {group.model for group in plan.groups if not group.is_retired}


def _assigned(domain, plans, places, models):
    """Return the model of a domain that serves none yet.

    All such domains are gone through in the order of their names, so that coordinators
    that begin at the same time divide them as one would.
    """
    taken = {model.name: [] for model in models}
    for other, plan in plans.items():
        for model in _served(plan):
            if model in taken:
                taken[model].append(places.get(other))
    for other in sorted(places):
        if _served(plans.get(other)):
            continue
        model = _most_entitled(other, taken, places, models)
        if other == domain:
            return model
        taken[model].append(places[other])
    raise ValueError(f"{domain} is not among the domains")


def _most_entitled(domain, taken, places, models):
    def claim(model):
        divisor = len(taken[model.name]) + HALF_DOMAIN
        factor = SAME_PLACE if places[domain] in taken[model.name] else 1.0
        return model.share / divisor * factor, model.name

    return max(models, key=claim).name
