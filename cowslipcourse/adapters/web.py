"""HTTP servers that run inside a daemon's own event loop."""

import asyncio
import socket
from contextlib import aclosing

import uvicorn

from cowslipcourse.exceptions import AddressTaken

__all__ = ["StreamedResponse", "WebServer"]


class WebServer:
    """A uvicorn server that leaves signals to the daemon.

    :param app: ASGI application.
    :param address: ``ip:port`` to listen on.
    :param backlog: connections that may wait to be accepted.
    :param limit_concurrency: connections and tasks beyond which 503 is answered.
    """

    def __init__(self, app, address, backlog=2048, limit_concurrency=None):
        self._address = address
        self._backlog = backlog
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=backlog,
            limit_concurrency=limit_concurrency,
            timeout_keep_alive=30,
            h11_max_incomplete_event_size=16_384,
            http="httptools",
            ws="none",
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._server = uvicorn.Server(config)

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self):
        """Start to listen; returns once connections are accepted.

        The server's own loop is not run: ten times a second it would renew the date
        header and look for signals, neither of which is used here. With five servers a
        daemon that is fifty wake-ups a second.

        :raises AddressTaken: if the address cannot be listened on.
        """
        # Left to bind by itself, the server ends the process without a word.
        listening = self._listen()
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup(sockets=[listening])

    def _listen(self):
        host, port = self._address.rsplit(":", 1)
        try:
            return socket.create_server((host, int(port)), backlog=self._backlog)
        except OSError as error:
            raise AddressTaken(self._address, error.strerror) from error

    async def stop(self, grace_s=1.0):
        """Stop listening and close connections that are idle.

        :param grace_s: seconds that responses in progress get.
        """
        try:
            await asyncio.wait_for(self._server.shutdown(), grace_s)
        except TimeoutError:
            self._server.force_exit = True


class StreamedResponse:
    """An answer sent in pieces, with as little as possible done for each piece.

    If the caller leaves, the pieces are closed at once.

    :param pieces: asynchronous generator of bytes.
    :param headers: additional headers.
    :param media_type: value of ``Content-Type``.
    """

    def __init__(self, pieces, headers, media_type):
        self._pieces = pieces
        fields = {"content-type": media_type, **headers}
        self._headers = [(k.lower().encode(), v.encode()) for k, v in fields.items()]

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        sending = asyncio.create_task(self._send(send))
        leaving = asyncio.create_task(_wait_disconnect(receive))
        try:
            await asyncio.wait((sending, leaving), return_when=asyncio.FIRST_COMPLETED)
        finally:
            leaving.cancel()
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, send):
        start = {"type": "http.response.start", "status": 200, "headers": self._headers}
        piece_message = {"type": "http.response.body", "body": b"", "more_body": True}
        async with aclosing(self._pieces) as pieces:
            await send(start)
            async for piece in pieces:
                piece_message["body"] = piece
                await send(piece_message)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _wait_disconnect(receive):
    while (await receive())["type"] != "http.disconnect":
        continue
