"""A platform some of whose targets answer with bytes without end, and its callers."""

import asyncio
import itertools
from typing import NamedTuple

import aiohttp
from starlette.responses import StreamingResponse

from features.support.endless_server import ENDLESS, EndlessServer, PacedServer
from features.support.platform_site import HOST, KEY, PlatformSite, stream_events

__all__ = ["Answer", "EndlessSite", "call_daemons", "call_together", "peak_memory_kb"]

DAEMON_COUNT = 2
ENDLESS_TARGETS = (
    "header lines",
    "one header name",
    "a body with neither length nor chunks",
    "a chunk extension",
)
CALL_INTERVAL_S = 0.02
TIME_BUDGET_S = 3.0
ENDLESS_STREAM_FRACTION = 0.5
PIECE = b"data: " + b"x" * 65536


class Answer(NamedTuple):
    """An answer as its caller saw it.

    :param kind: kind of the request, the first segment of its path.
    :param name: last segment of its path.
    :param status: HTTP status, or ``None`` without a complete answer.
    :param body: its body.
    :param took_s: seconds until its end.
    """

    kind: str
    name: str
    status: int | None
    body: bytes
    took_s: float

    @property
    def is_whole(self):
        """Whether it is a target's whole answer."""
        expected = (
            b"done" if self.kind == "look" else b"".join(stream_events(self.name))
        )
        return self.status == 200 and self.body == expected


class EndlessSite(PlatformSite):
    """A platform with sound targets, and others whose answers have no end."""

    def __init__(self):
        super().__init__(daemon_count=DAEMON_COUNT)
        self._endless_servers = []
        self._streams = itertools.count()

    async def start_endless_targets(self):
        """Add plain targets whose answers have no end."""
        for number, what in enumerate(ENDLESS_TARGETS):
            server = EndlessServer(*ENDLESS[what])
            self._endless_servers.append(server)
            await server.__aenter__()
            self.publish_plain_target(f"e{number}", server.address)

    async def start_paced_target(self):
        """Add a plain target whose answers take a second to become too large."""
        server = PacedServer()
        self._endless_servers.append(server)
        await server.__aenter__()
        self.publish_plain_target("e0", server.address)

    async def stop(self):
        """See :meth:`PlatformSite.stop`."""
        await super().stop()
        for server in self._endless_servers:
            await server.__aexit__()

    @property
    def endless_request_count(self):
        """Number of requests that targets without end have got."""
        return sum(server.request_count for server in self._endless_servers)

    async def _handle_stream(self, engine_id, request):
        response = await super()._handle_stream(engine_id, request)
        is_sound = next(self._streams) % int(1 / ENDLESS_STREAM_FRACTION)
        if response.status_code != 200 or is_sound or not self._endless_servers:
            return response

        async def produce():
            for _ in range(1000):
                yield PIECE

        return StreamingResponse(produce(), headers=dict(response.headers))


def peak_memory_kb(site):
    """Return the peak memory of the daemons in KB, by name."""
    peaks = {}
    for name, process in site.processes.items():
        with open(f"/proc/{process.pid}/status") as status:
            line = next(line for line in status if line.startswith("VmHWM"))
        peaks[name] = int(line.split()[1])
    return peaks


async def _call(site, session, name, daemon, kind):
    """Send a request and return its :class:`Answer`."""
    loop = asyncio.get_running_loop()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": name,
        "X-Model": "large",
        "X-Time-Budget-Ms": str(int(TIME_BUDGET_S * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    url = f"http://{site.front_addresses[daemon]}/{kind}/{name}"
    sent_at, status, body = loop.time(), None, b""
    try:
        async with session.post(url, headers=headers) as response:
            body = await response.read()
            status = response.status
    except aiohttp.ClientError:
        """The daemon has ended the answer without its end."""
    return Answer(kind, name, status, body, loop.time() - sent_at)


async def call_together(site, daemon, count):
    """Send some plain requests to a daemon at once; return each :class:`Answer`."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        names = (f"y{number}" for number in range(count))
        calls = (_call(site, session, name, daemon, "look") for name in names)
        return await asyncio.gather(*calls)


async def call_daemons(site, duration_s):
    """Send plain requests and streams to all daemons for a time.

    :param site: :class:`EndlessSite`
    :param duration_s: seconds for which requests are sent.
    :returns: list of :class:`Answer`
    """
    loop = asyncio.get_running_loop()
    answers, calls = [], set()
    targets = itertools.cycle(
        itertools.product(site.front_addresses, ("look", "draft"))
    )
    async with aiohttp.ClientSession() as session:

        async def call(number, daemon, kind):
            answers.append(await _call(site, session, f"z{number}", daemon, kind))

        ends_at = loop.time() + duration_s
        for number, (daemon, kind) in enumerate(targets):
            if loop.time() > ends_at:
                break
            calls.add(asyncio.create_task(call(number, daemon, kind)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*calls)
    return answers
