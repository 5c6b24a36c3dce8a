"""Silences of many targets at once, each shortly after a configuration was written."""

import asyncio
import random

from features.support.platform_site import PLAIN_SERVICE, route_entry

__all__ = ["ServiceSilences"]

DELAY_RANGE_S = (0.3, 0.8)
"""Range of the time from a configuration to the silence that follows it."""
SILENCE_RANGE_S = (1.0, 1.8)
"""Range of the duration of a silence. Callers abandon a stream after a gap of 2 s."""
MIN_BREAK_S = 0.5
"""Shortest time between silences of a service. A stream lasts as long, so that few meet
three silences, which could use up their callers' time."""
WHOLE_SERVICE_PROBABILITY = 0.5
PART_RANGE = (0.3, 0.8)
"""Range of the fraction of a service's targets that fall silent if not all do."""
TIME_LIMITS_MS = (6500, 7000, 8000, 9000)
"""Time limits of routes; all are longer than callers wait."""
OTHER_ROUTE = route_entry("other", "/other/", "idempotent", PLAIN_SERVICE)


class ServiceSilences:
    """Writes configurations and lets targets of one service fall silent after each.

    :param site: :class:`~soak.site.SoakSite`
    """

    def __init__(self, site):
        self._site = site
        self._silent_services = set()

    async def run(self, fault):
        """Repeat configurations and silences until the fault ends, once at least.

        :param fault: :class:`~soak.schedule.Fault`
        """
        rng, loop = random.Random(fault.victim_fraction), asyncio.get_running_loop()
        deadline = loop.time() + fault.duration_s
        while True:
            self._write_configuration(rng)
            await asyncio.sleep(rng.uniform(*DELAY_RANGE_S))
            await self._fall_silent(rng)
            if loop.time() >= deadline:
                return

    def _write_configuration(self, rng):
        write = rng.choice(
            (self._change_nothing, self._change_time_limits, self._change_other_route)
        )
        write(rng)
        self._site.write_configuration()

    def _change_nothing(self, rng):
        """Leave everything but the version as it is."""

    def _change_time_limits(self, rng):
        timeout_ms = rng.choice(TIME_LIMITS_MS)
        for name in ("draft", "tell", "book", "look"):
            self._site.changed_route_fields[name] = {"timeoutMs": timeout_ms}

    def _change_other_route(self, rng):
        if OTHER_ROUTE in self._site.extra_routes:
            self._site.extra_routes.remove(OTHER_ROUTE)
        else:
            self._site.extra_routes.append(OTHER_ROUTE)

    async def _fall_silent(self, rng):
        """Let all targets of a service, or a part of them, be silent for a while.

        Nothing happens if the service has been silent within :data:`MIN_BREAK_S`.
        """
        service = rng.choice(list(self._site.targets_by_service))
        silence_s = rng.uniform(*SILENCE_RANGE_S)
        targets = self._site.targets_by_service[service]
        if rng.random() > WHOLE_SERVICE_PROBABILITY:
            count = max(1, round(rng.uniform(*PART_RANGE) * len(targets)))
            targets = rng.sample(targets, count)
        if service in self._silent_services:
            return
        self._silent_services.add(service)
        began_at = asyncio.get_running_loop().time()
        self._site.pause_targets(targets, began_at + silence_s)
        self._site.history.silences.append((began_at, began_at + silence_s))
        await asyncio.sleep(silence_s + MIN_BREAK_S)
        self._silent_services.discard(service)
