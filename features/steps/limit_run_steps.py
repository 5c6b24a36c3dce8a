"""Steps for emulated runs with engines that state limits or ask for pauses."""

import logging

from behave import given, then, when

from features.support.limit_runs import limit_settings, simulate_limits

PAUSES_BEGIN_S = 2


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
            "at_s": PAUSES_BEGIN_S,
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


@then(
    "no head gets more than {most:d} requests in {window:g} s after its pauses, one "
    "from each daemon"
)
def step_not_flooded(context, most, window):
    for result in context.results:
        arrivals_by_head, paused_until = {}, {}
        for figure in result.pauses:
            arrivals_by_head.setdefault(figure.engine, []).extend(figure.arrivals)
            end = max(at + pause_s for at, pause_s in figure.pauses)
            paused_until[figure.engine] = max(end, paused_until.get(figure.engine, 0))
        for head, arrivals in arrivals_by_head.items():
            returning = [at for at in arrivals if at < paused_until[head] + 1.0]
            counts = [
                sum(first <= at < first + window for at in returning)
                for first in returning
            ]
            assert max(counts) <= most, (head, max(counts))


@then(
    "later than {delay:g} s after the last refusals the heads get at least "
    "{fraction:g} of the requests per s that they got before"
)
def step_share_after_pauses(context, delay, fraction):
    before = after = 0.0
    for result in context.results:
        pauses = [pause for figure in result.pauses for pause in figure.pauses]
        arrivals = [at for figure in result.pauses for at in figure.arrivals]
        first_refusal = min(at for at, _ in pauses)
        settled_at = max(at + pause_s for at, pause_s in pauses) + delay
        # Arrivals of the last requests end with the run.
        last = max(arrivals) - 1.0
        before += sum(at < first_refusal for at in arrivals) / (
            first_refusal - min(arrivals)
        )
        after += sum(settled_at <= at < last for at in arrivals) / (last - settled_at)
    assert after >= fraction * before, (before, after)
