"""Emulated callers: a load generator, and the outcomes of its requests."""

import asyncio
import itertools
import math
import random
from typing import NamedTuple

from cowslipcourse.emulator.batches import CrashForm
from cowslipcourse.emulator.site_file import KindSettings
from cowslipcourse.entry.calls import Call
from cowslipcourse.exceptions import RequestError, RequestQuarantined
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.quarantine import fingerprint
from cowslipcourse.routes import RequestKind, Route

__all__ = ["CallRecord", "Callers", "Outcome"]

MAX_WAIT_FRACTION = 1 / 3
"""Maximum wait before a retry, as a fraction of the time left to the deadline."""
MAX_EVENTS = 160
THEME_SUBJECTS = (20, 5)
"""Numbers of subjects that share a wider and a narrower theme."""


class Outcome:
    """How a caller's request ended."""

    ON_TIME = "on-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class CallRecord(NamedTuple):
    """The outcome of a request for its caller.

    :param kind: name of the request's kind.
    :param at_s: arrival time in seconds from the start of the traffic.
    :param outcome: one of :class:`Outcome`.
    :param attempt_count: number of times that the request was sent.
    """

    kind: str
    at_s: float
    outcome: str
    attempt_count: int


class _RequestSize(NamedTuple):
    prompt_tokens: int
    event_count: int
    tokens_per_event: int
    crashes_targets: bool = False
    crashing_part: str = ""
    crash_form: CrashForm = CrashForm.HEAD


class _SizedCall:
    """A :class:`~cowslipcourse.entry.calls.Call` with the size of its answer.

    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param size: :class:`_RequestSize`
    :param crashing_parts: :class:`CrashForm` by part that crashes targets at present.
    """

    def __init__(self, call, size, crashing_parts):
        self._call = call
        self._size = size
        self._crashing_parts = crashing_parts

    @property
    def size(self):
        """The size, with what the request does to a target that it is sent to now."""
        for part in self._call.caller_headers.prompt_parts:
            if part in self._crashing_parts:
                return self._size._replace(
                    crashes_targets=True,
                    crashing_part=part,
                    crash_form=self._crashing_parts[part],
                )
        return self._size

    def __getattr__(self, name):
        return getattr(self._call, name)

    def _replace(self, **changes):
        """Return a copy with changed fields, as ``Call._replace`` does."""
        return _SizedCall(
            self._call._replace(**changes), self._size, self._crashing_parts
        )


class _Responder:
    """Records the progress of one answer as its caller sees it."""

    def __init__(self):
        self.started = False
        self.is_complete = False
        self.first_event_at = None
        self.last_event_at = None
        self.last_event = 0
        self.longest_pause_s = 0.0

    async def start(self, status, headers):
        self.started = True

    async def send_chunk(self, content):
        now = asyncio.get_running_loop().time()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_event_at)
        self.last_event_at = now
        self.last_event += content.count(b"\n\n")

    async def finish(self, body=b""):
        self.is_complete = self.last_event > 0


