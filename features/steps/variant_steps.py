"""Steps that disable a mechanism and run the check that relies on it."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import then, when

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.entry import attempt_outcomes
from cowslipcourse.entry import state_replica as replica_module
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import TargetConnection
from cowslipcourse.streams import Event, StreamPosition
from features.support.knowledge import FlakyStore, make_replica
from features.support.scripted_target import SCRIPTS, run_script
from harness.ports import free_ports


def _check_outcome(script, expected):
    port = free_ports(1)[0]
    context = SimpleNamespace(
        port=port,
        address=f"127.0.0.1:{port}",
        script=SCRIPTS[script],
        sends_stray_data=False,
    )
    asyncio.run(run_script(context))
    assert context.outcome == expected, context.outcome


def _check_other_request():
    _check_outcome("a response to another request first", "200 hello")


def _check_reset():
    _check_outcome("a response cut by a reset", "IncompleteResponse")


def _check_prefix():
    position = StreamPosition(0)
    events = [Event(number, b"%d" % number) for number in (1, 2)]
    forwarded = position.filter_events(events)[0] + position.filter_events(events)[0]
    assert forwarded == b"12", forwarded


def _check_no_execution_proof():
    error = TargetUnreachable("reset", sent=True)
    route = SimpleNamespace(is_retryable=False, max_attempts=2)
    assert not attempt_outcomes.may_retry(route, 1, error)


def _check_retry_budget():
    settings = RetrySettings(ratio=0.0, slack=80.0, window_s=10.0)
    budgets = [SharedRetryBudget(settings) for _ in range(8)]
    granted = 0
    for budget in budgets:
        budget.set_daemon_count(len(budgets), 0.0)
        budget.record_request("s", 0.0)
        budget.record_answer("s", "t", 0.0, 0.0)
        granted += sum(budget.try_take("s", 20.0) for _ in range(80))
    assert granted > 0, granted
    assert granted <= settings.slack, granted


def _check_newest_configuration():
    replica, _, listener = make_replica(FlakyStore())
    for version in (7, 6):
        store = FlakyStore()
        store.configuration_version = version
        row = store.rows(replica_module.CONFIGURATION_TABLE)[0]
        replica._apply_configuration(row.value)
    assert listener.table.version == 7, listener.table.version


class _NoVersion(int):
    """A version that compares as older than every other."""

    def __ge__(self, other):
        return False


def _without_version_comparison():
    replica_type = replica_module.StateReplica
    oldest_version = property(lambda self: _NoVersion(0), lambda self, value: None)
    return mock.patch.object(
        replica_type, "configuration_version", oldest_version, create=True
    )


def _reset_as_close():
    def connection_lost(self, error):
        if self._response is not None and self._response.is_close_delimited:
            self._response.complete = True
        self._closed = True
        self._wake_waiter()

    return mock.patch.object(TargetConnection, "connection_lost", connection_lost)


def _forward_all(self, events):
    return b"".join(event.raw for event in events), None


def _take_undivided(self, service, now):
    self.set_daemon_count(1, now)
    return _original_try_take(self, service, now)


_original_try_take = SharedRetryBudget.try_take
CHECKS = {
    "the response to another request": _check_other_request,
    "the response cut by a reset": _check_reset,
    "the prefix of the reference stream": _check_prefix,
    "the proof of no execution": _check_no_execution_proof,
    "the retry budget": _check_retry_budget,
    "the newest configuration": _check_newest_configuration,
}
MECHANISMS = {
    "comparing the attempt of a response": lambda: mock.patch.object(
        TargetConnection, "_matches_request", lambda self, head: True
    ),
    "distinguishing a reset from a close": _reset_as_close,
    "dropping events that were forwarded": lambda: mock.patch.object(
        StreamPosition, "filter_events", _forward_all
    ),
    "distinguishing sent from unsent requests": lambda: mock.patch.object(
        attempt_outcomes, "may_have_run", lambda error: False
    ),
    "dividing the slack": lambda: mock.patch.object(
        SharedRetryBudget, "try_take", _take_undivided
    ),
    "comparing configuration versions": _without_version_comparison,
}


@when("{check} runs without {mechanism}")
def step_run_without(context, check, mechanism):
    CHECKS[check]()
    context.has_failed = False
    try:
        with MECHANISMS[mechanism]():
            CHECKS[check]()
    except AssertionError:
        context.has_failed = True


@then("the check fails")
def step_check_fails(context):
    assert context.has_failed
