"""Attribute refused and late requests to a single cause each. Pure functions."""

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
"""Value in place of a cause for requests that were answered on time."""
LATE_SLOT_WAIT_FRACTION = 0.5
"""Fraction of a route's objective above which the wait for a slot is the cause of a
late first event."""


class LossCause(StrEnum):
    """Why a request got no target, or why a stream was late.

    Requests that fail with another error have its code as their cause.
    """

    NO_GROUP = "no-group"
    GROUPS_FULL = "groups-full"
    NO_ROOM_IN_TIME = "no-room-in-time"
    GROUPS_TRIED = "groups-tried"
    TARGETS_WITHHELD = "targets-withheld"
    NO_RETRY_BUDGET = "no-retry-budget"
    LATE_PLACE = "late-place"
    LATE_RETRY = "late-retry"
    LATE_FIRST_EVENT = "late-first-event"
    LATE_PAUSE = "late-pause"


class TargetChoice(NamedTuple):
    """The target chosen for a request, or the reason why there is none.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` or ``None``.
    :param cause: :class:`LossCause` if no target was found.
    :param retry_after_s: seconds until a target may accept the request, if known.
    :param refusal: :class:`~cowslipcourse.exceptions.RequestError` for a request that
        must not be sent to a target and has not run, or ``None``.
    """

    entry: object
    cause: str = ""
    retry_after_s: float | None = None
    refusal: Exception | None = None


class StreamTimes(NamedTuple):
    """Timing of a stream, in seconds, and its attempts.

    :param slot_wait_s: time for which it waited for a free slot.
    :param first_event_s: time from its arrival to its first event.
    :param longest_pause_s: longest pause between two events.
    :param attempts: number of targets that it was sent to.
    """

    slot_wait_s: float
    first_event_s: float
    longest_pause_s: float
    attempts: int


def no_target_cause(candidates, tried_ids):
    """Return the :class:`LossCause` of a request for which no target was found.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that it was sent to already.
    """
    if not candidates:
        return LossCause.NO_GROUP
    if all(candidate.entry.id in tried_ids for candidate in candidates):
        return LossCause.GROUPS_TRIED
    return LossCause.GROUPS_FULL


def late_cause(route, times):
    """Return the :class:`LossCause` of a late stream, or ``None`` if it was on time.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param times: :class:`StreamTimes`
    """
    if times.first_event_s > route.objective_s:
        if times.slot_wait_s > route.objective_s * LATE_SLOT_WAIT_FRACTION:
            return LossCause.LATE_PLACE
        return (
            LossCause.LATE_RETRY if times.attempts > 1 else LossCause.LATE_FIRST_EVENT
        )
    if route.pause_limit_s and times.longest_pause_s > route.pause_limit_s:
        return LossCause.LATE_PAUSE
    return None
