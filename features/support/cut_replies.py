"""Replies of the store, of engines and of services that are cut at a byte."""

import asyncio
import socket

from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.entry.settings import ControlSettings, StoreSettings
from cowslipcourse.exceptions import CowslipError
from cowslipcourse.platform import HttpEngineControl, HttpRowStore
from cowslipcourse.ports import TargetEntry
from cowslipcourse.settings import TargetSettings
from features.support.scripted_target import ZERO_LINGER

__all__ = ["WHOLE", "cut_outcome", "cut_replies"]

WHOLE = "whole"
TIMEOUT_S = 1.0
BODIES = {
    "store read": b'{"rows": [], "ver": 1, "hasMore": false}',
    "report": b'{"sequence": 1, "models": [], "domain": "d"}',
    "service call": b"body",
}


def cut_replies(call):
    """Return the whole replies to a call: with a length, in chunks, with neither."""
    body = BODIES[call]
    head = b"HTTP/1.1 200 OK\r\nx-attempt: a1\r\n"
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return [
        head + b"content-length: %d\r\n\r\n" % len(body) + body,
        head + b"transfer-encoding: chunked\r\n\r\n" + chunk,
        head + b"\r\n" + body,
    ]


async def _call(call, address):
    if call == "service call":
        client = HttpTargetClient(TargetSettings())
        try:
            await client.call(f"http://{address}", "book", "a1", b"{}")
        finally:
            await client.close()
    elif call == "report":
        control = HttpEngineControl(ControlSettings(report_timeout_s=TIMEOUT_S))
        entry = TargetEntry("e1", "s", address, "n", 1, domain="d")
        try:
            await control.report(entry)
        finally:
            await control.close()
    else:
        store = HttpRowStore(StoreSettings(address=address, timeout_s=TIMEOUT_S))
        try:
            await store.read_table("t")
        finally:
            await store.close()


async def cut_outcome(call, reply, cut_at, is_reset):
    """Make a call whose reply is cut; return :data:`WHOLE` or the code of the error."""

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        writer.write(reply[:cut_at])
        if is_reset:
            await writer.drain()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        try:
            await _call(call, f"{host}:{port}")
        except CowslipError as error:
            return error.code
    return WHOLE
