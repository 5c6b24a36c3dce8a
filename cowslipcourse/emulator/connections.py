"""Emulated connections from daemons to engines, in place of a network."""

import asyncio
import functools
from collections import deque
from contextlib import asynccontextmanager

from cowslipcourse.admission.urgency import urgency
from cowslipcourse.emulator.batches import (
    BatchedRequest,
    Crash,
    CrashForm,
    GroupBatch,
)
from cowslipcourse.emulator.crashes import (
    MAX_PART_CRASHES_BEFORE_DETECTION,
    CrashOracle,
)
from cowslipcourse.emulator.limit_oracle import LimitOracle
from cowslipcourse.emulator.pause_oracle import PauseOracle
from cowslipcourse.entry.attempts import CONNECT_TIMEOUT_S, Attempt
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import (
    encode_leaving,
    encode_pause,
    encode_rate_limit,
)
from cowslipcourse.platform.headers import MISDIRECTED_REQUEST, not_executed_head

__all__ = ["EmulatedAttemptSender", "GroupHeads"]

LINK_DELAY_S = 0.001
"""One-way delay between a daemon and an engine."""
FULL_STATUS = 503
CLOSING_POLL_INTERVAL_S = 0.05
"""Interval at which closing heads are checked."""


class GroupHeads:
    """The batches of the heads of all groups.

    :param world: :class:`~cowslipcourse.emulator.group_oracle.World`
    :param spec: :class:`~cowslipcourse.routes.ServiceSpec`
    """

    def __init__(self, world, spec):
        self.world = world
        self.crash_oracle = CrashOracle()
        self.part_oracle = CrashOracle(MAX_PART_CRASHES_BEFORE_DETECTION)
        self.limit_oracle = LimitOracle()
        self.pause_oracle = PauseOracle()
        self.leaving_oracle = PauseOracle()
        self._spec = spec
        self._batches = {}

    async def refuses_connections(self, address):
        """Whether the host of an address is up but refuses connections."""
        await asyncio.sleep(2 * LINK_DELAY_S)
        return address in self.world.crashed_addresses

    async def is_host_lost(self, address):
        """Whether nothing answers at an address."""
        await asyncio.sleep(2 * LINK_DELAY_S)
        return address not in self.world.crashed_addresses and not any(
            engine.address == address and not engine.is_unreachable
            for engine in self.world.engines.values()
        )

    def now(self):
        """Return the loop time in seconds."""
        return asyncio.get_running_loop().time()

    def stated_headers(self, engine, daemon):
        """Return the headers in which an engine states its conditions to a daemon."""
        if engine.states_leaving:
            self.leaving_oracle.record_pause(_instance(engine), daemon, float("inf"))
        if engine.rate_limit_per_s is not None or engine.has_stated_limit:
            engine.has_stated_limit = True
            self.limit_oracle.record_limit(_instance(engine), engine.rate_limit_per_s)
        limit_headers = encode_rate_limit(engine.rate_limit_per_s)
        return limit_headers + encode_leaving(engine.states_leaving)

    def batch(self, engine):
        """Return the :class:`~.GroupBatch` of an open head."""
        membership = engine.membership
        key = engine.id, engine.incarnation, membership.epoch
        if key not in self._batches:
            model = self._spec.model(membership.model)
            self._batches[key] = GroupBatch(self.world, engine, self._spec, model.pace)
        return self._batches[key]

    async def run(self):
        """Set closing heads to ready once their requests have ended; runs forever."""
        while True:
            await asyncio.sleep(CLOSING_POLL_INTERVAL_S)
            for engine in list(self.world.engines.values()):
                if engine.is_closing_head and self.batch(engine).is_empty:
                    engine.finish_closing()


async def _always_runs(entry):
    """Return that a target runs: emulated streams do not end with their connection."""
    return True


def _instance(engine):
    return engine.id, engine.incarnation


