"""Steps for relays that fall silent, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.attempts import RelayPeer
from cowslipcourse.entry.relaying import Relays
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.peer_protocol import Member

INCARNATION = 3
RETURN_S = 2.0
CALL = SimpleNamespace(
    id="a1",
    method="POST",
    path=b"/",
    headers=(),
    body=b"",
    deadline=1e6,
    caller_headers=SimpleNamespace(attempt_id=b"a1"),
    route=SimpleNamespace(is_retryable=True),
    max_response_bytes=1000,
)


def _member(number, incarnation=INCARNATION):
    return Member(
        f"a{number}",
        incarnation,
        1,
        f"10.0.0.{number}:1",
        f"10.0.0.{number}:2",
        "n",
        True,
        1,
    )


class _Connection:
    """A connection on which nothing comes."""

    last_received_at = 0.0
    ended_by_target = False

    def __init__(self):
        self.error = None

    def send(self, request):
        """Send a request into the void."""

    def abort(self, error=None):
        self.error = self.error or error


class _Pool:
    def __init__(self, connection):
        self._connection = connection

    async def acquire(self, key, address, force_new=False):
        return self._connection

    def release(self, key, connection):
        """Keep nothing."""

    def close_expired(self):
        """Close nothing."""


@given("a request that is relayed by a daemon that sends nothing")
def step_relayed(context):
    context.relay = _member(1)


@given("heartbeats of that daemon that {heartbeats}")
def step_heartbeats(context, heartbeats):
    context.heartbeats = heartbeats


@given("connections to it that are {connections}")
def step_connections(context, connections):
    context.connections = connections


def _heard_members(context):
    """Return the members whose heartbeats have arrived."""
    others = [_member(2), _member(3)]
    now = asyncio.get_running_loop().time()
    has_returned = now >= context.sent_at + RETURN_S
    if context.heartbeats == "are missing for 2 s" and has_returned:
        return [context.relay, *others]
    if context.heartbeats.startswith("are missing"):
        return others
    change = {"name an earlier incarnation": -1, "name a later incarnation": 1}
    heard = INCARNATION + change.get(context.heartbeats, 0)
    return [_member(1, heard), *others]


def _connect(context):
    """Return a function that opens connections as the scenario says."""

    async def connect(address, timeout_s):
        is_relay = address == context.relay.front_address
        if context.connections == "refused" and is_relay:
            raise TargetUnreachable("x", sent=False) from ConnectionRefusedError()
        is_lost = context.connections.startswith("not answered")
        if is_lost and (is_relay or "others" in context.connections):
            await asyncio.sleep(timeout_s)
            raise TargetUnreachable("x", sent=False) from TimeoutError()
        return SimpleNamespace(abort=lambda: None)

    return connect


@when("{seconds:f} s have passed without an event")
def step_wait(context, seconds):
    connection = _Connection()

    async def run():
        context.sent_at = asyncio.get_running_loop().time()
        relays = Relays(
            "n",
            lambda: _heard_members(context),
            lambda: [member.peer_address for member in _heard_members(context)],
            random.Random(1),
            _Pool(connection),
            _connect(context),
        )
        watching = asyncio.create_task(relays.run())
        run = SimpleNamespace(entry=RelayPeer.from_member(context.relay))
        async with relays.open(CALL, run):
            await asyncio.sleep(seconds)
        watching.cancel()

    run_in_virtual_time(run())
    context.error = connection.error


@then("the relayed request is {outcome}")
def step_outcome(context, outcome):
    assert (context.error is not None) == (outcome == "ended"), context.error
    if context.error is not None:
        assert context.error.reason == "relay-gone"
