"""Limit on the loads from the weight store that a coordinator begins."""

__all__ = ["LoadRateLimiter"]

WINDOW_S = 5.0
"""Window in which the platform counts loads."""
SINGLE_COORDINATOR_SHARE = 0.5
"""Share of the permitted loads that a single coordinator begins: while another takes
over, both may do so."""
TOTAL_COORDINATOR_SHARE = 0.75
"""Share that several coordinators begin together: while one takes over the domains of
another, a part may be begun twice."""


class LoadRateLimiter:
    """Counts loads in a sliding window."""

    def __init__(self):
        self._started_at = []

    def try_acquire(self, loads_per_s, coordinators, now):
        """Take one load and return whether it may begin now.

        :param loads_per_s: loads that all daemons may begin in a second.
        :param coordinators: number of daemons that begin loads.
        :param now: loop time.
        """
        self._started_at = [at for at in self._started_at if now - at < WINDOW_S]
        share = (
            SINGLE_COORDINATOR_SHARE
            if coordinators < 2
            else TOTAL_COORDINATOR_SHARE / coordinators
        )
        if len(self._started_at) >= loads_per_s * WINDOW_S * share:
            return False
        self._started_at.append(now)
        return True
