"""A platform whose engines exit under requests with one part of prompts."""

import asyncio
import socket
from enum import StrEnum
from typing import NamedTuple

from starlette.responses import Response

from features.support.platform_site import PlatformSite, stream_events
from features.support.scripted_target import ZERO_LINGER

__all__ = ["BAD_PARTS", "Aftermath", "CrashForm", "CrashingSite", "PartArrival"]

BAD_PARTS = ("bad0", "bad1")
"""Ids of parts of prompts that end engines and that no sound request has."""
DOMAINS = tuple(f"d{number}" for number in range(1, 7))
STREAM_S = 0.8
WORK_S = 0.05
"""Time from the arrival of a request until the engine writes, or exits without."""
AFTER_HEAD_S = 0.08
SILENCE_S = 1.0
EVENTS_S = 0.4
QUICK_RESTART_S = 0.05
HEAD_LINES = (
    "HTTP/1.1 200 OK",
    "content-type: text/event-stream",
    "x-attempt-id: {attempt_id}",
    "x-response-seal: {engine_id}",
)
IN_HEAD_BYTES = 30


class CrashForm(StrEnum):
    """How far an engine gets with its answer before it exits."""

    BEFORE_HEAD = "before any byte of its head"
    IN_HEAD = "in the middle of its head"
    SILENT = "after 1 s of silence, without a head"
    AFTER_HEAD = "0.08 s after its whole head"
    IN_EVENT = "inside its first event"
    AFTER_EVENT = "right after its first event"
    AFTER_EVENTS = "after 0.4 s of events"

    @property
    def delay_s(self):
        """Seconds from the arrival of a request to the exit."""
        extra_s = {
            CrashForm.SILENT: SILENCE_S,
            CrashForm.AFTER_HEAD: AFTER_HEAD_S,
            CrashForm.AFTER_EVENTS: EVENTS_S,
        }
        return WORK_S + extra_s.get(self, 0.0)


class Aftermath(StrEnum):
    """What happens at the address of an engine that has exited."""

    REFUSED = "connections are refused until it restarts"
    QUICK_RESTART = "the next incarnation listens there 0.05 s later"
    CLOSED = "connections are accepted and closed until it restarts"


class PartArrival(NamedTuple):
    """A request with a bad part that reached an engine.

    :param part: id of the part.
    :param engine: id of the engine.
    :param at: loop time in seconds.
    """

    part: str
    engine: str
    at: float


