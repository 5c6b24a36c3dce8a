"""Steps over the places of streams, with a play of more requests than groups run."""

import heapq
import itertools
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.entry.choosing import choose_group
from cowslipcourse.entry.fleet import Candidate
from cowslipcourse.entry.patience import PriorWaitEstimator
from cowslipcourse.entry.urgency import can_meet_objective
from cowslipcourse.routes import RequestKind, Route

LOOK_AGAIN_S = 0.02
GIVE_UP_S = 1.5
DEEP_QUEUE = 13


@given("a route with {timeout:d} s for an answer and an objective of {objective:f} s")
def step_route(context, timeout, objective):
    context.route = Route(
        "query",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        float(timeout),
        objective,
    )

    context.patience = PriorWaitEstimator()


def _budgets(number, low, high):
    return [low + (high - low) * each / number for each in range(number)]


@when("{number:d} new requests come with budgets from {low:f} to {high:f} s")
def step_new_requests(context, number, low, high):
    for budget_s in _budgets(number, low, high):
        context.patience.observe(context.route, budget_s)


@when(
    "{number:d} requests come again with budgets from {low:f} to {high:f} s, one "
    "new one to each three"
)
def step_old_requests(context, number, low, high):
    for each, budget_s in enumerate(_budgets(number, low, high)):
        context.patience.observe(context.route, budget_s)
        if each % 3 == 0:
            context.patience.observe(context.route, context.route.timeout_s)


def _can_be_on_time(context, budget_s):
    waited_elsewhere_s = context.patience.observe(context.route, budget_s)
    return can_meet_objective(context.route, waited_elsewhere_s)


@then("a new request with a budget of {budget:f} s can be on time")
def step_new(context, budget):
    assert _can_be_on_time(context, budget)


@then("a request that comes again with a budget of {budget:f} s cannot")
def step_again(context, budget):
    assert not _can_be_on_time(context, budget)


@when("requests of {number:d} routes come, one after the other")
def step_many_routes(context, number):
    context.patience = PriorWaitEstimator()
    for each in range(number):
        context.patience.observe(SimpleNamespace(name=f"r{each}", timeout_s=5.0), 5.0)


@then("budgets of {number:d} routes are kept")
def step_kept_routes(context, number):
    assert len(context.patience) == number, len(context.patience)


@given("a group that runs {slots:d} requests at once")
def step_group(context, slots):
    context.slots = slots


def _is_sent(context, in_flight, is_late):
    place = Candidate(SimpleNamespace(id="head"), in_flight, context.slots)
    rng = random.Random(1)
    return choose_group([place], set(), rng, is_late=is_late) is not None


@then(
    "a late request is sent to it while it has {few:d}, and not while it has {many:d}"
)
def step_late(context, few, many):
    assert _is_sent(context, few, True)
    assert not _is_sent(context, many, True)


@then(
    "one that can be on time is sent to it while it has {few:d}, and not while it has "
    "{many:d}"
)
def step_on_time(context, few, many):
    assert _is_sent(context, few, False)
    assert not _is_sent(context, many, False)


@given(
    "{groups:d} groups that run {slots:d} requests at once, for {run:f} s each, and an "
    "objective of {objective:f} s"
)
def step_groups(context, groups, slots, run, objective):
    context.load = SimpleNamespace(
        groups=groups, slots=slots, run_s=run, objective_s=objective
    )


class _Play:
    """Requests at groups that take the most urgent first; counts are known at once.

    :param load: groups, slots, seconds of a run, objective in seconds.
    :param choose: callable that takes places, a generator and whether it is late.
    """

    def __init__(self, load, choose):
        self._load = load
        self._choose = choose
        self._rng = random.Random(7)
        self._numbers = itertools.count()
        self._events = []
        self._running = [0] * load.groups
        self._queues = [[] for _ in range(load.groups)]
        self.waits = []

    def run(self, rate, length_s):
        """Play requests that come at random; return the waits of those answered."""
        now = 0.0
        while (now := now + self._rng.expovariate(rate)) < length_s:
            self._at(now, "came", now)
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "came":
                self._place(now, value)
            else:
                self._end(now, value)
        return self.waits

    def _at(self, when, kind, value):
        heapq.heappush(self._events, (when, next(self._numbers), kind, value))

    def _place(self, now, came_at):
        is_late = now - came_at > self._load.objective_s / 2
        places = [
            Candidate(SimpleNamespace(id=each), running + len(queue), self._load.slots)
            for each, (running, queue) in enumerate(
                zip(self._running, self._queues, strict=True)
            )
        ]
        chosen = self._choose(places, self._rng, is_late)
        if chosen is not None:
            group = chosen.entry.id
            heapq.heappush(self._queues[group], (is_late, next(self._numbers), came_at))
            self._begin(now, group)
        elif now - came_at < GIVE_UP_S:
            self._at(now + LOOK_AGAIN_S, "came", came_at)

    def _begin(self, now, group):
        if self._queues[group] and self._running[group] < self._load.slots:
            _, _, came_at = heapq.heappop(self._queues[group])
            self._running[group] += 1
            self.waits.append(now - came_at)
            run_s = self._load.run_s * self._rng.uniform(0.5, 1.5)
            self._at(now + run_s, "ended", group)

    def _end(self, now, group):
        self._running[group] -= 1
        self._begin(now, group)


def _by_rule(places, rng, is_late):
    return choose_group(places, set(), rng, is_late=is_late)


def _deep(places, rng, is_late):
    found = [place for place in places if place.in_flight < place.slots + DEEP_QUEUE]
    sampled = rng.sample(found, min(2, len(found)))
    return min(sampled, key=lambda place: place.in_flight, default=None)


@when("{factor:f} times as many requests come as they run, for {length:d} s")
def step_overload(context, factor, length):
    load = context.load
    rate = factor * load.groups * load.slots / load.run_s
    context.waits = _Play(load, _by_rule).run(rate, length)
    context.deep = _Play(load, _deep).run(rate, length)


@then(
    "at least {factor:f} times as many are on time as with a queue of 13 at each group"
)
def step_more_on_time(context, factor):
    limit_s = context.load.objective_s / 2
    by_rule, deep = (
        sum(wait <= limit_s for wait in waits)
        for waits in (context.waits, context.deep)
    )
    assert by_rule >= factor * deep, (by_rule, deep)


@then("at most a sixth fewer are answered in all")
def step_answered(context):
    assert len(context.waits) >= 5 / 6 * len(context.deep)
