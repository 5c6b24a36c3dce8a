"""Requests of callers: reading, validation and responding."""

import asyncio
from typing import NamedTuple

from cowslipcourse.exceptions import (
    BadRequest,
    BodyTooLarge,
    CallerDisconnected,
    HeadTooLarge,
    NoConfiguration,
)
from cowslipcourse.http_framing import MAX_BODY_BYTES
from cowslipcourse.platform.headers import parse_caller_headers, total_header_bytes
from cowslipcourse.quarantine import fingerprint

__all__ = ["Call", "Responder", "read_call"]

DEFAULT_TIME_BUDGET_S = 30.0
"""Time budget of a request that states none."""
NO_CONFIGURATION_RETRY_AFTER_S = 0.5


class Call(NamedTuple):
    """A complete request with its route and workspace.

    :param id: the caller's attempt id, for logs.
    :param method: HTTP method.
    :param path: path and query as received.
    :param headers: ``(lower-case name, value)`` pairs as received.
    :param body: complete body.
    :param fingerprint: hash as bytes that a request shares with its repeats.
    :param caller_headers: :class:`~cowslipcourse.platform.headers.CallerHeaders`
    :param route: :class:`~cowslipcourse.routes.Route`
    :param workspace: :class:`~cowslipcourse.routes.Workspace` or ``None``.
    :param arrived_at: loop time at which its head had been received.
    :param deadline: loop time at which the time of the caller or of the route ends.
    :param waited_elsewhere_s: seconds that the caller waited before this request.
    :param part_fingerprints: fingerprints of the shared parts of its prompt for the
        service that it is sent to, in order.
    :param max_response_bytes: largest body of its answer.
    """

    id: str
    method: str
    path: bytes
    headers: tuple
    body: bytes
    fingerprint: bytes
    caller_headers: object
    route: object
    workspace: object
    arrived_at: float
    deadline: float
    waited_elsewhere_s: float = 0.0
    part_fingerprints: tuple = ()
    max_response_bytes: int = MAX_BODY_BYTES

    def waited_s(self, now):
        """Return the seconds that the caller has waited in all.

        :param now: loop time.
        """
        return self.waited_elsewhere_s + now - self.arrived_at

    @property
    def model(self):
        """Model that the request is for; empty if it states none."""
        return self.caller_headers.model

    @property
    def workspace_name(self):
        """Name of the workspace of the caller, or ``None``."""
        return None if self.workspace is None else self.workspace.name


async def read_call(scope, receive, table):
    """Read and validate a request.

    :param scope: ASGI scope.
    :param receive: ASGI receive.
    :param table: current :class:`~cowslipcourse.routes.RouteTable`, or ``None``.
    :raises RequestError: the request cannot be served.
    """
    arrived_at = asyncio.get_running_loop().time()
    if table is None:
        raise NoConfiguration(
            "no configuration has been loaded yet", NO_CONFIGURATION_RETRY_AFTER_S
        )
    headers = tuple(scope["headers"])
    if total_header_bytes(headers) > table.limits.header_bytes:
        raise HeadTooLarge("the request head exceeds its size limit")
    caller_headers = parse_caller_headers(headers)
    host = dict(headers).get(b"host", b"").decode("latin-1")
    raw_path = scope["raw_path"]
    try:
        route = table.find(host, raw_path.decode("ascii"))
    except UnicodeDecodeError as error:
        raise BadRequest(
            "the path contains non-ASCII bytes that must be percent-encoded"
        ) from error
    workspace = table.workspace(route, caller_headers.key)
    body = await _read_body(receive, table.limits.body_bytes)
    query = scope["query_string"]
    path = raw_path + b"?" + query if query else raw_path
    workspace_name = None if workspace is None else workspace.name
    time_budget_s = (
        DEFAULT_TIME_BUDGET_S
        if caller_headers.time_budget_s is None
        else caller_headers.time_budget_s
    )
    return Call(
        id=caller_headers.attempt_id.decode("latin-1"),
        method=scope["method"],
        path=path,
        headers=headers,
        body=body,
        fingerprint=fingerprint(workspace_name, path, body),
        caller_headers=caller_headers,
        route=route,
        workspace=workspace,
        arrived_at=arrived_at,
        deadline=arrived_at + min(time_budget_s, route.timeout_s),
    )


async def _read_body(receive, limit_bytes):
    chunks, received_bytes = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected(
                "the caller closed the connection before sending the whole request"
            )
        chunks.append(message.get("body", b""))
        received_bytes += len(chunks[-1])
        if received_bytes > limit_bytes:
            raise BodyTooLarge("the request body exceeds its size limit")
        if not message.get("more_body"):
            return b"".join(chunks)


class Responder:
    """Sends one response to the caller.

    :param send: ASGI send.
    :param should_close: callable that returns whether to close the connection after it.
    """

    def __init__(self, send, should_close):
        self._send = send
        self._should_close = should_close
        self.started = False

    async def start(self, status, headers):
        """Send status and headers."""
        self.started = True
        headers = list(headers)
        if self._should_close():
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send_chunk(self, body):
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def finish(self, body=b""):
        """Send the last part of the body."""
        await self._send({"type": "http.response.body", "body": body})
