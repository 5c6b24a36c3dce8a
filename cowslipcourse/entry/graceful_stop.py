"""Decide which requests a daemon still accepts during a graceful stop.

Callers use open connections until the process ends, although the directory no longer
lists it. A late stream could not finish in the remaining time and would be cut off, so
its caller is told at once to use another daemon.
"""

from collections import deque

__all__ = ["RequestDurations", "can_finish"]

DURATIONS_PER_ROUTE = 100
"""Recent durations that are kept per route; 10 s of a busy route."""
DEFAULT_TIMEOUT_SHARE = 0.5
"""Share of a route's time-out that is assumed without a recorded duration."""
DURATION_MARGIN = 1.5
"""Factor on the longest recorded duration: a stop moves load to fewer daemons."""


class RequestDurations:
    """Durations of the most recent requests of each route."""

    def __init__(self):
        self._by_route = {}

    def record(self, route, duration_s):
        """Record the duration of a request.

        :param route: :class:`~cowslipcourse.routes.Route`
        :param duration_s: seconds from the request to the end of its answer.
        """
        durations_s = self._by_route.setdefault(
            route.name, deque(maxlen=DURATIONS_PER_ROUTE)
        )
        durations_s.append(duration_s)

    def longest_s(self, route):
        """Return the longest recent duration, or the default without any."""
        durations_s = self._by_route.get(route.name)
        return (
            max(durations_s) if durations_s else DEFAULT_TIMEOUT_SHARE * route.timeout_s
        )


def can_finish(left_s, longest_s):
    """Whether a request that arrives now is likely to finish before the stop.

    :param left_s: seconds until the daemon closes its last connections.
    :param longest_s: longest recent duration of the route in seconds.
    """
    return left_s >= DURATION_MARGIN * longest_s
