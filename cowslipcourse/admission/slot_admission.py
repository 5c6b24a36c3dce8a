"""Decide which requests get the slots of one model, which wait, and which are refused.

Pure: time and everything that is known of the groups come in as arguments.
"""

from typing import NamedTuple

from cowslipcourse.admission.decaying_counts import DecayingCounts
from cowslipcourse.admission.expected_wait import (
    MIN_RETRY_AFTER_S,
    PromisedReturns,
    keeps_promise,
    retry_after_s,
)
from cowslipcourse.admission.priority_marks import (
    FULL_MARK,
    STARVED_FRACTION,
    PriorityDemand,
    SlotNeeds,
    priority_marks,
)
from cowslipcourse.admission.room_share import MAX_KEPT_SLOTS, RoomShare
from cowslipcourse.admission.waiting_queue import WaitingQueue
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.load_balancing.target_selection import choose_group

__all__ = ["Placement", "Refusal", "SlotAdmission", "SlotView", "TurnEstimate"]

SAMPLE_SIZE = 1
"""Of the groups below the mark any will do: while slots are scarce, the one that old
counts show as least loaded is where all daemons send."""
LATE_MARK = 1.0
"""Late requests take free slots only."""
SCARCE_FRACTION = 1.0
"""Fraction of the slots in flight from which slots are scarce."""
SCARCE_MEMORY_S = 4.0
"""Time for which slots count as scarce after counts have last shown it."""
RATE_TIME_CONSTANT_S = 15.0
MIN_OBSERVED_ENDS = 2.0
"""Recent ends below which the rate of freed slots is not known."""
MIN_REFUSING_FRACTION = 0.5
"""Fraction of the slots in flight below which nobody is refused at once."""
RETURN_THRESHOLD_S = 0.02
"""Earlier wait from which a request counts as a return; less is transit."""
LATE_FRACTION = 0.1
"""Fraction of the slots of a priority that late requests are reckoned to get at least,
while others of the same priority can still meet their objective."""


class SlotView(NamedTuple):
    """What is known of the groups of a model.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate` that
        may accept requests now.
    :param slots: slots of all groups, withheld ones included.
    :param in_flight: requests of all daemons in flight there.
    :param daemon_count: number of daemons.
    :param cost: :class:`~cowslipcourse.load_balancing.CandidateCost` that candidates
        are compared by while slots are not scarce, or ``None``.
    """

    candidates: list
    slots: int
    in_flight: int
    daemon_count: int
    cost: object = None


class Placement(NamedTuple):
    """A request and the target that it is sent to.

    :param waiter: :class:`~cowslipcourse.admission.waiting_queue.Waiter`
    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    """

    waiter: object
    entry: object


class TurnEstimate(NamedTuple):
    """When the turn of a request is expected.

    :param position: requests ahead of it, with promised returns.
    :param wait_s: seconds; ``None`` if nothing is known.
    :param mark: fraction of a group's slots up to which it may be placed.
    """

    position: int
    wait_s: float | None
    mark: float


class Refusal(NamedTuple):
    """When a refused caller is told to come back.

    :param retry_after_s: seconds.
    :param is_promised: whether it is expected to be served then.
    """

    retry_after_s: float
    is_promised: bool


