"""Steps for parts of prompts that crash the targets that answer them."""

from behave import given, then

from features.support.part_runs import (
    MAX_LATE_ARRIVALS,
    part_fault,
    simulate_part_crashes,
)


@given(
    "an emulated site where {count:d} new requests with a part that crashes targets "
    "come every {interval_s:g} s"
)
def step_part(context, count, interval_s):
    context.faults = [part_fault(count, interval_s)]
    context.simulate_run = simulate_part_crashes


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


@then("sound requests are answered at the first attempt at least half as often {rest}")
def step_sound_served(context, rest):
    run = context.result
    assert run.share_after >= run.share_before / 2 > 0, run
    assert not run.wrongly_quarantined, run
