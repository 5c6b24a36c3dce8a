"""Daemons that share a retry budget, with random traffic, kills, stops and joins."""

import heapq
import random
from typing import NamedTuple

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.entry.settings import RetrySettings
from features.support.budget_oracle import worst_window

__all__ = [
    "Event",
    "FleetRun",
    "Traffic",
    "budget_violations",
    "late_budget_violations",
    "play",
]

SERVICE = "llm"
TARGETS = tuple(f"t{number}" for number in range(9))
MAX_REPEATS = 2
REPEAT_DELAY_S = 0.3
"""Longest time from an attempt to the next one."""
RESTART_DELAY_S = 0.5
FIRST_READ_S = 1.0
"""Longest time from a start until the daemon knows how many there are."""
NOTICE_S = 1.0
"""Longest time until daemons know of one that has joined."""
HEDGE_DELAY_S = 1.0
"""Time from a request to a target that stands still to the next attempt."""
DEADLINE_S = 8.0
"""Time from a request until its caller leaves, and the daemon gives it up."""
READ_AFTER_S = 0.5
"""Longest time in which targets that go on read what has been sent meanwhile."""
DRAIN_S = 4.0
"""Time for which a stopping daemon still serves beside the one that replaces it."""


class Traffic(NamedTuple):
    """Requests of callers, and the time in which targets break answers off.

    :param requests_per_s: requests per second at all daemons together.
    :param fails_from_s: start of the time in which answers break off.
    :param fails_until_s: end of that time.
    :param failed_fraction: fraction of the answers that break off in it.
    :param changed_rate: rate of requests from the middle of that time on, relative to
        that before.
    :param ends_at_s: time of the last request.
    :param still_from_s: start of the time in which targets stand still.
    :param still_until_s: end of that time.
    """

    requests_per_s: float
    fails_from_s: float
    fails_until_s: float
    failed_fraction: float
    changed_rate: float
    ends_at_s: float
    still_from_s: float = 0.0
    still_until_s: float = 0.0


class Event(NamedTuple):
    """A change of the fleet.

    :param at_s: its time in seconds.
    :param kind: ``"kill"``, ``"join"``, ``"leave"`` or ``"replace"``.
    :param slot: number of the daemon's VM.
    """

    at_s: float
    kind: str
    slot: int


class FleetRun:
    """Plays traffic at daemons that share a budget.

    :param settings: :class:`~cowslipcourse.entry.settings.RetrySettings`
    :param daemon_count: number of daemons at the start.
    :param traffic: :class:`Traffic`
    :param events: :class:`Event` sequence.
    :param rng: :class:`random.Random`
    """

    def __init__(self, settings, daemon_count, traffic, events, rng):
        self.settings = settings
        self.requests = []
        self.repeats = []
        self._traffic = traffic
        self._rng = rng
        self._budgets = {}
        self._stopping = []
        self._ended = set()
        self._listed_slots = set(range(daemon_count))
        self._queue = []
        self._order = 0
        for slot in range(daemon_count):
            self._start(slot, 0.0)
        for event in events:
            self._schedule(event.at_s, self._apply, event)
        self._schedule(0.0, self._request)

    def run(self):
        """Play everything; :attr:`requests` and :attr:`repeats` are filled in order."""
        while self._queue:
            now, _, action, arguments = heapq.heappop(self._queue)
            action(now, *arguments)

    def _schedule(self, at_s, action, *arguments):
        self._order += 1
        heapq.heappush(self._queue, (at_s, self._order, action, arguments))

    def _start(self, slot, now):
        budget = SharedRetryBudget(self.settings)
        self._budgets[slot] = budget
        known_at = now + self._rng.uniform(0.0, FIRST_READ_S)
        self._schedule(known_at, self._tell_count, budget)

    def _tell_count(self, now, budget):
        budget.set_daemon_count(len(self._listed_slots), now)

    def _apply(self, now, event):
        slot = event.slot
        if event.kind == "join":
            self._listed_slots.add(slot)
            self._start(slot, now)
            for budget in self._budgets.values():
                told_at = now + self._rng.uniform(0.0, NOTICE_S)
                self._schedule(told_at, self._tell_count, budget)
            return
        budget = self._budgets.pop(slot, None)
        if budget is None:
            return
        if event.kind != "replace":
            self._ended.add(budget)
        else:
            self._stopping.append(budget)
            self._schedule(now + DRAIN_S, self._end, budget)
        if event.kind != "leave":
            delay_s = 0.0 if event.kind == "replace" else RESTART_DELAY_S
            self._schedule(now + delay_s, self._restart, slot)

    def _restart(self, now, slot):
        self._start(slot, now)

    def _end(self, now, budget):
        self._stopping.remove(budget)
        self._ended.add(budget)

    def _request(self, now):
        if now < self._traffic.ends_at_s:
            interval_s = self._rng.expovariate(self._rate(now))
            self._schedule(now + interval_s, self._request)
        self.requests.append(now)
        budgets = [*self._budgets.values(), *self._stopping]
        if not budgets:
            return
        budget = self._rng.choice(budgets)
        budget.record_request(SERVICE, now)
        budget.record_send(SERVICE, now)
        if self._traffic.still_from_s <= now < self._traffic.still_until_s:
            self._schedule(now + HEDGE_DELAY_S, self._hedge, budget)
            return
        budget.record_answer(SERVICE, self._rng.choice(TARGETS), now, now)
        self._attempt_ended(now, budget, MAX_REPEATS)

    def _rate(self, now):
        traffic = self._traffic
        changes_at_s = (traffic.fails_from_s + traffic.fails_until_s) / 2
        factor = 1.0 if now < changes_at_s else traffic.changed_rate
        return traffic.requests_per_s * factor

    def _attempt_ended(self, now, budget, repeats_left):
        """Schedule another attempt if this one fails."""
        traffic = self._traffic
        fails = traffic.fails_from_s <= now < traffic.fails_until_s
        if not fails or self._rng.random() >= traffic.failed_fraction:
            return
        if repeats_left:
            repeated_at = now + self._rng.uniform(0.0, REPEAT_DELAY_S)
            self._schedule(repeated_at, self._repeat, budget, repeats_left)

    def _repeat(self, now, budget, repeats_left):
        if budget in self._ended or not budget.try_take(SERVICE, now):
            return
        self._arrive(now, budget)
        self._attempt_ended(now, budget, repeats_left - 1)

    def _hedge(self, now, budget):
        """Send a request at a silent target to another one, which may be silent too."""
        if budget in self._ended or not budget.try_take(SERVICE, now, is_hedge=True):
            return
        target = self._rng.choice(TARGETS)
        continued_at = max(now, self._traffic.still_until_s)
        read_at = continued_at + self._rng.uniform(0.0, READ_AFTER_S)
        given_up_at = now + DEADLINE_S - HEDGE_DELAY_S
        if given_up_at < read_at:
            self._schedule(given_up_at, self._give_up, budget, target, now)
            self._schedule(read_at, self._arrive_late)
        else:
            self._schedule(read_at, self._arrive, budget)

    def _give_up(self, now, budget, target, sent_at):
        budget.expect_late(SERVICE, target, sent_at)
        budget.settle(SERVICE)

    def _arrive_late(self, now):
        self.repeats.append(now)

    def _arrive(self, now, budget):
        self._arrive_late(now)
        budget.settle(SERVICE)


