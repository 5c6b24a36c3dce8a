"""Steps over targets that end under requests."""

import asyncio
import contextlib

from behave import given, then

from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.calls import read_call
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.exceptions import TargetError, TargetUnreachable
from cowslipcourse.exchange import TargetConnection, TargetRequest
from cowslipcourse.ports import TargetEntry
from cowslipcourse.quarantine import fingerprint
from cowslipcourse.quarantining import TargetExitDetector, refuses_connections
from cowslipcourse.routes import CallerLimits, RequestKind, Route, RouteTable, Workspace
from features.support.scripted_target import RESPONSE_HEAD
from harness.ports import free_ports

PART = RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nhe"
REQUEST = TargetRequest("POST", b"/a/b", (), b"body", (b"x-attempt-id", b"a1"))
SILENT_S = 0.1


class _Target:
    """A target that plays one way to end, and what a daemon sees of it."""

    def __init__(self, ends):
        self._ends = ends
        self._server = None
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self.entry = TargetEntry("t1", "s", address, "n", 6, incarnation=5)
        self.fleet = FleetView()
        self.fleet.apply([self.entry], ())

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            # The check of whether anybody listens, which sends nothing.
            return
        if "in part" in self._ends:
            writer.write(PART)
            await writer.drain()
        if "its process ends" in self._ends:
            self._server.close()
        if "silent" not in self._ends:
            writer.transport.abort()

    def _note_change(self):
        if "about to leave" in self._ends:
            self.fleet.apply([self.entry._replace(is_leaving=True)], ())
        if "left the list" in self._ends:
            self.fleet.apply((), ("t1",))
        if "started again" in self._ends:
            self.fleet.apply([self.entry._replace(incarnation=6)], ())

    async def play(self):
        """Return whether the target closed the connection, and whether it ended."""
        host, port = self.entry.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        connection = await TargetConnection.connect(self.entry.address, 1.0)
        connection.send(REQUEST)
        with contextlib.suppress(TargetError, TimeoutError):
            async with asyncio.timeout(SILENT_S if "silent" in self._ends else 5.0):
                await connection.head()
                await connection.read_all()
        connection.abort()
        self._note_change()
        ended = False
        if connection.ended_by_target:
            ended = await TargetExitDetector(self.fleet.is_expected).detect_exit(
                self.entry
            )
        self._server.close()
        return connection.ended_by_target, ended


@given("a listed target that {ends}")
def step_target(context, ends):
    if ends.startswith("ends under"):
        context.requests = int(ends.split()[2])
        return
    context.closed, context.ended = asyncio.run(_Target(ends).play())


@then("the connection was closed by the target: {closed}")
def step_closed(context, closed):
    assert context.closed == (closed == "yes"), context.closed


@then("the target has ended by itself: {ended}")
def step_ended(context, ended):
    assert context.ended == (ended == "yes"), context.ended


@given("a listed target whose host is cut off")
def step_cut(context):
    target = _Target("")

    async def run():
        before = TargetConnection.connect
        TargetConnection.connect = _no_answer
        try:
            return await TargetExitDetector(target.fleet.is_expected).detect_exit(
                target.entry
            )
        finally:
            TargetConnection.connect = before

    context.ended = asyncio.run(run())


async def _no_answer(address, timeout_s):
    raise TargetUnreachable("timed out", sent=False) from TimeoutError()


@then("its host is asked once, and all {number:d} learn that it has ended")
def step_once(context, number):
    target = _Target("")
    asked = []

    async def refuses(address):
        asked.append(address)
        await asyncio.sleep(0.01)
        return await refuses_connections(address)

    async def run():
        ends = TargetExitDetector(target.fleet.is_expected, refuses)
        runs = [TargetRun(target.entry) for _ in range(context.requests)]
        return await asyncio.gather(*(ends.detect_exit(run.entry) for run in runs))

    assert asyncio.run(run()) == [True] * number
    assert len(asked) == 1, asked


def _read(attempt, path=b"/a/b", key="k1", body=b"x"):
    """Return the fingerprint of a request as a daemon reads it."""
    route = Route("r", "h", "/a/", RequestKind.IDEMPOTENT, (("s", 1.0),), 5.0, 1.0)
    keys = {"k1": Workspace("w1"), "k2": Workspace("w2"), "k3": Workspace("w1")}
    table = RouteTable(1, [route], (), CallerLimits(), keys)
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
    "fingerprints differ by workspace, path and body, and not by the caller's attempt"
)
def step_fingerprints(context):
    first = _read(b"1")
    assert first == _read(b"2")
    assert first == _read(b"3", key="k3"), "another key of the same workspace"
    others = [
        _read(b"1", path=b"/a/c"),
        _read(b"1", key="k2"),
        _read(b"1", body=b"y"),
        fingerprint("w1", b"/a/bx", b""),
        fingerprint("w1", b"/a/", b"bx"),
    ]
    assert len({first, *others}) == 6
