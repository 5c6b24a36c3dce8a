"""Steps for the retry budget of all daemons and all their incarnations."""

import random

from behave import given, then, when

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.admission.budget import MIN_DAEMON_COUNT
from cowslipcourse.entry.settings import PeerSettings, RetrySettings
from cowslipcourse.peer_protocol import Heartbeat, PeerRegistry
from features.support.budget_lives import Traffic, budget_violations, play
from features.support.budget_oracle import largest_use, worst_window
from features.support.knowledge import member

SERVICE = "llm"
SETTINGS = RetrySettings(ratio=0.2, slack=134.0, window_s=10.0)
RUN_IN_S = 60.0
BREAK_S = 8.0
LATER_S = 30.0


@given("daemons that share a retry budget, with random traffic")
def step_random_daemons(context):
    context.violations = {}


@when("they are killed, replaced and joined at random, seeds {first:d} to {last:d}")
def step_random_runs(context, first, last):
    for seed in range(first, last + 1):
        violations = budget_violations(seed)
        if violations:
            context.violations[seed] = violations


@then("no window has more repeats than all daemons together are allowed")
def step_no_violation(context):
    assert not context.violations, context.violations


@given(
    "{daemons:d} daemons with {rate:d} requests a second, which have run for a minute"
)
def step_running(context, daemons, rate):
    context.fleet = daemons, rate, RUN_IN_S


@given(
    "{daemons:d} daemons with {rate:d} requests a second, which have all just started"
)
def step_started(context, daemons, rate):
    context.fleet = daemons, rate, 0.0


def _play(context, duration_s):
    daemon_count, rate, begins_at = context.fleet
    ends_at = begins_at + duration_s
    traffic = Traffic(rate, begins_at, ends_at, 1.0, 1.0, ends_at)
    context.budget_run = play(SETTINGS, daemon_count, traffic, (), random.Random(1))
    window = worst_window(
        SETTINGS, context.budget_run.requests, context.budget_run.repeats
    )
    context.violations = [window] if window.is_violation else []


@when("all answers break off for 8 s")
def step_break(context):
    _play(context, BREAK_S)


@when("all answers break off from the start on")
def step_break_from_start(context):
    _play(context, LATER_S)


@then("at least {fraction:f} of the budget is used, and never more than it")
def step_used(context, fraction):
    run = context.budget_run
    assert not context.violations, context.violations
    used = largest_use(SETTINGS, run.requests, run.repeats)
    assert used >= fraction, used


@then(
    "in each of the first {seconds:d} seconds after the first second at least "
    "{retries:d} requests are retried"
)
def step_retried(context, seconds, retries):
    for second in range(1, 1 + seconds):
        count = sum(second <= at < second + 1 for at in context.budget_run.repeats)
        assert count >= retries, (second, count)


@given("a daemon that has saved retries for a service")
def step_saved(context):
    context.budget = SharedRetryBudget(SETTINGS, random.Random(1))
    context.budget.set_daemon_count(MIN_DAEMON_COUNT, 0.0)
    for number in range(200):
        context.budget.record_request(SERVICE, number * 0.05)
        context.budget.record_answer(SERVICE, "t", number * 0.05, number * 0.05)
    assert context.budget.saved_retries(SERVICE, 10.0) > 10.0


@when("its requests go to the service under a new name")
def step_renamed(context):
    context.budget.record_request("renamed", 10.0)


@then("none of the saved retries can be used for the new name")
def step_none_for_new_name(context):
    share = SETTINGS.slack / MIN_DAEMON_COUNT + SETTINGS.ratio
    assert context.budget.saved_retries("renamed", 10.0) <= share / 2


@given("a daemon that has just started and does not know how many there are")
def step_unknown_count(context):
    context.budget = SharedRetryBudget(SETTINGS, random.Random(1))
    context.budget.record_request(SERVICE, 0.0)
    context.budget.record_answer(SERVICE, "t", 0.0, 0.0)


@when("it has had no requests for 20 s")
def step_no_requests(context):
    context.now = 20.0


def _retry_count(budget, now):
    return sum(budget.try_take(SERVICE, now) for _ in range(100))


@then("it cannot retry until it knows that number, and then uses its share")
def step_share_once_known(context):
    assert _retry_count(context.budget, context.now) == 0
    context.budget.set_daemon_count(MIN_DAEMON_COUNT, context.now)
    assert _retry_count(context.budget, context.now) == 0
    count = _retry_count(context.budget, context.now + SETTINGS.window_s)
    assert 0 < count <= SETTINGS.slack / MIN_DAEMON_COUNT, count


@when("a reload sets {setting} to {value:g}")
def step_reload(context, setting, value):
    context.budget.settings = SETTINGS.model_copy(update={setting: value})


@then("it can retry no more than its share of the changed budget")
def step_changed_share(context):
    settings = context.budget.settings
    request_count = 200 * min(settings.window_s, 10.0) / 10.0
    share = settings.ratio * request_count + settings.slack / MIN_DAEMON_COUNT
    count = _retry_count(context.budget, 10.0)
    assert 0 < count <= share, (count, share)


@given("a daemon that has heard two others")
def step_heard(context):
    context.registry = PeerRegistry(PeerSettings(), "x")
    for number, name in enumerate(("b", "c"), start=1):
        message = Heartbeat(member(name, number), 1, True, 1, {}, {})
        context.registry.record_heartbeat(message, 1.0)


@when("a partition has hidden one of them for 10 minutes")
def step_hidden(context):
    context.now = 601.0
    message = Heartbeat(member("b", 1), 9, True, 1, {}, {})
    context.registry.record_heartbeat(message, context.now)


@then("the retry budget is shared by all three")
def step_shared_by_three(context):
    assert context.registry.known_daemon_count(context.now) == 1
    assert context.registry.recent_daemon_count(context.now) == 2
