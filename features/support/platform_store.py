"""A small version of the platform's store: versioned tables with a feed over HTTP."""

import asyncio
import base64

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["Store"]

REPLY_DELAY_S = 5.0
"""Delay of a response that counts as lost; longer than the time-out of any caller."""
PLATFORM_TABLES = ("op", "servers")
"""Tables that the platform writes and the daemons only read."""


class Store:
    """Store with versioned tables and a change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = None
        self.is_down = False
        self.delay_s = 0.0
        self.loses_replies = False
        self._platform_values = {}
        """Last written values of the platform's own rows, whatever was restored."""
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row and wake the feeds."""
        self._write(table, key, value)

    def drop(self, table, key):
        """Drop a row and wake the feeds."""
        self._write(table, key, None)

    def _write(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)
        if table in PLATFORM_TABLES:
            self._platform_values[table, key] = value
        self._notify_feeds()

    def value(self, table, key):
        """Return the value of a row, or ``None``."""
        return self.rows.get((table, key), (None, 0))[0]

    def copy(self):
        """Return a copy for :meth:`restore`."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Begin the next era with the rows of an earlier copy.

        :returns: the platform's own rows that are lost now, as ``(table, key)``.
        """
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era = (self.era or 0) + 1
        self._notify_feeds()
        return [
            row
            for row, value in self._platform_values.items()
            if self.value(*row) != value
        ]

    def rewrite_lost_row(self, table, key):
        """Write the last value of a lost row again, unless the row has it already."""
        value = self._platform_values[table, key]
        if self.value(table, key) != value:
            self._write(table, key, value)

    def _respond(self, content, status=200):
        headers = {} if self.era is None else {"Store-Era": str(self.era)}
        return JSONResponse(content, status, headers)

    def _notify_feeds(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def app(self):
        """Return the ASGI application that serves the store."""
        return Starlette(
            routes=[
                Route("/rows-get", self._handle_get),
                Route("/rows-feed", self._handle_feed),
                Route("/rows-tx", self._handle_write, methods=["POST"]),
            ]
        )

    def _rows_after(self, table, after):
        rows = [
            {
                "table": name,
                "part": "",
                "key": key,
                "value": base64.b64encode(value or b"").decode(),
                "ver": version,
                "deleted": value is None,
            }
            for (name, key), (value, version) in self.rows.items()
            if name == table and version > after
        ]
        return sorted(rows, key=lambda row: row["ver"])

    async def _handle_get(self, request):
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            return Response(status_code=503)
        all_rows = self._rows_after(request.query_params["table"], 0)
        rows = [row for row in all_rows if not row["deleted"]]
        return self._respond({"rows": rows, "hasMore": False, "ver": self.version})

    async def _handle_feed(self, request):
        query = request.query_params
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if self.is_down:
                return Response(status_code=503)
            after = int(query["after"])
            if after > self.version:
                return self._respond({}, 410)
            rows = self._rows_after(query["table"], after)
            remaining_s = deadline - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return self._respond({"rows": rows, "ver": self.version})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _handle_write(self, request):
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            return Response(status_code=503)
        body = await request.json()
        for row in body["expected"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                return self._respond({"rows": []}, 412)
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        if self.loses_replies:
            # The caller times out before the response is sent.
            await asyncio.sleep(REPLY_DELAY_S)
        return self._respond({"ver": self.version})
