"""Find a place for a stream, and wait for one while none is to be had."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.accounting import TargetChoice, no_target_cause
from cowslipcourse.entry.choosing import choose_group
from cowslipcourse.entry.urgency import can_meet_objective

__all__ = ["StreamTargetChooser"]

LOOK_AGAIN_S = 0.02
"""Interval at which a request that waits for a place looks again."""
WAIT_SHARE = 0.3
"""Share of the caller's time that a request may wait for a place."""

log = get_logger(__name__)


class StreamTargetChooser:
    """Chooses targets of streams.

    :param context: :class:`~cowslipcourse.entry.tools.DaemonContext`
    """

    def __init__(self, context):
        self._context = context

    async def place(self, progress, service, tried):
        """Return the :class:`~cowslipcourse.entry.accounting.TargetChoice` of a stream.

        :param progress: how far the stream has come.
        :param service: name of the service.
        :param tried: ids of targets that it is not to be sent to again.
        """
        call, loop = progress.call, asyncio.get_running_loop()
        began_at = loop.time()
        give_up_at = began_at + (call.deadline - began_at) * WAIT_SHARE
        while True:
            now = loop.time()
            places = self._places(call, service, now)
            place = self._choose(progress, places, tried, now)
            if place is not None:
                progress.slot_wait_s += now - began_at
                return TargetChoice(place.entry)
            if now >= give_up_at:
                cause = no_target_cause(places, tried)
                _note_no_place(call, cause, places, tried)
                return TargetChoice(None, cause)
            await asyncio.sleep(LOOK_AGAIN_S)

    def _places(self, call, service, now):
        spec = self._context.service_spec(service)
        if spec.models:
            model = call.fields.model
            return self._context.fleet.group_candidates(service, model, spec.slots, now)
        return self._context.fleet.service_candidates(service, now)

    def _choose(self, progress, places, tried, now):
        """Return a place with room; a stream that has begun goes on at once."""
        call = progress.call
        is_late = not (
            progress.has_begun or can_meet_objective(call.route, call.waited_s(now))
        )
        return choose_group(places, tried, self._context.rng, is_late=is_late)


def _note_no_place(call, cause, places, tried):
    log.info(
        "no-place",
        request=call.id,
        model=call.fields.model,
        cause=cause,
        groups=len(places),
        in_flight=sum(place.in_flight for place in places),
        tried=",".join(sorted(tried)),
    )
