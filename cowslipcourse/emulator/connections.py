"""Attempts at emulated engines, in place of connections over a network."""

import asyncio
from collections import deque
from contextlib import asynccontextmanager

from cowslipcourse.emulator.batches import CRASH_S, BatchedRequest, GroupBatch
from cowslipcourse.emulator.crashes import CrashOracle
from cowslipcourse.entry.attempts import CONNECT_TIMEOUT_S, Attempt
from cowslipcourse.entry.urgency import urgency
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.exchange import ResponseHead
from cowslipcourse.platform.edge import MISDIRECTED_REQUEST, not_executed_head

__all__ = ["EmulatedAttemptSender", "Heads"]

LINK_S = 0.001
"""One way between a daemon and an engine."""
FULL = 503
CLOSING_LOOK_S = 0.05
"""Interval at which heads that close are looked at."""


class Heads:
    """The batches of all heads.

    :param world: :class:`~cowslipcourse.emulator.engines.World`
    :param spec: :class:`~cowslipcourse.routes.ServiceSpec`
    """

    def __init__(self, world, spec):
        self.world = world
        self.crashing = CrashOracle()
        self._spec = spec
        self._batches = {}

    async def refuses(self, address):
        """Whether the host of an address lives, and nobody listens there."""
        await asyncio.sleep(2 * LINK_S)
        return address in self.world.crashed

    def now(self):
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def batch(self, engine):
        """Return the :class:`~.GroupBatch` of an open head."""
        found = engine.membership
        key = engine.id, engine.incarnation, found.epoch
        if key not in self._batches:
            model = self._spec.model(found.model)
            self._batches[key] = GroupBatch(self.world, engine, self._spec, model.pace)
        return self._batches[key]

    async def run(self):
        """Let heads that close be ready once they have finished, for ever."""
        while True:
            await asyncio.sleep(CLOSING_LOOK_S)
            for engine in list(self.world.engines.values()):
                if engine.is_closing_head and self.batch(engine).is_empty:
                    engine.finish_closing()


class _EmulatedConnection:
    """Meets what streams use of :class:`~cowslipcourse.exchange.TargetConnection`."""

    def __init__(self, head):
        self.last_received_at = 0.0
        self.request = None
        self._head = head
        self._chunks = deque()
        self._is_complete = False
        self._error = None
        self._has_begun = False
        self.ended_by_target = False
        self._changed = asyncio.Event()

    async def head(self):
        """Return the head; that of a stream comes when the request begins to run."""
        while self._head.status == 200 and not (self._chunks or self._has_begun):
            await self._wait()
        return self._head

    def begin(self):
        """Let the head come before the first event."""
        self._has_begun = True
        self._changed.set()

    async def read(self):
        """Return the next bytes; empty at the end."""
        while not self._chunks:
            if self._is_complete:
                return b""
            await self._wait()
        return self._chunks.popleft()

    async def read_all(self):
        """Return the rest."""
        return b""

    def abort(self, error=None):
        """Close; the engine drops the request."""
        if self.request is not None:
            self.request.is_cancelled = True
        if error is not None:
            self._fail(error)

    def deliver(self, number, is_last):
        """Take an event from the engine."""
        self.last_received_at = asyncio.get_running_loop().time()
        self._chunks.append(b"id: %d\ndata: x\n\n" % number)
        self._is_complete = is_last
        self._changed.set()

    def break_off(self, error):
        """Take it from the engine that the answer ends here."""
        self.ended_by_target = True
        self._fail(error)

    def _fail(self, error):
        """Let whoever reads get an error."""
        self._error = self._error or error
        self._changed.set()

    async def _wait(self):
        if self._error is not None:
            raise self._error
        self._changed.clear()
        await self._changed.wait()
        if self._error is not None:
            raise self._error


class EmulatedAttemptSender:
    """Meets :class:`~cowslipcourse.entry.attempts.AttemptSender`.

    :param name: name of the daemon.
    :param fleet: :class:`~cowslipcourse.entry.fleet.FleetView` of the daemon.
    :param heads: :class:`Heads`
    """

    def __init__(self, name, fleet, heads):
        self._name = name
        self._fleet = fleet
        self._heads = heads

    @asynccontextmanager
    async def open(self, call, run, last_event_id=None):
        """See :class:`~cowslipcourse.entry.attempts.AttemptSender`."""
        entry = run.entry
        self._fleet.request_started(entry.id)
        connection = None
        try:
            engine = self._heads.world.engines.get(entry.id)
            if engine is None and entry.address in self._heads.world.crashed:
                await asyncio.sleep(2 * LINK_S)
                raise TargetUnreachable("refused", sent=False)
            if engine is None or engine.is_unreachable:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise TargetUnreachable("dark", sent=False)
            await asyncio.sleep(LINK_S)
            connection = run.connection = self._send(call, engine, last_event_id)
            yield Attempt(entry, connection, asyncio.get_running_loop().time())
        finally:
            self._fleet.request_ended(entry.id)
            if connection is not None and connection.request is not None:
                run.ended_by_target = connection.ended_by_target
                connection.request.is_cancelled = True

    def _send(self, call, engine, last_event_id):
        if engine.is_closing_head:
            return _EmulatedConnection(not_executed_head(FULL))
        if not engine.is_open_head:
            return _EmulatedConnection(ResponseHead(MISDIRECTED_REQUEST, ()))
        batch = self._heads.batch(engine)
        if batch.is_full:
            return _EmulatedConnection(not_executed_head(FULL))
        if call.size.ends_targets:
            self._heads.crashing.note_arrival(call.fingerprint, self._name)
        waited_s = call.waited_s(asyncio.get_running_loop().time())
        connection = _EmulatedConnection(ResponseHead(200, ()))
        passed = last_event_id or call.caller_headers.last_event_id or 0
        connection.request = BatchedRequest(
            call.size.prompt_tokens + passed * call.size.event_tokens,
            passed + 1,
            call.size.events,
            urgency(call.route, call.workspace, waited_s),
            connection.deliver,
            connection.break_off,
            self._crash(call, connection) if call.size.ends_targets else None,
        )
        batch.submit(connection.request)
        return connection

    def _crash(self, call, connection):
        """Return what happens when a request begins that ends its engine."""

        def begin():
            connection.begin()
            self._heads.crashing.note_end(call.fingerprint, CRASH_S)

        return begin
