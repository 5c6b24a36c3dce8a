"""Urgency of a request at an engine. Pure functions.

After an outage or a burst, more requests arrive than groups can run, including retries
of refused ones. A request that has missed its objective loses nothing by waiting a
little longer; one that can still meet it does.
"""

__all__ = [
    "LEAST_URGENT_LEVEL",
    "can_meet_objective",
    "effective_priority",
    "urgency",
]

LEAST_URGENT_LEVEL = 9
"""End of the scale that engines accept; 0 is the most urgent."""
LEVELS_PER_PRIORITY = 2
"""Levels for on time and late: the operator's priority outweighs lateness."""
SEND_DEADLINE_FRACTION = 0.5
"""Fraction of the objective within which a request must be sent to a target to be on
time; the rest is left for the target to produce its first event."""


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
