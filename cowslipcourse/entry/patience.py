"""How long callers wait at most, and so who has waited elsewhere; pure decisions."""

from collections import deque

__all__ = ["PriorWaitEstimator"]

TIMEOUT_SPREAD_FRACTION = 0.15
"""Part of a route's time by which callers may differ in how long they wait."""
MAX_BUDGETS_PER_ROUTE = 64
"""Requests of a route from which it is told whether its callers differ."""
MAX_ROUTES = 1000
"""Routes of which budgets are kept: configurations come with new ones all the time."""
MIN_BUDGETS = 16
"""Requests before which callers may differ."""
EQUAL_BUDGET_TOLERANCE = 0.02
"""Difference from the longest budget, as a part of it, up to which two are alike."""
MIN_EQUAL_FRACTION = 0.2
"""Part of the requests with alike budgets from which callers do not differ. After an
outage most requests come again, with less time left."""


class PriorWaitEstimator:
    """The budgets that callers of each route say, and what a short one means.

    A caller that comes again says how long it will still wait, so what it has waited
    elsewhere is what its budget lacks of the route's time. Where callers differ, only
    what it lacks beyond that tells.
    """

    def __init__(self):
        self._budgets = {}

    def __len__(self):
        """Return the number of routes of which budgets are kept."""
        return len(self._budgets)

    def observe(self, route, time_budget_s):
        """Note a request; return the seconds that its caller has waited elsewhere.

        :param route: :class:`~cowslipcourse.routes.Route`
        :param budget_s: seconds that the caller said it will wait, or ``None``.
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
    """Whether callers may differ in how long they wait."""
    if len(budgets) < MIN_BUDGETS:
        return True
    threshold_s = max(budgets) * (1 - EQUAL_BUDGET_TOLERANCE)
    return sum(
        time_budget_s >= threshold_s for time_budget_s in budgets
    ) < MIN_EQUAL_FRACTION * len(budgets)
