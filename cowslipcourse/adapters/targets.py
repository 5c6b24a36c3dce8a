"""Engines and plain services over HTTP.

``docs/wire-formats.md`` documents the requests and answers. The events of a
streamed answer are checked but not decoded: each starts with a line that holds
the attempt id and the offset of its token.
"""

import asyncio
from urllib.parse import urlsplit

import aiohttp
import msgspec

from cowslipcourse.exceptions import (
    MalformedResponse,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.ports import EngineLoad, EngineStatus, ServiceResponse
from cowslipcourse.quarantining import refuses_connections

__all__ = ["END_EVENT", "HttpTargetClient"]

END_EVENT = b"[DONE]"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
HTTP_REFUSED = 409

_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NETWORK = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class HttpTargetClient:
    """Calls to targets; meets :class:`~cowslipcourse.ports.TargetClient`.

    :param settings: :class:`~cowslipcourse.settings.TargetSettings`
    """

    def __init__(self, settings):
        self._settings = settings
        self._session = None

    async def probe(self, address):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.probe_timeout_s)
        try:
            url = f"{address}/status"
            async with self._client().get(url, timeout=timeout) as response:
                content = await response.read()
                status = response.status
        except _NETWORK as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        if status != 200:
            raise TargetUnreachable(f"status answered {status}", sent=False)
        return _decode_status(content)

    async def order(self, address, order):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.order_timeout_s)
        content = msgspec.json.encode(order._asdict())
        try:
            async with self._client().post(
                f"{address}/orders", data=content, timeout=timeout
            ) as response:
                answer = await response.read()
                status = response.status
        except _NETWORK as error:
            raise TargetUnreachable(repr(error)) from error
        if status == HTTP_REFUSED:
            raise TargetRefused(_reason(answer))
        if status != 200:
            raise TargetUnreachable(f"order answered {status}")

    async def generate(self, address, request):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        headers = {
            "x-request": request.request_id,
            "x-attempt": request.attempt_id,
            "x-group": request.group,
            "x-epoch": str(request.epoch),
            "x-priority": str(request.priority),
            "x-resume-from": str(request.resume_from),
            "content-type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._settings.connect_timeout_s
        )
        silence = _Silence(self._settings.token_timeout_s)
        try:
            async with self._client().post(
                f"{address}/generate",
                data=request.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                await _check_started(response, request)
                silence.watch(response)
                yield []
                async for batch in _event_batches(response, silence):
                    yield batch
        except _NOT_SENT as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        except _NETWORK as error:
            raise TargetUnreachable(repr(error)) from error
        finally:
            silence.stop()

    async def cancel(self, address, attempt_id):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.order_timeout_s)
        try:
            async with self._client().post(
                f"{address}/cancel", params={"attempt": attempt_id}, timeout=timeout
            ):
                return
        except _NETWORK:
            return

    async def refuses_connections(self, address):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        return await refuses_connections(urlsplit(address).netloc)

    async def call(self, address, operation, attempt_id, body):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(
            total=self._settings.call_timeout_s,
            sock_connect=self._settings.connect_timeout_s,
        )
        headers = {"x-attempt": attempt_id, "content-type": "application/json"}
        try:
            async with self._client().post(
                f"{address}/call/{operation}",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                answer = await response.read()
        except _NOT_SENT as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        except _NETWORK as error:
            raise TargetUnreachable(repr(error)) from error
        if response.headers.get("x-attempt") != attempt_id:
            raise MalformedResponse("answer to another call")
        if response.status == HTTP_REFUSED and "x-not-started" in response.headers:
            raise TargetRefused(_reason(answer))
        return ServiceResponse(response.status, response.content_type, answer)

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _client(self):
        if self._session is None:
            # Retried by the client itself, a request could run twice.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _decode_status(content):
    try:
        found = msgspec.json.decode(content)
        load = EngineLoad(**found.pop("load", {}))
        prefixes = tuple(found.pop("prefixes", ()))
        return EngineStatus(**found, load=load, prefixes=prefixes)
    except (msgspec.DecodeError, TypeError, AttributeError) as error:
        raise MalformedResponse(f"unreadable status: {error!r}") from error


def _reason(answer):
    try:
        return str(msgspec.json.decode(answer)["reason"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unreadable"


async def _check_started(response, request):
    if response.status == HTTP_REFUSED:
        raise TargetRefused(_reason(await response.read()))
    if response.status != 200:
        raise TargetUnreachable(f"generate answered {response.status}")
    expected = (request.attempt_id, request.group, str(request.epoch))
    found = tuple(response.headers.get(n) for n in ("x-attempt", "x-group", "x-epoch"))
    if found != expected:
        raise MalformedResponse(f"answer of {found}, expected {expected}")


class _Silence:
    """Closes a response that stays silent too long.

    It looks at intervals instead of setting a timer for each token, which would cost
    more than everything else that is done for a token.

    :param limit_s: seconds without a byte.
    """

    def __init__(self, limit_s):
        self._limit_s = limit_s
        self._response = None
        self._handle = None
        self.heard = False

    def watch(self, response):
        """Start to watch."""
        self._response = response
        self._handle = asyncio.get_running_loop().call_later(self._limit_s, self._look)

    def stop(self):
        """Stop to watch."""
        if self._handle is not None:
            self._handle.cancel()

    def _look(self):
        if not self.heard:
            self._response.close()
            return
        self.heard = False
        self.watch(self._response)


async def _event_batches(response, silence):
    """Yield the whole events of each piece read from the connection."""
    rest = b""
    async for piece in response.content.iter_any():
        silence.heard = True
        *events, rest = (rest + piece).split(EVENT_END)
        if len(rest) > MAX_EVENT_BYTES:
            raise MalformedResponse("an event is too long")
        if events:
            yield events
    if rest:
        raise TargetUnreachable("the stream ended inside an event")
