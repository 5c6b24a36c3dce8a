"""How urgent a request is to an engine; pure decisions.

Load that this answers: after an outage or a burst more requests come at once than
groups run, callers that were turned away among them. Those that are late already are
worth the same a moment later; those that can still be on time are not.
"""

__all__ = ["LEAST_URGENT", "urgency"]

LEAST_URGENT = 9
"""The scale that engines know ends there; 0 is the most urgent."""
LEVELS_A_RANK = 2
"""On time and late: a rank that the operator gave comes before lateness."""


def urgency(route, workspace, budget_s, waited_s):
    """Return the urgency of a request, from 0 to :data:`LEAST_URGENT`.

    A caller that comes again says how long it will still wait, so what it has waited
    elsewhere is what its budget lacks of the route's time. Where budgets are shorter
    for another reason, all requests of the route are alike again.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param workspace: :class:`~cowslipcourse.routes.Workspace` or ``None``.
    :param budget_s: seconds that the caller said it will wait, or ``None``.
    :param waited_s: seconds since the request came.
    """
    rank = route.priority
    if workspace is not None and workspace.priority is not None:
        rank = workspace.priority
    spent_s = waited_s
    if budget_s is not None:
        spent_s += max(0.0, route.timeout_s - budget_s)
    is_late = spent_s > route.objective_s
    return min(LEVELS_A_RANK * rank + is_late, LEAST_URGENT)
