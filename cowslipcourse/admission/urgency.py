"""Urgency of a request at an engine, and overdue streams. Pure functions.

After an outage or a burst, more requests arrive than groups can run, including retries
of refused ones. A request that has missed its objective loses nothing by waiting a
little longer; one that can still meet it does.
"""

import math

__all__ = [
    "LEAST_URGENT_LEVEL",
    "can_meet_objective",
    "effective_priority",
    "overdue_after_s",
    "urgency",
]

LEAST_URGENT_LEVEL = 9
"""End of the scale that engines accept; 0 is the most urgent."""
LEVELS_PER_PRIORITY = 2
"""Levels for on time and late: the operator's priority outweighs lateness."""
SEND_DEADLINE_FRACTION = 0.5
"""Fraction of the objective within which a request must be sent to a target to be on
time; the rest is left for the target to produce its first event."""
MIN_ABANDON_GAP_S = 2.0
"""Shortest gap, in seconds, after which callers abandon a stream."""
ABANDON_GAP_OBJECTIVES = 4.0
"""The gap in objectives of the route, where that is longer."""
ABANDON_GAP_PAUSE_LIMITS = 8.0
"""The gap in pause limits of the route, where that is longer."""
OVERDUE_FRACTION = 0.5
"""Fraction of this gap after which a stream is overdue; the rest is left for a first
event at another target."""


def urgency(route, workspace, waited_s):
    """Return the urgency of a request, from 0 to :data:`LEAST_URGENT_LEVEL`.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param workspace: :class:`~cowslipcourse.routes.Workspace` or ``None``.
    :param waited_s: seconds that the caller has waited, at this daemon and before.
    """
    priority = effective_priority(route, workspace)
    is_late = waited_s > route.objective_s
    return min(LEVELS_PER_PRIORITY * priority + is_late, LEAST_URGENT_LEVEL)


def effective_priority(route, workspace):
    """Return the priority of a request; a workspace's own one outweighs the route's.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param workspace: :class:`~cowslipcourse.routes.Workspace` or ``None``.
    """
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def can_meet_objective(route, waited_s):
    """Whether a request that is sent to a target now can meet its objective.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param waited_s: seconds that the caller has waited, at this daemon and before.
    """
    return waited_s <= SEND_DEADLINE_FRACTION * route.objective_s


def overdue_after_s(route):
    """Return the seconds without an event after which a stream is overdue.

    Without end where it may not be sent to another target.

    :param route: :class:`~cowslipcourse.routes.Route`
    """
    if not route.is_retryable or route.max_attempts < 2:
        return math.inf
    return OVERDUE_FRACTION * _abandon_gap_s(route)


def _abandon_gap_s(route):
    """Return the gap, in seconds, after which callers abandon a stream."""
    return max(
        MIN_ABANDON_GAP_S,
        ABANDON_GAP_OBJECTIVES * route.objective_s,
        ABANDON_GAP_PAUSE_LIMITS * route.pause_limit_s,
    )
