"""Rate limit on the weight-store loads that a coordinator starts."""

import math

__all__ = ["LoadRateLimiter"]

WINDOW_S = 5.0
"""Window in which the platform counts loads."""
SINGLE_COORDINATOR_SHARE = 0.5
"""Share of the permitted loads that a single coordinator starts: during a takeover two
coordinators may start loads."""
TOTAL_COORDINATOR_SHARE = 0.75
"""Share that several coordinators start together: while one takes over the domains of
another, some loads may be started twice."""


class LoadRateLimiter:
    """Limits load starts in a sliding window.

    A coordinator that takes over does not know how many loads the one before it has
    started, so its window begins with the takeover. Coordinators that follow one
    another start no more in a window than two of them.
    """

    def __init__(self):
        self._started_at = []
        self._taken_over_at = -math.inf

    def record_takeover(self, now):
        """Record that domains of another coordinator are taken over."""
        self._taken_over_at = now

    def try_acquire(self, loads_per_s, coordinators, now):
        """Acquire a permit for one load; return whether it may start now.

        :param loads_per_s: loads that all daemons together may start per second.
        :param coordinators: number of daemons that start loads.
        :param now: loop time.
        """
        self._started_at = [at for at in self._started_at if now - at < WINDOW_S]
        share = (
            SINGLE_COORDINATOR_SHARE
            if coordinators < 2
            else TOTAL_COORDINATOR_SHARE / coordinators
        )
        window_s = min(WINDOW_S, now - self._taken_over_at)
        if len(self._started_at) >= loads_per_s * window_s * share:
            return False
        self._started_at.append(now)
        return True
