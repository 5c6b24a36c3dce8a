"""One connection to a target.

The general HTTP client does not fit here: it repeats a request by itself when a kept
connection breaks, takes an answer without length as complete when the connection is
reset, and gives whatever answer comes next to the request that waits. The parser is
the library's; this module only keeps track of whose answer it reads.
"""

import asyncio
from collections import deque
from typing import NamedTuple

import httptools

from cowslipcourse.exceptions import AnswerBroken, MalformedAnswer, TargetUnreachable
from cowslipcourse.exchange.request import encode_request

__all__ = ["ResponseHead", "TargetConnection"]

READ_AHEAD_BYTES = 256 * 1024
"""Bytes of an answer that may wait for a slow caller before reading pauses."""
_NO_BODY = (204, 304)


class ResponseHead(NamedTuple):
    """Status line and headers of an answer.

    :param status: HTTP status.
    :param headers: ``(lower-case name, value)`` pairs.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name):
        """Return the value of a header, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _Answer:
    """One answer being read."""

    def __init__(self):
        self.headers = []
        self.head = None
        self.chunks = deque()
        self.waiting_bytes = 0
        self.complete = False
        self.ends_with_connection = False


class TargetConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    :param address: ``ip:port`` of the target.
    """

    def __init__(self, address):
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_s = None
        self.last_received_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._answer = None
        self._incoming = None
        self._expected = None
        self._method = ""
        self._error = None
        self._closed = False
        self._aborted = False
        self._ended_by_target = False
        self._dirty = False
        self._said_close = False
        self._waiter = None
        self._parser = None
        self._paused = False

    @classmethod
    async def connect(cls, address, timeout_s):
        """Return a new connection.

        :raises TargetUnreachable: nothing was sent.
        """
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(address), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        return connection

    @property
    def is_reusable(self):
        """Whether another exchange may follow on this connection."""
        answer = self._answer
        return not (
            self._closed
            or self._dirty
            or self._said_close
            or (answer is not None and not answer.complete)
            or self._transport.get_write_buffer_size()
        )

    @property
    def ended_by_target(self):
        """Whether the other side closed or reset it before its answer was whole."""
        return self._ended_by_target

    def send(self, request):
        """Send a request; the connection must be reusable.

        :param request: :class:`~cowslipcourse.exchange.TargetRequest`
        :raises TargetUnreachable: the connection is closed and nothing was sent.
        """
        if not self.is_reusable:
            raise TargetUnreachable("the connection was closed", sent=False)
        self._expected = request.echoed
        self._method = request.method
        self._answer = None
        self.last_received_at = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(encode_request(request))

    async def head(self):
        """Return the :class:`ResponseHead` of the answer to the request sent.

        :raises TargetUnreachable: the connection ended before the head.
        :raises MalformedAnswer: what came is not an answer.
        """
        while self._answer is None or self._answer.head is None:
            if self._closed:
                raise self._error or TargetUnreachable("closed before an answer")
            await self._wait()
        return self._answer.head

    async def read(self):
        """Return the next bytes of the body; empty at its end.

        :raises AnswerBroken: the answer ended before it was complete.
        """
        answer = self._answer
        while not answer.chunks:
            if answer.complete:
                return b""
            if self._closed:
                raise self._error or AnswerBroken("the connection ended")
            await self._wait()
        chunk = b"".join(answer.chunks)
        answer.chunks.clear()
        answer.waiting_bytes = 0
        if self._paused and not self._closed:
            self._transport.resume_reading()
            self._paused = False
        return chunk

    async def read_all(self):
        """Return the rest of the body.

        :raises AnswerBroken: the answer ended before it was complete.
        """
        pieces = []
        while piece := await self.read():
            pieces.append(piece)
        return b"".join(pieces)

    def abort(self, error=None):
        """Close at once; whoever reads gets the error."""
        if error is not None and self._error is None:
            self._error = error
        self._closed = True
        self._abort_transport()
        self._wake()

    def _abort_transport(self):
        self._aborted = True
        self._transport.abort()

    async def _wait(self):
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Called by the event loop.

    def connection_made(self, transport):
        """See :class:`asyncio.Protocol`."""
        self._transport = transport

    def data_received(self, data):
        """See :class:`asyncio.Protocol`."""
        self.last_received_at = self._loop.time()
        if self._parser is None or (self._answer is not None and self._answer.complete):
            # Bytes that belong to no request.
            self._dirty = True
            self._abort_transport()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._answer is not None and self._answer.complete:
                self._dirty = True
            else:
                self.abort(MalformedAnswer(f"not an answer: {error!r}"))
        self._wake()

    def eof_received(self):
        """See :class:`asyncio.Protocol`."""
        answer = self._answer
        if answer is not None and answer.ends_with_connection:
            answer.complete = True
        return False

    def connection_lost(self, error):
        """See :class:`asyncio.Protocol`."""
        self._closed = True
        is_whole = self._answer is not None and self._answer.complete
        self._ended_by_target = not (self._aborted or is_whole)
        self._wake()

    # Called by the parser.

    def on_message_begin(self):
        """Start to read an answer, which may be another request's."""
        if self._answer is not None and self._answer.complete:
            self._dirty = True
            self._incoming = _Answer()
            return
        self._incoming = _Answer()

    def on_header(self, name, value):
        """Keep a header."""
        self._incoming.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Take the answer if it is the one that is waited for."""
        incoming = self._incoming
        status = self._parser.get_status_code()
        head = ResponseHead(status, tuple(incoming.headers))
        if status < 200 or (self._answer is not None and self._answer.complete):
            return
        if not self._is_ours(head):
            self._dirty = True
            return
        incoming.head = head
        incoming.ends_with_connection = _ends_with_connection(head)
        if head.get(b"connection") == b"close" or incoming.ends_with_connection:
            self._said_close = True
        self._keep_alive(head)
        self._answer = incoming
        if self._method == "HEAD" or status in _NO_BODY:
            incoming.complete = True

    def on_body(self, body):
        """Keep a piece of the body."""
        incoming = self._incoming
        if incoming is not self._answer:
            return
        incoming.chunks.append(body)
        incoming.waiting_bytes += len(body)
        if incoming.waiting_bytes > READ_AHEAD_BYTES and not self._paused:
            self._transport.pause_reading()
            self._paused = True

    def on_message_complete(self):
        """Note that the answer is whole."""
        incoming = self._incoming
        # The parser also says so at the end of an answer without length.
        if incoming is self._answer and not incoming.ends_with_connection:
            incoming.complete = True

    def _is_ours(self, head):
        name, value = self._expected
        found = head.get(name)
        if found is None:
            return head.status >= 400
        return found == value

    def _keep_alive(self, head):
        value = head.get(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_s = float(seconds)


def _ends_with_connection(head):
    if head.status in _NO_BODY:
        return False
    transfer = head.get(b"transfer-encoding")
    return head.get(b"content-length") is None and (
        transfer is None or b"chunked" not in transfer.lower()
    )
