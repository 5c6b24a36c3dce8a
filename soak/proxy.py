"""A TCP proxy on loopback that delays, resets, cuts and silences connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

__all__ = ["LinkState", "LoopbackProxy"]

CHUNK_BYTES = 65_536
DELAY_S = 0.15
"""More than any step of a sound exchange takes on loopback."""
LOOK_S = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """What the proxy does to the bytes."""

    SOUND = "sound"
    DELAYED = "delayed"
    SILENT = "silent"
    ONE_WAY = "one-way"


class LoopbackProxy:
    """Listens at an address and passes on to another one.

    Bytes that come while a direction is held back wait, as they do behind a partition;
    ``ONE_WAY`` holds back the answers only.

    :param address: ``ip:port`` to listen on.
    :param upstream: ``ip:port`` to pass on to.
    """

    def __init__(self, address, upstream):
        self.address = address
        self.state = LinkState.SOUND
        self._upstream = upstream
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Close everything."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Reset the connections that are open now."""
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        other = None
        try:
            await self._held_back(LinkState.SILENT)
            host, port = self._upstream.rsplit(":", 1)
            far_reader, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await asyncio.gather(
                self._pass_on(reader, other, (LinkState.SILENT,)),
                self._pass_on(
                    far_reader, writer, (LinkState.SILENT, LinkState.ONE_WAY)
                ),
            )
        except OSError:
            # The other side is gone: so is this connection.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.close()

    async def _pass_on(self, reader, writer, holding):
        while content := await reader.read(CHUNK_BYTES):
            await self._held_back(*holding)
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            writer.write(content)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            # It may be closed already.
            writer.write_eof()

    async def _held_back(self, *states):
        while self.state in states:
            await asyncio.sleep(LOOK_S)
