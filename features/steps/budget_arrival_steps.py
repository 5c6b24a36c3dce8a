"""Steps for what is taken from the retry budget when requests are sent again."""

import asyncio
import contextlib
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.admission.failure_attribution import TargetChoice
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.attempts import RelayPeer
from cowslipcourse.entry.calls import Call
from cowslipcourse.entry.graceful_stop import GracefulStop
from cowslipcourse.entry.retries import try_targets
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.exceptions import (
    NotRelayed,
    RelayRefused,
    RequestError,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.ports import TargetEntry
from cowslipcourse.routes import RequestKind, Route
from features.support.saved_budgets import saved_budget

SERVICE = "s"
ROUTE = Route("r", "h", "/", RequestKind.IDEMPOTENT, ((SERVICE, 1.0),), 5.0, 1.0, 1, 3)
FAILURES = {
    "a target refused it": TargetRefused("answered 503"),
    "no connection to a target could be opened": TargetUnreachable("x", sent=False),
    "another daemon did not relay it": NotRelayed("no-configuration"),
}


class _Budget:
    """Counts what is recorded in and taken from a budget."""

    def __init__(self):
        self._budget = saved_budget(RetrySettings(), [SERVICE])
        self.recorded_count = 0
        self.taken_count = 0
        self.daemon_count = 1

    def record_request(self, service, now):
        self.recorded_count += 1

    def withdraw_request(self, service, now):
        self.recorded_count -= 1

    def try_take(self, service, now, is_hedge=False):
        self.taken_count += 1
        return self._budget.try_take(service, now, is_hedge)

    def settle(self, service):
        self._budget.settle(service)

    def saved_retries(self, service, now):
        return self._budget.saved_retries(service, now)

    def unread_retries(self, service, now):
        return self._budget.unread_retries(service, now)


class _Reachability:
    is_reachable = True

    async def confirm(self):
        return self.is_reachable


class _Relays:
    """Other daemons that relay, each once."""

    def choose(self, tried_ids):
        return RelayPeer(f"d{len(tried_ids)}", 1, "127.0.0.1:1", "127.0.0.1:2")

    def record_failure(self, peer):
        """Do nothing."""


class _Quarantine:
    def is_refused(self, call):
        return False

    def retry_delay_s(self, call, run):
        return 0.0

    @contextlib.contextmanager
    def tracking(self, call, run):
        yield

    def record_answered(self, call, run):
        """Do nothing."""

    def record_failed(self, call, run):
        """Do nothing."""


def _call(is_relayed):
    return Call(
        id="q1",
        method="GET",
        path=b"/",
        headers=(),
        body=b"",
        fingerprint=b"",
        route=ROUTE,
        workspace=None,
        deadline=asyncio.get_running_loop().time() + ROUTE.timeout_s,
        arrived_at=asyncio.get_running_loop().time(),
        caller_headers=CallerHeaders(is_relayed=is_relayed),
    )


def _entry(number):
    return TargetEntry(f"t{number}", SERVICE, f"127.0.0.1:{number}", "n", 6)


@given("a daemon whose links to the targets are {state}")
def step_daemon(context, state):
    context.reachability = _Reachability()
    context.reachability.is_reachable = state == "sound"
    context.budget = _Budget()


def _forward(context, failures, later="", is_relayed=False):
    """Forward a request whose attempts fail in turn, and keep the error of its end.

    :param later: state of the links from the end of the first attempt on; empty for as
        before.
    """
    remaining = list(failures)

    async def choose(tried_ids):
        return TargetChoice(_entry(len(tried_ids) + 1))

    async def attempt(run, is_last):
        if later:
            context.reachability.is_reachable = later == "sound"
        if remaining:
            raise remaining.pop(0)
        run.succeeded = True

    tools = SimpleNamespace(
        quarantine=_Quarantine(),
        retry_budget=context.budget,
        reachability=context.reachability,
        relays=_Relays(),
        fleet=SimpleNamespace(suspect=lambda target, now: None),
        conditions=SimpleNamespace(pause_left_s=lambda entry: 0.0),
        configuration_version=1,
        silence_detector=SimpleNamespace(own_late_s=0.0),
        count_hedge=None,
        count_retry=lambda service, outcome: None,
        stop=GracefulStop(),
    )

    async def forward():
        context.error = None
        try:
            await try_targets(tools, _call(is_relayed), SERVICE, choose, attempt)
        except RequestError as error:
            context.error = error

    run_in_virtual_time(forward())


@when("the first attempt at a request fails because {failure}")
def step_first_fails(context, failure):
    _forward(context, [FAILURES[failure]])


@then("the second attempt is taken from the budget: {taken}")
def step_taken(context, taken):
    assert context.error is None, context.error
    assert context.budget.taken_count == (taken == "yes")


@when("it handles a request, and its links are {later} when that is sent again")
def step_links_change(context, later):
    failure = TargetUnreachable("x", sent=False)
    _forward(context, [failure], later)


@then("it has recorded {count:d} requests")
def step_recorded(context, count):
    assert context.budget.recorded_count == count, context.budget.recorded_count


@when("it relays a request that a target refuses, and its links are then lost")
def step_relay(context):
    _forward(context, [TargetRefused("answered 503")], "lost", is_relayed=True)


@then("its refusal does not say that another daemon may relay the request")
def step_not_relayable(context):
    assert context.error is not None
    assert not isinstance(context.error, RelayRefused), context.error
