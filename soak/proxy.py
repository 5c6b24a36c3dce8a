"""A TCP proxy on loopback that delays, blocks and resets connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

__all__ = ["LinkState", "LoopbackProxy"]

CHUNK_BYTES = 65_536
DELAY_S = 0.15
"""Longer than any step of an undisturbed exchange takes on loopback."""
POLL_INTERVAL_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """How the proxy treats the bytes that it relays."""

    SOUND = "sound"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"


class LoopbackProxy:
    """Listens on one address and relays to another.

    Bytes that arrive while a direction is blocked are held, as in a network partition;
    ``ONE_WAY`` blocks only the direction from the upstream.

    :param address: ``ip:port`` to listen on.
    :param upstream: ``ip:port`` to relay to.
    """

    def __init__(self, address, upstream):
        self.address = address
        self.state = LinkState.SOUND
        self._upstream = upstream
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Start to listen."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )

    async def stop(self):
        """Stop to listen and close all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            raw_socket = writer.get_extra_info("socket")
            if raw_socket is not None and raw_socket.fileno() >= 0:
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()

    async def _handle_connection(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        upstream_writer = None
        try:
            await self._wait_while(LinkState.SILENT)
            host, port = self._upstream.rsplit(":", 1)
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(upstream_writer)
            await asyncio.gather(
                self._relay(reader, upstream_writer, (LinkState.SILENT,)),
                self._relay(
                    upstream_reader, writer, (LinkState.SILENT, LinkState.ONE_WAY)
                ),
            )
        except OSError:
            # The other side has closed, so this connection is closed too.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            for connection_writer in (writer, upstream_writer):
                if connection_writer is not None:
                    self._writers.discard(connection_writer)
                    connection_writer.close()

    async def _relay(self, reader, writer, blocking_states):
        while chunk := await reader.read(CHUNK_BYTES):
            await self._wait_while(*blocking_states)
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            # The connection may already be closed.
            writer.write_eof()

    async def _wait_while(self, *states):
        while self.state in states:
            await asyncio.sleep(POLL_INTERVAL_S)
