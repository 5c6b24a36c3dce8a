"""Checks of runs that use up a retry budget, by arrivals at targets and by calls."""

from typing import NamedTuple

__all__ = [
    "Arrival",
    "Call",
    "find_extended",
    "find_overlong",
    "find_untaken",
    "find_widened",
    "is_unproven",
]

TOLERANCE_S = 0.5
"""Time by which a time budget may exceed the caller's, and a repeat may end later."""


class Call(NamedTuple):
    """A request of a caller.

    :param daemon: name of the daemon that was asked.
    :param began_at: loop time in seconds.
    :param ended_at: loop time in seconds; infinite before its end.
    :param time_budget_s: seconds that the caller waits.
    """

    daemon: str
    began_at: float
    ended_at: float
    time_budget_s: float


class Arrival(NamedTuple):
    """The arrival of a request at a target.

    :param at: loop time in seconds.
    :param attempt_id: the caller's attempt id.
    :param target: name of the target.
    :param time_budget_s: seconds that the target may take.
    :param has_run: whether the target has begun to run it.
    """

    at: float
    attempt_id: str
    target: str
    time_budget_s: float
    has_run: bool

    @property
    def ends_at(self):
        """Loop time at which the target stops to run it."""
        return self.at + self.time_budget_s


def find_untaken(arrivals, taken, send_counts):
    """Return the repeats without a line of a daemon, by attempt id.

    What the caller has sent again itself is no repeat.

    :param arrivals: sorted :class:`Arrival` lists by attempt id.
    :param taken: numbers of retries that daemons logged as taken, by attempt id.
    :param send_counts: numbers of times that the caller sent it, by attempt id.
    """
    counts = {
        attempt_id: len(times) - max(1, send_counts[attempt_id]) - taken[attempt_id]
        for attempt_id, times in arrivals.items()
    }
    return {attempt_id: count for attempt_id, count in counts.items() if count > 0}


def is_unproven(call, kills):
    """Whether the daemon of a call was killed before the call ended."""
    return any(
        name == call.daemon and call.began_at <= at <= call.ended_at
        for name, at in kills
    )


def find_widened(arrivals, send_counts, max_attempts):
    """Return the attempt ids of requests that ran at more targets than allowed.

    :param arrivals: see :func:`find_untaken`.
    :param send_counts: see :func:`find_untaken`.
    :param max_attempts: targets at which a request may run each time it was sent.
    """
    return [
        attempt_id
        for attempt_id, each in arrivals.items()
        if len({arrival.target for arrival in each if arrival.has_run})
        > max_attempts * max(1, send_counts[attempt_id])
    ]


def find_overlong(arrivals, calls):
    """Return the attempt ids of requests that targets may run for longer than allowed.

    :param arrivals: see :func:`find_untaken`.
    :param calls: :class:`Call` by attempt id.
    """
    return [
        attempt_id
        for attempt_id, each in arrivals.items()
        if any(
            arrival.time_budget_s > calls[attempt_id].time_budget_s + TOLERANCE_S
            for arrival in each
        )
    ]


def find_extended(arrivals, calls):
    """Return the attempt ids of requests whose repeats end later than the first one.

    :param arrivals: see :func:`find_untaken`; no link and target may hold requests.
    :param calls: :class:`Call` by attempt id.
    """
    extended = []
    for attempt_id, (first, *repeats) in arrivals.items():
        call = calls[attempt_id]
        latest_end = max(first.ends_at, call.began_at + call.time_budget_s)
        if any(repeat.ends_at > latest_end + TOLERANCE_S for repeat in repeats):
            extended.append(attempt_id)
    return extended
