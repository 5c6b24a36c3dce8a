"""Let streams wait for slots of their models in the order of their turns."""

import asyncio
import itertools

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import LossCause, TargetChoice
from cowslipcourse.admission.no_target import all_withheld_until, no_target_choice
from cowslipcourse.admission.slot_admission import SlotAdmission, SlotView
from cowslipcourse.admission.waiting_queue import Waiter

__all__ = ["SlotWaiting"]

SAFETY_INTERVAL_S = 0.25
"""Interval at which a queue is looked at although nothing has been reported."""
MIN_LOOK_INTERVAL_S = 0.01
"""Changes within this time are looked at together: a data centre of 40 daemons gets
that many messages in a quarter of a second."""

log = get_logger(__name__)


class SlotWaiting:
    """The queues of a daemon, one for each service and model.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param find_candidates: callable that takes service, model and loop time and returns
        the :class:`~cowslipcourse.load_balancing.Candidate` list.
    """

    def __init__(self, context, find_candidates):
        self._context = context
        self._find_candidates = find_candidates
        self._queues = {}

    async def choose(self, progress, service, tried_ids, give_up_at):
        """Return the ``TargetChoice`` of a stream.

        :param progress: progress of the stream, as kept by its forwarder.
        :param service: name of the service.
        :param tried_ids: ids of targets that the stream must not be sent to again.
        :param give_up_at: loop time until which it may wait.
        """
        model = progress.call.caller_headers.model
        queue = self._queues.get((service, model))
        if queue is None:
            queue = _ModelQueue(self._context, self._find_candidates, service, model)
            self._queues[service, model] = queue
            self._context.fleet.listeners.append(queue)
        return await queue.choose(progress, tried_ids, give_up_at)


