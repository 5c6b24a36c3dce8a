"""What became of each request, and the one decision that cost it; pure decisions."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "SERVED",
    "LossCause",
    "StreamTimes",
    "TargetChoice",
    "late_cause",
    "no_target_cause",
]

SERVED = "served"
"""Stands for a request that was answered on time, where others have a cause."""
LATE_SLOT_WAIT_FRACTION = 0.5
"""Share of a route's objective from which a wait for a place made an answer late."""


class LossCause(StrEnum):
    """Why a request was refused for want of a target, or why a stream was late.

    Requests that end with another error have the code of that error as their cause.
    """

    NO_GROUP = "no-group"
    GROUPS_FULL = "groups-full"
    GROUPS_TRIED = "groups-tried"
    NO_BUDGET = "no-retry-budget"
    LATE_PLACE = "late-place"
    LATE_RETRY = "late-retry"
    LATE_FIRST = "late-first-event"
    LATE_PAUSE = "late-pause"


class TargetChoice(NamedTuple):
    """The target that was chosen for a request, or why there is none.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` or ``None``.
    :param cause: :class:`LossCause` if there is none.
    """

    entry: object
    cause: str = ""


class StreamTimes(NamedTuple):
    """How a stream went, in seconds.

    :param slot_wait_s: time for which it waited for a place.
    :param first_s: time from its arrival to its first event.
    :param pause_s: longest pause between two events.
    :param attempts: targets that it was sent to.
    """

    slot_wait_s: float
    first_event_s: float
    longest_pause_s: float
    attempts: int


def no_target_cause(candidates, tried_ids):
    """Return the :class:`LossCause` of a request for which no place was found.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Candidate` that serve it.
    :param tried: ids of targets that it was sent to already.
    """
    if not candidates:
        return LossCause.NO_GROUP
    if all(candidate.entry.id in tried_ids for candidate in candidates):
        return LossCause.GROUPS_TRIED
    return LossCause.GROUPS_FULL


def late_cause(route, times):
    """Return the :class:`LossCause` of a late stream, ``None`` if it was on time.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param times: :class:`StreamTimes`
    """
    if times.first_event_s > route.objective_s:
        if times.slot_wait_s > route.objective_s * LATE_SLOT_WAIT_FRACTION:
            return LossCause.LATE_PLACE
        return LossCause.LATE_RETRY if times.attempts > 1 else LossCause.LATE_FIRST
    if route.pause_limit_s and times.longest_pause_s > route.pause_limit_s:
        return LossCause.LATE_PAUSE
    return None
