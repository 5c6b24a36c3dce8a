"""Callers that use up a retry budget: many short requests at a constant rate."""

import asyncio
import itertools
from collections import Counter

import aiohttp

from features.support.platform_site import HOST, KEY, PLAIN_SERVICE
from soak.retry_checks import Call
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
        self.calls = {}
        """The :class:`Call` of each request by its name."""
        self.send_counts = Counter()
        """Number of times that each request was sent: the client sends a ``GET`` again
        whose connection ends without an answer."""
        self._site = site
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self):
        """Send requests until cancelled."""
        loop, due_at = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        async with self._session() as session, asyncio.TaskGroup() as group:
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
        async with self._session() as session:
            while loop.time() < deadline:
                calls = [
                    self._call(session, name, service)
                    for name in self._site.front_addresses
                    for service in PATHS
                ]
                if all(await asyncio.gather(*calls)):
                    return True
        return False

    def _session(self):
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._count_send)
        return aiohttp.ClientSession(trace_configs=[trace])

    async def _count_send(self, session, trace_context, params):
        self.send_counts[params.headers["X-Attempt-Id"]] += 1

    async def _call(self, session, daemon, service):
        """Send a request, and return whether it was answered with success."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.sent_at[service].append(began_at)
        request_name = f"r{next(self._numbers)}"
        call = Call(daemon, began_at, float("inf"), CALLER_TIMEOUT_S[service])
        self.calls[request_name] = call
        try:
            return await self._exchange(session, daemon, service, request_name)
        finally:
            self.calls[request_name] = call._replace(ended_at=loop.time())

    async def _exchange(self, session, daemon, service, request_name):
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