class _EmulatedConnection:
    """The part of a ``TargetConnection`` for streams.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead` without the headers
        that state conditions.
    :param stated_headers: callable that returns those headers.
    """

    def __init__(self, head, stated_headers=tuple):
        self._stated_headers = stated_headers
        self.last_received_at = 0.0
        self.request = None
        self._head = head
        self._chunks = deque()
        self._is_complete = False
        self._error = None
        self._has_started = False
        self.ended_by_target = False
        self.is_close_delimited = False
        self._changed = asyncio.Event()

    async def head(self):
        """Return the response head; a stream has one once the request has started."""
        while self._head.status == 200 and not (self._chunks or self._has_started):
            await self._wait()
        self.last_received_at = asyncio.get_running_loop().time()
        return self._head._replace(headers=self._head.headers + self._stated_headers())

    def start(self):
        """Deliver the response head before the first event."""
        self._has_started = True
        self._changed.set()

    async def read(self):
        """Return the next bytes, or ``b""`` at the end."""
        while not self._chunks:
            if self._is_complete:
                return b""
            await self._wait()
        return self._chunks.popleft()

    async def read_all(self, hold=None):
        """Return the rest of the body, which is always empty."""
        return b""

    def reject_end(self):
        """Do nothing: emulated streams do not end with their connections."""

    def abort(self, error=None):
        """Close the connection; the engine cancels the request."""
        if self.request is not None:
            self.request.is_cancelled = True
        if error is not None:
            self._fail(error)

    def deliver(self, event_number, is_last):
        """Receive an event from the engine."""
        self.last_received_at = asyncio.get_running_loop().time()
        self._chunks.append(b"id: %d\ndata: x\n\n" % event_number)
        self._is_complete = is_last
        self._changed.set()

    def interrupt(self, error):
        """Fail the response, which the engine has ended early."""
        self.ended_by_target = True
        self._fail(error)

    def _fail(self, error):
        """Raise an error to the reader."""
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
    """Implements :class:`~cowslipcourse.entry.attempts.AttemptSender`.

    :param name: name of the daemon.
    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView` of the daemon.
    :param conditions:
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    :param heads: :class:`GroupHeads`
    """

    def __init__(self, name, fleet, conditions, heads):
        self._name = name
        self._fleet = fleet
        self._conditions = conditions
        self._heads = heads

    @asynccontextmanager
    async def open(self, call, run, last_event_id=None):
        """See :class:`~cowslipcourse.entry.attempts.AttemptSender`."""
        entry = run.entry
        permit = await self._conditions.admit(entry)
        self._fleet.request_started(entry.id)
        connection = None
        try:
            engine = self._heads.world.engines.get(entry.id)
            if engine is None and entry.address in self._heads.world.crashed_addresses:
                await asyncio.sleep(2 * LINK_DELAY_S)
                raise TargetUnreachable("connection refused", sent=False)
            if engine is None or engine.is_unreachable:
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise TargetUnreachable("the engine is unreachable", sent=False)
            self._conditions.verify(entry, permit)
            await asyncio.sleep(LINK_DELAY_S)
            connection = run.connection = self._submit(call, engine, last_event_id)
            now = asyncio.get_running_loop().time()
            yield Attempt(entry, connection, now, self._conditions, _always_runs)
        finally:
            self._fleet.request_ended(entry.id)
            if connection is not None and connection.request is not None:
                run.ended_by_target = connection.ended_by_target
                if connection.last_received_at:
                    run.mark_read()
                connection.request.is_cancelled = True

    def _submit(self, call, engine, last_event_id):
        self._heads.limit_oracle.record_arrival(_instance(engine), self._name)
        self._heads.pause_oracle.record_arrival(_instance(engine), self._name)
        self._heads.leaving_oracle.record_arrival(_instance(engine), self._name)
        stated_headers = functools.partial(
            self._heads.stated_headers, engine, self._name
        )
        if engine.is_closing_head:
            return _EmulatedConnection(not_executed_head(FULL_STATUS), stated_headers)
        if not engine.is_open_head:
            return _EmulatedConnection(ResponseHead(MISDIRECTED_REQUEST, ()))
        if engine.pause_s is not None:
            return self._refuse_with_pause(engine, stated_headers)
        batch = self._heads.batch(engine)
        if batch.is_full:
            return _EmulatedConnection(not_executed_head(FULL_STATUS), stated_headers)
        if call.size.crashes_targets:
            self._heads.crash_oracle.record_arrival(call.fingerprint, self._name)
            if call.size.crashing_part:
                self._heads.part_oracle.record_arrival(
                    call.size.crashing_part, self._name
                )
        waited_s = call.waited_s(asyncio.get_running_loop().time())
        connection = _EmulatedConnection(ResponseHead(200, ()), stated_headers)
        delivered_events = last_event_id or call.caller_headers.last_event_id or 0
        connection.request = BatchedRequest(
            call.size.prompt_tokens + delivered_events * call.size.tokens_per_event,
            delivered_events + 1,
            call.size.event_count,
            urgency(call.route, call.workspace, waited_s),
            connection.deliver,
            connection.interrupt,
            self._crash(call, connection) if call.size.crashes_targets else None,
        )
        batch.submit(connection.request)
        return connection

    def _refuse_with_pause(self, engine, stated_headers):
        self._heads.pause_oracle.record_pause(
            _instance(engine), self._name, engine.pause_s
        )
        head = not_executed_head(FULL_STATUS)
        headers = head.headers + encode_pause(engine.pause_s)
        return _EmulatedConnection(head._replace(headers=headers), stated_headers)

    def _crash(self, call, connection):
        """Return the :class:`Crash` of an engine under a request."""
        form = call.size.crash_form

        def on_start():
            if form is CrashForm.HEAD:
                connection.start()
            self._heads.crash_oracle.record_crash(call.fingerprint, form.delay_s)
            if call.size.crashing_part:
                self._heads.part_oracle.record_crash(
                    call.size.crashing_part, form.delay_s
                )

        return Crash(form, on_start)
