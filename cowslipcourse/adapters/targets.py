"""HTTP client of engines and plain services.

``docs/wire-formats.md`` documents the requests and responses. The events of a
streamed response are checked but not decoded: each starts with a line that holds
the attempt id and the offset of its token.
"""

import asyncio
from urllib.parse import urlsplit

import aiohttp
import msgspec

from cowslipcourse.adapters.bounded_reads import read_body
from cowslipcourse.exceptions import (
    MalformedResponse,
    TargetRefused,
    TargetUnreachable,
)
from cowslipcourse.http_framing import FINAL_STATUSES
from cowslipcourse.ports import EngineLoad, EngineStatus, ServiceResponse
from cowslipcourse.quarantine_runtime import refuses_connections

__all__ = ["END_EVENT", "HttpTargetClient"]

END_EVENT = b"[DONE]"
EVENT_SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
HTTP_CONFLICT = 409

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class HttpTargetClient:
    """Client of targets; implements :class:`~cowslipcourse.ports.TargetClient`.

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
            async with self._get_session().get(url, timeout=timeout) as response:
                content = await read_body(response)
                status = response.status
        except _NETWORK_ERRORS as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        if status != 200:
            raise TargetUnreachable(
                f"status request got HTTP status {status}", sent=False
            )
        return _decode_status(content)

    async def order(self, address, order):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.order_timeout_s)
        content = msgspec.json.encode(order._asdict())
        try:
            async with self._get_session().post(
                f"{address}/orders", data=content, timeout=timeout
            ) as response:
                response_body = await read_body(response)
                status = response.status
        except _NETWORK_ERRORS as error:
            raise TargetUnreachable(repr(error)) from error
        if status == HTTP_CONFLICT:
            raise TargetRefused(_refusal_reason(response_body))
        if status != 200:
            raise TargetUnreachable(f"order got HTTP status {status}")

    async def generate(self, address, request, may_abandon):
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
        silence_timeout = _SilenceTimeout(self._settings.token_timeout_s, may_abandon)
        try:
            async with self._get_session().post(
                f"{address}/generate",
                data=request.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                await _check_response_start(response, request)
                silence_timeout.start(response)
                yield []
                async for batch in _event_batches(response, silence_timeout):
                    yield batch
        except _CONNECT_ERRORS as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        except _NETWORK_ERRORS as error:
            raise TargetUnreachable(repr(error)) from error
        finally:
            silence_timeout.stop()

    async def cancel(self, address, attempt_id):
        """See :class:`~cowslipcourse.ports.TargetClient`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.order_timeout_s)
        try:
            async with self._get_session().post(
                f"{address}/cancel", params={"attempt": attempt_id}, timeout=timeout
            ):
                return
        except _NETWORK_ERRORS:
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
            async with self._get_session().post(
                f"{address}/call/{operation}",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                response_body = await read_body(response)
        except _CONNECT_ERRORS as error:
            raise TargetUnreachable(repr(error), sent=False) from error
        except _NETWORK_ERRORS as error:
            raise TargetUnreachable(repr(error)) from error
        if response.headers.get("x-attempt") != attempt_id:
            raise MalformedResponse("response to another call")
        if response.status not in FINAL_STATUSES:
            raise MalformedResponse(f"{response.status} is no status")
        if not _states_its_end(response.headers):
            raise TargetUnreachable("the response states neither a length nor chunks")
        if response.status == HTTP_CONFLICT and "x-not-started" in response.headers:
            raise TargetRefused(_refusal_reason(response_body))
        return ServiceResponse(response.status, response.content_type, response_body)

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self):
        if self._session is None:
            # The client repeats some methods by itself, but not POST: a repeated
            # request could run twice.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _states_its_end(headers):
    """Whether a cut response is told from a whole one.

    :param headers: headers of a response.
    """
    return "content-length" in headers or "transfer-encoding" in headers


def _decode_status(content):
    try:
        status_fields = msgspec.json.decode(content)
        load = EngineLoad(**status_fields.pop("load", {}))
        prefixes = tuple(status_fields.pop("prefixes", ()))
        return EngineStatus(**status_fields, load=load, prefixes=prefixes)
    except (msgspec.DecodeError, TypeError, AttributeError) as error:
        raise MalformedResponse(f"cannot decode status: {error!r}") from error


def _refusal_reason(response_body):
    try:
        return str(msgspec.json.decode(response_body)["reason"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unreadable"


async def _check_response_start(response, request):
    if response.status == HTTP_CONFLICT:
        raise TargetRefused(_refusal_reason(await read_body(response)))
    if response.status != 200:
        raise TargetUnreachable(f"generate request got HTTP status {response.status}")
    expected = (request.attempt_id, request.group, str(request.epoch))
    found = tuple(response.headers.get(n) for n in ("x-attempt", "x-group", "x-epoch"))
    if found != expected:
        raise MalformedResponse(
            f"response has attempt, group and epoch {found}, expected {expected}"
        )


class _SilenceTimeout:
    """Closes a response on which no bytes arrive, if it may be given up.

    Checks at intervals: a timer for each token would cost more than everything else
    that is done for a token. The response is closed at the first check after a whole
    interval without bytes at which it may be given up.

    :param timeout_s: seconds between checks.
    :param may_abandon: returns whether a silent response is given up.
    :ivar has_received: whether bytes have arrived since the last check.
    """

    def __init__(self, timeout_s, may_abandon):
        self._timeout_s = timeout_s
        self._may_abandon = may_abandon
        self._response = None
        self._timer = None
        self.has_received = False

    def start(self, response):
        """Start to check a response."""
        self._response = response
        self._timer = asyncio.get_running_loop().call_later(
            self._timeout_s, self._check
        )

    def stop(self):
        """Stop to check."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self):
        if not self.has_received and self._may_abandon():
            self._response.close()
            return
        self.has_received = False
        self.start(self._response)


async def _event_batches(response, silence_timeout):
    """Yield the complete events of each chunk read from the connection."""
    incomplete_event = b""
    async for chunk in response.content.iter_any():
        silence_timeout.has_received = True
        *events, incomplete_event = (incomplete_event + chunk).split(EVENT_SEPARATOR)
        if len(incomplete_event) > MAX_EVENT_BYTES:
            raise MalformedResponse("an event exceeds the maximum length")
        if events:
            yield events
    if incomplete_event:
        raise TargetUnreachable("the stream ended inside an event")
