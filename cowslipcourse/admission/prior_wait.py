"""Estimate how long callers have waited at other daemons. No I/O."""

from collections import deque

__all__ = ["PriorWaitEstimator"]

TIMEOUT_SPREAD_FRACTION = 0.15
"""Fraction of a route's time-out by which the time-outs of its callers may differ."""
MAX_BUDGETS_PER_ROUTE = 64
"""Recent requests of a route from which it is judged whether time-outs differ."""
MAX_ROUTES = 1000
"""Limit on routes with kept budgets, since new configurations keep adding routes."""
MIN_BUDGETS = 16
"""Requests of a route below which time-outs are assumed to differ."""
EQUAL_BUDGET_TOLERANCE = 0.02
"""Fraction of the longest budget by which a budget counted as equal may be shorter."""
MIN_EQUAL_FRACTION = 0.2
"""Fraction of requests with equal budgets from which time-outs count as uniform. It is
low because most requests after an outage are retries with shorter budgets."""


class PriorWaitEstimator:
    """Infers earlier waits of callers from the time budgets that they send.

    A caller that retries sends the time that it will still wait, so the wait before is
    the route's time-out less that budget. On routes where the time-outs of callers
    differ, only the part beyond the assumed spread counts.
    """

    def __init__(self):
        self._budgets = {}

    def __len__(self):
        """Return the number of routes with kept budgets."""
        return len(self._budgets)

    def observe(self, route, time_budget_s):
        """Record a request; return the seconds that its caller has waited elsewhere.

        :param route: :class:`~cowslipcourse.routes.Route`
        :param time_budget_s: seconds that the caller will still wait, or ``None``.
        """
        if time_budget_s is None:
            return 0.0
        budgets = self._budgets_of(route)
        budgets.append(time_budget_s)
        spread_fraction = (
            TIMEOUT_SPREAD_FRACTION if _timeouts_may_vary(budgets) else 0.0
        )
        return max(0.0, route.timeout_s * (1 - spread_fraction) - time_budget_s)

    def _budgets_of(self, route):
        if route.name not in self._budgets:
            while len(self._budgets) >= MAX_ROUTES:
                del self._budgets[next(iter(self._budgets))]
            self._budgets[route.name] = deque(maxlen=MAX_BUDGETS_PER_ROUTE)
        return self._budgets[route.name]


def _timeouts_may_vary(budgets):
    """Whether callers of a route may have different time-outs."""
    if len(budgets) < MIN_BUDGETS:
        return True
    threshold_s = max(budgets) * (1 - EQUAL_BUDGET_TOLERANCE)
    return sum(
        budget_s >= threshold_s for budget_s in budgets
    ) < MIN_EQUAL_FRACTION * len(budgets)
