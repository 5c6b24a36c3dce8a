"""The users' platform in small: tables with versions and a feed over HTTP."""

import asyncio
import base64

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["Store"]

LOST_S = 5.0
"""Longer than any caller waits for an answer."""
PLATFORM = ("op", "servers")
"""Tables that the system does not write to."""


class Store:
    """Tables with versions and a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = None
        self.is_away = False
        self.delay_s = 0.0
        self.loses_answers = False
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row and wake the feeds."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._wake()

    def drop(self, table, key):
        """Drop a row and wake the feeds."""
        self.version += 1
        self.rows[table, key] = (None, self.version)
        self._wake()

    def copy(self):
        """Return a copy to come back from."""
        return dict(self.rows), self.version

    def come_back(self, copy):
        """Begin the next era with a copy.

        :returns: the platform's own rows that are to be written again, as
            ``(table, key, value, version they have now)``.
        """
        newer = {key: row for key, row in self.rows.items() if key[0] in PLATFORM}
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era = (self.era or 0) + 1
        self._wake()
        lost = []
        for (table, key), (value, _) in newer.items():
            older, version = self.rows.get((table, key), (None, 0))
            if older != value:
                lost.append((table, key, value, version))
        return lost

    def write_again(self, table, key, value, version):
        """Write a row that was lost, unless it has been written since."""
        if self.rows.get((table, key), (None, 0))[1] != version:
            return
        if value is None:
            self.drop(table, key)
        else:
            self.put(table, key, value)

    def _answer(self, content, status=200):
        headers = {} if self.era is None else {"Store-Era": str(self.era)}
        return JSONResponse(content, status, headers)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def app(self):
        """Return the application of the store's calls."""
        return Starlette(
            routes=[
                Route("/rows-get", self._get),
                Route("/rows-feed", self._feed),
                Route("/rows-tx", self._write, methods=["POST"]),
            ]
        )

    def _found(self, table, after):
        found = [
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
        return sorted(found, key=lambda row: row["ver"])

    async def _get(self, request):
        await asyncio.sleep(self.delay_s)
        if self.is_away:
            return Response(status_code=503)
        found = self._found(request.query_params["table"], 0)
        rows = [row for row in found if not row["deleted"]]
        return self._answer({"rows": rows, "hasMore": False, "ver": self.version})

    async def _feed(self, request):
        query = request.query_params
        until = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if self.is_away:
                return Response(status_code=503)
            after = int(query["after"])
            if after > self.version:
                return self._answer({}, 410)
            rows = self._found(query["table"], after)
            left = until - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return self._answer({"rows": rows, "ver": self.version})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    async def _write(self, request):
        await asyncio.sleep(self.delay_s)
        if self.is_away:
            return Response(status_code=503)
        body = await request.json()
        for row in body["expected"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                return self._answer({"rows": []}, 412)
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        if self.loses_answers:
            # The caller's time is over before this is.
            await asyncio.sleep(LOST_S)
        return self._answer({"ver": self.version})
