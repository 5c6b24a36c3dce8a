"""Choose a target for a stream, waiting for a free slot if necessary."""

import asyncio
from contextlib import contextmanager

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission.failure_attribution import TargetChoice
from cowslipcourse.admission.no_target import all_withheld_until, no_target_choice
from cowslipcourse.admission.urgency import can_meet_objective
from cowslipcourse.entry.slot_waiting import SlotWaiting
from cowslipcourse.load_balancing.target_selection import choose_group

__all__ = ["StreamTargetChooser"]

MIN_POLL_INTERVAL_S = 0.02
"""Shortest interval at which a request that waits for a free slot checks again, where
requests do not differ in priority."""
MAX_POLLS_PER_S = 500.0
"""Most checks a second of all requests that wait for one model; bounds the processor
time that they take."""
MAX_WAIT_FRACTION = 0.3
"""Fraction of the time left to the deadline that a request may wait for a slot."""

log = get_logger(__name__)


class StreamTargetChooser:
    """Chooses the targets of streams.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    """

    def __init__(self, context):
        self._context = context
        self._slot_waiting = SlotWaiting(context, self._candidates)
        self._waiting_counts = {}

    async def choose(self, progress, service, tried_ids):
        """Return the ``TargetChoice`` of a stream.

        :param progress: progress of the stream, as kept by its forwarder.
        :param service: name of the service.
        :param tried_ids: ids of targets that the stream must not be sent to again.
        """
        call, loop = progress.call, asyncio.get_running_loop()
        wait_started_at = loop.time()
        give_up_at = (
            wait_started_at + (call.deadline - wait_started_at) * MAX_WAIT_FRACTION
        )
        model = call.caller_headers.model
        if self._has_turns(service, model):
            return await self._slot_waiting.choose(
                progress, service, tried_ids, give_up_at
            )
        with self._waiting(service, model) as poll_interval_s:
            while True:
                now = loop.time()
                choice = self._try_choose(progress, service, tried_ids, now, give_up_at)
                if choice is not None:
                    if choice.entry is not None:
                        progress.slot_wait_s += now - wait_started_at
                    return choice
                await asyncio.sleep(min(poll_interval_s(), give_up_at - now))

    def _try_choose(self, progress, service, tried_ids, now, give_up_at):
        """Return the ``TargetChoice`` of a stream, or ``None`` while it may wait.

        :param now: loop time.
        :param give_up_at: loop time until which it may wait for a free slot.
        """
        call, conditions = progress.call, self._context.conditions
        model = call.caller_headers.model
        candidates = self._candidates(service, model, now, tried_ids)
        candidate = self._choose_group(progress, candidates, tried_ids, now)
        if candidate is not None:
            return TargetChoice(candidate.entry)
        usable_at = all_withheld_until(conditions, candidates, tried_ids, now)
        may_be_usable = usable_at is None or usable_at <= give_up_at
        if now < give_up_at and may_be_usable:
            return None
        choice = no_target_choice(
            conditions, self._context.rng, candidates, tried_ids, now
        )
        _log_no_target(call, choice.cause, candidates, tried_ids)
        return choice

    @contextmanager
    def _waiting(self, service, model):
        """Count a request that may wait; yields a function for its poll interval."""
        counts, key = self._waiting_counts, (service, model)
        counts[key] = counts.get(key, 0) + 1
        try:
            yield lambda: _poll_interval_s(counts[key])
        finally:
            counts[key] -= 1
            if not counts[key]:
                del counts[key]

    def _has_turns(self, service, model):
        """Whether requests wait for their turn; unknown models have no queue."""
        if not self._context.has_priorities(service):
            return False
        spec = self._context.service_spec(service)
        return spec.model(model) is not None

    def _candidates(self, service, model, now, tried_ids=frozenset()):
        spec, fleet = self._context.service_spec(service), self._context.fleet
        if spec.models:
            return fleet.group_candidates(service, model, spec.slots, now, tried_ids)
        return fleet.service_candidates(service, now, tried_ids)

    def _choose_group(self, progress, candidates, tried_ids, now):
        """Return a candidate with a free slot.

        A stream whose caller has events already is never treated as late.
        """
        call = progress.call
        is_late = not (
            progress.has_events or can_meet_objective(call.route, call.waited_s(now))
        )
        usable = self._context.conditions.usable(candidates, now)
        return choose_group(
            usable,
            tried_ids,
            self._context.rng,
            is_late=is_late,
            cost=self._context.placing.cost,
            size=call.caller_headers.size,
            now=now,
        )


def _poll_interval_s(waiting_count):
    """Return the seconds between two checks of one of the waiting requests."""
    return max(MIN_POLL_INTERVAL_S, waiting_count / MAX_POLLS_PER_S)


def _log_no_target(call, cause, candidates, tried_ids):
    log.info(
        "no-place",
        request=call.id,
        model=call.caller_headers.model,
        cause=cause,
        groups=len(candidates),
        in_flight=sum(candidate.in_flight for candidate in candidates),
        tried=",".join(sorted(tried_ids)),
    )
