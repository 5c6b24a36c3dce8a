"""Warm-up joins of spares, which shorten their next join to a fraction of a second.

An engine joins in 0.2 s if its last group since its start had the same model; otherwise
it first loads the weights from its host, which takes 1 to 2 s. A spare that has joined
a single-member group repairs another group sooner by that time. The spare is the head
of its warm-up group, which is never opened, so it can join another group at any time.
"""

from cowslipcourse.group_plans.steps import Step, StepKind
from cowslipcourse.ports import EngineOrder, GroupState, OrderOperation

__all__ = ["is_warming_up", "is_warmup_group", "warmup_step"]

_NAME_SUFFIX = ".alone"
"""Suffix of names of warm-up groups; names of planned groups end with a number."""


def is_warmup_group(membership):
    """Whether an engine is in a warm-up group.

    :param membership: :class:`~cowslipcourse.ports.GroupMembership` or ``None``.
    """
    return membership is not None and membership.group.endswith(_NAME_SUFFIX)


def is_warming_up(engine):
    """Whether an engine is joining a warm-up group."""
    membership = engine.membership
    return is_warmup_group(membership) and membership.state is GroupState.JOINING


def warmup_step(plan, engine, models):
    """Return the step that warms up a spare, or ``None`` if it needs none.

    :param plan: :class:`~cowslipcourse.group_plans.DomainPlan`
    :param engine: :class:`~cowslipcourse.group_plans.ObservedEngine` of a spare.
    :param models: names of the models that the domain serves.
    """
    staged_models = [model for model in engine.staged if model in models]
    is_idle = engine.membership is None and engine.staging_model is None
    if not staged_models or not is_idle or engine.joined_model in staged_models:
        return None
    if not plan.version:
        return None
    if engine.order_count is None:
        return Step(StepKind.ASK, engine.id)
    # This epoch is lower than that of any group planned later.
    order = EngineOrder(
        OrderOperation.JOIN,
        engine.order_count,
        group=f"{plan.domain}-{engine.id}{_NAME_SUFFIX}",
        epoch=plan.version,
        model=staged_models[0],
        members=(engine.id,),
    )
    return Step(StepKind.ORDER, engine.id, order)
