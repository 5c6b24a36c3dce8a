"""Steps for the ceiling of load starts over several coordinators."""

from behave import given, then, when

from cowslipcourse.group_plans import LoadRateLimiter

CYCLE_S = 0.05
RUN_S = 60.0
WINDOW_S = 5.0
EXCESS = 1.1
EXTRA_LOADS = 3


@given("a ceiling of {rate:d} load starts per second, and more engines to be loaded")
def step_ceiling(context, rate):
    context.rate = rate


def _run(context, interval_s):
    """Let coordinators start loads in turn; each has been one long before."""
    context.started_at = []
    limiters = [LoadRateLimiter() for _ in range(3)]
    now, taken_over_at, turn = 0.0, 0.0, 0
    while now < RUN_S:
        if now - taken_over_at >= interval_s:
            turn, taken_over_at = turn + 1, now
            limiters[turn % 3].record_takeover(now)
        while limiters[turn % 3].try_acquire(context.rate, 1, now):
            context.started_at.append(now)
        now += CYCLE_S


@when(
    "a coordinator is lost every {interval_s:f} s, and the next one takes over at once"
)
def step_lost(context, interval_s):
    _run(context, interval_s)


@when("a single coordinator goes on for 60 s")
def step_single(context):
    _run(context, 2 * RUN_S)


@then("no window of 5 s has more load starts than the ceiling allows")
def step_within_ceiling(context):
    allowed = context.rate * WINDOW_S * EXCESS + EXTRA_LOADS
    for begins_at in context.started_at:
        ends_at = begins_at + WINDOW_S
        count = sum(begins_at <= at < ends_at for at in context.started_at)
        assert count <= allowed, (begins_at, count, allowed)


@then("it starts {rate:d} loads a second")
def step_rate(context, rate):
    assert abs(len(context.started_at) - rate * RUN_S) <= rate * WINDOW_S
