"""Steps for the urgency of requests, and a simulation with and without it."""

import heapq
import itertools

from behave import given, then, when

from cowslipcourse.admission.prior_wait import MAX_BUDGETS_PER_ROUTE, PriorWaitEstimator
from cowslipcourse.admission.urgency import urgency
from cowslipcourse.routes import RequestKind, Route, Workspace

TIMEOUT_S = 8.0
OBJECTIVE_S = 0.5


def _route(priority):
    return Route(
        "draft",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        TIMEOUT_S,
        OBJECTIVE_S,
        priority,
        2,
    )


def _parse_number(text, type_=float):
    return None if text == "none" else type_(text)


@given(
    "a route of priority {priority:d} with a time-out of 8 s and an objective of 0.5 s"
)
def step_route(context, priority):
    context.route = _route(priority)


@given("a workspace of priority {priority}")
def step_workspace(context, priority):
    context.workspace = Workspace("crew", _parse_number(priority, int))


@when("a request with a budget of {budget_s} s has waited {local_wait_s:f} s")
def step_request_waited(context, budget_s, local_wait_s):
    waited_s = (
        _make_estimator().observe(context.route, _parse_number(budget_s)) + local_wait_s
    )
    context.urgency = urgency(context.route, context.workspace, waited_s)


@then("its urgency is {expected:d}")
def step_urgency(context, expected):
    assert context.urgency == expected, context.urgency


@given("a group that runs {slots:d} requests at once for {run_s:f} s each")
def step_group(context, slots, run_s):
    context.slots = slots
    context.run_s = run_s


@when(
    "{retrying:d} callers retry after an outage of {outage_s:f} s and {new:d} new ones "
    "come in the next second"
)
def step_arrivals(context, retrying, outage_s, new):
    # Time of arrival and prior wait, in seconds.
    retries = [(0.0, outage_s * (1 - number / retrying)) for number in range(retrying)]
    new_requests = [(number / new, 0.0) for number in range(new)]
    context.arrivals = sorted(retries + new_requests)


def _simulate(context, level):
    """Return the total waits in seconds, prior ones included, until requests start.

    Requests are admitted by level, then by arrival.
    """
    free_at = [0.0] * context.slots
    waiting, waits = [], []
    arrivals = iter([*context.arrivals, None])
    sequence = itertools.count()
    upcoming = next(arrivals)
    while waiting or upcoming:
        now = heapq.heappop(free_at)
        if not waiting:
            now = max(now, upcoming[0])
        while upcoming and upcoming[0] <= now:
            heapq.heappush(waiting, (level(upcoming), next(sequence), upcoming))
            upcoming = next(arrivals)
        _, _, (arrived_at, prior_wait_s) = heapq.heappop(waiting)
        waits.append(prior_wait_s + now - arrived_at)
        heapq.heappush(free_at, now + context.run_s)
    return waits


def _make_estimator():
    """Return an estimator that has observed only the route's own time-out."""
    estimator = PriorWaitEstimator()
    for _ in range(MAX_BUDGETS_PER_ROUTE):
        estimator.observe(_route(1), TIMEOUT_S)
    return estimator


def _urgency_level(request):
    return urgency(
        _route(1), None, _make_estimator().observe(_route(1), TIMEOUT_S - request[1])
    )


def _count_on_time(waits):
    return sum(wait <= OBJECTIVE_S for wait in waits)


@then("by urgency at least twice as many are on time as in the order of arrival")
def step_more_on_time(context):
    context.waits = [
        _simulate(context, _urgency_level),
        _simulate(context, lambda request: 0),
    ]
    by_urgency, by_arrival = map(_count_on_time, context.waits)
    assert by_urgency >= 2 * by_arrival, (by_urgency, by_arrival)


@then("all are served before their time-out in either order")
def step_all_in_time(context):
    for waits in context.waits:
        assert len(waits) == len(context.arrivals)
        assert max(waits) < TIMEOUT_S, max(waits)
