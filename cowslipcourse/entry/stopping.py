"""Which requests a daemon that stops as planned still takes; pure decisions.

Callers go on to use open connections until the process ends, although it is in no list
of addresses any more. A stream that comes late cannot end in the time that is left and
would be cut; its caller is told at once to go elsewhere instead.
"""

from collections import deque

__all__ = ["RequestDurations", "can_finish"]

DURATIONS_PER_ROUTE = 100
"""Answers of a route by which a daemon knows how long they take; 10 s of a busy one."""
DEFAULT_TIMEOUT_SHARE = 0.5
"""Share of a route's time that is assumed where no answer is remembered."""
DURATION_MARGIN = 1.5
"""Factor on the longest remembered answer: a stop moves load to fewer daemons."""


class RequestDurations:
    """How long the last answers of each route took."""

    def __init__(self):
        self._by_route = {}

    def record(self, route, duration_s):
        """Note an answer.

        :param route: :class:`~cowslipcourse.routes.Route`
        :param duration_s: seconds from the request to the end of its answer.
        """
        durations_s = self._by_route.setdefault(
            route.name, deque(maxlen=DURATIONS_PER_ROUTE)
        )
        durations_s.append(duration_s)

    def longest_s(self, route):
        """Return the longest of the last answers, or what is assumed without any."""
        durations_s = self._by_route.get(route.name)
        return (
            max(durations_s) if durations_s else DEFAULT_TIMEOUT_SHARE * route.timeout_s
        )


def can_finish(left_s, longest_s):
    """Whether a request that comes now is likely to end before the daemon does.

    :param left_s: seconds until the daemon closes its last connections.
    :param longest_s: longest of the last answers.
    """
    return left_s >= DURATION_MARGIN * longest_s