class CrashingSite(PlatformSite):
    """A platform of 48 engines, which exit under requests with a bad part.

    :param daemon_count: number of daemons, which are processes.
    :param form: :class:`CrashForm`
    :param aftermath: :class:`Aftermath`
    :param bad_parts: ids of the parts under which engines exit, from
        :meth:`start_exits` on.
    :param ends_with_connection: whether streams have neither a length nor chunks.
    :param is_reset: whether the connections of an engine that exits are reset, not
        closed.
    """

    def __init__(
        self,
        daemon_count,
        form,
        aftermath=Aftermath.REFUSED,
        bad_parts=BAD_PARTS[:1],
        ends_with_connection=False,
        is_reset=False,
    ):
        super().__init__(daemon_count, DOMAINS)
        self.min_execution_s = STREAM_S
        self.part_arrivals = []
        self.part_crashes = []
        """:class:`PartArrival` of each request under which an engine has exited."""
        self.bad_parts = bad_parts
        self._has_exits = False
        self._form = form
        self._aftermath = aftermath
        self._ends_with_connection = ends_with_connection
        self._is_reset = is_reset

    def start_exits(self):
        """Let engines exit under requests with a bad part from now on."""
        self._has_exits = True

    def _bad_part_of(self, request):
        """Return the bad part of a request, or ``None``."""
        if not self._has_exits:
            return None
        stated = request.headers.get("x-prompt-prefix", "")
        parts = [entry.split(":")[0] for entry in stated.split(",")]
        return next((part for part in self.bad_parts if part in parts), None)

    async def _handle_stream(self, engine_id, request):
        part = self._bad_part_of(request)
        engine = self.world.engines.get(engine_id)
        is_serving = engine is not None and engine.is_open_head
        if not is_serving or (part is None and not self._ends_with_connection):
            return await super()._handle_stream(engine_id, request)
        answer = _RawAnswer(
            self._connection_of(engine_id, request),
            engine_id,
            request.headers["x-attempt-id"],
            self._ends_with_connection,
        )
        after = int(request.headers.get("last-event-id", 0))
        events = stream_events(request.path_params["name"])[after:]
        if part is None:
            await answer.send_stream(events, STREAM_S)
        else:
            arrival = PartArrival(part, engine_id, self._now())
            self.part_arrivals.append(arrival)
            await self._exit_under(arrival, answer, events)
        # The connection is closed by now, so that this is not sent.
        return Response()

    def _connection_of(self, engine_id, request):
        """Return the transport of the connection that a request has come on."""
        connections = self._target_servers[engine_id]._server.server_state.connections
        for connection in connections:
            if connection.scope is request.scope:
                return connection.transport
        raise ConnectionResetError("the connection of the request is closed")

    async def _exit_under(self, arrival, answer, events):
        """Answer a request as far as the form says, then let the engine exit."""
        form = self._form
        await asyncio.sleep(WORK_S)
        if form is CrashForm.IN_HEAD:
            answer.send_part_of_head()
        elif form not in (CrashForm.BEFORE_HEAD, CrashForm.SILENT):
            answer.send_head()
        if form is CrashForm.IN_EVENT:
            answer.send_event(events[0][:-4])
        elif form is CrashForm.AFTER_EVENT:
            answer.send_event(events[0])
        elif form is CrashForm.AFTER_EVENTS:
            interval_s = STREAM_S / len(events)
            count = int(EVENTS_S / interval_s)
            await answer.send_events(events[:count], interval_s)
        else:
            await asyncio.sleep(form.delay_s - WORK_S)
        if arrival.engine in self._target_servers:
            self.part_crashes.append(arrival._replace(at=self._now()))
            self._crash_target(arrival.engine)

    def stop_listening(self, target, server):
        """See :meth:`PlatformSite.stop_listening`; connections may be reset."""
        if self._is_reset:
            for connection in server._server.server_state.connections:
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        super().stop_listening(target, server)

    async def _restart_target(self, target, engine):
        address = self._addresses[target]
        if engine is None or self._aftermath is Aftermath.REFUSED:
            await super()._restart_target(target, engine)
        elif self._aftermath is Aftermath.QUICK_RESTART:
            await asyncio.sleep(QUICK_RESTART_S)
            await self._serve_engine(self.world.restart_under_new_id(engine), address)
        else:
            server = await _serve_closing(address)
            await super()._restart_target(target, engine)
            server.close()

    def _now(self):
        return asyncio.get_running_loop().time()


async def _serve_closing(address):
    """Return a server that closes each connection at once."""
    host, port = address.split(":")
    return await asyncio.start_server(
        lambda reader, writer: writer.close(), host, int(port)
    )


class _RawAnswer:
    """The bytes of a stream, written to the connection of its request.

    :param transport: :class:`asyncio.Transport`
    :param ends_with_connection: whether it has neither a length nor chunks.
    """

    def __init__(self, transport, engine_id, attempt_id, ends_with_connection):
        self._transport = transport
        self._ends_with_connection = ends_with_connection
        lines = [*HEAD_LINES]
        if not ends_with_connection:
            lines.append("transfer-encoding: chunked")
        text = "\r\n".join((*lines, "", ""))
        self._head = text.format(attempt_id=attempt_id, engine_id=engine_id).encode()

    def send_head(self):
        """Send the whole head."""
        self._transport.write(self._head)

    def send_part_of_head(self):
        """Send some bytes of the head."""
        self._transport.write(self._head[:IN_HEAD_BYTES])

    def send_event(self, event):
        """Send an event, or a part of one."""
        if not self._ends_with_connection:
            event = b"%x\r\n%s\r\n" % (len(event), event)
        self._transport.write(event)

    async def send_events(self, events, interval_s):
        """Send events at an interval."""
        for event in events:
            await asyncio.sleep(interval_s)
            self.send_event(event)

    async def send_stream(self, events, seconds):
        """Send a whole stream, and end the connection."""
        self.send_head()
        await self.send_events(events, seconds / max(1, len(events)))
        self._transport.close()
