"""A target that sends given bytes, whatever it is asked."""

import asyncio
import socket
import struct

from cowslipcourse.exceptions import TargetError
from cowslipcourse.exchange import TargetConnection, TargetRequest

__all__ = ["SCRIPTS", "ScriptedTarget", "exchange", "play"]

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
WHOLE = RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nhello"
OTHER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: b7\r\nContent-Length: 5\r\n\r\nother"
CHUNKED = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
SCRIPTS = {
    "a whole answer": (WHOLE, None),
    "a whole answer in chunks": (CHUNKED + b"0\r\n\r\n", None),
    "an answer that ends the connection": (RESPONSE_HEAD + b"\r\nhello", "close"),
    "an answer that ends with a reset": (RESPONSE_HEAD + b"\r\nhel", "reset"),
    "an answer cut short": (WHOLE[:-2], "close"),
    "chunks cut short": (CHUNKED, "close"),
    "an answer twice": (WHOLE + WHOLE, None),
    "an answer to another request first": (OTHER + WHOLE, None),
    "only an answer to another request": (OTHER, "close"),
    "bytes that are no answer": (b"\x00\x01 what is this\r\n\r\n", None),
    "nothing but a close": (b"", "close"),
    "an answer that says close": (
        RESPONSE_HEAD + b"Connection: close\r\nContent-Length: 5\r\n\r\nhello",
        None,
    ),
    "a whole answer and keeps connections for 2 s": (
        RESPONSE_HEAD + b"Keep-Alive: timeout=2\r\nContent-Length: 5\r\n\r\nhello",
        None,
    ),
}
REQUEST = TargetRequest("POST", b"/a/b", (), b"body", (b"x-attempt-id", b"a1"))
LINGER_OFF = struct.pack("ii", 1, 0)


class ScriptedTarget:
    """Answers every request with the same bytes."""

    def __init__(self, content, end):
        self._content = content
        self._end = end
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._content)
            await writer.drain()
            await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            return
        if self._end == "reset":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            writer.transport.abort()
        elif self._end == "close":
            writer.close()


async def exchange(connection):
    """Send the request and return status and body."""
    connection.send(REQUEST)
    head = await connection.head()
    body = b""
    while piece := await connection.read():
        body += piece
    return f"{head.status} {body.decode()}"


async def play(context):
    """Play the script of a context and keep outcome and connection state in it."""
    target = ScriptedTarget(*context.script)
    server = await asyncio.start_server(target.serve, "127.0.0.1", context.port)
    async with server:
        connection = await TargetConnection.connect(context.address, 1.0)
        try:
            async with asyncio.timeout(5):
                context.outcome = await exchange(connection)
        except TargetError as error:
            context.outcome = type(error).__name__
        context.kept = connection.is_reusable
        if context.extra:
            target.writers[0].write(b"more")
            await asyncio.sleep(0.05)
            context.kept = connection.is_reusable
        connection.abort()
        for writer in target.writers:
            writer.close()
