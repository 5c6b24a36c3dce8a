"""Callers: they ask for addresses, call, and note what they see."""

import asyncio
import itertools

import aiohttp

from features.support.platform_site import HOST, KEY
from soak.history import CallKind, CallRecord

__all__ = ["Callers"]

CALLERS = 10
THINK_S = (0.02, 0.2)
BUDGET_S = 6.0
DIRECTORY_TIMEOUT_S = 1.0
KINDS = (CallKind.STREAM,) * 3 + (CallKind.BOOKING,) * 2 + (CallKind.LOOKUP,) * 2
"""Streams last longest, so they are most of what is under way at any moment."""
TURN_SHARE = 0.3
"""Share of lookups that use the changing key."""


class Callers:
    """Calls a site for as long as it runs.

    :param site: :class:`~soak.site.SoakSite`
    :param rng: :class:`random.Random`
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self):
        """Call until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._one())

    async def _one(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(*THINK_S))
                daemon = await self._ask_directory(session)
                if daemon is not None:
                    await self.call(session, daemon, self._rng.choice(KINDS))

    async def _ask_directory(self, session):
        """Return the name of a daemon that a directory names, or ``None``."""
        names = {front: name for name, front in self._site.fronts.items()}
        directory = self._rng.choice(list(self._site.directories.values()))
        timeout = aiohttp.ClientTimeout(total=DIRECTORY_TIMEOUT_S)
        query = {"name": HOST, "region": "r", "zone": "n"}
        try:
            async with session.get(
                f"http://{directory}/resolve", params=query, timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                addresses = (await response.json())["addresses"]
        except (aiohttp.ClientError, TimeoutError):
            # It is down or stands still: the next call asks another one.
            return None
        return names[self._rng.choice(addresses)]

    async def call_ending(self, name):
        """Let a request that ends its targets come at all daemons at once.

        :param name: last part of its path.
        """
        async with aiohttp.ClientSession() as session:
            daemons = list(self._site.fronts)
            calls = [self.call(session, d, CallKind.STREAM, name) for d in daemons]
            await asyncio.gather(*calls)

    async def call(self, session, daemon, kind, name=None):
        """Make a call, note it and return its :class:`~soak.history.CallRecord`."""
        site, loop = self._site, asyncio.get_running_loop()
        number = next(self._numbers)
        name = name or f"n{number}"
        turn = None
        if kind == CallKind.LOOKUP and self._rng.random() < TURN_SHARE:
            turn = self._rng.randint(0, max(site.history.configured_at, default=0))
        key = KEY if turn is None else f"turn-{turn}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"c{number}",
            "X-Model": self._rng.choice(("large", "small")),
            "X-Time-Budget-Ms": str(int(BUDGET_S * 1000)),
            "Authorization": f"Bearer {key}",
        }
        run, began_at = site.history.run_of(daemon), loop.time()
        answer = await self._send(session, daemon, f"/{kind}/{name}", headers)
        status, body, was_sent = answer
        record = CallRecord(
            kind,
            name,
            f"c{number}",
            daemon,
            run if run == site.history.run_of(daemon) else None,
            turn,
            began_at,
            loop.time(),
            status,
            body,
            was_sent,
        )
        site.history.calls.append(record)
        return record

    async def _send(self, session, daemon, path, headers):
        """Return ``(status, whole body, whether it can have been read)``."""
        address = self._site.front_proxies[daemon].address
        timeout = aiohttp.ClientTimeout(total=BUDGET_S + 1.0)
        status = None
        try:
            async with session.post(
                f"http://{address}{path}", headers=headers, timeout=timeout
            ) as response:
                status = response.status
                return status, await response.read(), True
        except aiohttp.ClientConnectorError:
            return None, None, False
        except (aiohttp.ClientError, TimeoutError):
            return status, None, True
