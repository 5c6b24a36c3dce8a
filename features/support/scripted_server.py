"""A server of the store and of engines whose connections end as a script says."""

import asyncio
import contextlib

from harness.ports import free_ports

__all__ = ["FAILURES", "ScriptedServer"]

ROWS = b'{"rows": [], "ver": 1, "hasMore": false}'
_ENDS = asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
REPORT = b'{"orders": 1, "running": 0, "waiting": 0}'


def _response(content, status=b"200 OK"):
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(content))
    return head + content


FAILURES = {
    "ends connections without a reply": (b"", True),
    "never replies": (b"", False),
    "ends connections within a reply": (_response(ROWS)[:-5], True),
    "replies with something else": (b"\x00 what is this\r\n\r\n", True),
    "replies with status 503": (_response(b"", b"503 Unavailable"), False),
}
"""Reply, and whether the connection ends after it, by failure."""


class ScriptedServer:
    """Serves whatever is asked, or fails in one way.

    :param reply: reply to every request; ``None`` for a proper one.
    :param closes: whether the connection is closed after the reply.
    :param closes_second: whether the second request on a connection gets no reply but
        the end of the connection.
    """

    def __init__(self, reply=None, closes=False, closes_second=False):
        self.requests = []
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self._reply = reply
        self._closes = closes
        self._closes_second = closes_second

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen as long as the context is open."""
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        try:
            yield
        finally:
            server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(*_ENDS):
            for number in range(1, 100):
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split()[1].split(b"?")[0].decode()
                self.requests.append(path)
                await reader.readexactly(_content_length(head))
                if self._closes_second and number == 2:
                    break
                writer.write(_reply_to(path) if self._reply is None else self._reply)
                await writer.drain()
                if self._closes:
                    break
        writer.close()


def _content_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


def _reply_to(path):
    return _response(REPORT if path == "/report" else ROWS)
