"""Steps for requests that crash the targets that run them."""

import contextlib
import logging
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.crashes import MAX_CRASHES_BEFORE_DETECTION
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.quarantine import Suspects
from cowslipcourse.quarantine.part_evidence import MIN_EXITS
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from features.support.crash_runs import (
    FAULTS_END_S,
    MAX_LATE_ARRIVALS,
    crash_settings,
    crash_violations,
    simulate_crashes,
)


@contextlib.contextmanager
def _logging_disabled():
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


def _fault_series(kind, at_s, interval_s, count, **extra):
    times = {"at_s": at_s, "every_s": interval_s, "until_s": FAULTS_END_S}
    return {"kind": kind, "count": count} | times | extra


def _simulate(context, seconds, seed):
    with _logging_disabled():
        if "simulate_run" in context:
            context.result = context.simulate_run(seconds, context.faults, seed)
            return
        context.result = simulate_crashes(crash_settings(seconds, context.faults), seed)


@given(
    "an emulated site where one request that crashes targets is sent to {count:d} "
    "daemons every {interval_s:d} s"
)
def step_crashing_request(context, count, interval_s):
    context.faults = [_fault_series("crash", 1, interval_s, count, request="query")]


@given("all {count:d} daemons restart after {at:d} s")
def step_restart(context, count, at):
    context.faults.append({"kind": "forget", "at_s": at, "count": count})


@given("an emulated site that loses {count:d} engines every {interval_s:d} s, {rest}")
def step_engine_losses(context, count, interval_s, rest):
    context.faults = [_fault_series("end", 2, interval_s, count)]


@when("it is played for {seconds:d} s with seed {seed:d}, with daemons that {mode}")
def step_simulate(context, seconds, seed, mode):
    with contextlib.ExitStack() as stack:
        if mode == "never quarantine":
            stack.enter_context(
                mock.patch.object(Suspects, "add_report", lambda *args: 0)
            )
        elif mode == "never evaluate parts":
            stack.enter_context(
                mock.patch.object(PartEvaluation, "report_exit", lambda *args: None)
            )
        elif mode == "exchange nothing":
            no_exchange = mock.patch.object(MessageNetwork, "send", lambda *args: None)
            stack.enter_context(no_exchange)
        _simulate(context, seconds, seed)


@when("a random crash run is made with seed {seed:d}")
def step_random_run(context, seed):
    with _logging_disabled():
        context.violations = crash_violations(seed)


@then("the bound holds, and no other request is quarantined")
def step_no_violation(context):
    assert not context.violations, context.violations


@then(
    "no more than {max_arrivals:d} targets get it later than {seconds:d} s after the "
    "third crash"
)
def step_bound(context, max_arrivals, seconds):
    if "platform" in context:
        _check_arrivals(
            context.platform, max_arrivals, seconds, MAX_CRASHES_BEFORE_DETECTION
        )
        return
    crashes = context.result.crashes
    assert crashes and all(
        crash.crash_count >= MAX_CRASHES_BEFORE_DETECTION for crash in crashes
    ), crashes
    assert all(crash.late_arrival_count <= max_arrivals for crash in crashes), crashes
    assert not context.result.violations, context.result.violations


@then(
    "no more than {max_arrivals:d} targets get one later than {seconds:d} s after the "
    "fourth crash"
)
def step_part_bound_of_processes(context, max_arrivals, seconds):
    _check_arrivals(context.platform, max_arrivals, seconds, MIN_EXITS)


def _check_arrivals(platform, max_arrivals, seconds, crash_count):
    """Check the arrivals at the real targets that requests crash."""
    crash_times = sorted(crash.at for crash in platform.crashes)
    assert len(crash_times) >= crash_count, crash_times
    due_at = crash_times[crash_count - 1] + seconds
    late_arrivals = [arrival for arrival in platform.arrivals if arrival.at > due_at]
    assert len(late_arrivals) <= max_arrivals, (len(crash_times), len(late_arrivals))


@then(
    "more than {max_arrivals:d} targets get it later than {seconds:d} s after the "
    "third crash"
)
def step_bound_exceeded(context, max_arrivals, seconds):
    crashes = context.result.crashes
    assert (
        max(crash.late_arrival_count for crash in crashes)
        > max_arrivals
        == MAX_LATE_ARRIVALS
    ), crashes


@then("no target crashes later than {seconds:d} s after the third crash")
def step_no_late_crash(context, seconds):
    crashes = context.result.crashes
    assert crashes and all(not crash.late_arrival_count for crash in crashes), crashes


@then("no request is quarantined")
def step_none_quarantined(context):
    assert context.result.records
    assert context.result.wrongly_quarantined == 0, context.result.wrongly_quarantined
