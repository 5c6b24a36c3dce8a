"""HTTP server and streamed responses in a daemon's event loop."""

import asyncio
import socket
from contextlib import aclosing

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.uvicorn_modules import Config, HttpToolsProtocol, Server
from cowslipcourse.exceptions import AddressTaken
from cowslipcourse.http_framing import FramingMeter

__all__ = ["StreamedResponse", "WebServer"]

MAX_REQUEST_FRAMING_BYTES = 256 * 1024
"""Most bytes of a request beside its body; the operator's bound of heads is lower."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

log = get_logger(__name__)


class WebServer:
    """A uvicorn server that leaves signal handling to the daemon.

    :param app: ASGI application.
    :param address: ``ip:port`` to listen on.
    :param backlog: maximum number of connections that wait to be accepted.
    :param limit_concurrency: number of connections or tasks above which requests get
        status 503; ``None`` for no limit.
    """

    def __init__(self, app, address, backlog=2048, limit_concurrency=None):
        self._address = address
        self._backlog = backlog
        config = Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=backlog,
            limit_concurrency=limit_concurrency,
            timeout_keep_alive=30,
            h11_max_incomplete_event_size=16_384,
            http=_BoundedProtocol,
            ws="none",
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._server = Server(config)

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self):
        """Start to listen; return once connections are accepted.

        uvicorn's main loop is not run: ten times per second it would update the date
        header and check for signals, neither of which is used here. With five servers
        per daemon that is fifty wake-ups per second.

        :raises AddressTaken: the server cannot listen on the address.
        """
        # If uvicorn fails to bind a socket itself, it exits the process silently.
        listening_socket = self._create_socket()
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup(sockets=[listening_socket])

    def _create_socket(self):
        host, port = self._address.rsplit(":", 1)
        try:
            return socket.create_server((host, int(port)), backlog=self._backlog)
        except OSError as error:
            raise AddressTaken(self._address, error.strerror) from error

    async def stop(self, grace_s=1.0):
        """Stop listening and close connections that are idle.

        :param grace_s: seconds that responses in progress have to complete.
        """
        try:
            await asyncio.wait_for(self._server.shutdown(), grace_s)
        except TimeoutError:
            self._server.force_exit = True


class _BoundedProtocol(HttpToolsProtocol):
    """uvicorn's protocol, which closes connections whose requests have no end."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._framing = FramingMeter(MAX_REQUEST_FRAMING_BYTES)

    def data_received(self, data):
        """See :class:`asyncio.Protocol`."""
        self._framing.add_received(len(data))
        super().data_received(data)
        if self._framing.is_exceeded and not self.transport.is_closing():
            self._reject()

    def _reject(self):
        """Close the connection; refuse the request if none before it is in progress."""
        log.warning("request-too-large", caller=self.client)
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(HEAD_TOO_LARGE)
            self.transport.close()
        else:
            self.transport.abort()

    # Called by the parser.

    def on_body(self, body):
        """Count the body, and pass it on."""
        self._framing.add_body(len(body))
        super().on_body(body)

    def on_message_complete(self):
        """Count the next request from its start."""
        self._framing = FramingMeter(MAX_REQUEST_FRAMING_BYTES)
        super().on_message_complete()


class StreamedResponse:
    """A response sent in chunks, with minimal work for each chunk.

    If the caller disconnects, the generator of the chunks is closed immediately.

    :param chunks: asynchronous generator of bytes.
    :param headers: additional headers by name.
    :param media_type: value of ``Content-Type``.
    """

    def __init__(self, chunks, headers, media_type):
        self._chunks = chunks
        headers_by_name = {"content-type": media_type, **headers}
        self._headers = [
            (k.lower().encode(), v.encode()) for k, v in headers_by_name.items()
        ]

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        send_task = asyncio.create_task(self._send(send))
        disconnect_task = asyncio.create_task(_wait_until_disconnected(receive))
        try:
            await asyncio.wait(
                (send_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect_task.cancel()
            send_task.cancel()
            await asyncio.gather(send_task, return_exceptions=True)

    async def _send(self, send):
        start = {"type": "http.response.start", "status": 200, "headers": self._headers}
        chunk_message = {"type": "http.response.body", "body": b"", "more_body": True}
        async with aclosing(self._chunks) as chunks:
            await send(start)
            async for chunk in chunks:
                chunk_message["body"] = chunk
                await send(chunk_message)
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _wait_until_disconnected(receive):
    while (await receive())["type"] != "http.disconnect":
        continue
