"""Callers that use up a retry budget: many short requests at a constant rate."""

import asyncio
import itertools

import aiohttp

from features.support.platform_site import HOST, KEY, PLAIN_SERVICE
from soak.retry_site import STREAM_SERVICE

__all__ = ["RetryCallers"]

CALL_INTERVAL_S = 0.011
STREAM_SHARE = 0.5
CALLER_TIMEOUT_S = {PLAIN_SERVICE: 2.5, STREAM_SERVICE: 8.0}
PATHS = {PLAIN_SERVICE: "look", STREAM_SERVICE: "note"}
SERVING_TIMEOUT_S = 20.0


class RetryCallers:
    """Sends requests to all daemons in turn, at a constant rate."""

    def __init__(self, site, rng):
        self.sent_at = {service: [] for service in PATHS}
        self._site = site
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self):
        """Send requests until cancelled."""
        loop, due_at = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            for name in itertools.cycle(self._site.front_addresses):
                is_stream = self._rng.random() < STREAM_SHARE
                service = STREAM_SERVICE if is_stream else PLAIN_SERVICE
                group.create_task(self._call(session, name, service))
                due_at += CALL_INTERVAL_S
                await asyncio.sleep(max(0.0, due_at - loop.time()))

    async def wait_until_served(self):
        """Wait until every daemon serves both services; return whether it did."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SERVING_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while loop.time() < deadline:
                calls = [
                    self._call(session, name, service)
                    for name in self._site.front_addresses
                    for service in PATHS
                ]
                if all(await asyncio.gather(*calls)):
                    return True
        return False

    async def _call(self, session, daemon, service):
        """Send a request, and return whether it was answered with success."""
        self.sent_at[service].append(asyncio.get_running_loop().time())
        request_name = f"r{next(self._numbers)}"
        timeout_s = CALLER_TIMEOUT_S[service]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_name,
            "X-Time-Budget-Ms": str(int(timeout_s * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        address = self._site.front_addresses[daemon]
        method = session.post if service == STREAM_SERVICE else session.get
        url = f"http://{address}/{PATHS[service]}/{request_name}"
        try:
            async with asyncio.timeout(timeout_s):
                async with method(url, headers=headers) as response:
                    await response.read()
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
