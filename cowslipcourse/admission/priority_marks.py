"""How far requests of each priority may fill the groups of a model.

Each daemon knows its own arrivals only. Requests are spread about evenly over the
daemons, so what all daemons need follows from its own arrivals. Requests in flight are
known in total, not by priority: a mark on the total keeps room for more urgent ones.
"""

import math
from typing import NamedTuple

from cowslipcourse.admission.decaying_counts import DecayingCounts
from cowslipcourse.load_balancing.target_selection import MAX_QUEUED_FRACTION

__all__ = ["FULL_MARK", "PriorityDemand", "SlotNeeds", "priority_marks"]

FULL_MARK = 1 + MAX_QUEUED_FRACTION
"""Mark of requests for which nothing is held back."""
MAX_HELD_BACK_FRACTION = 0.25
"""Fraction of a group's slots that is kept for more urgent requests: the room to queue,
and a margin for groups that are fuller than counts show."""
DEMAND_TIME_CONSTANT_S = 6.0
"""Bursts begin and end within some seconds; a shorter time would be noise at daemons
that get a request a second."""
SERVED_TIME_CONSTANT_S = 10.0
STARVED_FRACTION = 0.4
"""A priority that is placed less than this fraction as often as all goes first. Callers
count as starved from a quarter on; the rest is a margin for uneven daemons."""
MIN_STARVED_ARRIVALS = 2.0
"""Recent arrivals of a priority below which it does not count as starved."""


class SlotNeeds(NamedTuple):
    """What requests of all daemons need, and what there is.

    :param by_priority: slots that the requests of each priority need.
    :param slots: slots of all groups of the model.
    :param service_s: mean seconds for which a request holds a slot.
    """

    by_priority: dict[int, float]
    slots: int
    service_s: float


class PriorityDemand:
    """Recent arrivals and placements of one model at this daemon, by priority."""

    def __init__(self):
        self._arrivals = DecayingCounts(DEMAND_TIME_CONSTANT_S)
        self._owed = DecayingCounts(SERVED_TIME_CONSTANT_S)
        self._placed = DecayingCounts(SERVED_TIME_CONSTANT_S)

    def record_arrival(self, priority, is_return, now):
        """Record that a request has arrived.

        :param is_return: whether its caller was refused before.
        """
        self._arrivals.add(priority, now)
        if not is_return:
            self._owed.add(priority, now)

    def record_placed(self, priority, now):
        """Record that a request was given a slot."""
        self._placed.add(priority, now)

    def rate_per_s(self, now, above=None):
        """Return the requests that arrive here per second.

        :param above: count only those more urgent than this priority.
        """
        return sum(
            self._arrivals.rate_per_s(priority, now)
            for priority in self._arrivals.counts(now)
            if above is None or priority < above
        )

    def first_requests_per_s(self, priority, now):
        """Return the requests of a priority per second that are no returns."""
        return self._owed.rate_per_s(priority, now)

    def surely_exceeds(self, priority, slots, service_s, daemon_count, now):
        """Whether the requests of one priority need more than some slots.

        :param slots: number of slots.
        """
        needed = _certain_count(self._arrivals.counts(now).get(priority, 0.0))
        needed_per_s = needed * self._arrivals.per_s_of_count(now)
        return needed_per_s * service_s * daemon_count > slots

    def first_requests_exceed(self, slots, service_s, daemon_count, now):
        """Whether all requests but returns need more than some slots.

        :param slots: number of slots.
        """
        count = sum(self._owed.counts(now).values())
        needed_per_s = count * self._owed.per_s_of_count(now)
        return needed_per_s * service_s * daemon_count > slots

    def needed_slots(self, service_s, daemon_count, now):
        """Return the slots that all daemons need, by priority.

        :param service_s: mean seconds for which a request holds a slot.
        :param daemon_count: number of daemons.
        :param now: loop time.
        """
        return {
            priority: self._arrivals.rate_per_s(priority, now)
            * service_s
            * daemon_count
            for priority in self._arrivals.counts(now)
        }

    def starved(self, now):
        """Return the priorities that are placed much less often than all."""
        owed, placed = self._owed.counts(now), self._placed.counts(now)
        total_owed = sum(owed.values())
        if not total_owed:
            return frozenset()
        usual = sum(placed.values()) / total_owed
        return frozenset(
            priority
            for priority, count in owed.items()
            if count >= MIN_STARVED_ARRIVALS
            and placed.get(priority, 0.0) < STARVED_FRACTION * usual * count
        )


def _certain_count(count):
    """Return a count less its standard deviation.

    A daemon that gets few requests knows little of what all get.
    """
    return max(0.0, count - math.sqrt(count))


def priority_marks(needs):
    """Return the mark of each priority, as a fraction of the slots of a group.

    Nothing is held back while all that is asked for fits, or for a priority that none
    more urgent has been asked for. Otherwise the groups keep room for the more urgent
    requests.

    :param needs: :class:`SlotNeeds`
    :returns: mark by priority.
    """
    if needs.slots <= 0:
        return dict.fromkeys(needs.by_priority, FULL_MARK)
    excess = max(0.0, sum(needs.by_priority.values()) / needs.slots - 1)
    marks, urgent_need = {}, 0.0
    for priority in sorted(needs.by_priority):
        held_back = min(MAX_HELD_BACK_FRACTION, urgent_need, excess)
        marks[priority] = FULL_MARK - held_back
        urgent_need += needs.by_priority[priority] / needs.slots
    return marks