def play(settings, daemon_count, traffic, events, rng):
    """Return the :class:`FleetRun` of a plan after it has been played."""
    run = FleetRun(settings, daemon_count, traffic, events, rng)
    run.run()
    return run


def _random_plan(rng, daemon_count):
    """Return the :class:`Traffic` and the :class:`Event` list of a random run."""
    fails_from_s = rng.uniform(2.0, 20.0)
    fails_until_s = fails_from_s + rng.uniform(4.0, 14.0)
    busiest = min(20.0 * daemon_count, 1600.0)
    traffic = Traffic(
        rng.uniform(0.1 * daemon_count, busiest),
        fails_from_s,
        fails_until_s,
        rng.choice([0.3, 0.9, 1.0]),
        rng.choice([0.3, 1.0, 1.0, 2.0]),
        fails_until_s + 3.0,
    )
    events = []
    for _ in range(rng.randint(1, 3)):
        at_s = rng.uniform(fails_from_s - 2.0, fails_until_s)
        events += _random_events(rng, daemon_count, at_s)
    return traffic, events


def _random_events(rng, daemon_count, at_s):
    slots = list(range(daemon_count))
    kind = rng.choice(["kill", "kill", "replace", "leave", "join"])
    if kind == "join":
        first = daemon_count + rng.randrange(1000)
        slots = list(range(first, first + max(1, daemon_count * 3 // 4)))
    elif kind == "leave":
        slots = rng.sample(slots, daemon_count // 3)
    elif rng.random() < 0.4:
        slots = rng.sample(slots, daemon_count // 2)
    gap_s = rng.choice([0.0, 0.0, rng.uniform(0.0, 6.0) / daemon_count])
    return [Event(at_s + n * gap_s, kind, slot) for n, slot in enumerate(slots)]


def budget_violations(seed):
    """Return what is wrong with a random run, as a list of texts."""
    rng = random.Random(seed)
    daemon_count = rng.choice([8, 8, 8, 64, 64, 410])
    settings = RetrySettings(slack=rng.choice([20.0, 134.0, 134.0, 300.0]))
    traffic, events = _random_plan(rng, daemon_count)
    run = play(settings, daemon_count, traffic, events, rng)
    return _violations(run, daemon_count, events)


def late_budget_violations(seed):
    """Return what is wrong with a random run in which targets stand still."""
    rng = random.Random(seed)
    daemon_count = rng.choice([8, 8, 64])
    settings = RetrySettings(slack=rng.choice([20.0, 134.0, 300.0]))
    traffic, events = _random_plan(rng, daemon_count)
    still_from_s = rng.uniform(1.0, traffic.fails_from_s)
    still_until_s = still_from_s + rng.choice([24.0, 90.0]) * rng.uniform(0.1, 1.0)
    traffic = traffic._replace(
        still_from_s=still_from_s,
        still_until_s=still_until_s,
        ends_at_s=max(traffic.ends_at_s, still_until_s + 3.0),
    )
    if rng.random() < 0.7:
        kill_at_s = rng.uniform(still_from_s, still_until_s)
        events += [Event(kill_at_s, "kill", slot) for slot in range(daemon_count)]
    run = play(settings, daemon_count, traffic, events, rng)
    return _violations(run, daemon_count, events)


def _violations(run, daemon_count, events):
    settings = run.settings
    if not run.repeats:
        return []
    window = worst_window(settings, run.requests, run.repeats)
    if not window.is_violation:
        return []
    kinds = sorted({event.kind for event in events})
    return [
        f"{window.repeats} repeats from {window.begins_at:.3f} s, allowed "
        f"{window.allowed:.1f}; {daemon_count} daemons, events {kinds}"
    ]
