"""When a request's turn comes, and when a refused one should come back. No I/O."""

from collections import deque

__all__ = ["PromisedReturns", "keeps_promise", "retry_after_s"]

MAX_HONOURED_FRACTION = 1 / 3
"""Fraction of its time left for which a caller honours ``Retry-After``."""
MAX_PROMISED_FRACTION = 0.3
"""Fraction of its time left within which a caller is promised a turn. It is less than
what callers honour: those that come back later were told that their turn is too late
for them, and keep none."""
SPREAD_FRACTION = 0.25
"""Returns are spread by this fraction of the expected wait: turns come as slots come
free, not at exact times."""
MIN_RETRY_AFTER_S = 0.25
"""No caller is told to come back sooner, so one that does has not kept to it."""
TRANSIT_FRACTION = 0.02
"""Fraction of a route's time-out for the way of a request and its refusal."""
RETURN_GRACE_S = 1.0
"""Time after which a promised return that has not come is given up."""


class PromisedReturns:
    """Callers that were told to come back and have not done so yet.

    They return to any daemon. Each daemon promises and receives about as many, so its
    own promises tell what it is going to receive.
    """

    def __init__(self):
        self._due = {}

    def add(self, priority, due_at):
        """Add a return.

        :param due_at: loop time at which the caller is to return.
        """
        self._due.setdefault(priority, deque()).append(due_at)

    def consume(self, priority):
        """Remove the oldest promise of a priority, as a caller has come back."""
        if self._due.get(priority):
            self._due[priority].popleft()

    def count(self, priority, now):
        """Return the returns of the same or a more urgent priority still to come."""
        total = 0
        for each, due in self._due.items():
            while due and due[0] + RETURN_GRACE_S < now:
                due.popleft()
            if each <= priority:
                total += len(due)
        return total


def retry_after_s(turn_s, left_s, may_promise, rng):
    """Return the seconds after which a refused caller is told to come back.

    :param turn_s: seconds until its turn is expected.
    :param left_s: seconds that the caller has left.
    :param may_promise: whether a turn may be kept for it.
    :param rng: :class:`random.Random`
    :returns: seconds, and whether a turn is kept for it.
    """
    spread_s = turn_s * (1 + rng.uniform(-SPREAD_FRACTION, SPREAD_FRACTION))
    spread_s = max(MIN_RETRY_AFTER_S, spread_s)
    longest_s = MAX_PROMISED_FRACTION * left_s
    if may_promise and turn_s <= longest_s:
        return min(spread_s, longest_s), True
    return max(spread_s, MAX_HONOURED_FRACTION * left_s), False


def keeps_promise(waited_s, timeout_s):
    """Whether a caller comes back within the time for which turns are promised.

    :param waited_s: seconds that it has waited since it first asked.
    :param timeout_s: seconds that callers of its route have in all.
    """
    longest_s = (MAX_PROMISED_FRACTION + TRANSIT_FRACTION) * timeout_s
    return MIN_RETRY_AFTER_S <= waited_s <= longest_s
