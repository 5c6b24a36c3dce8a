"""A server on loopback whose answers have no end."""

import asyncio
import itertools

__all__ = [
    "ANSWERS",
    "ENDLESS",
    "SLOW",
    "EndlessServer",
    "PacedServer",
    "send_endlessly",
]

MAX_SENT_BYTES = 64_000_000
SLOW_INTERVAL_S = 0.05
SLOW_PIECE_BYTES = 64
PACED_INTERVAL_S = 0.02
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nhello"
PIECE = b"x" * 65536
ENDLESS = {
    "header lines": (OK, b"X-Padding: " + b"y" * 100 + b"\r\n"),
    "one header name": (OK + b"X-", PIECE),
    "one header value": (OK + b"X-Padding: ", PIECE),
    "reason phrase": (b"HTTP/1.1 200 ", PIECE),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a body with neither length nor chunks": (OK + b"\r\n", PIECE),
    "a body of a stated length": (OK + b"Content-Length: 60000000\r\n\r\n", PIECE),
    "a body in chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "a chunk extension": (CHUNKED + b"5;", PIECE),
    "chunks of one byte with long extensions": (
        CHUNKED,
        b"1;" + b"e" * 1000 + b"\r\nx\r\n",
    ),
    "trailers": (
        CHUNKED + b"5\r\nhello\r\n0\r\n",
        b"X-Padding: " + b"y" * 100 + b"\r\n",
    ),
    "responses to other requests": (b"", OTHER),
}
"""First bytes and repeated bytes by what they are."""
SLOW = ("header lines", "interim responses")
BODY = b"b" * (4 * 1024 * 1024)
ANSWERS = {
    "200 headers": (
        OK
        + b"".join(b"X-%d: %s\r\n" % (n, b"v" * 100) for n in range(199))
        + b"Content-Length: 5\r\n\r\nhello",
        b"hello",
    ),
    "a body of 4 MiB": (OK + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY, BODY),
    "chunks of one byte": (
        CHUNKED + b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n",
        b"x" * 100_000,
    ),
    "three interim responses": (
        b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + OK + b"Content-Length: 5\r\n\r\nhello",
        b"hello",
    ),
    "a body delimited by its end": (OK + b"\r\n" + BODY[:1000], BODY[:1000]),
    "2,000 bytes of a stated length": (
        OK + b"Content-Length: 2000\r\n\r\n" + BODY[:2000],
        b"",
    ),
    "2,000 bytes in chunks": (
        CHUNKED + (b"1f4\r\n" + BODY[:500] + b"\r\n") * 4 + b"0\r\n\r\n",
        b"",
    ),
    "2,000 bytes delimited by its end": (OK + b"\r\n" + BODY[:2000], b""),
    "300 trailers": (
        CHUNKED + b"5\r\nhello\r\n0\r\n" + b"X-Padding: y\r\n" * 300 + b"\r\n",
        b"",
    ),
}
"""Bytes of a sound answer and its body by its property."""


async def send_endlessly(writer, first, repeated, count):
    """Send bytes until the other side closes, or ``MAX_SENT_BYTES`` were sent.

    :param count: called with the size of each piece that the connection has taken.
    """
    piece = repeated * max(1, len(PIECE) // len(repeated))
    sent_bytes = 0
    try:
        for content in itertools.chain([first], itertools.repeat(piece)):
            writer.write(content)
            await writer.drain()
            count(len(content))
            sent_bytes += len(content)
            if sent_bytes > MAX_SENT_BYTES:
                return
    except ConnectionError:
        return


class EndlessServer:
    """Answers each request with bytes without end, or with given bytes.

    :param first: first bytes.
    :param repeated: bytes that are then sent again and again; none if empty.
    :param is_slow: whether they are sent slowly.
    """

    def __init__(self, first, repeated=b"", is_slow=False):
        self.sent_bytes = 0
        self.request_count = 0
        self.address = ""
        self._first = first
        self._repeated = repeated
        self._is_slow = is_slow
        self._server = None
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_exception):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _count(self, size_bytes):
        self.sent_bytes += size_bytes

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            if self._is_slow:
                await self._send_slowly(writer)
            elif self._repeated:
                await send_endlessly(writer, self._first, self._repeated, self._count)
            else:
                writer.write(self._first)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        finally:
            writer.close()

    async def _send_slowly(self, writer):
        content = self._first + self._repeated * 100
        for start in range(0, len(content), SLOW_PIECE_BYTES):
            writer.write(content[start : start + SLOW_PIECE_BYTES])
            await asyncio.sleep(SLOW_INTERVAL_S)


class PacedServer(EndlessServer):
    """Answers each request with a body that takes a second to become too large."""

    def __init__(self):
        super().__init__(OK, PIECE)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            writer.write(self._first + _attempt_id_line(request) + b"\r\n")
            while not writer.is_closing():
                writer.write(self._repeated)
                await writer.drain()
                self._count(len(self._repeated))
                await asyncio.sleep(PACED_INTERVAL_S)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        finally:
            writer.close()


def _attempt_id_line(request):
    lines = request.split(b"\r\n")
    found = (line for line in lines if line.lower().startswith(b"x-attempt-id:"))
    return next(found) + b"\r\n"
