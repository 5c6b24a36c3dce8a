"""Steps that switch a mechanism off and run the check that rests on it."""

import asyncio
from types import SimpleNamespace
from unittest import mock

from behave import then, when

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.entry import knowledge as knowledge_module
from cowslipcourse.entry import outcomes
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.exchange import TargetConnection
from cowslipcourse.streams import Event, StreamPosition
from features.support.knowledge import FlakyStore, make_knowledge
from features.support.scripted_target import SCRIPTS, play
from harness.ports import free_ports


def _exchange_gives(script, expected):
    port = free_ports(1)[0]
    context = SimpleNamespace(
        port=port,
        address=f"127.0.0.1:{port}",
        script=SCRIPTS[script],
        extra=False,
    )
    asyncio.run(play(context))
    assert context.outcome == expected, context.outcome


def _other_request():
    _exchange_gives("an answer to another request first", "200 hello")


def _reset():
    _exchange_gives("an answer that ends with a reset", "IncompleteResponse")


def _prefix():
    position = StreamPosition(0)
    events = [Event(number, b"%d" % number) for number in (1, 2)]
    passed = position.filter_events(events)[0] + position.filter_events(events)[0]
    assert passed == b"12", passed


def _proofs():
    error = TargetUnreachable("reset", sent=True)
    route = SimpleNamespace(is_retryable=False, max_attempts=2)
    assert not outcomes.may_retry(route, 1, error)


def _budget():
    settings = RetrySettings(ratio=0.0, slack=80.0, window_s=10.0)
    budgets = [SharedRetryBudget(settings) for _ in range(8)]
    taken = sum(budget.try_take("s", 0.0) for budget in budgets for _ in range(80))
    assert taken <= settings.slack, taken


def _newest():
    knowledge, _, listener = make_knowledge(FlakyStore())
    for version in (7, 6):
        store = FlakyStore()
        store.configuration = version
        row = store.rows(knowledge_module.CONFIGURATION_TABLE)[0]
        knowledge._apply_configuration(row.value)
    assert listener.table.version == 7, listener.table.version


class _NoVersion(int):
    """A version that is older than every other."""

    def __ge__(self, other):
        return False


def _without_versions():
    knowledge_type = knowledge_module.StateReplica
    plain = property(lambda self: _NoVersion(0), lambda self, value: None)
    return mock.patch.object(
        knowledge_type, "configuration_version", plain, create=True
    )


def _lost_is_end():
    def lost(self, error):
        if self._response is not None and self._response.is_close_delimited:
            self._response.complete = True
        self._closed = True
        self._wake_waiter()

    return mock.patch.object(TargetConnection, "connection_lost", lost)


def _take_all(self, events):
    return b"".join(event.raw for event in events), None


def _alone(self, service, now):
    self.daemon_count = 1
    return _try_take(self, service, now)


_try_take = SharedRetryBudget.try_take
CHECKS = {
    "the answer to another request": _other_request,
    "the answer that ends with a reset": _reset,
    "the prefix of the truth": _prefix,
    "the proofs of not run": _proofs,
    "the retry budget": _budget,
    "the newest configuration": _newest,
}
MECHANISMS = {
    "comparing the attempt of an answer": lambda: mock.patch.object(
        TargetConnection, "_matches_request", lambda self, head: True
    ),
    "telling a reset from an orderly end": _lost_is_end,
    "dropping events that came before": lambda: mock.patch.object(
        StreamPosition, "filter_events", _take_all
    ),
    "telling what was sent from what was not": lambda: mock.patch.object(
        outcomes, "may_have_run", lambda error: False
    ),
    "dividing the slack": lambda: mock.patch.object(
        SharedRetryBudget, "try_take", _alone
    ),
    "comparing configuration versions": _without_versions,
}


@when("{check} runs without {mechanism}")
def step_without(context, check, mechanism):
    CHECKS[check]()
    context.noticed = False
    try:
        with MECHANISMS[mechanism]():
            CHECKS[check]()
    except AssertionError:
        context.noticed = True


@then("the check fails")
def step_fails(context):
    assert context.noticed