class _ModelQueue:
    """Places the waiting requests of one model when something changes."""

    def __init__(self, context, find_candidates, service, model):
        self._context = context
        self._find_candidates = find_candidates
        self._service = service
        self._model = model
        self._admission = SlotAdmission(context.rng)
        self._numbers = itertools.count()
        self._futures = {}
        self._unsent_counts = {}
        self._targets = ()
        self._look_timer = None
        self._refused_at = float("-inf")
        self._counts_changed_at = _now()

    # Called by the fleet view.

    def request_ended(self, target):
        """Note that a request of this daemon has ended at a target."""
        if target not in self._targets:
            return
        self._admission.record_end(target, self._own_in_flight(), _now())
        self._look_within(0.0)

    def room_changed(self):
        """Note that counts, groups or targets have changed."""
        self._counts_changed_at = _now()
        self._look_within(MIN_LOOK_INTERVAL_S)

    def _own_in_flight(self):
        in_flight = self._context.fleet.in_flight
        return sum(in_flight.get(target, 0) for target in self._targets)

    # Called by requests.

    async def choose(self, progress, tried_ids, give_up_at):
        """See :meth:`SlotWaiting.choose`."""
        started_at = _now()
        waiter = Waiter(
            next(self._numbers),
            progress.call,
            progress.has_events,
            frozenset(tried_ids),
            give_up_at,
        )
        waiter = self._admission.arrive(waiter, started_at)
        future = asyncio.get_running_loop().create_future()
        self._futures[waiter.number] = future
        self._look()
        try:
            choice = await self._outcome(waiter, future, started_at)
        except asyncio.CancelledError:
            if future.done() and future.result().entry is not None:
                # The slot goes to the next one.
                self._look_within(0.0)
            raise
        finally:
            self._forget(waiter, future)
        if choice.entry is not None:
            progress.slot_wait_s += _now() - started_at
        return choice

    def _forget(self, waiter, future):
        self._admission.queue.remove(waiter)
        del self._futures[waiter.number]
        entry = future.result().entry if future.done() else None
        if entry is None:
            return
        # It counts as in flight from now on.
        self._unsent_counts[entry.id] -= 1
        if not self._unsent_counts[entry.id]:
            del self._unsent_counts[entry.id]

    async def _outcome(self, waiter, future, started_at):
        if not future.done():
            self._refuse_if_too_long(waiter, future, started_at)
        if future.done():
            return future.result()
        view = self._view(self._candidates(started_at), started_at)
        estimate = self._admission.estimate(waiter, view, started_at)
        self._log("slot-wait", waiter, view, estimate)
        self._change_waiting(waiter, 1)
        try:
            await asyncio.wait((future,), timeout=waiter.give_up_at - started_at)
        finally:
            self._change_waiting(waiter, -1)
        if not future.done():
            future.set_result(self._no_target(waiter, _now()))
        choice = future.result()
        if choice.entry is not None:
            self._record_wait(waiter, view, estimate, _now() - started_at)
        return choice

    def _refuse_if_too_long(self, waiter, future, now):
        """Refuse a request that is not going to be placed in time."""
        candidates = self._candidates(now)
        usable_at = all_withheld_until(
            self._context.conditions, candidates, waiter.tried_ids, now
        )
        if now >= waiter.give_up_at or (
            usable_at is not None and usable_at > waiter.give_up_at
        ):
            future.set_result(self._no_target(waiter, now))
            self._admission.queue.remove(waiter)
            return
        view = self._view(candidates, now)
        estimate = self._admission.estimate(waiter, view, now)
        if self._admission.must_refuse(waiter, view, estimate, now):
            self._log("slot-refused", waiter, view, estimate)
            refusal = self._admission.refuse(waiter, estimate, now)
            future.set_result(
                TargetChoice(None, LossCause.NO_ROOM_IN_TIME, refusal.retry_after_s)
            )

    def _no_target(self, waiter, now):
        """Return the ``TargetChoice`` of a request that has waited in vain."""
        candidates = self._candidates(now)
        choice = no_target_choice(
            self._context.conditions,
            self._context.rng,
            candidates,
            waiter.tried_ids,
            now,
        )
        log.info(
            "no-place",
            request=waiter.call.id,
            model=self._model,
            cause=choice.cause,
            groups=len(candidates),
            in_flight=sum(candidate.in_flight for candidate in candidates),
            tried=",".join(sorted(waiter.tried_ids)),
        )
        if choice.cause != LossCause.GROUPS_FULL:
            return choice
        estimate = self._admission.estimate(waiter, self._view(candidates, now), now)
        if estimate.wait_s is None:
            return choice
        refusal = self._admission.refuse(waiter, estimate, now)
        return choice._replace(retry_after_s=refusal.retry_after_s)

    # Placing.

    def _look_within(self, delay_s):
        """Look at the queue after some seconds at the latest."""
        if not len(self._admission.queue):
            return
        loop = asyncio.get_running_loop()
        look_at = loop.time() + delay_s
        if self._look_timer is not None:
            if self._look_timer.when() <= look_at:
                return
            self._look_timer.cancel()
        self._look_timer = loop.call_at(look_at, self._look_again)

    def _look_again(self):
        """Place the requests whose turn it is, and refuse those that wait in vain."""
        self._look()
        now = _now()
        if now - self._refused_at < SAFETY_INTERVAL_S:
            return
        self._refused_at = now
        for waiter in self._admission.queue.waiting():
            self._refuse_if_too_long(waiter, self._futures[waiter.number], now)

    def _look(self):
        """Place the requests whose turn it is."""
        if self._look_timer is not None:
            self._look_timer.cancel()
            self._look_timer = None
        now = _now()
        candidates = self._candidates(now)
        view = self._view(candidates, now)
        for waiter, entry in self._admission.place(view, now):
            self._unsent_counts[entry.id] = self._unsent_counts.get(entry.id, 0) + 1
            self._futures[waiter.number].set_result(TargetChoice(entry))
        if len(self._admission.queue):
            self._look_within(self._safety_delay_s(candidates, now))

    def _safety_delay_s(self, candidates, now):
        """Return the seconds until the queue is looked at without a reported change."""
        conditions = self._context.conditions
        usable = {c.entry.id for c in conditions.usable(candidates, now)}
        withheld = [c for c in candidates if c.entry.id not in usable]
        if not withheld:
            return SAFETY_INTERVAL_S
        until_usable_s = conditions.usable_at(withheld) - now
        return min(max(until_usable_s, MIN_LOOK_INTERVAL_S), SAFETY_INTERVAL_S)

    def _candidates(self, now):
        """Return the candidates, with the requests that are about to be sent."""
        candidates = self._find_candidates(self._service, self._model, now)
        self._targets = frozenset(candidate.entry.id for candidate in candidates)
        return [
            candidate._replace(
                in_flight=candidate.in_flight
                + self._unsent_counts.get(candidate.entry.id, 0)
            )
            for candidate in candidates
        ]

    def _view(self, candidates, now):
        return SlotView(
            self._context.conditions.usable(candidates, now),
            sum(candidate.slots for candidate in candidates),
            sum(candidate.in_flight for candidate in candidates),
            self._context.daemon_count,
            self._context.placing.cost,
        )

    # Logs and metrics.

    def _log(self, event, waiter, view, estimate, **fields):
        wait_s = estimate.wait_s
        log.info(
            event,
            request=waiter.call.id,
            model=self._model,
            priority=waiter.priority,
            position=estimate.position,
            expected_s=None if wait_s is None else round(wait_s, 3),
            mark=round(estimate.mark, 3),
            in_flight=view.in_flight,
            slots=view.slots,
            counts_age_s=round(_now() - self._counts_changed_at, 3),
            **fields,
        )

    def _change_waiting(self, waiter, change):
        if self._context.metrics is not None:
            self._context.metrics.change_waiting(waiter.priority, change)

    def _record_wait(self, waiter, view, estimate, waited_s):
        self._log("slot-placed", waiter, view, estimate, waited_s=round(waited_s, 3))
        if self._context.metrics is not None:
            self._context.metrics.observe_slot_wait(
                waiter.priority, estimate.wait_s, waited_s
            )


def _now():
    return asyncio.get_running_loop().time()
