"""Counts by key that decay exponentially. Pure functions of time."""

import math

__all__ = ["DecayingCounts"]

NEGLIGIBLE_COUNT = 1e-3
"""Counts below this are dropped, which bounds the number of keys."""
MIN_COUNTED_S = 0.5
"""Shorter times of counting say nothing about a rate."""


class DecayingCounts:
    """Recent amounts by key; an amount halves in weight every 0.7 time constants.

    :param time_constant_s: seconds in which a count falls to 1/e.
    """

    def __init__(self, time_constant_s):
        self._time_constant_s = time_constant_s
        self._counts = {}
        self._started_at = None
        self._decayed_at = None

    def add(self, key, now, amount=1.0):
        """Add an amount to the count of a key.

        :param now: loop time.
        """
        self._decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + amount

    def counts(self, now):
        """Return the decayed counts by key; do not modify them.

        :param now: loop time.
        """
        self._decay(now)
        return self._counts

    def rate_per_s(self, key, now):
        """Return the recent amount per second of a key.

        :param now: loop time.
        """
        return self.counts(now).get(key, 0.0) * self.per_s_of_count(now)

    def per_s_of_count(self, now):
        """Return the amount per second that a decayed count of one stands for.

        :param now: loop time.
        """
        if self._started_at is None:
            return 0.0
        counted_s = max(now - self._started_at, MIN_COUNTED_S)
        weight = 1 - math.exp(-counted_s / self._time_constant_s)
        return 1 / (self._time_constant_s * weight)

    def _decay(self, now):
        if self._decayed_at is None:
            self._started_at = self._decayed_at = now
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed_s / self._time_constant_s)
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > NEGLIGIBLE_COUNT
        }
