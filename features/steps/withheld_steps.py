"""Steps for requests that targets do not accept at the moment."""

import asyncio
import contextlib
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.admission.failure_attribution import LossCause, TargetChoice
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.attempts import AttemptSender, TargetRun
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.graceful_stop import GracefulStop
from cowslipcourse.entry.retries import try_targets
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.entry.stream_target_selection import StreamTargetChooser
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.unary_forwarder import UnaryForwarder
from cowslipcourse.entry.unloaded_components import AlwaysReachable
from cowslipcourse.exceptions import TargetWithheld
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import Permit, RateLimiter
from cowslipcourse.routes import RequestKind, Route, ServiceSpec
from features.support.limiter_peers import RecordingPeers

SERVICE = "s"
ROUTE = Route("r", "h", "/", RequestKind.STREAMING, ((SERVICE, 1.0),), 3.0, 0.3, 1, 2)
LIMIT_HEAD = ResponseHead(200, ((b"server-limit", b"2"),))
LEAVING_HEAD = ResponseHead(200, ((b"server-leaving", b"1"),))
PAUSE_HEAD = ResponseHead(503, ((b"retry-after", b"3"),))


def _entry(number):
    return TargetEntry(f"t{number}", SERVICE, f"10.0.0.{number}:1", "x", 6)


class _Call(SimpleNamespace):
    def waited_s(self, now):
        return now - self.arrived_at


def _call(now, deadline_s=3.0):
    return _Call(
        id="a1",
        fingerprint=b"f" * 16,
        part_fingerprints=(),
        max_response_bytes=1000,
        route=ROUTE,
        workspace=None,
        workspace_name=None,
        method="POST",
        path=b"/",
        body=b"",
        headers=(),
        caller_headers=CallerHeaders(b"a1"),
        arrived_at=now,
        deadline=now + deadline_s,
    )


def _now():
    return asyncio.get_running_loop().time()


# The last check before a request is sent.


class _Connection:
    """A connection that records what is sent on it."""

    ended_by_target = False
    is_close_delimited = False

    def __init__(self):
        self.sent = []

    def send(self, request):
        self.sent.append(request)


class _Pool:
    """Hands out one connection, after an action that takes time."""

    def __init__(self, connection, while_connecting):
        self._connection = connection
        self._while_connecting = while_connecting
        self.released = []

    async def acquire(self, key, address, needs_new_connection):
        await self._while_connecting()
        return self._connection

    def release(self, key, connection):
        self.released.append(connection)


async def _open_attempt(context):
    fleet, connection = FleetView(), _Connection()
    limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
    conditions = TargetConditions(limiter, FleetView())
    sender = AttemptSender(fleet, conditions)

    async def while_connecting():
        await context.while_connecting(conditions)

    sender._pool = pool = _Pool(connection, while_connecting)
    context.error = None
    try:
        async with sender.open(_call(_now()), TargetRun(_entry(1))):
            pass
    except TargetWithheld as error:
        context.error = error
    context.connection, context.pool, context.fleet = connection, pool, fleet


@given("a target that states a limit while a request waits for a connection to it")
def step_limit_while_connecting(context):
    async def state_limit(conditions):
        conditions.observe(_entry(1), LIMIT_HEAD)

    context.while_connecting = state_limit
    run_in_virtual_time(_open_attempt(context))


@given("a target that asks for a pause while a request waits for a connection to it")
def step_pause_while_connecting(context):
    async def ask_for_pause(conditions):
        conditions.observe(_entry(1), PAUSE_HEAD)

    context.while_connecting = ask_for_pause
    run_in_virtual_time(_open_attempt(context))


@given(
    "a target that states that it leaves while a request waits for a connection to it"
)
def step_leaving_while_connecting(context):
    async def state_leaving(conditions):
        conditions.observe(_entry(1), LEAVING_HEAD)

    context.while_connecting = state_leaving
    run_in_virtual_time(_open_attempt(context))


@given("a target to which connecting takes longer than a permit is valid")
def step_slow_connection(context):
    async def connect_slowly(conditions):
        await asyncio.sleep(0.6)

    async def acquire(self, entry):
        return Permit(_now())

    context.while_connecting = connect_slowly
    original = RateLimiter.acquire
    RateLimiter.acquire = acquire
    try:
        run_in_virtual_time(_open_attempt(context))
    finally:
        RateLimiter.acquire = original


@then("the request is not sent, and the connection is kept for the next one")
def step_not_sent(context):
    assert context.error is not None
    assert not context.connection.sent
    assert context.pool.released == [context.connection]
    assert not context.fleet.in_flight


# Forwarding with a withheld target.


class _Quarantine:
    """Quarantines nothing."""

    def is_refused(self, call):
        return False

    def retry_delay_s(self, call, run):
        return 0.0

    @contextlib.contextmanager
    def tracking(self, call, run):
        yield

    def record_answered(self, call, run):
        """Do nothing."""


@given("two targets, the first of which accepts no request now")
def step_two_targets(context):
    context.withheld_target = _entry(1)


