"""A target that sends the same given bytes in response to every request."""

import asyncio
import socket
import struct

from cowslipcourse.exceptions import TargetError
from cowslipcourse.http_client import TargetConnection, TargetRequest

__all__ = ["SCRIPTS", "ScriptedTarget", "run_script", "send_request"]

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
COMPLETE = RESPONSE_HEAD + b"Content-Length: 5\r\n\r\nhello"
OTHER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: b7\r\nContent-Length: 5\r\n\r\nother"
)
CHUNKED = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
SCRIPTS = {
    "a complete response": (COMPLETE, None),
    "a complete response in chunks": (CHUNKED + b"0\r\n\r\n", None),
    "a response delimited by the close": (RESPONSE_HEAD + b"\r\nhello", "close"),
    "a response cut by a reset": (RESPONSE_HEAD + b"\r\nhel", "reset"),
    "a truncated response": (COMPLETE[:-2], "close"),
    "truncated chunks": (CHUNKED, "close"),
    "a response twice": (COMPLETE + COMPLETE, None),
    "a response to another request first": (OTHER_RESPONSE + COMPLETE, None),
    "only a response to another request": (OTHER_RESPONSE, "close"),
    "bytes that are no response": (b"\x00\x01 what is this\r\n\r\n", None),
    "nothing but a close": (b"", "close"),
    "a response that announces a close": (
        RESPONSE_HEAD + b"Connection: close\r\nContent-Length: 5\r\n\r\nhello",
        None,
    ),
    "a complete response and keeps connections for 2 s": (
        RESPONSE_HEAD + b"Keep-Alive: timeout=2\r\nContent-Length: 5\r\n\r\nhello",
        None,
    ),
}
REQUEST = TargetRequest("POST", b"/a/b", (), b"body", (b"x-attempt-id", b"a1"))
ZERO_LINGER = struct.pack("ii", 1, 0)


class ScriptedTarget:
    """Answers every request with the same bytes.

    :param content: bytes of the response.
    :param end: how the connection ends: ``"close"``, ``"reset"`` or ``None``.
    """

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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()
        elif self._end == "close":
            writer.close()


async def send_request(connection):
    """Send :data:`REQUEST` and return the status and the body as a text."""
    connection.send(REQUEST)
    head = await connection.head()
    body = b""
    while chunk := await connection.read():
        body += chunk
    return f"{head.status} {body.decode()}"


async def run_script(context):
    """Run the script of a context and store the outcome and the connection's state."""
    target = ScriptedTarget(*context.script)
    server = await asyncio.start_server(target.serve, "127.0.0.1", context.port)
    async with server:
        connection = await TargetConnection.connect(context.address, 1.0)
        try:
            async with asyncio.timeout(5):
                context.outcome = await send_request(connection)
        except TargetError as error:
            context.outcome = type(error).__name__
        context.is_kept = connection.is_reusable
        if context.sends_stray_data:
            target.writers[0].write(b"more")
            await asyncio.sleep(0.05)
            context.is_kept = connection.is_reusable
        connection.abort()
        for writer in target.writers:
            writer.close()
