"""Retry budget: retries are a bounded fraction of requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows a retry only while retries are few beside requests.

    :param ratio: retries allowed for each request.
    :param burst: retries that may be saved up.
    """

    def __init__(self, ratio=0.1, burst=10.0):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self):
        """Retries that may be made now."""
        return self._tokens

    def request(self):
        """Note a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self):
        """Take one retry from the budget and return whether it was there."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
