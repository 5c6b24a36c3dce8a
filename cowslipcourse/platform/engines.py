"""Reads reports from engines and sends them orders over HTTP."""

import msgspec

from cowslipcourse.exceptions import TargetError, TargetUnreachable
from cowslipcourse.http_client import HttpClient
from cowslipcourse.platform.entries import decode_report
from cowslipcourse.ports import OrderOperation, OrderResult

__all__ = ["HttpEngineControl"]

_RESULTS_BY_STATUS = {
    202: OrderResult.BEGUN,
    200: OrderResult.DONE,
    409: OrderResult.STATE_DIFFERS,
    412: OrderResult.EPOCH_TOO_OLD,
    421: OrderResult.OTHER_ENGINE,
}
_EXPECTED_INSTANCE = b"x-expect-instance"
_JSON = (b"content-type", b"application/json")
_REPORT_PATH = "/report"


class HttpEngineControl:
    """Implements :class:`~cowslipcourse.ports.EngineControl`.

    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    """

    def __init__(self, settings):
        self.settings = settings
        self._http_client = HttpClient()

    async def report(self, entry):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        head, content = await self._get(entry, _REPORT_PATH)
        if head.status != 200:
            raise TargetUnreachable(f"report request failed with status {head.status}")
        return decode_report(content)

    async def probe(self, entry, health_path):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        # A report needs no slot of the engine.
        path = _REPORT_PATH if entry.domain else health_path
        head, _ = await self._get(entry, path)
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
        head, _ = await self._post(entry, "/order", msgspec.json.encode(body))
        return _RESULTS_BY_STATUS.get(head.status, OrderResult.REFUSED)

    async def close(self):
        """Close the connections."""
        self._http_client.close()

    async def _get(self, entry, path):
        return await _reached(
            self._http_client.get(
                entry.address, path, self.settings.report_timeout_s, _headers(entry)
            )
        )

    async def _post(self, entry, path, body):
        return await _reached(
            self._http_client.post(
                entry.address,
                path,
                self.settings.order_timeout_s,
                _headers(entry),
                body,
            )
        )


def _headers(entry):
    return (_EXPECTED_INSTANCE, entry.id.encode()), _JSON


async def _reached(exchange):
    """Return the response of an exchange; any failure counts as unreachable."""
    try:
        return await exchange
    except TargetUnreachable:
        raise
    except TargetError as error:
        raise TargetUnreachable(repr(error)) from error
