"""Joins that spares practise, so that the next one takes a fraction of a second.

An engine joins in 0.2 s if its last group since its start had the same model, else it
loads the weights from its host first, which takes 1 to 2 s. A spare that has joined a
group of its own once repairs another one that much sooner. Such a group has one
member, which is its head and is never opened, so it holds up nothing: the engine may
be joined out of it at any time.
"""

from cowslipcourse.groups.steps import Step, StepKind
from cowslipcourse.ports import EngineOrder, GroupState, OrderOperation

__all__ = ["is_warming_up", "is_warmup_group", "warmup_step"]

_NAME_SUFFIX = ".alone"
"""End of the names of such groups; those of planned groups end with a number."""


def is_warmup_group(membership):
    """Whether an engine is in a group of its own.

    :param membership: :class:`~cowslipcourse.ports.GroupMembership` or ``None``.
    """
    return membership is not None and membership.group.endswith(_NAME_SUFFIX)


def is_warming_up(engine):
    """Whether an engine is on its way into a group of its own."""
    membership = engine.membership
    return is_warmup_group(membership) and membership.state is GroupState.JOINING


def warmup_step(plan, engine, models):
    """Return the step that lets a spare practise, or ``None`` if it need not.

    :param plan: :class:`~cowslipcourse.groups.DomainPlan`
    :param engine: :class:`~cowslipcourse.groups.ObservedEngine` of a spare.
    :param models: names of the models that the domain serves.
    """
    held = [model for model in engine.staged if model in models]
    is_idle = engine.membership is None and engine.staging_model is None
    if not held or not is_idle or engine.joined_model in held:
        return None
    if not plan.version:
        return None
    if engine.order_count is None:
        return Step(StepKind.ASK, engine.id)
    # The epoch is lower than that of any group that is planned later.
    order = EngineOrder(
        OrderOperation.JOIN,
        engine.order_count,
        group=f"{plan.domain}-{engine.id}{_NAME_SUFFIX}",
        epoch=plan.version,
        model=held[0],
        members=(engine.id,),
    )
    return Step(StepKind.ORDER, engine.id, order)
