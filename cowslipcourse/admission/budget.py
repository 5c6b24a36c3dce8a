"""Retry budgets: retries are a bounded fraction of requests."""

from collections import deque

__all__ = ["MIN_DAEMON_COUNT", "RetryBudget", "SharedRetryBudget"]

MIN_DAEMON_COUNT = 8
"""Lower bound of the daemons that share a budget, used until the number is known: the
smallest sites have that many."""
USABLE_SLACK_FRACTION = 0.8
"""Fraction of the slack that is used: daemons may not know of each other for a
second."""


class RetryBudget:
    """Token bucket that limits retries to a ratio of requests.

    :param ratio: retries allowed for each request.
    :param burst: largest number of saved retries.
    """

    def __init__(self, ratio=0.1, burst=10.0):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Retries that may be made now."""
        return self._tokens

    def record_request(self):
        """Record a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_take(self):
        """Take one retry from the budget; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class SharedRetryBudget:
    """This daemon's part of a retry budget per service and sliding window.

    All daemons together may retry ``ratio`` of a service's requests in a window, plus
    ``slack``. Each counts its own requests and uses an equal part of the slack.

    :param settings: :class:`~cowslipcourse.entry.settings.RetrySettings`
    """

    def __init__(self, settings):
        self.settings = settings
        self._requests = {}
        self._retries = {}
        self.daemon_count = MIN_DAEMON_COUNT

    def record_request(self, service, now):
        """Record a first attempt at a service."""
        self._recent(self._requests, service, now).append(now)

    def try_take(self, service, now):
        """Take one retry from the budget; return whether one was available."""
        retries = self._recent(self._retries, service, now)
        requests = self._recent(self._requests, service, now)
        slack_share = self.settings.slack * USABLE_SLACK_FRACTION / self.daemon_count
        if len(retries) + 1 > self.settings.ratio * len(requests) + slack_share:
            return False
        retries.append(now)
        return True

    def _recent(self, times_by_service, service, now):
        times = times_by_service.setdefault(service, deque())
        while times and now - times[0] > self.settings.window_s:
            times.popleft()
        return times