class Callers:
    """Sends requests of all kinds to randomly chosen daemons.

    :param daemons: list of :class:`~cowslipcourse.emulator.daemons.EmulatedDaemon`
    :param settings: :class:`~cowslipcourse.emulator.site_file.SiteSettings`
    :param burst_factor: callable that takes the name of a kind and a time in seconds,
        and returns the factor on its request rate.
    :param rng: :class:`random.Random`
    :param part_rng: :class:`random.Random` for the parts of prompts.
    """

    def __init__(self, daemons, settings, burst_factor, rng, part_rng):
        self._daemons = daemons
        self._settings = settings
        self._burst_factor = burst_factor
        self._rng = rng
        self._tasks = set()
        self._request_numbers = itertools.count()
        self._part_rng = part_rng
        self._crashing_parts = {}
        self.records = []
        self.wrongly_quarantined_at = []

    async def run(self, duration_s):
        """Send requests for ``duration_s`` seconds, and wait for the last answers."""
        arrivals = [
            self._generate_arrivals(kind, duration_s) for kind in self._settings.kinds
        ]
        await asyncio.gather(*arrivals)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def send_crashing_requests(self, fault):
        """Send a request that crashes its targets to several daemons at once.

        :param fault: :class:`~cowslipcourse.emulator.site_file.FaultSettings`
        """
        kinds = [k for k in self._settings.kinds if fault.request in ("", k.name)]
        size = self._draw_size(kinds[0], self._rng)._replace(crashes_targets=True)
        content = f"{fault.kind} {fault.at_s}".encode()
        for _ in range(fault.count):
            self._start_task(self._send_until_answered(kinds[0], size, None, content))

    def send_requests_with_part(self, fault):
        """Send different requests with a part that crashes targets to some daemons.

        From now on all requests with that part crash their targets.

        :param fault: :class:`~cowslipcourse.emulator.site_file.FaultSettings`
        """
        self._crashing_parts[fault.part] = CrashForm(fault.crash_form)
        kind = next(k for k in self._settings.kinds if k.name == fault.request)
        for _ in range(fault.count):
            parts = self._draw_parts(kind)
            if fault.is_first_part:
                parts = (fault.part, *parts[1:])
            elif fault.part not in parts:
                parts = (*parts[:-1], fault.part)
            size = self._draw_size(kind, self._part_rng)
            self._start_task(
                self._send_until_answered(kind, size, None, self._new_content(), parts)
            )

    def _new_content(self):
        return b"%d" % next(self._request_numbers)

    def _draw_parts(self, kind):
        """Draw the shared parts of a prompt: that of its kind, wider and narrower
        themes, and a subject.
        """
        if not kind.subjects:
            return ()
        # Squaring makes the first subjects the most frequent ones.
        subject = int(kind.subjects * self._part_rng.random() ** 2)
        themes = [
            f"{kind.name}-{width}-{subject // width}"
            for width in THEME_SUBJECTS[: max(0, kind.shared_parts - 2)]
        ]
        parts = kind.name, *themes, f"{kind.name}-{subject}"
        return parts[-kind.shared_parts :]

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _generate_arrivals(self, kind: KindSettings, duration_s):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        rng = random.Random(self._rng.random())
        while True:
            at_s = loop.time() - started_at
            rate = kind.per_s * self._burst_factor(kind.name, at_s)
            await asyncio.sleep(rng.expovariate(rate))
            at_s = loop.time() - started_at
            if at_s >= duration_s:
                return
            self._start_task(
                self._send_until_answered(
                    kind,
                    self._draw_size(kind, rng),
                    at_s,
                    self._new_content(),
                    self._draw_parts(kind),
                )
            )

    async def _send_until_answered(self, kind, size, at_s, content, parts=()):
        """Send a request until it is answered; record it if it has an arrival time."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        deadline = arrived_at + kind.deadline_s
        responder, attempt_count, outcome = _Responder(), 0, Outcome.FAILED
        while attempt_count <= kind.retries and loop.time() < deadline:
            attempt_count += 1
            outcome, wait_s = await self._send_once(
                kind, size, responder, deadline, content, parts
            )
            if outcome is None:
                outcome = _timeliness(kind, responder, arrived_at)
                break
            remaining_s = deadline - loop.time()
            await asyncio.sleep(max(0.0, min(wait_s, remaining_s * MAX_WAIT_FRACTION)))
        if at_s is not None and self._crashing_parts.keys().isdisjoint(parts):
            self.records.append(CallRecord(kind.name, at_s, outcome, attempt_count))

    async def _send_once(self, kind, size, responder, deadline, content, parts):
        """Return ``(None, 0)`` after a complete answer, else outcome and wait in s."""
        loop = asyncio.get_running_loop()
        remaining_s = deadline - loop.time()
        call = Call(
            id="emulated",
            method="POST",
            path=b"/",
            headers=(),
            body=content,
            fingerprint=fingerprint(None, b"/", content),
            caller_headers=CallerHeaders(
                time_budget_s=remaining_s,
                model=kind.model,
                last_event_id=responder.last_event or None,
                prompt_parts=parts,
            ),
            route=_route(kind),
            workspace=None,
            arrived_at=loop.time(),
            deadline=deadline,
        )
        daemon = self._rng.choice(self._daemons)
        sized_call = _SizedCall(call, size, self._crashing_parts)
        try:
            await daemon.forwarder.forward(sized_call, responder)
        except RequestQuarantined as error:
            if not sized_call.size.crashes_targets:
                self.wrongly_quarantined_at.append(loop.time())
            return Outcome.REFUSED, error.retry_after_s or 0.0
        except RequestError as error:
            is_refused = error.outcome == "not_run"
            outcome = Outcome.REFUSED if is_refused else Outcome.FAILED
            return outcome, error.retry_after_s or 0.0
        return (None, 0.0) if responder.is_complete else (Outcome.FAILED, 0.0)

    def _draw_size(self, kind, rng):
        prompt_tokens = _draw_log_normal(rng, kind.prompt_tokens, kind.spread)
        event_count = _draw_log_normal(rng, kind.events, kind.spread)
        return _RequestSize(
            prompt_tokens, min(event_count, MAX_EVENTS), self._settings.steps_per_event
        )


def _draw_log_normal(rng, mean, relative_deviation):
    """Draw an integer of at least 1 from a log-normal distribution.

    :param relative_deviation: standard deviation as a fraction of the mean.
    """
    sigma = math.sqrt(math.log(1 + relative_deviation * relative_deviation))
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


def _timeliness(kind, responder, arrived_at):
    is_on_time = responder.first_event_at - arrived_at <= kind.aim_s
    is_smooth = responder.longest_pause_s <= kind.pause_s
    return Outcome.ON_TIME if is_on_time and is_smooth else Outcome.LATE
