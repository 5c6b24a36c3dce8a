"""A platform whose targets can fail all requests, and callers of its daemons."""

import asyncio
import itertools

import aiohttp
from starlette.responses import Response

from features.support.platform_site import HOST, KEY, PlatformSite

__all__ = ["RETRY_SETTINGS", "BreakingSite", "call_beside"]

DAEMON_COUNT = 4
RETRY_SETTINGS = {"ratio": 0.2, "slack": 40.0, "window_s": 10.0}
CALL_INTERVAL_S = 0.02
TIME_BUDGET_S = 2.0


class BreakingSite(PlatformSite):
    """A platform whose targets record arrivals and can fail all requests.

    :param daemon_count: number of daemons.
    """

    def __init__(self, daemon_count=DAEMON_COUNT):
        super().__init__(daemon_count=daemon_count)
        self.are_broken = False
        """Whether targets fail all requests."""
        self.arrived_at = {}
        """Loop times of arrivals by attempt id."""

    def _write_settings(self, name, path):
        super()._write_settings(name, path)
        lines = [f"{key} = {value}" for key, value in RETRY_SETTINGS.items()]
        path.write_text(path.read_text() + "[retries]\n" + "\n".join(lines) + "\n")

    def _record_arrival(self, target, attempt_id):
        super()._record_arrival(target, attempt_id)
        now = asyncio.get_running_loop().time()
        self.arrived_at.setdefault(attempt_id, []).append(now)

    def _refusal(self, target, attempt_id):
        if self.are_broken:
            headers = {"x-attempt-id": attempt_id}
            return Response(status_code=500, headers=headers)
        return super()._refusal(target, attempt_id)


async def call_beside(site, action):
    """Send requests to all daemons while an action runs.

    :param site: :class:`BreakingSite`
    :param action: coroutine.
    :returns: sorted loop times at which requests were sent.
    """
    loop = asyncio.get_running_loop()
    sent_at, calls = [], set()
    numbers = itertools.count(1)
    async with aiohttp.ClientSession() as session:

        async def call(name):
            number = next(numbers)
            headers = {
                "Host": HOST,
                "X-Attempt-Id": f"b{number}",
                "X-Time-Budget-Ms": str(int(TIME_BUDGET_S * 1000)),
                "Authorization": f"Bearer {KEY}",
            }
            url = f"http://{site.front_addresses[name]}/look/b{number}"
            try:
                async with asyncio.timeout(TIME_BUDGET_S):
                    async with session.get(url, headers=headers) as response:
                        await response.read()
            except (aiohttp.ClientError, TimeoutError):
                """The daemon has been killed, or all targets have failed."""

        acting = asyncio.create_task(action)
        for name in itertools.cycle(site.front_addresses):
            if acting.done():
                break
            sent_at.append(loop.time())
            calls.add(asyncio.create_task(call(name)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*calls)
        acting.result()
    return sent_at
