"""Steps for the soak test and for its checks."""

import asyncio
import contextlib
import shutil
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator.limit_oracle import LimitOracle
from cowslipcourse.emulator.pause_oracle import PauseOracle
from cowslipcourse.entry.settings import RetrySettings
from features.support.platform_site import (
    PLAIN_SERVICE,
    Arrival,
    PlainExecution,
    stream_events,
)
from soak.checks import check, streams_checked_in_silences
from soak.history import CallKind, CallRecord, SiteHistory
from soak.run import run_soak
from soak.schedule import FaultKind

_BOOKING_CALL = CallRecord(
    CallKind.BOOKING, "n1", "c1", "a1", 1, None, 10.0, 10.5, 200, b"done", True
)
_STREAM_CALL = _BOOKING_CALL._replace(
    kind=CallKind.STREAM, body=b"".join(stream_events("n1")), status=200
)
_STREAM_ONCE_CALL = _STREAM_CALL._replace(kind=CallKind.STREAM_ONCE)
_CLOSED_CALL = _STREAM_ONCE_CALL._replace(status=None, body=None)
_LOOKUP_CALL = _BOOKING_CALL._replace(kind=CallKind.LOOKUP)
_EXECUTION = PlainExecution("c1", "/book/n1", "p1", 10.2)


@when(
    "the soak test runs seeds {first:d} to {last:d} with {fault_s:d} s of faults each"
)
def step_soak(context, first, last, fault_s):
    context.violations = []
    context.streams_checked = 0
    for seed in range(first, last + 1):
        violations, site = asyncio.run(run_soak(seed, float(fault_s)))
        context.violations += [f"seed {seed}: {violation}" for violation in violations]
        context.streams_checked += streams_checked_in_silences(site.history)
        shutil.rmtree(site.folder)


@then("at least {count:d} streams were checked for a cut in a silence")
def step_streams_checked(context, count):
    assert context.streams_checked >= count, context.streams_checked


@then("no guarantee was violated")
def step_no_violations(context):
    assert not context.violations, context.violations[:5]


