"""Oracle that compares the arrivals at engines with the rate limits that they state."""

import asyncio
import itertools
from bisect import bisect_right
from typing import NamedTuple

__all__ = ["LimitFigures", "LimitOracle"]

WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
"""In each window an engine may get this many requests beyond the factor times what its
limit allows."""
REACTION_S = 3.0
"""Time allowed for a statement to take effect at all daemons, and for a daemon to be
undisturbed again."""
NO_LIMIT = float("inf")


class LimitFigures(NamedTuple):
    """Arrivals at one engine while it stated a limit.

    :param instance: id and incarnation of the engine.
    :param limit_per_s: highest limit that it stated.
    :param excess: most arrivals in a window, as a fraction of those tolerated; above 1
        is a violation.
    :param arrivals: arrivals while a statement was in force, after ``REACTION_S``.
    :param limited_s: duration of that time in seconds.
    """

    instance: tuple[str, int]
    limit_per_s: float
    excess: float
    arrivals: int
    limited_s: float


class _EngineRecord:
    def __init__(self):
        self.limit_changes = []
        self.arrivals = []

    def highest_limit(self, begin, end):
        """Return the highest limit in force at any time from ``begin`` to ``end``."""
        times = [at for at, _ in self.limit_changes]
        first = bisect_right(times, begin) - 1
        if first < 0:
            return NO_LIMIT
        return max(
            limit for at, limit in self.limit_changes[first:] if at <= max(end, begin)
        )


class LimitOracle:
    """Records stated limits, arrivals at engines, and disturbed daemons.

    :param clock: callable that returns the time in seconds; the loop's if omitted.
    """

    def __init__(self, clock=None):
        self._now = clock or (lambda: asyncio.get_running_loop().time())
        self._records = {}
        self._disturbances = {}

    def record_limit(self, instance, limit_per_s):
        """Record the limit that an engine states from now on.

        :param instance: id and incarnation of the engine.
        :param limit_per_s: requests per second; ``None`` for no limit.
        """
        record = self._records.setdefault(instance, _EngineRecord())
        limit_per_s = NO_LIMIT if limit_per_s is None else limit_per_s
        if not record.limit_changes or record.limit_changes[-1][1] != limit_per_s:
            record.limit_changes.append((self._now(), limit_per_s))

    def record_arrival(self, instance, daemon):
        """Record that a request of a daemon reaches an engine."""
        record = self._records.setdefault(instance, _EngineRecord())
        record.arrivals.append((self._now(), daemon))

    def record_disturbance(self, daemon, duration_s):
        """Record that a daemon is disturbed for ``duration_s`` seconds from now on."""
        now = self._now()
        self._disturbances.setdefault(daemon, []).append((now, now + duration_s))

    def arrivals_since(self, instance, begin):
        """Return the number of arrivals at an engine since a loop time."""
        record = self._records.get(instance)
        return 0 if record is None else sum(at >= begin for at, _ in record.arrivals)

    def figures(self, is_disturbed=None):
        """Return the :class:`LimitFigures` of each engine that stated a limit.

        :param is_disturbed: callable that takes a daemon and a time and returns whether
            arrivals are not counted; by the recorded disturbances if omitted.
        """
        return [
            self._figures(instance, record, is_disturbed or self._is_disturbed)
            for instance, record in self._records.items()
            if record.limit_changes
        ]

    def _figures(self, instance, record, is_disturbed):
        arrivals = [
            at for at, daemon in record.arrivals if not is_disturbed(daemon, at)
        ]
        limited_arrivals, excess = 0, 0.0
        limits = [limit for _, limit in record.limit_changes if limit != NO_LIMIT]
        for index, at in enumerate(arrivals):
            begin = at - WINDOW_S
            # A limit that was in force shortly before may still be applied.
            limit_per_s = record.highest_limit(begin - REACTION_S, at)
            if limit_per_s == NO_LIMIT:
                continue
            limited_arrivals += 1
            count = index + 1 - bisect_right(arrivals, begin)
            tolerated = TOLERATED_FACTOR * WINDOW_S * limit_per_s + TOLERATED_REQUESTS
            excess = max(excess, count / int(tolerated))
        return LimitFigures(
            instance,
            max(limits, default=NO_LIMIT),
            excess,
            limited_arrivals,
            self._limited_s(record),
        )

    def _limited_s(self, record):
        changes = [*record.limit_changes, (self._now(), NO_LIMIT)]
        spans = itertools.pairwise(changes)
        limited_s = sum(
            end - at for (at, limit), (end, _) in spans if limit != NO_LIMIT
        )
        return max(0.0, limited_s - WINDOW_S - REACTION_S)

    def _is_disturbed(self, daemon, at):
        return any(
            begin <= at <= end + REACTION_S
            for begin, end in self._disturbances.get(daemon, ())
        )
