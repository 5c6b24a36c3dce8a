"""HTTP/1.1 connection to a target.

A general HTTP client is unsuitable: it repeats a request by itself when a reused
connection breaks, takes a response without length as complete when the connection is
reset, and gives the next response on the connection to the waiting request, whichever
request it belongs to. Parsing is left to httptools; this module only matches responses
with requests.
"""

import asyncio
import contextlib
from collections import deque
from typing import NamedTuple

import httptools

from cowslipcourse.exceptions import (
    IncompleteResponse,
    MalformedResponse,
    ResponseTooLarge,
    TargetUnreachable,
)
from cowslipcourse.http_client.request import encode_request
from cowslipcourse.http_framing import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    ResponseBounds,
)

__all__ = ["ResponseHead", "TargetConnection"]

MAX_BUFFERED_BYTES = 64 * 1024
"""Unread body bytes above which reading from the target is paused."""
_BODILESS_STATUSES = (204, 304)
_receive_buffer = memoryview(bytearray(64 * 1024))
"""Bytes that have just been received, until they are parsed. All connections share it;
a buffer of each one's own would be as large, and mostly empty."""


class ResponseHead(NamedTuple):
    """Status line and headers of a response.

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


class _Response:
    """A response that is being received."""

    def __init__(self):
        self.headers = []
        self.head = None
        self.chunks = deque()
        self.buffered_bytes = 0
        self.complete = False
        self.is_close_delimited = False


class TargetConnection(asyncio.BufferedProtocol):
    """A connection with one exchange at a time.

    :param address: ``ip:port`` of the target.
    """

    def __init__(self, address):
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_s = None
        self.last_received_at = 0.0
        """Loop time at which a head or a part of a body was last received."""
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._response = None
        self._parsed_response = None
        self._echoed_header = None
        self._method = ""
        self._error = None
        self._closed = False
        self._closed_locally = False
        self._ended_by_target = False
        self._was_reset = False
        self._has_stray_data = False
        self._close_announced = False
        self._waiter = None
        self._parser = None
        self._reading_paused = False
        self._bounds = ResponseBounds()

    @classmethod
    async def connect(cls, address, timeout_s):
        """Open a connection.

        :param address: ``ip:port`` of the target.
        :param timeout_s: maximum time to connect, in seconds, or ``None``.
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
        """Whether the connection can carry another exchange."""
        response = self._response
        return not (
            self._closed
            or self._has_stray_data
            or self._close_announced
            or (response is not None and not response.complete)
            or self._transport.get_write_buffer_size()
        )

    @property
    def has_been_used(self):
        """Whether it has carried an exchange."""
        return self._parser is not None

    @property
    def ended_by_target(self):
        """Whether the target closed or reset it before its response was complete."""
        return self._ended_by_target

    @property
    def is_close_delimited(self):
        """Whether the response states neither a length nor chunks, so that it ends with
        the connection.
        """
        return self._response is not None and self._response.is_close_delimited

    async def is_closed_within(self, seconds):
        """Wait whether the target closes an unused connection, without a reset.

        :param seconds: time to wait in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self._closed:
                    await self._wait()
        return self._closed and not self._was_reset

    def send(self, request):
        """Send a request. The connection must be reusable.

        :param request: :class:`~cowslipcourse.http_client.TargetRequest`
        :raises TargetUnreachable: the connection is not reusable; nothing was sent.
        """
        if not self.is_reusable:
            raise TargetUnreachable("the connection is not reusable", sent=False)
        self._echoed_header = request.echoed_header
        self._method = request.method
        self._bounds = ResponseBounds(request.max_response_bytes)
        self._response = None
        self.last_received_at = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(encode_request(request))

    async def head(self):
        """Return the :class:`ResponseHead` of the response to the last request.

        :raises TargetUnreachable: the connection ended before the head was received.
        :raises MalformedResponse: the received bytes are not an HTTP response, or
            exceed its bounds.
        """
        while self._response is None or self._response.head is None:
            if self._closed:
                raise self._error or TargetUnreachable(
                    "the connection ended before the response head"
                )
            await self._wait()
        return self._response.head

    async def read(self):
        """Return the next bytes of the body; empty at its end.

        :raises IncompleteResponse: the response ended before it was complete.
        :raises ResponseTooLarge: it exceeds its bounds.
        """
        response = self._response
        while not response.chunks:
            if response.complete:
                return b""
            if self._closed:
                raise self._error or IncompleteResponse(
                    "the connection ended before the end of the body"
                )
            await self._wait()
        chunk = b"".join(response.chunks)
        response.chunks.clear()
        response.buffered_bytes = 0
        if self._reading_paused and not self._closed:
            self._transport.resume_reading()
            self._reading_paused = False
        return chunk

    async def read_all(self, hold=None):
        """Return the rest of the body.

        :param hold: :class:`~cowslipcourse.http_framing.AnswerHold` that accounts for
            it, or ``None``.
        :raises IncompleteResponse: the response ended before it was complete.
        """
        chunks_read, size_bytes = [], 0
        try:
            while chunk := await self.read():
                chunks_read.append(chunk)
                size_bytes += len(chunk)
                if hold is not None:
                    await hold.grow(size_bytes, self._max_body_bytes())
            return b"".join(chunks_read)
        finally:
            # The traceback of an error would keep them.
            chunks_read.clear()

    def _max_body_bytes(self):
        """Return the size that the body of the response may reach."""
        stated_length = self._response.head.get(b"content-length")
        if stated_length is None or not stated_length.isdigit():
            return self._bounds.max_body_bytes
        return int(stated_length)

    def reject_end(self):
        """Declare a response incomplete whose only end was that of the connection."""
        if self.is_close_delimited and self._response.complete:
            self._response.complete = False
            self._ended_by_target = True

    def abort(self, error=None):
        """Close the connection at once.

        :param error: error that is raised to the pending reader.
        """
        if error is not None and self._error is None:
            self._error = error
        self._closed = True
        self._abort_transport()
        self._wake_waiter()

    def _abort_transport(self):
        self._closed_locally = True
        self._transport.abort()

    async def _wait(self):
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # Called by the event loop.

    def connection_made(self, transport):
        """See :class:`asyncio.BufferedProtocol`."""
        self._transport = transport

    def get_buffer(self, sizehint):
        """See :class:`asyncio.BufferedProtocol`."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """See :class:`asyncio.BufferedProtocol`."""
        if self._parser is None or (
            self._response is not None and self._response.complete
        ):
            # Bytes that do not belong to any request.
            self._has_stray_data = True
            self._abort_transport()
            return
        self._bounds.add_received(nbytes)
        try:
            self._parser.feed_data(_receive_buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response is not None and self._response.complete:
                self._has_stray_data = True
            else:
                self.abort(MalformedResponse(f"invalid HTTP response: {error!r}"))
        self._check_bounds()
        self._wake_waiter()

    def _check_bounds(self):
        """Close the connection if the response exceeds its bounds."""
        if self._response is None or not self._response.complete:
            self._bounds.check_framing()
        if self._bounds.excess and not self._closed:
            self.abort(ResponseTooLarge(f"no answer: {self._bounds.excess}"))

    def eof_received(self):
        """See :class:`asyncio.BufferedProtocol`."""
        response = self._response
        if response is not None and response.is_close_delimited:
            response.complete = not self._bounds.excess
        return False

    def connection_lost(self, error):
        """See :class:`asyncio.BufferedProtocol`."""
        self._closed = True
        self._was_reset = error is not None
        is_complete = self._response is not None and self._response.complete
        if not (self._closed_locally or is_complete):
            self._ended_by_target = True
        self._wake_waiter()

    # Called by the parser.

    def on_message_begin(self):
        """Start a response, which may belong to another request."""
        if self._response is not None and self._response.complete:
            self._has_stray_data = True
            self._parsed_response = _Response()
            return
        self._parsed_response = _Response()

    def on_header(self, name, value):
        """Store a header."""
        headers = self._parsed_response.headers
        if self._bounds.accepts_header(len(headers)):
            headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Accept the response if it belongs to the pending request."""
        parsed = self._parsed_response
        status = self._parser.get_status_code()
        if self._closed or (self._response is not None and self._response.complete):
            return
        if status in INTERIM_STATUSES:
            self._bounds.add_interim()
            return
        if status not in FINAL_STATUSES:
            self.abort(MalformedResponse(f"{status} is no status"))
            return
        head = _response_head(status, parsed.headers)
        if not self._matches_request(head):
            self._has_stray_data = True
            return
        parsed.head = head
        parsed.is_close_delimited = _is_close_delimited(head)
        if head.get(b"connection") == b"close" or parsed.is_close_delimited:
            self._close_announced = True
        self._read_keep_alive(head)
        self._response = parsed
        self.last_received_at = self._loop.time()
        if self._method == "HEAD" or status in _BODILESS_STATUSES:
            parsed.complete = True
        else:
            self._bounds.check_stated_length(head.get(b"content-length"))

    def on_body(self, body):
        """Buffer a piece of the body; pause reading above the limit."""
        parsed = self._parsed_response
        if parsed is not self._response:
            return
        self.last_received_at = self._loop.time()
        if not self._bounds.accepts_body(len(body)):
            return
        parsed.chunks.append(body)
        parsed.buffered_bytes += len(body)
        if parsed.buffered_bytes > MAX_BUFFERED_BYTES and not self._reading_paused:
            self._transport.pause_reading()
            self._reading_paused = True

    def on_message_complete(self):
        """Mark the response as complete."""
        parsed = self._parsed_response
        # The parser also reports completion at the end of a response without length.
        if parsed is not self._response or parsed.is_close_delimited:
            return
        # A response that exceeds its bounds lacks a part.
        parsed.complete = not self._bounds.excess

    def _matches_request(self, head):
        if self._echoed_header is None:
            return True
        name, value = self._echoed_header
        received = head.get(name)
        if received is None:
            return head.status >= 400
        return received == value

    def _read_keep_alive(self, head):
        value = head.get(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_s = float(seconds)


def _response_head(status, headers):
    """Return a head, without the length of a body that its status rules out."""
    if status in _BODILESS_STATUSES:
        headers = [each for each in headers if each[0] != b"content-length"]
    return ResponseHead(status, tuple(headers))


def _is_close_delimited(head):
    if head.status in _BODILESS_STATUSES:
        return False
    transfer = head.get(b"transfer-encoding")
    return head.get(b"content-length") is None and (
        transfer is None or b"chunked" not in transfer.lower()
    )
