"""Steps for retries that arrive later than they were sent."""

import asyncio
import random
import shutil

from behave import given, then, when

from cowslipcourse.admission import MIN_DAEMON_COUNT, SharedRetryBudget
from cowslipcourse.admission.budget import MAX_LATENESS_S
from features.support.budget_lives import Traffic, late_budget_violations, play
from features.support.budget_oracle import worst_window
from soak.retry_faults import RetryFault
from soak.retry_run import run_schedule
from soak.retry_site import SETTINGS
from soak.target_process import TargetMode

CALM_S = 6.0
SERVICE = "llm"
TARGET = "t1"
SENT_AT = 10.0
REQUEST_COUNT = 200
RUN_IN_S = 60.0
HEDGES_TAKEN_S = 3.0
"""Time after which the callers of targets that stand still become fewer."""


@given("eight daemons and nine targets as processes")
def step_processes(context):
    context.rng = random.Random(1)


@when("all targets stand still for {seconds:d} s")
def step_stand_still(context, seconds):
    kind = "targets_stand_still"
    fault = RetryFault(CALM_S, kind, 1.0, float(seconds), TargetMode.SOUND)
    context.figures, site = asyncio.run(run_schedule([fault], context.rng))
    shutil.rmtree(site.folder)


@then("retries have arrived at the targets")
def step_retries_arrived(context):
    assert any(each.repeats for each in context.figures), context.figures


@then("no window has more repeats at a service than all daemons together are allowed")
def step_within_budget(context):
    for each in context.figures:
        assert not each.worst.is_violation, each


@when(
    "targets stand still while daemons are killed, replaced and joined, "
    "seeds {first:d} to {last:d}"
)
def step_random_stand_still(context, first, last):
    for seed in range(first, last + 1):
        violations = late_budget_violations(seed)
        if violations:
            context.violations[seed] = violations


def _play_still(daemon_count, rate, still_s, left):
    """Return the worst window of daemons whose targets all stand still for a time."""
    changes_at, ends_at = RUN_IN_S + HEDGES_TAKEN_S, RUN_IN_S + still_s
    traffic = Traffic(
        rate, changes_at, changes_at, 0.0, left, ends_at + 1.0, RUN_IN_S, ends_at
    )
    run = play(SETTINGS, daemon_count, traffic, (), random.Random(1))
    assert run.repeats
    return worst_window(SETTINGS, run.requests, run.repeats)


@when("all targets stand still, and a share of the requests is left")
def step_fewer_callers(context):
    context.violations = {}
    for row in context.table:
        daemon_count, rate, still_s, left = map(float, row)
        window = _play_still(int(daemon_count), rate, still_s, left)
        if window.is_violation:
            context.violations[tuple(row)] = window


def _give_up_all(budget, is_hedge):
    """Take all retries that are available, and give them up unread."""
    count = 0
    while budget.try_take(SERVICE, SENT_AT, is_hedge):
        count += 1
    for _ in range(count):
        budget.expect_late(SERVICE, TARGET, SENT_AT)
        budget.settle(SERVICE)
    assert budget.unread_retries(SERVICE, SENT_AT) == count


@when("it has taken all of them for requests to a target, and given them up")
def step_given_up(context):
    _give_up_all(context.budget, is_hedge=False)
    context.now = SENT_AT + 1.0


@when("it has sent all that it may beside a silent target, and given them up")
def step_hedges_given_up(context):
    _give_up_all(context.budget, is_hedge=True)


@then("it sends none beside another silent target within a window, and some after it")
def step_hedges_again(context):
    budget = context.budget
    window_ends_at = SENT_AT + SETTINGS.window_s
    for number in range(REQUEST_COUNT):
        now = SENT_AT + SETTINGS.window_s * number / REQUEST_COUNT
        assert not budget.try_take(SERVICE, now, is_hedge=True), now
        budget.record_request(SERVICE, now)
        budget.record_answer(SERVICE, "another", now, now)
    assert budget.try_take(SERVICE, window_ends_at + 0.1, is_hedge=True)


@when("nothing is heard of the target")
def step_nothing_heard(context):
    """Do nothing."""


@when("{which} answers a request that was sent {order} them")
def step_answered(context, which, order):
    target = TARGET if which == "the target" else "another"
    sent_at = SENT_AT - 1.0 if order == "before" else SENT_AT + 0.5
    context.budget.record_answer(SERVICE, target, sent_at, context.now)


@when("120 s have passed")
def step_passed(context):
    context.now = SENT_AT + MAX_LATENESS_S + 1.0


@then("it has saved retries again after a window: {saved}")
def step_saved_again(context, saved):
    later = context.now + SETTINGS.window_s
    count = context.budget.saved_retries(SERVICE, later)
    assert (count >= 1.0) == (saved == "yes"), count


@given("a daemon that has just started, and knows that there are 8")
def step_just_started(context):
    context.budget = SharedRetryBudget(SETTINGS, random.Random(1))
    context.budget.set_daemon_count(MIN_DAEMON_COUNT, 0.0)


@when("it gets requests for 20 s that no target answers")
def step_unanswered(context):
    for second in range(20):
        context.budget.record_request(SERVICE, float(second))
        context.budget.record_send(SERVICE, float(second))


@then("it cannot retry before a target has answered, and can within a window after it")
def step_retries_once_answered(context):
    assert not context.budget.try_take(SERVICE, 20.0)
    context.budget.record_answer(SERVICE, TARGET, 20.0, 20.0)
    assert not context.budget.try_take(SERVICE, 20.0)
    assert context.budget.try_take(SERVICE, 20.0 + SETTINGS.window_s)


@when("it gets requests for 20 s for which there is no target")
def step_no_target(context):
    for second in range(20):
        context.budget.record_request(SERVICE, float(second))


@then("it can retry as soon as a target has answered")
def step_retries_at_once(context):
    context.budget.record_send(SERVICE, 20.0)
    context.budget.record_answer(SERVICE, TARGET, 20.0, 20.5)
    assert context.budget.try_take(SERVICE, 20.5)
