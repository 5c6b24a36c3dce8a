"""How long callers wait for the next event of a stream. Pure functions."""

import math

__all__ = ["overdue_after_s", "patience_s"]

MIN_PATIENCE_S = 2.0
"""Shortest gap, in seconds, after which callers abandon a stream."""
PATIENCE_OBJECTIVES = 4.0
"""The gap in objectives of the route, where that is longer."""
PATIENCE_PAUSE_LIMITS = 8.0
"""The gap in pause limits of the route, where that is longer."""
OVERDUE_FRACTION = 0.5
"""Fraction of this gap after which a stream is overdue: several times as long as served
streams wait, and the other half is left to find a place and for a first event there."""


def patience_s(route):
    """Return the gap, in seconds, after which callers abandon a stream.

    :param route: :class:`~cowslipcourse.routes.Route`
    """
    return max(
        MIN_PATIENCE_S,
        PATIENCE_OBJECTIVES * route.objective_s,
        PATIENCE_PAUSE_LIMITS * route.pause_limit_s,
    )


def overdue_after_s(route):
    """Return the seconds without an event after which a stream is overdue.

    Without end where it may not be sent to another target.

    :param route: :class:`~cowslipcourse.routes.Route`
    """
    if not route.is_retryable or route.max_attempts < 2:
        return math.inf
    return OVERDUE_FRACTION * patience_s(route)
