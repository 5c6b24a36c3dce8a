"""Inputs of plan revision: views of engines and demand for models."""

from typing import NamedTuple

__all__ = ["SLOW_PACE_FACTOR", "EngineView", "ModelDemand"]

SLOW_PACE_FACTOR = 2.0
"""Time factor from which a member is replaced: at twice its nominal times, a group's
pauses between events reach the limit of callers, while a rejoin costs two seconds."""


class EngineView(NamedTuple):
    """An engine as seen by plan revision.

    :param id: id of the engine.
    :param warm_models: models that it can join without loading weights from the store.
    :param is_live: whether it can be given work.
    :param is_free: whether it is in no group, or in one that cannot be serving.
    :param is_leaving: whether it still works but is about to leave.
    :param ready_in_s: expected seconds until it is ready in its planned group.
    :param pace: factor on its nominal times, as last reported; a group runs at the pace
        of its slowest member.
    :param incarnation: incarnation of the engine.
    :param is_listed: whether it is on the platform's target list.
    """

    id: str
    warm_models: tuple[str, ...]
    is_live: bool
    is_free: bool
    is_leaving: bool = False
    ready_in_s: float = 0.0
    pace: float = 1.0
    incarnation: int = 0
    is_listed: bool = True

    @property
    def is_slow(self):
        """Whether its pace requires its replacement."""
        return self.pace >= SLOW_PACE_FACTOR


class ModelDemand(NamedTuple):
    """Demand for further groups of a model.

    :param model: model name.
    :param size: engines per group.
    :param urgency: demand per group; the highest is served first.
    """

    model: str
    size: int
    urgency: float