class SlotAdmission:
    """The waiting requests of one model at one daemon, and their slots.

    :param rng: :class:`random.Random`
    """

    def __init__(self, rng):
        self._rng = rng
        self._demand = PriorityDemand()
        self._promises = PromisedReturns()
        self._room_share = RoomShare()
        self._ends = DecayingCounts(RATE_TIME_CONSTANT_S)
        self._in_flight_at_ends = DecayingCounts(RATE_TIME_CONSTANT_S)
        self._last_scarce_at = float("-inf")
        self._running_fraction = 1.0
        self.queue = WaitingQueue()

    def record_end(self, target, own_in_flight, now):
        """Record that a request of this daemon has ended at a group of the model.

        :param target: id of the target.
        :param own_in_flight: this daemon's requests that it leaves in flight.
        """
        self._ends.add(None, now)
        self._in_flight_at_ends.add(None, now, own_in_flight * self._running_fraction)
        self._room_share.record_freed(target)

    def arrive(self, waiter, now):
        """Add a request to the queue.

        A return that is earlier than told keeps no earlier wait and is no new demand.

        :param waiter: :class:`~cowslipcourse.admission.waiting_queue.Waiter`
        :returns: the waiter as it is in the queue.
        """
        waited_s, priority = waiter.call.waited_elsewhere_s, waiter.priority
        is_return = waited_s > RETURN_THRESHOLD_S
        is_early = is_return and waited_s < MIN_RETRY_AFTER_S
        if is_early:
            waiter = waiter._replace(is_early=True)
        else:
            self._demand.record_arrival(priority, is_return, now)
            waiter = waiter._replace(
                is_return=keeps_promise(waited_s, waiter.call.route.timeout_s),
                credited_wait_s=waited_s,
            )
        if is_return:
            self._promises.consume(priority)
        self.queue.add(waiter, now)
        return waiter

    def place(self, view, now):
        """Remove the requests that can be placed from the queue and return them.

        :param view: :class:`SlotView`
        :param now: loop time.
        :returns: list of :class:`Placement`
        """
        placements = []
        self._running_fraction = min(1.0, view.slots / max(view.in_flight, 1))
        while len(self.queue):
            placement = self._place_one(view, now)
            if placement is None:
                break
            placements.append(placement)
            view = _with_request(view, placement.entry)
            self._room_share.take(placement.entry.id)
            self.queue.remove(placement.waiter)
            self.queue.record_placed(placement.waiter, now)
            self._demand.record_placed(placement.waiter.priority, now)
        return placements

    def _place_one(self, view, now):
        needs, starved = self._needs(view, now), self._demand.starved(now)
        marks = self._marks(needs, view, now)
        paced = self._paced_priorities(needs, view, now)
        self._room_share.refill(view.candidates, view.daemon_count, now)
        cap = FULL_MARK
        for waiter in self.queue.ordered(starved, now):
            mark = self._mark(waiter, marks, starved, now)
            if waiter.priority not in starved:
                # Requests behind one that finds no room must not pass it.
                cap = mark = min(cap, mark)
            untried = [
                c
                for c in _below(view.candidates, mark)
                if c.entry.id not in waiter.tried_ids
            ]
            is_paced = waiter.priority in paced and not waiter.was_sent
            candidate = self._choose(waiter, untried, is_paced, view, now)
            if candidate is not None:
                return Placement(waiter, candidate.entry)
        return None

    def _choose(self, waiter, untried, is_paced, view, now):
        if not self._are_slots_scarce(view, now):
            return choose_group(
                untried,
                waiter.tried_ids,
                self._rng,
                cost=view.cost,
                size=waiter.call.caller_headers.size,
                now=now,
            )
        min_slots = MAX_KEPT_SLOTS if waiter.is_early else 1.0
        own = self._room_share.choose(untried, min_slots, self._rng)
        if own is not None or is_paced:
            return own
        return choose_group(
            untried, waiter.tried_ids, self._rng, sample_size=SAMPLE_SIZE
        )

    def _needs(self, view, now):
        service_s = self._service_s(now)
        needed = self._demand.needed_slots(service_s, view.daemon_count, now)
        return SlotNeeds(needed, view.slots, service_s)

    def _are_slots_scarce(self, view, now):
        """Whether counts show or have lately shown more in flight than slots."""
        if view.in_flight >= SCARCE_FRACTION * view.slots:
            self._last_scarce_at = now
        return now - self._last_scarce_at <= SCARCE_MEMORY_S

    def _is_too_much_asked_for(self, view, now):
        """Whether it is known that not all requests can be served.

        Returns do not count: after a burst they are many, and fit in the end.
        """
        service_s = self._service_s(now)
        return not service_s or self._demand.first_requests_exceed(
            view.slots, service_s, view.daemon_count, now
        )

    def _marks(self, needs, view, now):
        """Return the mark of each priority; nothing is held back without need."""
        return priority_marks(needs) if self._are_slots_scarce(view, now) else {}

    def _paced_priorities(self, needs, view, now):
        """Return the priorities whose requests take only this daemon's part."""
        if not self._are_slots_scarce(view, now):
            return frozenset()
        if not needs.by_priority or not self._is_too_much_asked_for(view, now):
            return frozenset()
        most_urgent = min(needs.by_priority)
        if self._demand.surely_exceeds(
            most_urgent, needs.slots, needs.service_s, view.daemon_count, now
        ):
            return frozenset(needs.by_priority)
        return needs.by_priority.keys() - {most_urgent}

    def _mark(self, waiter, marks, starved, now):
        limit = LATE_MARK if waiter.is_late(now) else FULL_MARK
        if waiter.priority in starved:
            return limit
        return min(limit, marks.get(waiter.priority, FULL_MARK))

    def _service_s(self, now):
        """Return the mean seconds for which a request runs; 0 if not known.

        Requests in flight that are more than the slots wait at their groups.
        """
        ends = self._ends.counts(now).get(None, 0.0)
        if ends < MIN_OBSERVED_ENDS:
            return 0.0
        mean_in_flight = self._in_flight_at_ends.counts(now).get(None, 0.0) / ends
        return mean_in_flight / self._ends.rate_per_s(None, now)

    def estimate(self, waiter, view, now):
        """Return the :class:`TurnEstimate` of a waiting request."""
        priority = waiter.priority
        ahead = self.queue.count_ahead(waiter, now)
        if not waiter.is_return:
            ahead += self._promises.count(priority, now)
        needs, starved = self._needs(view, now), self._demand.starved(now)
        mark = self._mark(waiter, self._marks(needs, view, now), starved, now)
        is_paced = priority in self._paced_priorities(needs, view, now)
        # Requests that are not paced may take slots that other daemons have freed.
        own_turn = 1 if is_paced else 1 / view.daemon_count
        wait_s = self._expected_wait_s(waiter, ahead + own_turn, view, now)
        return TurnEstimate(ahead, wait_s, mark)

    def _expected_wait_s(self, waiter, turns, view, now):
        """Return the expected wait in seconds, ``None`` if nothing is known.

        A request that becomes late while it waits is passed by those of its priority
        that arrive after it and are not late.

        :param turns: slots that must come free here until it is placed.
        """
        priority, freed_per_s = waiter.priority, self._freed_per_s(view, now)
        if not freed_per_s:
            return None
        arrivals_per_s = self._demand.rate_per_s(now)
        urgent_per_s = self._demand.rate_per_s(now, above=priority)
        first_per_s = self._demand.first_requests_per_s(priority, now)
        own_fraction = min(1.0, first_per_s / max(arrivals_per_s, first_per_s, 1e-9))
        guaranteed_per_s = STARVED_FRACTION * own_fraction * freed_per_s
        rate_per_s = max(freed_per_s - urgent_per_s, guaranteed_per_s)
        wait_s = turns / rate_per_s if rate_per_s else None
        if wait_s is None:
            return None
        wait_s *= self.queue.relative_usage(waiter, now)
        if not self._is_too_much_asked_for(view, now):
            return wait_s
        if not waiter.is_late(now + wait_s):
            return wait_s
        late_per_s = max(rate_per_s - first_per_s, LATE_FRACTION * rate_per_s)
        return turns / late_per_s

    def _freed_per_s(self, view, now):
        """Return the slots that come free here per second; 0 if not known."""
        service_s = self._service_s(now)
        if not service_s:
            return 0.0
        part_per_s = view.slots / (service_s * view.daemon_count)
        return max(self._ends.rate_per_s(None, now), part_per_s)

    def must_refuse(self, waiter, view, estimate, now):
        """Whether a request is refused instead of waiting any longer.

        :param estimate: :class:`TurnEstimate`
        """
        if waiter.was_sent or not view.slots:
            return False
        is_calm = view.in_flight < MIN_REFUSING_FRACTION * view.slots
        if is_calm and len(self.queue) <= 1:
            return False
        return estimate.wait_s is not None and estimate.wait_s > waiter.give_up_at - now

    def refuse(self, waiter, estimate, now):
        """Remove a request from the queue and return its :class:`Refusal`.

        :param estimate: :class:`TurnEstimate` with a known wait.
        """
        self.queue.remove(waiter)
        left_s = max(0.0, waiter.call.deadline - now)
        may_promise = waiter.call.waited_s(now) <= RETURN_THRESHOLD_S
        seconds, is_promised = retry_after_s(
            estimate.wait_s, left_s, may_promise, self._rng
        )
        if is_promised:
            self._promises.add(waiter.priority, now + seconds)
        return Refusal(seconds, is_promised)


def _below(candidates, mark):
    return [c for c in candidates if c.in_flight < c.slots * mark]


def _with_request(view, entry):
    """Return a view with one more request at a target."""
    candidates = [
        Candidate(c.entry, c.in_flight + 1, c.slots) if c.entry.id == entry.id else c
        for c in view.candidates
    ]
    return view._replace(candidates=candidates, in_flight=view.in_flight + 1)
