"""Steps over requests that end the targets which run them."""

import contextlib
import logging
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.crashes import COUNTED_ENDS
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.quarantine import Suspects
from features.support.crash_runs import (
    LATER_ALLOWED,
    UNTIL_S,
    crash_settings,
    crash_violations,
    play_crashes,
)


@contextlib.contextmanager
def _quiet():
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


def _series(kind, at_s, every_s, count, **more):
    times = {"at_s": at_s, "every_s": every_s, "until_s": UNTIL_S}
    return {"kind": kind, "count": count} | times | more


def _play(context, seconds, seed):
    with _quiet():
        context.result = play_crashes(crash_settings(seconds, context.faults), seed)


@given(
    "an emulated site at which one request that ends its targets comes at {count:d} "
    "daemons every {every:d} s"
)
def step_site(context, count, every):
    context.faults = [_series("crash", 1, every, count, request="query")]


@given("all {count:d} daemons start anew after {at:d} s")
def step_start_anew(context, count, at):
    context.faults.append({"kind": "forget", "at_s": at, "count": count})


@given("an emulated site that loses {count:d} engines every {every:d} s, {rest}")
def step_losses(context, count, every, rest):
    context.faults = [_series("end", 2, every, count)]


@when("it is played for {seconds:d} s with seed {seed:d}, with daemons that {do}")
def step_play(context, seconds, seed, do):
    with contextlib.ExitStack() as stack:
        if do == "never convict":
            stack.enter_context(
                mock.patch.object(Suspects, "add_report", lambda *args: 0)
            )
        elif do == "tell each other nothing":
            silent = mock.patch.object(MessageNetwork, "carry", lambda *args: None)
            stack.enter_context(silent)
        _play(context, seconds, seed)


@when("a random run with seed {seed:d} is played")
def step_random(context, seed):
    with _quiet():
        context.found = crash_violations(seed)


@then("the bound holds, and no other request is refused for it")
def step_nothing_found(context):
    assert not context.found, context.found


@then(
    "it reaches no more than {most:d} targets later than {seconds:d} s after the third "
    "end"
)
def step_bound(context, most, seconds):
    if "platform" in context:
        _check_arrivals(context.platform, most, seconds)
        return
    crashes = context.result.crashes
    assert crashes and all(each.ended >= COUNTED_ENDS for each in crashes), crashes
    assert all(each.later <= most for each in crashes), crashes
    assert not context.result.violations, context.result.violations


def _check_arrivals(platform, most, seconds):
    """Check what real targets have seen of a request that ends them."""
    ends = sorted(end.at for end in platform.ends)
    assert len(ends) >= COUNTED_ENDS, ends
    due_at = ends[COUNTED_ENDS - 1] + seconds
    later = [arrival for arrival in platform.arrivals if arrival.at > due_at]
    assert len(later) <= most, (len(ends), len(later))


@then(
    "it reaches more than {most:d} targets later than {seconds:d} s after the third end"
)
def step_beyond(context, most, seconds):
    crashes = context.result.crashes
    assert max(each.later for each in crashes) > most == LATER_ALLOWED, crashes


@then("no target ends later than {seconds:d} s after the third end")
def step_none_later(context, seconds):
    crashes = context.result.crashes
    assert crashes and all(not each.later for each in crashes), crashes


@then("no request is refused as one that ends its targets")
def step_none_refused(context):
    assert context.result.records
    assert context.result.wrongly_quarantined == 0, context.result.wrongly_quarantined
