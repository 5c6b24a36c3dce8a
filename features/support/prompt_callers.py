"""Callers whose prompts share parts, some of which end engines."""

import asyncio
import itertools
import random
from typing import NamedTuple

import aiohttp

from features.support.platform_site import HOST, KEY, stream_events

__all__ = ["MODEL", "PromptCall", "PromptCallers", "PromptShape"]

MODEL = "small"
BUDGET_S = 6.0
REPEATS = 1
"""Times that a caller sends a request again."""
MAX_WAIT_FRACTION = 1 / 3
REFUSAL_STATUS = 503


class PromptShape(NamedTuple):
    """The traffic and its prompts.

    :param requests_per_s: mean rate.
    :param bad_fraction: fraction of the requests that hold a bad part.
    :param chain: number of shared parts of a prompt.
    :param things: number of different parts at each place of the chain.
    :param skew: exponent by which their shares fall.
    """

    requests_per_s: float = 30.0
    bad_fraction: float = 0.05
    chain: int = 1
    things: int = 60
    skew: float = 0.5


class PromptCall(NamedTuple):
    """A request as its caller saw it.

    :param at: loop time at which it was sent first.
    :param parts: ids of the shared parts of its prompt.
    :param is_bad: whether one of them is bad.
    :param statuses: HTTP statuses of its attempts, ``None`` without an answer.
    :param is_whole: whether the caller got the whole stream in the end.
    """

    at: float
    parts: tuple
    is_bad: bool
    statuses: tuple
    is_whole: bool

    @property
    def is_served_at_once(self):
        """Whether the first attempt was answered whole."""
        return self.is_whole and len(self.statuses) == 1


class PromptCallers:
    """Sends streams with shared parts of prompts to all daemons.

    :param site: :class:`~features.support.crashing_site.CrashingSite`
    :param shape: :class:`PromptShape`
    :param seed: seed of all random choices.
    """

    def __init__(self, site, shape, seed):
        self.calls = []
        self._site = site
        self._shape = shape
        self._rng = random.Random(f"prompts-{seed}")
        self._weights = [(n + 1) ** -shape.skew for n in range(shape.things)]
        self._numbers = itertools.count(1)
        self._tasks = set()

    async def run(self, seconds, bad_from_s):
        """Send requests; those with a bad part from ``bad_from_s`` seconds on."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        due_at = started_at
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            while True:
                due_at += self._rng.expovariate(self._shape.requests_per_s)
                await asyncio.sleep(due_at - loop.time())
                if due_at >= started_at + seconds:
                    break
                may_be_bad = due_at >= started_at + bad_from_s
                if may_be_bad:
                    self._site.start_exits()
                self._start_call(session, may_be_bad)
            await asyncio.gather(*self._tasks)

    def _start_call(self, session, may_be_bad):
        bad_part = None
        if self._rng.random() < self._shape.bad_fraction and may_be_bad:
            bad_part = self._rng.choice(self._site.bad_parts)
        parts = [
            f"{place + 1:x}{thing:03x}"
            for place in range(self._shape.chain)
            for thing in self._rng.choices(range(self._shape.things), self._weights)
        ]
        if bad_part is not None:
            parts[-1] = bad_part
        is_bad = may_be_bad and not set(parts).isdisjoint(self._site.bad_parts)
        task = asyncio.create_task(self._call(session, tuple(parts), is_bad))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, session, parts, is_bad):
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        name = f"n{next(self._numbers)}"
        whole = b"".join(stream_events(name))
        received, statuses = b"", []
        while received != whole and len(statuses) <= REPEATS:
            left_s = sent_at + BUDGET_S - loop.time()
            if left_s <= 0:
                break
            status, wait_s, content = await self._attempt(
                session, name, parts, received.count(b"\n\n"), left_s
            )
            statuses.append(status)
            received += content[: content.rfind(b"\n\n") + 2] if content else b""
            await asyncio.sleep(min(wait_s, left_s * MAX_WAIT_FRACTION))
        is_whole = received == whole
        self.calls.append(PromptCall(sent_at, parts, is_bad, tuple(statuses), is_whole))

    async def _attempt(self, session, name, parts, event_count, left_s):
        """Return the status, the time to wait in seconds and the received body."""
        number = next(self._numbers)
        shared = ",".join(f"{part}:40" for part in parts)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"p{number}",
            "X-Model": MODEL,
            "X-Time-Budget-Ms": str(int(left_s * 1000)),
            "Authorization": f"Bearer {KEY}",
            "X-Prompt-Prefix": f"{shared},{number:x}:600",
        }
        if event_count:
            headers["Last-Event-Id"] = str(event_count)
        front = self._rng.choice(list(self._site.front_addresses.values()))
        content = bytearray()
        status, wait_s = None, 0.0
        try:
            async with (
                asyncio.timeout(left_s),
                session.post(
                    f"http://{front}/draft/{name}", headers=headers
                ) as response,
            ):
                status = response.status
                wait_s = float(response.headers.get("Retry-After", 0))
                async for chunk in response.content.iter_any():
                    if status == 200:
                        content += chunk
        except (aiohttp.ClientError, TimeoutError):
            """The answer has been broken off, or the caller's time is over."""
        return status, wait_s, bytes(content)
