"""Requests that wait for a slot of one model, in the order of their turns. No I/O."""

from typing import NamedTuple

from cowslipcourse.admission.decaying_counts import DecayingCounts
from cowslipcourse.admission.shares import max_min_shares
from cowslipcourse.admission.urgency import can_meet_objective, effective_priority

__all__ = ["Waiter", "WaitingQueue"]

USAGE_TIME_CONSTANT_S = 10.0
"""Time over which workspaces are compared."""
MIN_ASKED = 3.0
"""Recent requests of a workspace below which it is not compared."""
MAX_USAGE_FACTOR = 4.0
"""Limit on the comparison, which rests on few requests."""


class Waiter(NamedTuple):
    """A request that waits for a slot.

    :param number: unique in its queue, growing.
    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param has_events: whether the caller has events already; never late then.
    :param tried_ids: ids of targets that it must not be sent to again.
    :param give_up_at: loop time until which it may wait.
    :param is_return: whether its caller has come back at the turn that it was promised.
    :param is_early: whether its caller has come back sooner than any is told.
    :param credited_wait_s: earlier wait of its caller that counts for its turn.
    """

    number: int
    call: object
    has_events: bool
    tried_ids: frozenset
    give_up_at: float
    is_return: bool = False
    is_early: bool = False
    credited_wait_s: float = 0.0

    @property
    def priority(self):
        """The priority that applies to the request; 0 is the most urgent."""
        return effective_priority(self.call.route, self.call.workspace)

    @property
    def was_sent(self):
        """Whether it was sent to a target before, by this or another daemon."""
        return self.has_events or bool(self.tried_ids)

    @property
    def asked_at(self):
        """Loop time at which the caller first asked, as far as that counts."""
        return self.call.arrived_at - self.credited_wait_s

    def is_late(self, now):
        """Whether the request can no longer meet its objective.

        One that keeps its promised turn, or whose caller has events, is never late.
        """
        return not (
            self.has_events
            or self.is_return
            or can_meet_objective(self.call.route, self.call.waited_s(now))
        )


class WaitingQueue:
    """Orders requests by priority, lateness, share of their workspace and arrival."""

    def __init__(self):
        self._waiters = {}
        self._asked = DecayingCounts(USAGE_TIME_CONSTANT_S)
        self._placed = DecayingCounts(USAGE_TIME_CONSTANT_S)

    def __len__(self):
        """Return the number of requests that wait."""
        return len(self._waiters)

    def __contains__(self, waiter):
        return waiter.number in self._waiters

    def add(self, waiter, now):
        """Add a request."""
        self._waiters[waiter.number] = waiter
        if waiter.credited_wait_s == 0 and not waiter.is_early:
            self._asked.add(_customer(waiter), now)

    def remove(self, waiter):
        """Remove a request, which need not be there any more."""
        self._waiters.pop(waiter.number, None)

    def record_placed(self, waiter, now):
        """Count a request as served for its workspace."""
        self._placed.add(_customer(waiter), now)

    def ordered(self, starved, now):
        """Return the waiting requests in the order of their turns.

        :param starved: priorities whose requests go first.
        :param now: loop time.
        """
        usage = self._usage_by_customer(now)

        def turn(waiter):
            return (
                waiter.priority not in starved,
                waiter.priority,
                waiter.is_early,
                waiter.is_late(now),
                usage.get(_customer(waiter), 1.0),
                waiter.asked_at,
                waiter.number,
            )

        return sorted(self._waiters.values(), key=turn)

    def count_ahead(self, waiter, now):
        """Return the number of requests whose turn is before that of another one."""
        late, priority = waiter.is_late(now), waiter.priority
        return sum(
            (other.priority, other.is_late(now), other.asked_at)
            < (priority, late, waiter.asked_at)
            for other in self._waiters.values()
        )

    def waiting(self):
        """Return the waiting requests."""
        return list(self._waiters.values())

    def relative_usage(self, waiter, now):
        """Return what a request's workspace has had lately, relative to its share.

        It is 1 where too little is known.

        :param now: loop time.
        """
        if self._asked.counts(now).get(_customer(waiter), 0.0) < MIN_ASKED:
            return 1.0
        usage = self._usage_by_customer(now).get(_customer(waiter), 1.0)
        return min(max(usage, 1 / MAX_USAGE_FACTOR), MAX_USAGE_FACTOR)

    def _usage_by_customer(self, now):
        """Return usage relative to the share, by priority and workspace."""
        asked, placed = self._asked.counts(now), self._placed.counts(now)
        usage = {}
        for priority in {priority for priority, _ in asked}:
            demands = {each: n for each, n in asked.items() if each[0] == priority}
            capacity = sum(placed.get(each, 0.0) for each in demands)
            shares = max_min_shares(capacity, demands, dict.fromkeys(demands, 1.0))
            for each, share in shares.items():
                usage[each] = placed.get(each, 0.0) / share if share > 0 else 1.0
        return usage


def _customer(waiter):
    """Return the key by which requests share: priorities do not share."""
    return waiter.priority, waiter.call.workspace_name
