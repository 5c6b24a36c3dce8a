"""Continuous batching at the head of a group, which determines request durations.

A pass prefills a bounded number of prompt tokens and emits one event for every request
whose prompt has been prefilled. The more requests decode, the longer each step takes. A
group that lacks a member stalls and then breaks, which interrupts its requests.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from cowslipcourse.exceptions import IncompleteResponse
from cowslipcourse.ports import GroupState

__all__ = ["BatchedRequest", "Crash", "CrashForm", "GroupBatch"]

QUEUE_TO_SLOTS_RATIO = 1.0
"""Maximum number of requests that wait at a head, relative to its slots."""
STALL_POLL_INTERVAL_S = 0.05
"""Interval at which a stalled group is checked."""
CRASH_DELAY_S = 0.08
"""Time from the start of a request that crashes its engine until the crash."""
CRASH_WRITING_S = 0.4
"""The same for an engine that writes some events before it crashes."""


class CrashForm(StrEnum):
    """How far an engine gets with the answer under which it crashes."""

    BEFORE_HEAD = "before-head"
    HEAD = "head"
    FIRST_EVENT = "first-event"
    EVENTS = "events"

    @property
    def delay_s(self):
        """Seconds from the start of the request to the crash."""
        delays_s = {CrashForm.FIRST_EVENT: 0.0, CrashForm.EVENTS: CRASH_WRITING_S}
        return delays_s.get(self, CRASH_DELAY_S)

    @property
    def writes_events(self):
        """Whether the engine writes events before."""
        return self in (CrashForm.FIRST_EVENT, CrashForm.EVENTS)


class Crash(NamedTuple):
    """The crash that a request causes.

    :param form: :class:`CrashForm`
    :param on_start: called when the request starts to run.
    """

    form: CrashForm
    on_start: Callable[[], None]


class BatchedRequest:
    """A request in the batch of a head.

    :param prompt_tokens: number of tokens to prefill before the first event.
    :param first_event: number of the first event to emit.
    :param last_event: number of the last event.
    :param urgency: urgency from 0, the most urgent.
    :param deliver: called with the number of each event and whether it is the last.
    :param interrupt: called with an error if the request is interrupted.
    :param crash: :class:`Crash` of the engine that runs it, or ``None``.
    """

    def __init__(
        self,
        prompt_tokens,
        first_event,
        last_event,
        urgency,
        deliver,
        interrupt,
        crash=None,
    ):
        self.tokens_to_prefill = prompt_tokens
        self.next_event = first_event
        self.last_event = last_event
        self.urgency = urgency
        self.deliver = deliver
        self.interrupt = interrupt
        self.crash = crash
        self.is_cancelled = False


class GroupBatch:
    """The requests of one head in one epoch of its group.

    :param world: :class:`~cowslipcourse.emulator.engines.World`
    :param engine: the head.
    :param spec: :class:`~cowslipcourse.routes.ServiceSpec`
    :param pace: factor on all durations of the model.
    """

    def __init__(self, world, engine, spec, pace):
        self._world = world
        self._engine = engine
        self._epoch = engine.membership.epoch
        self._spec = spec
        self._pace = pace
        self._waiting = []
        self._running = []
        self._arrival_numbers = itertools.count()
        self._task = None
        self._is_crashing = False

    @property
    def is_full(self):
        """Whether further requests are refused."""
        request_count = len(self._waiting) + len(self._running)
        return request_count >= self._spec.slots * (1 + QUEUE_TO_SLOTS_RATIO)

    @property
    def is_empty(self):
        """Whether no request is running or waiting."""
        unfinished = self._running + [request for _, _, request in self._waiting]
        return all(request.is_cancelled for request in unfinished)

    def submit(self, request):
        """Queue a request; the most urgent are admitted first."""
        queue_item = request.urgency, next(self._arrival_numbers), request
        heapq.heappush(self._waiting, queue_item)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run_passes())

    async def _run_passes(self):
        while self._running or self._waiting:
            if not self._is_serving():
                self._interrupt_all()
                return
            if not self._world.is_complete(self._engine) or self._engine.is_unreachable:
                await asyncio.sleep(STALL_POLL_INTERVAL_S)
                continue
            self._admit()
            await asyncio.sleep(self._prefill())
            if self._is_serving() and self._world.is_complete(self._engine):
                self._emit_events()

    def _is_serving(self):
        found = self._engine.membership
        is_this_life = self._world.engines.get(self._engine.id) is self._engine
        return (
            is_this_life
            and found is not None
            and found.epoch == self._epoch
            and found.state in (GroupState.OPEN, GroupState.CLOSING)
        )

    def _admit(self):
        self._running = [r for r in self._running if not r.is_cancelled]
        while self._waiting and len(self._running) < self._spec.slots:
            _, _, request = heapq.heappop(self._waiting)
            if not request.is_cancelled:
                self._running.append(request)

    def _prefill(self):
        """Prefill prompts and return the duration of the pass in seconds."""
        times = self._spec.times
        decoding_count = sum(not request.tokens_to_prefill for request in self._running)
        token_budget = times.chunk_tokens * (
            times.steps_per_event if decoding_count else 1
        )
        prefilled_tokens = 0
        for request in self._running:
            chunk_tokens = min(
                request.tokens_to_prefill, token_budget - prefilled_tokens
            )
            request.tokens_to_prefill -= chunk_tokens
            prefilled_tokens += chunk_tokens
        step_s = times.step_s + times.step_per_request_s * decoding_count
        step_count = times.steps_per_event if decoding_count else 1
        return self._pace * (
            step_count * step_s + prefilled_tokens / times.prefill_tokens_per_s
        )

    def _emit_events(self):
        for request in list(self._running):
            if request.tokens_to_prefill or request.is_cancelled:
                continue
            is_last = request.next_event >= request.last_event
            if request.crash is not None:
                self._start_crash(request)
                # The engine crashes before it has written its whole answer.
                if is_last or not request.crash.form.writes_events:
                    continue
            request.deliver(request.next_event, is_last)
            request.next_event += 1
            if is_last:
                self._running.remove(request)

    def _start_crash(self, request):
        """Schedule the crash of the engine."""
        if not self._is_crashing:
            self._is_crashing = True
            request.crash.on_start()
            delay_s = request.crash.form.delay_s
            asyncio.get_running_loop().call_later(delay_s, self._crash)

    def _crash(self):
        if self._is_serving():
            self._world.crash(self._engine)
            self._interrupt_all()

    def _interrupt_all(self):
        for request in self._running + [request for _, _, request in self._waiting]:
            if not request.is_cancelled:
                request.interrupt(IncompleteResponse("the group has ended"))
        self._running, self._waiting = [], []