class _Clock:
    """Replaces the event loop's clock in constructed histories."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now


def _add_disturbance(context, subject, at, is_planned):
    history, clock = context.site.history, context.clock
    clock.now = at
    with history.disturbance(subject, is_planned):
        clock.now = at + 0.1


def _cut_stream(context, is_planned):
    _add_disturbance(context, "a1", 10.1, is_planned)
    context.site.history.calls.append(_STREAM_CALL._replace(body=None))


def _cut_in_silence(context, *kinds):
    """Cut a stream in a silence, while faults of some kinds last too."""
    history, clock = context.site.history, context.clock
    with contextlib.ExitStack() as faults:
        for kind in (FaultKind.SERVICE_SILENT, *kinds):
            clock.now = 10.1
            faults.enter_context(history.fault(kind, "a1"))
        clock.now = 11.0
    history.silences.append((10.1, 11.0))
    history.calls.append(_STREAM_ONCE_CALL._replace(body=None))
    context.site.stream_attempt_ids.append(_STREAM_ONCE_CALL.attempt_id)


def _close_kept_connection(context, took_s=0.1, is_kept=True, was_executed=False):
    _add_disturbance(context, "a1", 9.9, True)
    ended_at = _CLOSED_CALL.began_at + took_s
    call = _CLOSED_CALL._replace(ended_at=ended_at, is_kept=is_kept)
    context.site.history.calls.append(call)
    if was_executed:
        context.site.stream_attempt_ids.append(call.attempt_id)


def _run_stream_once(context, count, status=200):
    call = _STREAM_ONCE_CALL._replace(status=status)
    context.site.history.calls.append(call)
    context.site.stream_attempt_ids += [call.attempt_id] * count


def _send_to_limited_target(context, count):
    site, clock = context.site, context.clock
    clock.now = 1.0
    site.limit_oracle.record_limit("p1", 1.0)
    site.history.calls.append(_LOOKUP_CALL)
    site.executions.append(_EXECUTION)
    for number in range(count):
        clock.now = 10.0 + 3.9 * number / count
        site.limit_oracle.record_arrival("p1", _LOOKUP_CALL.attempt_id)


def _send_to_pausing_target(context, count):
    site, clock = context.site, context.clock
    site.history.calls.append(_LOOKUP_CALL)
    site.executions.append(_EXECUTION)
    clock.now = 10.0
    site.pause_oracle.record_pause("p1", _LOOKUP_CALL.attempt_id, 3.0)
    clock.now = 11.0
    for _ in range(count):
        site.pause_oracle.record_arrival("p1", _LOOKUP_CALL.attempt_id)


def _replace_key(context, at=6.0):
    context.site.history.key_configured_at |= {1: 1.0, 2: at}


def _serve_old_key(context):
    _replace_key(context)
    context.site.history.calls.append(_LOOKUP_CALL._replace(key_version=1))
    context.site.executions.append(_EXECUTION)


def _refuse_new_key(context):
    _replace_key(context)
    context.site.history.calls.append(_LOOKUP_CALL._replace(key_version=2, status=401))


def _revert_key(context):
    _replace_key(context, at=9.0)
    calls = [
        _LOOKUP_CALL._replace(key_version=2, began_at=9.5, ended_at=9.6),
        _LOOKUP_CALL._replace(key_version=1, attempt_id="c2"),
    ]
    context.site.history.calls += calls
    context.site.executions += [_EXECUTION, _EXECUTION._replace(attempt_id="c2")]


def _send_to_draining_target(context, draining_since):
    context.site.history.draining_since["p1"] = draining_since
    context.site.history.calls.append(_BOOKING_CALL)
    context.site.executions.append(_EXECUTION)


def _crash_targets(context, arrival_count, after_s):
    site = context.site
    site.crashes = [Arrival("end-1", f"c{n}", 2.0) for n in range(3)]
    late_attempt_ids = [f"c{n}" for n in range(10, 10 + arrival_count)]
    site.arrivals = [
        Arrival("end-1", attempt_id, 2.0 + after_s) for attempt_id in late_attempt_ids
    ]
    broken_call = _STREAM_CALL._replace(body=None, status=502)
    site.history.calls += [
        broken_call._replace(attempt_id=attempt_id) for attempt_id in late_attempt_ids
    ]
    _add_disturbance(context, "targets", 10.0, False)


def _serve_without_keys(context):
    _replace_key(context)
    context.site.history.keyless_versions.add(2)
    _add_records(context, _LOOKUP_CALL, executions=1)


def _serve_old_key_without_store(context):
    _add_disturbance(context, "store", 8.0, False)
    _serve_old_key(context)


def _add_records(context, *calls, executions=0):
    context.site.history.calls += calls
    context.site.executions += [_EXECUTION] * executions


def _stand_still(context, took_s, stand_still_s):
    """Let a stream end incomplete; the platform stands still meanwhile."""
    history = context.site.history
    call = _STREAM_CALL._replace(ended_at=_STREAM_CALL.began_at + took_s, body=None)
    history.calls.append(call)
    history.stand_stills.append((call.began_at + 1, call.began_at + 1 + stand_still_s))


def _repeat_requests(context, repeat_count):
    """Let ten requests arrive, and some of them once more."""
    history = context.site.history
    context.site.retry_settings = RetrySettings(ratio=0.2, slack=2.0, window_s=10.0)
    for number in range(10):
        call = _LOOKUP_CALL._replace(attempt_id=f"r{number}")
        history.calls.append(call)
        execution = _EXECUTION._replace(attempt_id=call.attempt_id)
        context.site.executions.append(execution)
        for _ in range(2 if number < repeat_count else 1):
            history.record_arrival(PLAIN_SERVICE, call.attempt_id, 10.2)


_EDIT_BY_DESCRIPTION = {
    "a stream lacks an event": lambda context: _add_records(
        context, _STREAM_CALL._replace(body=b"".join(stream_events("n1")[:-1]))
    ),
    "a booking ran twice": lambda context: _add_records(
        context, _BOOKING_CALL, executions=2
    ),
    "a booking that was reported as not run had run": lambda context: _add_records(
        context, _BOOKING_CALL._replace(status=503), executions=1
    ),
    "a booking succeeded without an execution": lambda context: _add_records(
        context, _BOOKING_CALL
    ),
    "a planned stop interrupted a stream": lambda context: _cut_stream(context, True),
    "a killed daemon interrupted a stream": lambda context: _cut_stream(context, False),
    "a stream is cut while its targets are silent beside a configuration": (
        _cut_in_silence
    ),
    "a stream is cut while its targets are silent beside a key change": (
        lambda context: _cut_in_silence(context, FaultKind.KEY_CHANGES)
    ),
    "a stream is cut while its targets are silent during a reload": (
        lambda context: _cut_in_silence(context, FaultKind.RELOAD)
    ),
    "a stream is cut while its targets are silent and the store is away": (
        lambda context: _cut_in_silence(context, FaultKind.STORE_AWAY)
    ),
    "a stream that may not be resumed ran twice": lambda context: _run_stream_once(
        context, 2
    ),
    "a stream that may not be resumed was reported as not run, but had run": (
        lambda context: _run_stream_once(context, 1, status=503)
    ),
    "a stream on a kept connection crosses the close of a stop": (
        _close_kept_connection
    ),
    "a stream on a kept connection is cut after it reached a target": (
        lambda context: _close_kept_connection(context, was_executed=True)
    ),
    "a stream on a kept connection is held for 0.5 s and not passed on": (
        lambda context: _close_kept_connection(context, took_s=0.5)
    ),
    "a stream on a new connection is closed and not passed on": (
        lambda context: _close_kept_connection(context, is_kept=False)
    ),
    "a key is accepted 4 s after it was revoked": _serve_old_key,
    "a key is accepted 4 s after all were taken away": _serve_without_keys,
    "a key is accepted 4 s after it was revoked, without the store": (
        _serve_old_key_without_store
    ),
    "a new key is refused 4 s after it was added": _refuse_new_key,
    "a daemon accepts an old key after a newer one": _revert_key,
    "a target gets a request 4 s after it began to drain": lambda context: (
        _send_to_draining_target(context, 6.2)
    ),
    "a target gets a request 1 s after it began to drain": lambda context: (
        _send_to_draining_target(context, 9.2)
    ),
    "a request reaches 4 targets 4 s after it crashed three": lambda context: (
        _crash_targets(context, 4, 4.0)
    ),
    "a request reaches 3 targets 4 s after it crashed three": lambda context: (
        _crash_targets(context, 3, 4.0)
    ),
    "a target with a limit of 1 per s gets 12 requests in 4 s": lambda context: (
        _send_to_limited_target(context, 12)
    ),
    "a target with a limit of 1 per s gets 11 requests in 4 s": lambda context: (
        _send_to_limited_target(context, 11)
    ),
    "a target gets 3 requests within a pause that it asked for": lambda context: (
        _send_to_pausing_target(context, 3)
    ),
    "a target gets 2 requests within a pause that it asked for": lambda context: (
        _send_to_pausing_target(context, 2)
    ),
    "a stream reaches its deadline while the platform stands still for 1.2 s": (
        lambda context: _stand_still(context, 6.0, 1.2)
    ),
    "a stream reaches its deadline while the platform stands still for 0.8 s": (
        lambda context: _stand_still(context, 6.0, 0.8)
    ),
    "a stream is cut before its deadline while the platform stands still for 1.2 s": (
        lambda context: _stand_still(context, 5.0, 1.2)
    ),
    "targets get 5 repeats of 10 requests, 4 are allowed": lambda context: (
        _repeat_requests(context, 5)
    ),
    "targets get 4 repeats of 10 requests, 4 are allowed": lambda context: (
        _repeat_requests(context, 4)
    ),
    "a process exited unexpectedly": lambda context: (
        context.site.history.unexpected_exits.append(("a1", 70))
    ),
}


@given("a soak test's history in which {description}")
def step_soak_history(context, description):
    context.clock = _Clock()
    context.site = SimpleNamespace(
        history=SiteHistory(context.clock.time),
        executions=[],
        stream_attempt_ids=[],
        crashes=[],
        arrivals=[],
        world=SimpleNamespace(violations=[]),
        limit_oracle=LimitOracle(context.clock.time),
        pause_oracle=PauseOracle(context.clock.time),
        retry_settings=None,
    )
    _EDIT_BY_DESCRIPTION[description](context)
    context.clock.now = 20.0


@then('the checks report "{expected_text}"')
def step_violation_found(context, expected_text):
    violations = check(context.site)
    assert any(expected_text in violation for violation in violations), violations


@then("the checks report nothing")
def step_no_violation_found(context):
    assert check(context.site) == []
