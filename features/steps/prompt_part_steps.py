"""Steps for parts of prompts that crash the targets that answer them."""

import logging

from behave import given, then, when

from features.support.part_runs import (
    MAX_LATE_ARRIVALS,
    part_fault,
    part_form_violations,
    part_violations,
    simulate_part_crashes,
)

PARTS = {
    "a part that crashes targets": [{}],
    "a part that was sound before": [{"part": "query-3"}],
    "a first part that crashes targets": [{"is_first_part": True}],
    "two parts that crash targets": [{}, {"part": "bad-too"}],
    "a part that crashes targets, and restarts": [{}],
}
FORMS = {
    "before any byte of their answers": "before-head",
    "right after the first event": "first-event",
    "after some events": "events",
}
RESTARTS = {"kind": "forget", "count": 8, "at_s": 4.5, "every_s": 1.2, "until_s": 60}
"""All daemons restart between each two or three crashes."""


@given(
    "an emulated site where {count:d} new requests with {part} come every "
    "{interval_s:g} s"
)
def step_part(context, count, part, interval_s):
    context.faults = [part_fault(count, interval_s, **extra) for extra in PARTS[part]]
    if part.endswith("restarts"):
        context.faults.append(RESTARTS)
    context.simulate_run = simulate_part_crashes


@given(
    "an emulated site with prompts of shared parts that loses {count:d} engines every "
    "{interval_s:d} s, {rest}"
)
def step_engine_losses(context, count, interval_s, rest):
    context.faults = [
        {"kind": "end", "count": count, "at_s": 2, "every_s": interval_s, "until_s": 60}
    ]
    context.simulate_run = simulate_part_crashes


def _quiet_violations(violations, seed):
    """Return the violations of a random run, without its log lines."""
    logging.disable(logging.CRITICAL)
    try:
        return violations(seed)
    finally:
        logging.disable(logging.NOTSET)


@when("a random run with crashing parts is made with seed {seed:d}")
def step_random_run(context, seed):
    context.violations = _quiet_violations(part_violations, seed)


@when("a random run with parts that crash targets in different ways has seed {seed:d}")
def step_random_forms(context, seed):
    context.violations = _quiet_violations(part_form_violations, seed)


@given("targets that crash {form}")
def step_form(context, form):
    for fault in context.faults:
        fault["crash_form"] = FORMS[form]


@then("no sound request is quarantined")
def step_none_quarantined(context):
    assert context.result.all_wrongly_quarantined == 0, context.result


@then(
    "no more than {max_arrivals:d} requests with a crashing part reach targets later "
    "than {seconds:d} s after its fifth crash"
)
def step_part_bound(context, max_arrivals, seconds):
    assert max_arrivals == MAX_LATE_ARRIVALS
    crashes = context.result.crashes
    assert crashes, "no target has crashed"
    assert all(c.late_arrival_count <= max_arrivals for c in crashes), crashes
    assert not context.result.violations, context.result.violations


@then(
    "more than {max_arrivals:d} requests with a crashing part reach targets later than "
    "{seconds:d} s after its fifth crash"
)
def step_part_bound_exceeded(context, max_arrivals, seconds):
    crashes = context.result.crashes
    assert max(c.late_arrival_count for c in crashes) > max_arrivals, crashes


@then("sound requests are answered at the first attempt at least half as often {rest}")
def step_sound_served(context, rest):
    run = context.result
    assert run.share_after >= run.share_before / 2 > 0, run
    assert not run.wrongly_quarantined, run
