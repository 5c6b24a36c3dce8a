"""Derives the inputs of plan revision from the observed domain."""

from cowslipcourse.group_plans.orders import (
    HEAD_UNGROUPED_S,
    STALL_MARGIN_S,
    is_present,
)
from cowslipcourse.group_plans.views import EngineView, ModelDemand
from cowslipcourse.group_plans.warm_up import is_warmup_group
from cowslipcourse.ports import GroupState

__all__ = [
    "broken_groups",
    "engine_views",
    "is_free",
    "model_demands",
    "models_awaiting_members",
    "spare_engines",
]

GROUP_COUNT_OFFSET = 0.5
"""Added to the group count, so that a model without groups has a finite urgency."""


def engine_views(plan, observed, stall_s, now):
    """Return an :class:`~cowslipcourse.group_plans.EngineView` of each engine.

    :param plan: :class:`~cowslipcourse.group_plans.DomainPlan`
    :param observed: :class:`~cowslipcourse.group_plans.ObservedDomain`
    :param stall_s: time after which a head that lacks a member is broken.
    :param now: loop time.
    """
    return [
        _engine_view(plan, observed, engine, stall_s, now)
        for engine in observed.engines.values()
    ]


def _engine_view(plan, observed, engine, stall_s, now):
    group = plan.group_of(engine.id, engine.incarnation)
    return EngineView(
        id=engine.id,
        incarnation=engine.incarnation,
        warm_models=engine.warm_models,
        is_live=engine.is_live,
        is_free=is_free(plan, observed, engine, stall_s),
        is_leaving=engine.is_leaving,
        ready_in_s=0.0 if group is None else engine.ready_in_s(group, now),
        pace=engine.pace,
        is_listed=engine.is_listed,
    )


def is_free(plan, observed, engine, stall_s):
    """Whether an engine is in no group, or in one whose head cannot be serving.

    Only its own reports prove that it is in none, and only those newer than the last
    plan that may have included it: the list lags by up to a second, and by more where
    the daemon is overloaded.

    A silent engine counts as free of a group that has ended: if it returns, it leaves
    the group before it is used. A restarted head has left: it knows nothing of the
    group.
    """
    group = plan.group_of(engine.id, engine.incarnation)
    if group is None:
        return engine.ungrouped_since is not None or is_warmup_group(
            engine.confirmed_membership
        )
    if not group.is_retired:
        return False
    head = observed.engines.get(group.head)
    if head is not None and not group.has_member(head.id, head.incarnation):
        return True
    if head is not None and head.silent_since is None:
        return head.ungrouped_s > HEAD_UNGROUPED_S
    is_ungrouped = engine.ungrouped_s > HEAD_UNGROUPED_S or not engine.is_live
    return is_ungrouped and _head_has_broken(group, observed, stall_s)


def _head_has_broken(group, observed, stall_s):
    """Whether a silent head must be broken because a member left long enough ago."""
    engines = [observed.engines.get(member) for member in group.members]
    longest_s = max(engine.ungrouped_s for engine in engines if engine is not None)
    return longest_s > stall_s + STALL_MARGIN_S


def broken_groups(plan, observed):
    """Return the names of groups that must be formed again at a later epoch."""
    return frozenset(
        group.name
        for group in plan.groups
        if not group.is_retired
        and (_reports_broken(group, observed) or _has_dissolved(group, observed))
    )


def _reports_broken(group, observed):
    head = observed.engines.get(group.head)
    return head is not None and head.state_in(group) is GroupState.BROKEN


def _has_dissolved(group, observed):
    """Whether a group cannot be completed at its epoch.

    Its head has left it, or a member has been joined to a later epoch, as another
    coordinator had planned: the store may have lost that plan.
    """
    engines = [observed.engines.get(member) for member in group.members]
    present = [
        engine
        for engine in engines
        if engine is not None and group.has_member(engine.id, engine.incarnation)
    ]
    head_has_left = any(
        engine.id == group.head
        and engine.was_ready(group)
        and engine.ungrouped_s > HEAD_UNGROUPED_S
        for engine in present
    )
    return head_has_left or any(
        engine.highest_epoch > group.epoch for engine in present
    )


def spare_engines(plan, observed):
    """Return the live engines that the plan has in no group."""
    return [
        engine
        for engine in observed.engines.values()
        if engine.is_live and plan.group_of(engine.id, engine.incarnation) is None
    ]


def models_awaiting_members(plan, observed):
    """Return the models of groups that lack a live member."""
    return {
        group.model
        for group in plan.groups
        if not all(is_present(group, m, observed.engines) for m in group.members)
    }


def model_demands(models, plans):
    """Return a :class:`~cowslipcourse.group_plans.ModelDemand` for each model.

    The urgency grows with the model's share of the work per group in all domains.

    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`.
    :param plans: iterable of :class:`~cowslipcourse.group_plans.DomainPlan`.
    """
    counts = {model.name: 0 for model in models}
    for plan in plans:
        for group in plan.groups:
            if group.model in counts and not group.is_retired:
                counts[group.model] += 1
    return [
        ModelDemand(
            m.name, m.size, m.share / m.size / (counts[m.name] + GROUP_COUNT_OFFSET)
        )
        for m in models
    ]
