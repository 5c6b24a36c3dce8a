"""What the revision of a plan knows of engines and of what is wanted."""

from typing import NamedTuple

__all__ = ["SLOW_PACE_FACTOR", "EngineView", "ModelDemand"]

SLOW_PACE_FACTOR = 2.0
"""Pace from which a member is replaced: at twice its times a group's pauses reach what
callers bear, and joining again costs two seconds."""


class EngineView(NamedTuple):
    """An engine as the revision of a plan sees it.

    :param id: id of the engine.
    :param warm_models: models that it can join without a load.
    :param is_live: whether it can be given work.
    :param is_free: whether it is in no group, or in one that cannot be serving.
    :param is_leaving: whether it still does its work but will leave.
    :param ready_in_s: expected seconds until it is ready in its planned group.
    :param pace: factor on its times, as it last said; a group runs at its slowest
        member's.
    :param incarnation: life of the engine.
    :param is_listed: whether the platform lists it.
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
        """Whether it would slow a group down too much."""
        return self.pace >= SLOW_PACE_FACTOR


class ModelDemand(NamedTuple):
    """A model that further groups are wanted of.

    :param model: model name.
    :param size: engines of a group.
    :param urgency: larger is wanted more.
    """

    model: str
    size: int
    urgency: float
