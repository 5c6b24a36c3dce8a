"""Whole requests and responses with a total time-out, over kept connections."""

import asyncio
from typing import NamedTuple

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client.connection import ResponseHead
from cowslipcourse.http_client.pool import ConnectionPool
from cowslipcourse.http_client.request import TargetRequest

__all__ = ["HttpClient", "HttpResponse"]

CLEANUP_INTERVAL_S = 1.0
"""Interval at which expired idle connections are closed."""


class HttpResponse(NamedTuple):
    """A complete response.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :param content: complete body.
    """

    head: ResponseHead
    content: bytes


class HttpClient:
    """Sends requests and reads their responses completely.

    Nothing is sent twice, with one exception: a GET whose kept connection turns out to
    be closed is sent again on a new connection.
    """

    def __init__(self):
        self._pool = ConnectionPool(connect_timeout_s=None)
        self._cleaned_up_at = 0.0

    async def get(self, address, path, timeout_s, headers=()):
        """Return the :class:`HttpResponse` to a GET request.

        :param address: ``ip:port``
        :param path: path and query.
        :param timeout_s: time-out for everything, in seconds.
        :param headers: ``(name, value)`` pairs.
        :raises TargetUnreachable: there was no response.
        :raises IncompleteResponse: the response ended before it was complete.
        :raises MalformedResponse: the received bytes are not an HTTP response.
        """
        return await self._call("GET", address, path, timeout_s, headers, b"")

    async def post(self, address, path, timeout_s, headers, body):
        """Return the :class:`HttpResponse` to a POST request, which is sent once.

        :param address: ``ip:port``
        :param path: path and query.
        :param timeout_s: time-out for everything, in seconds.
        :param headers: ``(name, value)`` pairs.
        :param body: complete body.
        :raises TargetUnreachable: there was no response; its ``sent`` says whether the
            request may have been sent.
        :raises IncompleteResponse: the response ended before it was complete.
        :raises MalformedResponse: the received bytes are not an HTTP response.
        """
        return await self._call("POST", address, path, timeout_s, headers, body)

    def close(self):
        """Close the idle connections."""
        self._pool.close()

    async def _call(self, method, address, path, timeout_s, headers, body):
        request = TargetRequest(
            method,
            path.encode(),
            ((b"host", address.encode()), *headers),
            body,
            echoed_header=None,
        )
        self._close_expired()
        exchange = _Exchange(self._pool, address, request)
        try:
            async with asyncio.timeout(timeout_s):
                return await exchange.run()
        except TimeoutError as error:
            raise TargetUnreachable(
                f"no complete response within {timeout_s} s", exchange.is_sent
            ) from error

    def _close_expired(self):
        now = asyncio.get_running_loop().time()
        if now - self._cleaned_up_at >= CLEANUP_INTERVAL_S:
            self._cleaned_up_at = now
            self._pool.close_expired()


class _Exchange:
    """One request and its response.

    :param pool: :class:`~cowslipcourse.http_client.ConnectionPool`
    :param address: ``ip:port``
    :param request: :class:`~cowslipcourse.http_client.TargetRequest`
    """

    def __init__(self, pool, address, request):
        self.is_sent = False
        self._pool = pool
        self._address = address
        self._request = request

    async def run(self):
        """Return the :class:`HttpResponse`."""
        connection = await self._pool.acquire(self._address, self._address)
        was_kept = connection.has_been_used
        try:
            return await self._exchange(connection)
        except TargetUnreachable:
            is_repeatable = self._request.method == "GET"
            if not (was_kept and is_repeatable and connection.ended_by_target):
                raise
        connection = await self._pool.acquire(self._address, self._address, True)
        return await self._exchange(connection)

    async def _exchange(self, connection):
        try:
            connection.send(self._request)
            self.is_sent = True
            head = await connection.head()
            content = await connection.read_all()
        except BaseException:
            connection.abort()
            raise
        self._pool.release(self._address, connection)
        return HttpResponse(head, content)
