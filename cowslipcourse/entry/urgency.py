"""How urgent a request is to an engine; pure decisions.

Load that this answers: after an outage or a burst more requests come at once than
groups run, callers that were turned away among them. Those that are late already are
worth the same a moment later; those that can still be on time are not.
"""

__all__ = ["LEAST_URGENT_LEVEL", "can_meet_objective", "urgency"]

LEAST_URGENT_LEVEL = 9
"""The scale that engines know ends there; 0 is the most urgent."""
LEVELS_PER_PRIORITY = 2
"""On time and late: a rank that the operator gave comes before lateness."""
SEND_DEADLINE_FRACTION = 0.5
"""Part of the objective within which a request must be sent to a target to be on time;
the rest is for the target's first event."""


def urgency(route, workspace, waited_s):
    """Return the urgency of a request, from 0 to :data:`LEAST_URGENT_LEVEL`.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param workspace: :class:`~cowslipcourse.routes.Workspace` or ``None``.
    :param waited_s: seconds that the caller has waited, here and elsewhere.
    """
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    is_late = waited_s > route.objective_s
    return min(LEVELS_PER_PRIORITY * priority + is_late, LEAST_URGENT_LEVEL)


def can_meet_objective(route, waited_s):
    """Whether a request that is sent to a target now may be answered on time.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param waited_s: seconds that the caller has waited, here and elsewhere.
    """
    return waited_s <= SEND_DEADLINE_FRACTION * route.objective_s
