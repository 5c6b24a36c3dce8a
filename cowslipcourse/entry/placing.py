"""Find a place for a stream, and wait for one while none is to be had."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.accounting import Placement, shortage
from cowslipcourse.entry.choosing import choose_group
from cowslipcourse.entry.urgency import can_be_on_time

__all__ = ["StreamPlacing"]

LOOK_AGAIN_S = 0.02
"""Interval at which a request that waits for a place looks again."""
WAIT_SHARE = 0.3
"""Share of the caller's time that a request may wait for a place."""

log = get_logger(__name__)


class StreamPlacing:
    """Chooses targets of streams.

    :param tools: :class:`~cowslipcourse.entry.tools.EntryTools`
    """

    def __init__(self, tools):
        self._tools = tools

    async def place(self, progress, service, tried):
        """Return the :class:`~cowslipcourse.entry.accounting.Placement` of a stream.

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
                progress.place_s += now - began_at
                return Placement(place.entry)
            if now >= give_up_at:
                cause = shortage(places, tried)
                _note_no_place(call, cause, places, tried)
                return Placement(None, cause)
            await asyncio.sleep(LOOK_AGAIN_S)

    def _places(self, call, service, now):
        spec = self._tools.service_spec(service)
        if spec.models:
            model = call.fields.model
            return self._tools.fleet.group_places(service, model, spec.slots, now)
        return self._tools.fleet.service_places(service, now)

    def _choose(self, progress, places, tried, now):
        """Return a place with room; a stream that has begun goes on at once."""
        call = progress.call
        is_late = not (
            progress.has_begun or can_be_on_time(call.route, call.spent_s(now))
        )
        return choose_group(places, tried, self._tools.rng, is_late=is_late)


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
