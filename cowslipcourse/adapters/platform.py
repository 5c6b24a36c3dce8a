"""The platform's services over HTTP.

``docs/wire-formats.md`` documents the requests and answers.
"""

import asyncio
from typing import Any

import aiohttp
import msgspec

from cowslipcourse.exceptions import ConditionFailed, ReplyLost, StoreUnavailable
from cowslipcourse.fleet import VM, TargetKind, VmState
from cowslipcourse.ports import Row

__all__ = ["HttpPlatformClient"]

HTTP_CONFLICT = 409
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NETWORK = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class HttpPlatformClient:
    """Table service, object store and VM list of the platform.

    Meets :class:`~cowslipcourse.ports.TableService`,
    :class:`~cowslipcourse.ports.ObjectStore` and
    :class:`~cowslipcourse.ports.VmList`.

    :param settings: :class:`~cowslipcourse.settings.PlatformSettings`
    :param daemon: name of this daemon, which the platform logs.
    """

    def __init__(self, settings, daemon=""):
        self._settings = settings
        self._daemon = daemon
        self._session = None

    async def read(self, key):
        """See :class:`~cowslipcourse.ports.TableService`."""
        found = await self._get("/table/row", {"key": key})
        return None if found is None else _row(found)

    async def scan(self, prefix):
        """See :class:`~cowslipcourse.ports.TableService`."""
        return [_row(row) for row in await self._get("/table/scan", {"prefix": prefix})]

    async def commit(self, transaction):
        """See :class:`~cowslipcourse.ports.TableService`."""
        content = msgspec.json.encode(
            {"conditions": transaction.conditions, "writes": transaction.writes}
        )
        try:
            async with self._client().post("/table/commit", data=content) as response:
                answer = await response.read()
                status = response.status
        except _NOT_SENT as error:
            raise StoreUnavailable(repr(error)) from error
        except _NETWORK as error:
            raise ReplyLost(repr(error)) from error
        if status == HTTP_CONFLICT:
            raise ConditionFailed(msgspec.json.decode(answer)["conflicts"])
        if status != 200:
            raise StoreUnavailable(f"table service answered {status}")
        return msgspec.json.decode(answer)["version"]

    async def put(self, name, content):
        """See :class:`~cowslipcourse.ports.ObjectStore`."""
        try:
            async with self._client().put(f"/objects/{name}", data=content) as response:
                status = response.status
        except _NETWORK as error:
            raise ReplyLost(repr(error)) from error
        if status != 200:
            raise StoreUnavailable(f"object store answered {status}")

    async def get(self, name):
        """See :class:`~cowslipcourse.ports.ObjectStore`."""
        try:
            async with self._client().get(f"/objects/{name}") as response:
                content = await response.read()
                status = response.status
        except _NETWORK as error:
            raise StoreUnavailable(repr(error)) from error
        if status == 404:
            return None
        if status != 200:
            raise StoreUnavailable(f"object store answered {status}")
        return content

    async def list_vms(self):
        """See :class:`~cowslipcourse.ports.VmList`."""
        entries = await self._get("/vms", {})
        try:
            return [_vm(entry) for entry in entries]
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"unreadable VM list: {error!r}") from error

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _client(self):
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
            self._session = aiohttp.ClientSession(
                self._settings.url, timeout=timeout, headers={"x-daemon": self._daemon}
            )
        return self._session

    async def _get(self, path, parameters) -> Any:
        try:
            async with self._client().get(path, params=parameters) as response:
                answer = await response.read()
                status = response.status
        except _NETWORK as error:
            raise StoreUnavailable(repr(error)) from error
        if status != 200:
            raise StoreUnavailable(f"{path} answered {status}")
        try:
            return msgspec.json.decode(answer)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"{path}: unreadable answer") from error


def _row(found):
    return Row(found["key"], found["value"], found["version"])


def _vm(entry):
    labels = {
        **entry.get("labels", {}),
        "domain": entry["domain"],
        "data-centre": entry["data_centre"],
    }
    return VM(
        name=entry["name"],
        domain=entry["domain"],
        data_centre=entry["data_centre"],
        address=entry["address"],
        incarnation=entry["incarnation"],
        accelerators=int(entry["accelerators"]),
        kind=TargetKind(entry["kind"]),
        state=VmState(entry["state"]),
        labels=labels,
    )
