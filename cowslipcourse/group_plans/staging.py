"""Chooses the model that a free engine stages on its host."""

__all__ = ["choose_staging"]


def choose_staging(plan, free_engines, models, awaited_models):
    """Return ``{engine id: model name}`` for free engines that should stage one.

    A spare that has staged the model repairs a group in the time of a warm load.
    Groups that wait for such a spare come first. Then each model gets one spare, and
    the rest go to the models with the most engines at risk for each spare. A staged
    model is replaced only if another spare has it too.

    :param plan: :class:`~cowslipcourse.group_plans.DomainPlan`
    :param free_engines: :class:`~cowslipcourse.group_plans.ObservedEngine` of free live
        engines.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`.
    :param awaited_models: models of groups that wait for a warm spare.
    """
    engines_at_risk = {model.name: model.share for model in models}
    for group in plan.groups:
        if group.model in engines_at_risk and not group.is_retired:
            engines_at_risk[group.model] += len(group.members)
    staged_models = {
        engine.id: _staged_model(engine, engines_at_risk) for engine in free_engines
    }
    spare_counts = {
        name: list(staged_models.values()).count(name) for name in engines_at_risk
    }
    chosen = {}
    for engine in sorted(
        free_engines, key=lambda e: (staged_models[e.id] is not None, e.id)
    ):
        current = staged_models[engine.id]
        if engine.staging_model is not None or (
            current in spare_counts and spare_counts[current] < 2
        ):
            continue
        model = _most_wanted_model(engines_at_risk, spare_counts, awaited_models)
        if (
            model is None
            or model == current
            or (current in spare_counts and spare_counts[model])
        ):
            continue
        if current in spare_counts:
            spare_counts[current] -= 1
        spare_counts[model] += 1
        chosen[engine.id] = model
    return chosen


def _staged_model(engine, models):
    """Return the model that an engine is staging, or can join without a load."""
    staged_models = [
        model for model in engine.warm_models if model in models
    ] or engine.warm_models
    return engine.staging_model or (staged_models[0] if staged_models else None)


def _most_wanted_model(engines_at_risk, spare_counts, awaited_models):
    def ranking(name):
        uncovered = spare_counts[name] == 0
        return (
            uncovered and name in awaited_models,
            uncovered,
            engines_at_risk[name] / (spare_counts[name] + 1),
        )

    return max(engines_at_risk, key=ranking, default=None)