@when("a request is forwarded without any retry budget")
def step_forwarded(context):
    withheld_counts = {}

    async def choose(tried_ids):
        assert not tried_ids, tried_ids
        return TargetChoice(_entry(2) if withheld_counts else _entry(1))

    async def attempt(run, is_last):
        if run.entry == context.withheld_target:
            raise TargetWithheld("rate limit", _now() + 1.0)
        run.succeeded = True

    def count_withheld(service):
        withheld_counts[service] = withheld_counts.get(service, 0) + 1

    tools = SimpleNamespace(
        quarantine=_Quarantine(),
        retry_budget=SharedRetryBudget(RetrySettings()),
        count_withheld=count_withheld,
        count_hedge=None,
        count_retry=lambda service, outcome: None,
        stop=GracefulStop(),
        reachability=AlwaysReachable(),
        configuration_version=1,
    )

    async def forward():
        context.delivery = await try_targets(
            tools, _call(_now()), SERVICE, choose, attempt
        )

    run_in_virtual_time(forward())
    context.withheld_counts = withheld_counts


@then("the second target answers it")
def step_second_answers(context):
    assert context.delivery.entry == _entry(2)


@then("the request counts as withheld once and as sent to one target")
def step_counts(context):
    assert context.delivery.withheld == 1
    assert context.delivery.attempts == 1
    assert context.withheld_counts == {SERVICE: 1}


# No target accepts requests.


class _Conditions:
    """Withholds all targets until a time."""

    def __init__(self, until):
        self._until = until

    def usable(self, candidates, now):
        return candidates if now >= self._until else []

    def usable_at(self, candidates):
        return self._until


@given("{count:d} targets of a {kind} service that accept nothing for {wait:g} s")
def step_nothing_accepted(context, count, kind, wait):
    context.entries = [_entry(number) for number in range(count)]
    context.kind, context.wait = kind, wait


async def _choose(context, deadline_s, tried_ids, seed):
    started_at = _now()
    fleet = FleetView()
    fleet.apply(context.entries, ())
    tools = SimpleNamespace(
        fleet=fleet,
        conditions=_Conditions(started_at + context.wait),
        data_centre="x",
        rng=random.Random(seed),
        service_spec=lambda service: ServiceSpec(service),
        placing=SimpleNamespace(cost=None),
        has_priorities=lambda service: False,
    )
    if context.kind == "plain":
        choice = UnaryForwarder(tools)._choose(SERVICE, tried_ids)
    else:
        progress = SimpleNamespace(
            call=_call(started_at, deadline_s), has_events=False, slot_wait_s=0.0
        )
        chooser = StreamTargetChooser(tools)
        choice = await chooser.choose(progress, SERVICE, tried_ids)
    return choice, _now() - started_at


def _choose_for_callers(context, deadline_s=3.0, tried_ids=()):
    context.choices = []

    async def choose_all():
        for seed in range(20):
            context.choices.append(await _choose(context, deadline_s, tried_ids, seed))

    run_in_virtual_time(choose_all())


@when("a request with a deadline of {deadline:g} s is to be sent")
def step_to_be_sent(context, deadline):
    _choose_for_callers(context, deadline)


@when("a request that was sent to all of them is to be sent again")
def step_sent_again(context):
    _choose_for_callers(context, tried_ids={entry.id for entry in context.entries})


@then("it gets no target within {limit:g} s, because all are withheld")
def step_no_target_at_once(context, limit):
    for choice, elapsed_s in context.choices:
        assert choice.entry is None
        assert choice.cause == LossCause.TARGETS_WITHHELD, choice
        assert elapsed_s <= limit, elapsed_s


@then(
    "its caller is to return between 1 and 1.5 times {wait:g} s later, each at another "
    "time"
)
def step_return(context, wait):
    times = [choice.retry_after_s for choice, _ in context.choices]
    assert all(wait - 0.01 <= each <= 1.5 * wait for each in times), times
    assert len(set(times)) == len(times)


@then("it gets a target after {wait:g} s")
def step_target_after(context, wait):
    for choice, elapsed_s in context.choices:
        assert choice.entry is not None
        assert wait <= elapsed_s <= wait + 0.03, elapsed_s


@then("it gets no target after {limit:g} s, because all groups were tried")
def step_all_tried(context, limit):
    for choice, elapsed_s in context.choices:
        assert choice.cause == LossCause.GROUPS_TRIED, choice
        assert elapsed_s <= limit + 0.03, elapsed_s


class _ReusedConnection:
    """A connection on which the next request is sent as soon as it is released."""

    ended_by_target = False
    is_close_delimited = False
    last_received_at = 0.0

    def send(self, request):
        """Send nothing."""

    async def acquire(self, key, address, needs_new_connection):
        """Return this connection, as a pool does."""
        return self

    def release(self, key, connection):
        """Start the next request."""
        self.last_received_at = 0.0


@given("a target that answers a request")
def step_answering_target(context):
    context.connection = _ReusedConnection()


@when("the attempt ends, and the next one is sent on its connection at once")
def step_connection_reused(context):
    async def actions():
        limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        sender = AttemptSender(FleetView(), TargetConditions(limiter, FleetView()))
        sender._pool = context.connection
        context.run_at_target = TargetRun(_entry(1))
        call = _call(_now())
        async with sender.open(call, context.run_at_target):
            context.connection.last_received_at = 1.0

    run_in_virtual_time(actions())


@then("the target counts as having read the first request")
def step_counts_as_read(context):
    assert context.run_at_target.is_read
    assert not context.run_at_target.may_arrive
