"""Simulated callers that resolve daemons, send requests and record the responses."""

import asyncio
import itertools

import aiohttp

from features.support.platform_site import HOST, KEY
from soak.history import CallKind, CallRecord

__all__ = ["CALL_KIND_MIX", "MIX_WITH_BOTH_STREAMS", "Callers"]

CALLER_COUNT = 10
THINK_TIME_RANGE_S = (0.02, 0.2)
TIME_BUDGET_S = 6.0
DIRECTORY_TIMEOUT_S = 1.0
CALL_KIND_MIX = (
    (CallKind.STREAM,) * 3 + (CallKind.BOOKING,) * 2 + (CallKind.LOOKUP,) * 2
)
"""Mix of calls; streams last longest, so most calls in flight are streams."""
MIX_WITH_BOTH_STREAMS = (
    *CALL_KIND_MIX,
    CallKind.STREAM,
    *(CallKind.STREAM_ONCE,) * 4,
)
ROTATING_KEY_PROBABILITY = 0.3
"""Probability that a lookup uses the rotating key."""


class Callers:
    """Sends random calls to a site until cancelled.

    :param site: :class:`~soak.site.SoakSite`
    :param rng: :class:`random.Random`
    :param kind_mix: kinds of calls, each as often as it is to be drawn.
    :param keep_probability: probability that a caller whose call succeeded sends the
        next one to the same daemon, on the open connection.
    """

    def __init__(self, site, rng, kind_mix=CALL_KIND_MIX, keep_probability=0.0):
        self._site = site
        self._rng = rng
        self._kind_mix = kind_mix
        self._keep_probability = keep_probability
        self._call_numbers = itertools.count(1)

    @property
    def kinds(self):
        """All kinds of calls that these callers send."""
        return tuple(dict.fromkeys(self._kind_mix))

    async def run(self):
        """Run all callers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLER_COUNT):
                group.create_task(self._run_caller())

    async def _run_caller(self):
        kept_daemon = None
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self._rng.uniform(*THINK_TIME_RANGE_S))
                is_kept = kept_daemon is not None
                daemon = kept_daemon or await self._resolve_daemon(session)
                if daemon is None:
                    continue
                kind = self._rng.choice(self._kind_mix)
                record = await self.call(session, daemon, kind, is_kept=is_kept)
                kept_daemon = daemon if self._keeps_daemon(record) else None

    def _keeps_daemon(self, record):
        if not self._keep_probability or record.status != 200 or record.body is None:
            return False
        return self._rng.random() < self._keep_probability

    async def _resolve_daemon(self, session):
        """Return the name of a daemon that a directory lists, or ``None``."""
        daemon_by_address = {
            address: name for name, address in self._site.front_addresses.items()
        }
        directory = self._rng.choice(list(self._site.directory_addresses.values()))
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
            # This directory does not answer; the next call chooses again.
            return None
        return daemon_by_address[self._rng.choice(addresses)]

    async def send_crashing_request(self, request_name):
        """Send a request that crashes its targets to all daemons at once.

        :param request_name: last segment of its path.
        """
        async with aiohttp.ClientSession() as session:
            daemons = list(self._site.front_addresses)
            calls = [
                self.call(session, d, CallKind.STREAM, request_name) for d in daemons
            ]
            await asyncio.gather(*calls)

    async def call(self, session, daemon, kind, request_name=None, is_kept=False):
        """Send a call, record it and return its :class:`~soak.history.CallRecord`."""
        site, loop = self._site, asyncio.get_running_loop()
        number = next(self._call_numbers)
        request_name = request_name or f"n{number}"
        key_version = None
        if kind == CallKind.LOOKUP and self._rng.random() < ROTATING_KEY_PROBABILITY:
            key_version = self._rng.randint(
                0, max(site.history.key_configured_at, default=0)
            )
        key = KEY if key_version is None else f"turn-{key_version}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"c{number}",
            "X-Model": self._rng.choice(("large", "small")),
            "X-Time-Budget-Ms": str(int(TIME_BUDGET_S * 1000)),
            "Authorization": f"Bearer {key}",
        }
        incarnation, began_at = site.history.incarnation_of(daemon), loop.time()
        answer = await self._send(session, daemon, f"/{kind}/{request_name}", headers)
        status, body, was_sent = answer
        record = CallRecord(
            kind,
            request_name,
            f"c{number}",
            daemon,
            incarnation if incarnation == site.history.incarnation_of(daemon) else None,
            key_version,
            began_at,
            loop.time(),
            status,
            body,
            was_sent,
            is_kept,
        )
        site.history.calls.append(record)
        return record

    async def _send(self, session, daemon, path, headers):
        """Return ``(status, complete body, whether the daemon may have read it)``."""
        address = self._site.front_proxies[daemon].address
        timeout = aiohttp.ClientTimeout(total=TIME_BUDGET_S + 1.0)
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
