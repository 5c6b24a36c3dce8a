"""Steps over the urgency of requests, and a play of a load with and without it."""

import heapq
import itertools

from behave import given, then, when

from cowslipcourse.entry.patience import MAX_BUDGETS_PER_ROUTE, PriorWaitEstimator
from cowslipcourse.entry.urgency import urgency
from cowslipcourse.routes import RequestKind, Route, Workspace

TIMEOUT_S = 8.0
OBJECTIVE_S = 0.5


def _route(rank):
    return Route(
        "draft",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        TIMEOUT_S,
        OBJECTIVE_S,
        rank,
        2,
    )


def _number(text, kind=float):
    return None if text == "none" else kind(text)


@given("a route of rank {rank:d} with 8 s for an answer and an objective of 0.5 s")
def step_route(context, rank):
    context.route = _route(rank)


@given("a workspace whose rank is {rank}")
def step_workspace(context, rank):
    context.workspace = Workspace("crew", _number(rank, int))


@when("a request with a budget of {budget} s has waited {waited:f} s")
def step_waited(context, budget, waited):
    waited_s = _learned().observe(context.route, _number(budget)) + waited
    context.urgency = urgency(context.route, context.workspace, waited_s)


@then("its urgency is {expected:d}")
def step_urgency(context, expected):
    assert context.urgency == expected, context.urgency


@given("{places:d} requests at once run for {seconds:f} s each at one group")
def step_group(context, places, seconds):
    context.places = places
    context.run_s = seconds


@when(
    "{late:d} callers of an outage of {outage:f} s come back and {new:d} new ones come "
    "in the next second"
)
def step_load(context, late, outage, new):
    # Seconds of arrival, and of waiting before that.
    back = [(0.0, outage * (1 - number / late)) for number in range(late)]
    fresh = [(number / new, 0.0) for number in range(new)]
    context.load = sorted(back + fresh)


def _play(context, level):
    """Return the total waits until requests begin, admitted by level, then arrival."""
    free = [0.0] * context.places
    waiting, waits = [], []
    load = iter([*context.load, None])
    numbers = itertools.count()
    upcoming = next(load)
    while waiting or upcoming:
        now = heapq.heappop(free)
        if not waiting:
            now = max(now, upcoming[0])
        while upcoming and upcoming[0] <= now:
            heapq.heappush(waiting, (level(upcoming), next(numbers), upcoming))
            upcoming = next(load)
        _, _, (came_at, before_s) = heapq.heappop(waiting)
        waits.append(before_s + now - came_at)
        heapq.heappush(free, now + context.run_s)
    return waits


def _learned():
    """Return what a daemon knows of callers that all wait as long as the route says."""
    patience = PriorWaitEstimator()
    for _ in range(MAX_BUDGETS_PER_ROUTE):
        patience.observe(_route(1), TIMEOUT_S)
    return patience


def _level(request):
    return urgency(
        _route(1), None, _learned().observe(_route(1), TIMEOUT_S - request[1])
    )


def _on_time(waits):
    return sum(wait <= OBJECTIVE_S for wait in waits)


@then("by urgency at least twice as many are on time as in the order of arrival")
def step_more(context):
    context.waits = [_play(context, _level), _play(context, lambda request: 0)]
    by_urgency, by_arrival = map(_on_time, context.waits)
    assert by_urgency >= 2 * by_arrival, (by_urgency, by_arrival)


@then("all are served within their time in either order")
def step_all(context):
    for waits in context.waits:
        assert len(waits) == len(context.load)
        assert max(waits) < TIMEOUT_S, max(waits)
