"""Steps for emulated runs with rate limits."""

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
