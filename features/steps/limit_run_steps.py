"""Steps for emulated runs with engines that state limits or ask for pauses."""

import logging

from behave import given, then, when

from features.support.limit_runs import limit_settings, simulate_limits


@given(
    "an emulated site where {count:d} heads state a limit of {limit:g} requests per s "
    "for {duration:g} s"
)
def step_limited_heads(context, count, limit, duration):
    context.faults = [
        {
            "kind": "limit",
            "at_s": 1,
            "count": count,
            "limit_per_s": limit,
            "for_s": duration,
            "model": "small",
        }
    ]


@given(
    "an emulated site where {count:d} heads refuse all requests for {duration:g} s and "
    "ask for pauses of {pause:g} s"
)
def step_pausing_heads(context, count, duration, pause):
    context.faults = [
        {
            "kind": "pause",
            "at_s": 2,
            "count": count,
            "pause_s": pause,
            "for_s": duration,
        }
    ]


@when("it is simulated for {seconds:d} s with seeds {first:d} to {last:d}")
def step_simulate(context, seconds, first, last):
    settings = limit_settings(seconds, context.faults)
    logging.disable(logging.CRITICAL)
    try:
        context.results = [
            simulate_limits(settings, seed) for seed in range(first, last + 1)
        ]
    finally:
        logging.disable(logging.NOTSET)


@then("no limited engine gets more than its limit tolerates")
def step_no_excess(context):
    figures = [figure for result in context.results for figure in result.limits]
    assert figures, "no engine stated a limit"
    violations = [figure for figure in figures if figure.excess > 1]
    assert not violations, violations


@then("no engine gets more than {count:d} requests from a daemon within a pause")
def step_no_arrivals(context, count):
    figures = [figure for result in context.results for figure in result.pauses]
    assert figures, "no engine asked for a pause"
    violations = [figure for figure in figures if figure.most_arrivals > count]
    assert not violations, (len(violations), len(figures), violations[:5])
