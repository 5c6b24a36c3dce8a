"""Steps for the choice of slots for streams, with a simulation of overload."""

import heapq
import itertools
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.admission.prior_wait import PriorWaitEstimator
from cowslipcourse.admission.urgency import can_meet_objective
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.load_balancing.target_selection import choose_group
from cowslipcourse.routes import RequestKind, Route

RETRY_INTERVAL_S = 0.02
MAX_WAIT_S = 1.5
DEEP_QUEUE_LENGTH = 13


@given(
    "a route with a time-out of {timeout_s:d} s and an objective of {objective_s:f} s"
)
def step_route(context, timeout_s, objective_s):
    context.route = Route(
        "query",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        float(timeout_s),
        objective_s,
    )

    context.wait_estimator = PriorWaitEstimator()


def _evenly_spaced_budgets_s(count, low_s, high_s):
    return [low_s + (high_s - low_s) * index / count for index in range(count)]


@when("{request_count:d} new requests come with budgets from {low_s:f} to {high_s:f} s")
def step_new_requests(context, request_count, low_s, high_s):
    for budget_s in _evenly_spaced_budgets_s(request_count, low_s, high_s):
        context.wait_estimator.observe(context.route, budget_s)


@when(
    "{request_count:d} retried requests come with budgets from {low_s:f} to "
    "{high_s:f} s, one new one to each three"
)
def step_retried_requests(context, request_count, low_s, high_s):
    for index, budget_s in enumerate(
        _evenly_spaced_budgets_s(request_count, low_s, high_s)
    ):
        context.wait_estimator.observe(context.route, budget_s)
        if index % 3 == 0:
            context.wait_estimator.observe(context.route, context.route.timeout_s)


def _can_meet_objective(context, budget_s):
    prior_wait_s = context.wait_estimator.observe(context.route, budget_s)
    return can_meet_objective(context.route, prior_wait_s)


@then("a new request with a budget of {budget_s:f} s can meet the objective")
def step_new_can_meet_objective(context, budget_s):
    assert _can_meet_objective(context, budget_s)


@then("a retried request with a budget of {budget_s:f} s cannot")
def step_retried_cannot_meet_objective(context, budget_s):
    assert not _can_meet_objective(context, budget_s)


@when("requests of {route_count:d} routes come, one after the other")
def step_requests_of_many_routes(context, route_count):
    context.wait_estimator = PriorWaitEstimator()
    for index in range(route_count):
        context.wait_estimator.observe(
            SimpleNamespace(name=f"r{index}", timeout_s=5.0), 5.0
        )


@then("budgets of {route_count:d} routes are kept")
def step_retained_route_count(context, route_count):
    assert len(context.wait_estimator) == route_count, len(context.wait_estimator)


@given("a group that runs {slots:d} requests at once")
def step_group(context, slots):
    context.slots = slots


def _is_sent(context, in_flight, is_late):
    candidate = Candidate(SimpleNamespace(id="head"), in_flight, context.slots)
    rng = random.Random(1)
    return choose_group([candidate], set(), rng, is_late=is_late) is not None


@then(
    "a late request is sent to it while it has {below_limit:d}, and not while it has "
    "{limit:d}"
)
def step_late_sent(context, below_limit, limit):
    assert _is_sent(context, below_limit, True)
    assert not _is_sent(context, limit, True)


@then(
    "one that can meet its objective is sent to it while it has {below_limit:d}, and "
    "not while it has {limit:d}"
)
def step_on_time_sent(context, below_limit, limit):
    assert _is_sent(context, below_limit, False)
    assert not _is_sent(context, limit, False)


@given(
    "{groups:d} groups that run {slots:d} requests at once, for {run_s:f} s each, and "
    "an objective of {objective_s:f} s"
)
def step_groups(context, groups, slots, run_s, objective_s):
    context.load = SimpleNamespace(
        groups=groups, slots=slots, run_s=run_s, objective_s=objective_s
    )


class _OverloadSimulation:
    """Simulates requests at groups that run the most urgent first.

    In-flight counts are known without delay.

    :param load: has ``groups``, ``slots``, ``run_s`` and ``objective_s``.
    :param choose: called with candidates, a random generator and whether the request
        is late.
    """

    def __init__(self, load, choose):
        self._load = load
        self._choose = choose
        self._rng = random.Random(7)
        self._sequence = itertools.count()
        self._events = []
        self._running = [0] * load.groups
        self._queues = [[] for _ in range(load.groups)]
        self.waits = []

    def run(self, rate, duration_s):
        """Simulate random arrivals; return the waits in seconds of answered requests.

        :param rate: requests per second.
        """
        now = 0.0
        while (now := now + self._rng.expovariate(rate)) < duration_s:
            self._schedule(now, "arrival", now)
        while self._events:
            now, _, kind, value = heapq.heappop(self._events)
            if kind == "arrival":
                self._dispatch(now, value)
            else:
                self._complete(now, value)
        return self.waits

    def _schedule(self, due_at, kind, value):
        heapq.heappush(self._events, (due_at, next(self._sequence), kind, value))

    def _dispatch(self, now, arrived_at):
        is_late = now - arrived_at > self._load.objective_s / 2
        candidates = [
            Candidate(SimpleNamespace(id=index), running + len(queue), self._load.slots)
            for index, (running, queue) in enumerate(
                zip(self._running, self._queues, strict=True)
            )
        ]
        chosen = self._choose(candidates, self._rng, is_late)
        if chosen is not None:
            group = chosen.entry.id
            heapq.heappush(
                self._queues[group], (is_late, next(self._sequence), arrived_at)
            )
            self._start_next(now, group)
        elif now - arrived_at < MAX_WAIT_S:
            self._schedule(now + RETRY_INTERVAL_S, "arrival", arrived_at)

    def _start_next(self, now, group):
        if self._queues[group] and self._running[group] < self._load.slots:
            _, _, arrived_at = heapq.heappop(self._queues[group])
            self._running[group] += 1
            self.waits.append(now - arrived_at)
            run_s = self._load.run_s * self._rng.uniform(0.5, 1.5)
            self._schedule(now + run_s, "completion", group)

    def _complete(self, now, group):
        self._running[group] -= 1
        self._start_next(now, group)


def _choose_by_rule(candidates, rng, is_late):
    return choose_group(candidates, set(), rng, is_late=is_late)


def _choose_with_deep_queue(candidates, rng, is_late):
    with_room = [
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots + DEEP_QUEUE_LENGTH
    ]
    sampled = rng.sample(with_room, min(2, len(with_room)))
    return min(sampled, key=lambda candidate: candidate.in_flight, default=None)


@when(
    "{factor:f} times as many requests come as the groups can run, for {duration_s:d} s"
)
def step_overload(context, factor, duration_s):
    load = context.load
    rate = factor * load.groups * load.slots / load.run_s
    context.waits = _OverloadSimulation(load, _choose_by_rule).run(rate, duration_s)
    context.deep_queue_waits = _OverloadSimulation(load, _choose_with_deep_queue).run(
        rate, duration_s
    )


@then(
    "at least {factor:f} times as many are on time as with a queue of 13 at each group"
)
def step_more_on_time(context, factor):
    limit_s = context.load.objective_s / 2
    rule_count, deep_queue_count = (
        sum(wait <= limit_s for wait in waits)
        for waits in (context.waits, context.deep_queue_waits)
    )
    assert rule_count >= factor * deep_queue_count, (rule_count, deep_queue_count)


@then("at most a sixth fewer are answered in total")
def step_answered_in_total(context):
    assert len(context.waits) >= 5 / 6 * len(context.deep_queue_waits)
