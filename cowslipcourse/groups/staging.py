"""Which model a free engine shall hold on its host."""

__all__ = ["choose_staging"]


def choose_staging(plan, free, models, waiting):
    """Return ``{engine id: model name}`` for free engines that should load one.

    A spare that holds the model repairs a group in the time of a warm load. A group
    that waits for a spare comes first. Then each model gets one spare, and the rest go
    to the models with more engines at risk in the domain. What an engine holds is
    replaced only if another spare holds it too.

    :param plan: :class:`~cowslipcourse.groups.DomainPlan`
    :param free: :class:`~cowslipcourse.groups.ObservedEngine` of free live engines.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`.
    :param waiting: models of groups that wait for a spare that holds them.
    """
    at_risk = {model.name: model.share for model in models}
    for group in plan.groups:
        if group.model in at_risk and not group.is_retired:
            at_risk[group.model] += len(group.members)
    held = {engine.id: _held(engine, at_risk) for engine in free}
    covering = {name: list(held.values()).count(name) for name in at_risk}
    chosen = {}
    for engine in sorted(free, key=lambda e: (held[e.id] is not None, e.id)):
        own = held[engine.id]
        if engine.staging_model is not None or (own in covering and covering[own] < 2):
            continue
        model = _most_wanted(at_risk, covering, waiting)
        if model is None or model == own or (own in covering and covering[model]):
            continue
        if own in covering:
            covering[own] -= 1
        covering[model] += 1
        chosen[engine.id] = model
    return chosen


def _held(engine, models):
    """Return the model that an engine loads, or can join without a load."""
    held = [
        model for model in engine.warm_models if model in models
    ] or engine.warm_models
    return engine.staging_model or (held[0] if held else None)


def _most_wanted(at_risk, covering, waiting):
    def gain(name):
        uncovered = covering[name] == 0
        return (
            uncovered and name in waiting,
            uncovered,
            at_risk[name] / (covering[name] + 1),
        )

    return max(at_risk, key=gain, default=None)
