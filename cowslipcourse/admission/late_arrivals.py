"""Retries that were given up, but may still be read by their targets."""

from collections import Counter, deque
from typing import NamedTuple

__all__ = ["MAX_LATENESS_S", "LateArrivals"]

MAX_LATENESS_S = 30.0
"""Time after which a request that was given up is no longer expected to arrive: several
times as long as the platform lists a target that stands still."""


class _LateArrival(NamedTuple):
    service: str
    target: object
    sent_at: float


class LateArrivals:
    """Retries that may still arrive, in order of the time at which they were sent.

    A target reads requests in the order in which they were sent, so one that answers a
    request has read those that were sent to it before.
    """

    def __init__(self):
        self._expected = deque()
        self._counts = Counter()

    def count(self, service, now):
        """Return the number of retries that may still arrive at a service."""
        while self._expected and now - self._expected[0].sent_at > MAX_LATENESS_S:
            self._counts[self._expected.popleft().service] -= 1
        return self._counts[service]

    def add(self, service, target, sent_at):
        """Add a retry that was given up.

        :param target: hashable id of the target's incarnation.
        :param sent_at: time at which it was sent, in seconds.
        """
        self._expected.append(_LateArrival(service, target, sent_at))
        self._counts[service] += 1

    def remove_before(self, target, sent_at):
        """Remove what was sent to a target before a request that it has answered."""
        if not any(each.target == target for each in self._expected):
            return
        kept = deque()
        for each in self._expected:
            if each.target == target and each.sent_at <= sent_at:
                self._counts[each.service] -= 1
            else:
                kept.append(each)
        self._expected = kept
