"""How long requests take at the head of a group: passes over a batch.

A pass reads waiting prompts, a bounded number of tokens, and lets every request whose
prompt is read write one event. The more write, the longer each step. A group that
lacks a member stands still and then breaks, which cuts off what runs.
"""

import asyncio
import heapq
import itertools

from cowslipcourse.exceptions import IncompleteResponse
from cowslipcourse.ports import GroupState

__all__ = ["CRASH_S", "BatchedRequest", "GroupBatch"]

QUEUE_FACTOR = 1.0
"""Requests that wait at a head, as a factor on what it runs at once."""
LOOK_S = 0.05
"""Interval at which a group that stands still is looked at."""
CRASH_S = 0.08
"""Time for which an engine still runs after a request that ends it has begun."""


class BatchedRequest:
    """A request at a head.

    :param prompt_tokens: tokens to be read before the first event.
    :param first_event: number of the first event to be written.
    :param last_event: number of the last one.
    :param urgency: from 0, the most urgent.
    :param deliver: called with the number of each event and whether it is the last.
    :param break_off: called with an error if the request is cut off.
    :param on_crash: called when it begins to run, if it ends the engine that runs it.
    """

    def __init__(
        self,
        prompt_tokens,
        first_event,
        last_event,
        urgency,
        deliver,
        break_off,
        on_crash=None,
    ):
        self.unread_tokens = prompt_tokens
        self.next_event = first_event
        self.last_event = last_event
        self.urgency = urgency
        self.deliver = deliver
        self.break_off = break_off
        self.on_crash = on_crash
        self.is_cancelled = False


class GroupBatch:
    """The requests of one head in one epoch of its group.

    :param world: :class:`~cowslipcourse.emulator.engines.World`
    :param engine: the head.
    :param spec: :class:`~cowslipcourse.routes.ServiceSpec`
    :param pace: factor on all times of the model.
    """

    def __init__(self, world, engine, spec, pace):
        self._world = world
        self._engine = engine
        self._epoch = engine.membership.epoch
        self._spec = spec
        self._pace = pace
        self._waiting = []
        self._running = []
        self._numbers = itertools.count()
        self._task = None
        self._is_crashing = False

    @property
    def is_full(self):
        """Whether a further request is refused."""
        number = len(self._waiting) + len(self._running)
        return number >= self._spec.slots * (1 + QUEUE_FACTOR)

    @property
    def is_empty(self):
        """Whether nothing runs or waits."""
        left = self._running + [request for _, _, request in self._waiting]
        return all(request.is_cancelled for request in left)

    def submit(self, request):
        """Take a request; the most urgent are admitted first."""
        entry = request.urgency, next(self._numbers), request
        heapq.heappush(self._waiting, entry)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._work())

    async def _work(self):
        while self._running or self._waiting:
            if not self._is_serving():
                self._break_off()
                return
            if not self._world.is_complete(self._engine) or self._engine.is_unreachable:
                await asyncio.sleep(LOOK_S)
                continue
            self._admit()
            await asyncio.sleep(self._pass_s())
            if self._is_serving() and self._world.is_complete(self._engine):
                self._write()

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

    def _pass_s(self):
        """Read prompts, and return the time of the pass."""
        times = self._spec.times
        writers = sum(not request.unread_tokens for request in self._running)
        budget = times.chunk_tokens * (times.steps_per_event if writers else 1)
        read = 0
        for request in self._running:
            part = min(request.unread_tokens, budget - read)
            request.unread_tokens -= part
            read += part
        step_s = times.step_s + times.step_per_request_s * writers
        steps = times.steps_per_event if writers else 1
        return self._pace * (steps * step_s + read / times.prefill_tokens_per_s)

    def _write(self):
        for request in list(self._running):
            if request.unread_tokens or request.is_cancelled:
                continue
            if request.on_crash is not None:
                self._begin_to_crash(request)
                continue
            is_last = request.next_event >= request.last_event
            request.deliver(request.next_event, is_last)
            request.next_event += 1
            if is_last:
                self._running.remove(request)

    def _begin_to_crash(self, request):
        """Let a request that ends its engine write nothing until it does."""
        if not self._is_crashing:
            self._is_crashing = True
            request.on_crash()
            asyncio.get_running_loop().call_later(CRASH_S, self._crash)

    def _crash(self):
        if self._is_serving():
            self._world.crash(self._engine)
            self._break_off()

    def _break_off(self):
        for request in self._running + [request for _, _, request in self._waiting]:
            if not request.is_cancelled:
                request.break_off(IncompleteResponse("the group has ended"))
        self._running, self._waiting = [], []
