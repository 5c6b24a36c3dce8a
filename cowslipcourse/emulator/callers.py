"""Callers of emulated daemons, and what they get."""

import asyncio
import itertools
import math
import random
from typing import NamedTuple

from cowslipcourse.emulator.site_file import KindSettings
from cowslipcourse.entry.calls import Call
from cowslipcourse.exceptions import RequestError, RequestQuarantined
from cowslipcourse.platform.edge import CallerHeaders
from cowslipcourse.quarantine import fingerprint
from cowslipcourse.routes import RequestKind, Route

__all__ = ["CallRecord", "Callers", "Outcome"]

PATIENCE_SHARE = 1 / 3
"""Longest share of the time left that a caller waits when told to come back."""
MOST_EVENTS = 160


class Outcome:
    """How a caller's request ended."""

    ON_TIME = "on-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class CallRecord(NamedTuple):
    """A request as its caller saw it.

    :param kind: name of its kind.
    :param at_s: seconds after the start of the traffic at which it came.
    :param outcome: one of :class:`Outcome`.
    :param tries: times that it was sent.
    """

    kind: str
    at_s: float
    outcome: str
    tries: int


class _Size(NamedTuple):
    prompt_tokens: int
    events: int
    event_tokens: int
    ends_targets: bool = False


class _SizedCall:
    """A :class:`~cowslipcourse.entry.calls.Call` with the size of its answer."""

    def __init__(self, call, size):
        self._call = call
        self.size = size

    def __getattr__(self, name):
        return getattr(self._call, name)

    def _replace(self, **changes):
        """Return a copy with changed fields, as the call itself does."""
        return _SizedCall(self._call._replace(**changes), self.size)


class _Responder:
    """Keeps what a caller sees of one answer."""

    def __init__(self):
        self.started = False
        self.is_complete = False
        self.first_at = None
        self.last_at = None
        self.last_event = 0
        self.longest_pause_s = 0.0

    async def start(self, status, headers):
        self.started = True

    async def send_chunk(self, content):
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        self.last_at = now
        self.last_event += content.count(b"\n\n")

    async def finish(self, body=b""):
        self.is_complete = self.last_event > 0


class Callers:
    """Sends requests of all kinds to daemons picked at random.

    :param daemons: list of :class:`~cowslipcourse.emulator.daemons.EmulatedDaemon`
    :param settings: :class:`~cowslipcourse.emulator.site_file.SiteSettings`
    :param bursts: callable that takes a kind and seconds and returns a factor.
    :param rng: :class:`random.Random`
    """

    def __init__(self, daemons, settings, bursts, rng):
        self._daemons = daemons
        self._settings = settings
        self._bursts = bursts
        self._rng = rng
        self._tasks = set()
        self._numbers = itertools.count()
        self.records = []
        self.wrongly_quarantined = 0

    async def run(self, seconds):
        """Let requests come for a time, and wait for the last answers."""
        arrivals = [self._arrive(kind, seconds) for kind in self._settings.kinds]
        await asyncio.gather(*arrivals)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def crash(self, fault):
        """Let a request that ends its targets come at several daemons at once.

        :param fault: :class:`~cowslipcourse.emulator.site_file.FaultSettings`
        """
        kinds = [k for k in self._settings.kinds if fault.request in ("", k.name)]
        size = self._size(kinds[0], self._rng)._replace(ends_targets=True)
        content = f"{fault.kind} {fault.at_s}".encode()
        for _ in range(fault.count):
            self._begin(self._request(kinds[0], size, None, content))

    def _begin(self, request):
        task = asyncio.create_task(request)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _arrive(self, kind: KindSettings, seconds):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        luck = random.Random(self._rng.random())
        while True:
            at_s = loop.time() - began_at
            rate = kind.per_s * self._bursts(kind.name, at_s)
            await asyncio.sleep(luck.expovariate(rate))
            at_s = loop.time() - began_at
            if at_s >= seconds:
                return
            content = b"%d" % next(self._numbers)
            self._begin(self._request(kind, self._size(kind, luck), at_s, content))

    async def _request(self, kind, size, at_s, content):
        """Send a request until it is answered; only those with a time are recorded."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        deadline = arrived_at + kind.deadline_s
        seen, tries, outcome = _Responder(), 0, Outcome.FAILED
        while tries <= kind.retries and loop.time() < deadline:
            tries += 1
            outcome, wait_s = await self._try(kind, size, seen, deadline, content)
            if outcome is None:
                outcome = _punctuality(kind, seen, arrived_at)
                break
            left_s = deadline - loop.time()
            await asyncio.sleep(max(0.0, min(wait_s, left_s * PATIENCE_SHARE)))
        if at_s is not None:
            self.records.append(CallRecord(kind.name, at_s, outcome, tries))

    async def _try(self, kind, size, seen, deadline, content):
        """Return ``(None, 0)`` after a whole answer, else the outcome and a wait."""
        loop = asyncio.get_running_loop()
        left_s = deadline - loop.time()
        call = Call(
            id="emulated",
            method="POST",
            path=b"/",
            headers=(),
            body=content,
            fingerprint=fingerprint(None, b"/", content),
            caller_headers=CallerHeaders(
                time_budget_s=left_s,
                model=kind.model,
                last_event_id=seen.last_event or None,
            ),
            route=_route(kind),
            workspace=None,
            arrived_at=loop.time(),
            deadline=deadline,
        )
        daemon = self._rng.choice(self._daemons)
        try:
            await daemon.forwarder.forward(_SizedCall(call, size), seen)
        except RequestQuarantined as error:
            self.wrongly_quarantined += not size.ends_targets
            return Outcome.REFUSED, error.retry_after_s or 0.0
        except RequestError as error:
            refused = error.outcome == "not_run"
            outcome = Outcome.REFUSED if refused else Outcome.FAILED
            return outcome, error.retry_after_s or 0.0
        return (None, 0.0) if seen.is_complete else (Outcome.FAILED, 0.0)

    def _size(self, kind, luck):
        prompt = _skewed(luck, kind.prompt_tokens, kind.spread)
        events = _skewed(luck, kind.events, kind.spread)
        return _Size(prompt, min(events, MOST_EVENTS), self._settings.steps_per_event)


def _skewed(rng, mean, spread):
    """Draw a whole number of at least 1 from a log-normal distribution."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return max(1, round(rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)))


def _route(kind):
    return Route(
        kind.name,
        "host",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        kind.deadline_s,
        kind.aim_s,
        1,
        2,
        is_resumable=True,
        pause_limit_s=kind.pause_s,
    )


def _punctuality(kind, seen, arrived_at):
    in_aim = seen.first_at - arrived_at <= kind.aim_s
    is_smooth = seen.longest_pause_s <= kind.pause_s
    return Outcome.ON_TIME if in_aim and is_smooth else Outcome.LATE
