"""Steps for the detection of targets that exit under requests."""

import asyncio
import contextlib
import socket

from behave import given, then

from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.calls import read_call
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.exceptions import TargetError, TargetUnreachable
from cowslipcourse.http_client import TargetConnection, TargetRequest
from cowslipcourse.ports import TargetEntry
from cowslipcourse.quarantine import fingerprint
from cowslipcourse.quarantine_runtime import TargetExitDetector, refuses_connections
from cowslipcourse.routes import (
    CallerLimits,
    KeyedAccess,
    RequestKind,
    Route,
    RouteTable,
    Workspace,
)
from features.support.scripted_target import RESPONSE_HEAD, ZERO_LINGER
from harness.ports import free_ports

PARTIAL_ANSWER = RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nhe"
REQUEST = TargetRequest("POST", b"/a/b", (), b"body", (b"x-attempt-id", b"a1"))
SILENCE_TIMEOUT_S = 0.1


class _ExitingTarget:
    """A target that disconnects in a given way, and a daemon's list of targets.

    :param behaviour: words of the step, which select what the target does.
    """

    def __init__(self, behaviour):
        self._behaviour = behaviour
        self._server = None
        self._has_read = False
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self.entry = TargetEntry("t1", "s", address, "n", 6, incarnation=5)
        self.fleet = FleetView()
        self.fleet.apply([self.entry], ())

    async def _serve(self, reader, writer):
        if self._has_read and "new connections" in self._behaviour:
            await self._end_new_connection(writer)
            return
        try:
            await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            # The probe of the exit detector connects and sends nothing.
            return
        self._has_read = True
        if "in part" in self._behaviour:
            writer.write(PARTIAL_ANSWER)
            await writer.drain()
        if "its process exits" in self._behaviour:
            self._server.close()
        if "silent" not in self._behaviour:
            writer.transport.abort()

    async def _end_new_connection(self, writer):
        if "in 0.2 s" in self._behaviour:
            await asyncio.sleep(0.2)
        if "resets" in self._behaviour:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        writer.close()

    def _update_fleet(self):
        if "marked as leaving" in self._behaviour:
            self.fleet.apply([self.entry._replace(is_leaving=True)], ())
        if "removed from the list" in self._behaviour:
            self.fleet.apply((), ("t1",))
        if "restarted" in self._behaviour:
            self.fleet.apply([self.entry._replace(incarnation=6)], ())

    async def simulate_exit(self):
        """Return whether the target closed the connection and whether it has exited."""
        host, port = self.entry.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        connection = await TargetConnection.connect(self.entry.address, 1.0)
        connection.send(REQUEST)
        with contextlib.suppress(TargetError, TimeoutError):
            async with asyncio.timeout(
                SILENCE_TIMEOUT_S if "silent" in self._behaviour else 5.0
            ):
                await connection.head()
                await connection.read_all()
        connection.abort()
        self._update_fleet()
        has_exited = False
        if connection.ended_by_target:
            has_exited = await TargetExitDetector(self.fleet.is_expected).detect_exit(
                self.entry
            )
        self._server.close()
        return connection.ended_by_target, has_exited


@given("a listed target that {behaviour}")
def step_listed_target(context, behaviour):
    if behaviour.startswith("exits under"):
        context.request_count = int(behaviour.split()[2])
        return
    context.closed_by_target, context.has_exited = asyncio.run(
        _ExitingTarget(behaviour).simulate_exit()
    )


@then("the connection was closed by the target: {closed_by_target}")
def step_closed_by_target(context, closed_by_target):
    assert context.closed_by_target == (closed_by_target == "yes"), (
        context.closed_by_target
    )


@then("the target is found to have exited: {has_exited}")
def step_has_exited(context, has_exited):
    assert context.has_exited == (has_exited == "yes"), context.has_exited


@given("a listed target whose host is unreachable")
def step_unreachable_host(context):
    target = _ExitingTarget("")

    async def detect_exit():
        original_connect = TargetConnection.connect
        TargetConnection.connect = _connect_timed_out
        try:
            return await TargetExitDetector(target.fleet.is_expected).detect_exit(
                target.entry
            )
        finally:
            TargetConnection.connect = original_connect

    context.has_exited = asyncio.run(detect_exit())


async def _connect_timed_out(address, timeout_s):
    raise TargetUnreachable("timed out", sent=False) from TimeoutError()


@then("its host is probed once, and all {request_count:d} requests learn of the exit")
def step_probed_once(context, request_count):
    target = _ExitingTarget("")
    probed_addresses = []

    async def probe(address):
        probed_addresses.append(address)
        await asyncio.sleep(0.01)
        return await refuses_connections(address)

    async def detect_exit():
        exit_detector = TargetExitDetector(target.fleet.is_expected, probe)
        runs = [TargetRun(target.entry) for _ in range(context.request_count)]
        return await asyncio.gather(
            *(exit_detector.detect_exit(run.entry) for run in runs)
        )

    assert asyncio.run(detect_exit()) == [True] * request_count
    assert len(probed_addresses) == 1, probed_addresses


def _fingerprint_of(attempt, path=b"/a/b", key="k1", body=b"x"):
    """Return the fingerprint of a request as a daemon reads it."""
    route = Route("r", "h", "/a/", RequestKind.IDEMPOTENT, (("s", 1.0),), 5.0, 1.0)
    keys = {"k1": Workspace("w1"), "k2": Workspace("w2"), "k3": Workspace("w1")}
    table = RouteTable(1, [route], (), CallerLimits(), KeyedAccess(keys))
    headers = [
        (b"host", b"h"),
        (b"x-attempt-id", attempt),
        (b"authorization", b"Bearer " + key.encode()),
    ]
    scope = {
        "headers": headers,
        "raw_path": path,
        "query_string": b"",
        "method": "POST",
    }

    async def receive():
        return {"type": "http.request", "body": body}

    return asyncio.run(read_call(scope, receive, table)).fingerprint


@then(
    "fingerprints differ by workspace, path and body, but not by the caller's attempt"
)
def step_fingerprints(context):
    first = _fingerprint_of(b"1")
    assert first == _fingerprint_of(b"2")
    assert first == _fingerprint_of(b"3", key="k3"), "another key of the same workspace"
    different = [
        _fingerprint_of(b"1", path=b"/a/c"),
        _fingerprint_of(b"1", key="k2"),
        _fingerprint_of(b"1", body=b"y"),
        fingerprint("w1", b"/a/bx", b""),
        fingerprint("w1", b"/a/", b"bx"),
    ]
    assert len({first, *different}) == 6
