"""A platform whose engines pause while its configuration changes."""

import asyncio
import math
from enum import StrEnum
from typing import NamedTuple

from features.support.engine_world import SERVICE
from features.support.platform_site import PlatformSite, route_entry

__all__ = [
    "LONG_SCHEDULE",
    "SCHEDULE",
    "SHORT_SCHEDULE",
    "STREAM_ROUTES",
    "Change",
    "Disturbance",
    "Heads",
    "Pause",
    "PausedSite",
]

DAEMON_COUNT = 4
PART_FRACTION = 0.6
"""Fraction of the groups whose heads are silent in a pause of a part."""
TURN_S = 0.6
"""Time between the silences of the first and the second half of the heads."""
CHANGED_TIMEOUT_MS = 7000
"""Time limit of streams from the change of it; it was 8000 ms before."""
STREAM_ROUTES = ("draft", "note")
"""Routes of streams that may be resumed, and of streams that may not."""
STREAM_ONCE_ROUTE = route_entry("note", "/note/", "streaming", SERVICE)
SPARE_ROUTE = route_entry("spare", "/spare/", "streaming", SERVICE)


class Heads(StrEnum):
    """Which heads of groups are silent in a pause."""

    ALL = "all"
    PART = "a part"
    IN_TURN = "in turn"


class Change(StrEnum):
    """What a configuration changes."""

    NOTHING = "nothing"
    TIMEOUT = "the time limit of streams"
    ROUTE = "another route"


class Pause(NamedTuple):
    """A time in which engines send nothing.

    :param heads: :class:`Heads`
    :param at_s: seconds from the start of the run.
    :param duration_s: seconds for which each engine is silent.
    """

    heads: Heads
    at_s: float
    duration_s: float

    @property
    def ends_at_s(self):
        """Seconds from the start of the run until the last engine goes on."""
        delay_s = TURN_S if self.heads is Heads.IN_TURN else 0.0
        return self.at_s + delay_s + self.duration_s


class Disturbance(NamedTuple):
    """A change of the configuration and the pause after it.

    :param change: :class:`Change`
    :param changed_at_s: seconds from the start of the run.
    :param pause: :class:`Pause`
    """

    change: Change
    changed_at_s: float
    pause: Pause


SCHEDULE = (
    Disturbance(Change.NOTHING, 1.4, Pause(Heads.ALL, 2.0, 1.2)),
    Disturbance(Change.TIMEOUT, 4.5, Pause(Heads.IN_TURN, 5.0, 1.1)),
    Disturbance(Change.ROUTE, 7.9, Pause(Heads.ALL, 8.5, 1.3)),
    Disturbance(Change.NOTHING, 11.0, Pause(Heads.PART, 11.5, 1.0)),
    Disturbance(Change.ROUTE, 13.9, Pause(Heads.ALL, 14.5, 1.8)),
)
SHORT_SCHEDULE = SCHEDULE[:2]
LONG_SCHEDULE = (
    Disturbance(Change.NOTHING, 1.4, Pause(Heads.ALL, 2.0, 2.4)),
    Disturbance(Change.TIMEOUT, 8.9, Pause(Heads.PART, 9.4, 3.4)),
)


class PausedSite(PlatformSite):
    """A platform with daemons as processes, and engines that can be silent.

    :param answers_reports: whether silent engines answer status requests and orders.
    """

    def __init__(self, answers_reports):
        super().__init__(daemon_count=DAEMON_COUNT)
        self.extra_routes = [STREAM_ONCE_ROUTE]
        self._answers_reports = answers_reports

    def change_configuration(self, change):
        """Write the next configuration.

        :param change: :class:`Change`
        """
        if change is Change.TIMEOUT:
            fields = {"timeoutMs": CHANGED_TIMEOUT_MS}
            self.changed_route_fields = dict.fromkeys(STREAM_ROUTES, fields)
        elif change is Change.ROUTE and SPARE_ROUTE in self.extra_routes:
            self.extra_routes.remove(SPARE_ROUTE)
        elif change is Change.ROUTE:
            self.extra_routes.append(SPARE_ROUTE)
        self.write_configuration()

    async def pause(self, heads, duration_s):
        """Let engines be silent; returns once they go on.

        :param heads: :class:`Heads`
        :param duration_s: seconds for which each engine is silent.
        """
        engines = sorted(
            engine.id for engine in self.world.engines.values() if engine.is_open_head
        )
        if heads is Heads.ALL:
            self._silence(engines, duration_s)
        elif heads is Heads.PART:
            count = math.ceil(PART_FRACTION * len(engines))
            self._silence(engines[:count], duration_s)
        else:
            self._silence(engines[::2], duration_s)
            await asyncio.sleep(TURN_S)
            self._silence(engines[1::2], duration_s)
        await asyncio.sleep(duration_s)

    def _silence(self, engines, duration_s):
        silent_until = asyncio.get_running_loop().time() + duration_s
        self.silent_until |= dict.fromkeys(engines, silent_until)

    async def _handle_report(self, engine_id, request):
        if not self._answers_reports:
            await self._keep_silence(engine_id)
        return await super()._handle_report(engine_id, request)

    async def _handle_order(self, engine_id, request):
        if not self._answers_reports:
            await self._keep_silence(engine_id)
        return await super()._handle_order(engine_id, request)
