"""HTTP client of the platform's services.

``docs/wire-formats.md`` documents the requests and responses.
"""

import asyncio
from typing import Any

import aiohttp
import msgspec

from cowslipcourse.adapters.bounded_reads import read_body
from cowslipcourse.exceptions import (
    ConditionFailed,
    ReplyLost,
    ResponseTooLarge,
    StoreUnavailable,
)
from cowslipcourse.fleet import VM, TargetKind, VmState
from cowslipcourse.ports import Row

__all__ = ["HttpPlatformClient"]

HTTP_CONFLICT = 409
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NETWORK_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ResponseTooLarge,
)
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest response of the platform: rows of 10,000 VMs have a fraction of it."""


class HttpPlatformClient:
    """Client of the platform's table service, object store and VM list.

    Implements :class:`~cowslipcourse.ports.TableService`,
    :class:`~cowslipcourse.ports.ObjectStore` and
    :class:`~cowslipcourse.ports.VmList`.

    :param settings: :class:`~cowslipcourse.settings.PlatformSettings`
    :param daemon: name of this daemon, sent to the platform for its logs.
    """

    def __init__(self, settings, daemon=""):
        self._settings = settings
        self._daemon = daemon
        self._session = None

    async def read(self, key):
        """See :class:`~cowslipcourse.ports.TableService`."""
        row_content = await self._get("/table/row", {"key": key})
        return None if row_content is None else _row(row_content)

    async def scan(self, prefix):
        """See :class:`~cowslipcourse.ports.TableService`."""
        return [_row(row) for row in await self._get("/table/scan", {"prefix": prefix})]

    async def commit(self, transaction):
        """See :class:`~cowslipcourse.ports.TableService`."""
        content = msgspec.json.encode(
            {"conditions": transaction.conditions, "writes": transaction.writes}
        )
        try:
            async with self._get_session().post(
                "/table/commit", data=content
            ) as response:
                response_body = await read_body(response, MAX_BODY_BYTES)
                status = response.status
        except _CONNECT_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        except _NETWORK_ERRORS as error:
            raise ReplyLost(repr(error)) from error
        if status == HTTP_CONFLICT:
            raise ConditionFailed(msgspec.json.decode(response_body)["conflicts"])
        if status != 200:
            raise StoreUnavailable(f"table service responded with status {status}")
        return msgspec.json.decode(response_body)["version"]

    async def put(self, name, content):
        """See :class:`~cowslipcourse.ports.ObjectStore`."""
        try:
            async with self._get_session().put(
                f"/objects/{name}", data=content
            ) as response:
                status = response.status
        except _NETWORK_ERRORS as error:
            raise ReplyLost(repr(error)) from error
        if status != 200:
            raise StoreUnavailable(f"object store responded with status {status}")

    async def get(self, name):
        """See :class:`~cowslipcourse.ports.ObjectStore`."""
        try:
            async with self._get_session().get(f"/objects/{name}") as response:
                content = await read_body(response, MAX_BODY_BYTES)
                status = response.status
        except _NETWORK_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        if status == 404:
            return None
        if status != 200:
            raise StoreUnavailable(f"object store responded with status {status}")
        return content

    async def list_vms(self):
        """See :class:`~cowslipcourse.ports.VmList`."""
        vm_entries = await self._get("/vms", {})
        try:
            return [_vm(vm_entry) for vm_entry in vm_entries]
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailable(f"cannot decode the VM list: {error!r}") from error

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self):
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=self._settings.timeout_s)
            self._session = aiohttp.ClientSession(
                self._settings.url, timeout=timeout, headers={"x-daemon": self._daemon}
            )
        return self._session

    async def _get(self, path, query) -> Any:
        try:
            async with self._get_session().get(path, params=query) as response:
                response_body = await read_body(response, MAX_BODY_BYTES)
                status = response.status
        except _NETWORK_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        if status != 200:
            raise StoreUnavailable(f"{path} responded with status {status}")
        try:
            return msgspec.json.decode(response_body)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"{path}: response cannot be decoded") from error


def _row(row_content):
    return Row(row_content["key"], row_content["value"], row_content["version"])


def _vm(vm_entry):
    labels = {
        **vm_entry.get("labels", {}),
        "domain": vm_entry["domain"],
        "data-centre": vm_entry["data_centre"],
    }
    return VM(
        name=vm_entry["name"],
        domain=vm_entry["domain"],
        data_centre=vm_entry["data_centre"],
        address=vm_entry["address"],
        incarnation=vm_entry["incarnation"],
        accelerators=int(vm_entry["accelerators"]),
        kind=TargetKind(vm_entry["kind"]),
        state=VmState(vm_entry["state"]),
        labels=labels,
    )
