"""Reads reports from engines and sends them orders over HTTP."""

import asyncio

import aiohttp
import msgspec

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.entries import decode_report
from cowslipcourse.ports import OrderOperation, OrderResult

__all__ = ["HttpEngineControl"]

_NETWORK_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
_RESULTS_BY_STATUS = {
    202: OrderResult.BEGUN,
    200: OrderResult.DONE,
    409: OrderResult.STATE_DIFFERS,
    412: OrderResult.EPOCH_TOO_OLD,
    421: OrderResult.OTHER_ENGINE,
}
_EXPECTED_INSTANCE = "X-Expect-Instance"
_REPORT_PATH = "/report"


class HttpEngineControl:
    """Implements :class:`~cowslipcourse.ports.EngineControl`.

    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    """

    def __init__(self, settings):
        self.settings = settings
        self._session = None

    async def report(self, entry):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        head, content = await self._call(
            "GET", entry, _REPORT_PATH, None, self.settings.report_timeout_s
        )
        if head.status != 200:
            raise TargetUnreachable(f"report request failed with status {head.status}")
        return decode_report(content)

    async def probe(self, entry, health_path):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        # A report needs no slot of the engine.
        path = _REPORT_PATH if entry.domain else health_path
        timeout_s = self.settings.report_timeout_s
        head, _ = await self._call("GET", entry, path, None, timeout_s)
        return head

    async def order(self, entry, order):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        body = {
            "operation": order.operation.value,
            "expected": order.expected_order_count,
        }
        if order.group:
            body |= {"group": order.group, "epoch": order.epoch}
        if order.model:
            body["model"] = order.model
        if order.operation is OrderOperation.CLOSE:
            # Requests that are queued at the head are still served.
            body["closeMode"] = "queue"
        if order.members:
            body["members"] = list(order.members)
        head, _ = await self._call(
            "POST",
            entry,
            "/order",
            msgspec.json.encode(body),
            self.settings.order_timeout_s,
        )
        return _RESULTS_BY_STATUS.get(head.status, OrderResult.REFUSED)

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(self, method, entry, path, body, timeout_s):
        if self._session is None:
            self._session = aiohttp.ClientSession()
        headers = {_EXPECTED_INSTANCE: entry.id, "Content-Type": "application/json"}
        try:
            async with self._session.request(
                method,
                f"http://{entry.address}{path}",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                names_and_values = tuple(
                    (name.lower(), value) for name, value in response.raw_headers
                )
                content = await response.read()
                return ResponseHead(response.status, names_and_values), content
        except _NETWORK_ERRORS as error:
            raise TargetUnreachable(repr(error)) from error
