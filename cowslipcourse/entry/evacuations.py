"""Data centres that the operators have asked to evacuate, as this daemon knows them."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peer_protocol import EvacuatedSet

__all__ = ["Evacuations", "KnownEvacuations"]

RETURN_RAMP_S = 2.0
"""Time in which targets of a data centre that was taken back return to use. Nothing is
in flight there, so all daemons would send it everything until their counts show it."""
MAX_AGE_S = 1e6
"""Largest age in messages, which refuse a larger one."""

log = get_logger(__name__)


class KnownEvacuations(NamedTuple):
    """The evacuated data centres at one version of the store.

    :param version: packed store version at which this was so; 0 if nothing is known.
    :param data_centres: names of the evacuated data centres.
    :param read_at: loop time at which a daemon has read it from the store.
    """

    version: int
    data_centres: frozenset[str]
    read_at: float


class Evacuations:
    """Keeps the newest set of evacuated data centres and applies it to candidates.

    :param rng: :class:`random.Random` that draws which requests consider a data centre
        that returns to use.
    """

    def __init__(self, rng=None):
        self._rng = rng or random.Random()
        self._known = KnownEvacuations(0, frozenset(), 0.0)
        self._ended_at = {}
        self._on_change = lambda source: None

    @property
    def known(self):
        """The newest :class:`KnownEvacuations`."""
        return self._known

    @property
    def version(self):
        """Packed store version of the set; 0 if nothing is known."""
        return self._known.version

    @property
    def data_centres(self):
        """Names of the evacuated data centres, as a frozen set."""
        return self._known.data_centres

    def message(self):
        """Return the set for other daemons.

        :returns: :class:`~cowslipcourse.peer_protocol.EvacuatedSet`
        """
        known = self._known
        age_s = asyncio.get_running_loop().time() - known.read_at
        age_s = min(max(0.0, age_s), MAX_AGE_S)
        return EvacuatedSet(known.version, tuple(sorted(known.data_centres)), age_s)

    def set_listener(self, on_change):
        """Call ``on_change(source)`` after each change of the set."""
        self._on_change = on_change

    def learn(self, version, data_centres, source="store", age_s=0.0):
        """Apply a set of evacuated data centres unless a newer one is known.

        :param version: packed store version at which it was read.
        :param data_centres: iterable of names.
        :param source: ``"store"`` or ``"peer"``.
        :param age_s: seconds since a daemon has read it from the store.
        """
        if version <= self._known.version:
            return
        now = asyncio.get_running_loop().time()
        previous = self._known.data_centres
        current = frozenset(data_centres)
        self._known = KnownEvacuations(version, current, now - age_s)
        if current == previous:
            return
        self._ended_at |= dict.fromkeys(previous - current, now)
        for name in sorted(current - previous):
            self._log("evacuation-begun", name, source, age_s)
        for name in sorted(previous - current):
            self._log("evacuation-ended", name, source, age_s)
        self._on_change(source)

    def learn_message(self, message):
        """Apply what another daemon knows.

        :param message: :class:`~cowslipcourse.peer_protocol.EvacuatedSet`
        """
        self.learn(message.version, message.data_centres, "peer", message.age_s)

    def _log(self, event, data_centre, source, age_s):
        log.warning(
            event,
            data_centre=data_centre,
            version=self.version,
            source=source,
            age_s=round(age_s, 3),
        )

    def is_evacuated(self, data_centre):
        """Whether no request may be sent to targets of a data centre."""
        return data_centre in self._known.data_centres

    def filter(self, candidates, now):
        """Return the candidates that a request may consider.

        A growing fraction of requests considers those of a data centre that was taken
        back recently.

        :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
        :param now: loop time.
        """
        if not self._known.data_centres and not self._ended_at:
            return candidates
        permitted = [
            candidate
            for candidate in candidates
            if not self.is_evacuated(candidate.entry.data_centre)
        ]
        avoided = self._draw_avoided(now)
        if not avoided:
            return permitted
        return [
            candidate
            for candidate in permitted
            if candidate.entry.data_centre not in avoided
        ] or permitted

    def _draw_avoided(self, now):
        """Return the returning data centres that one request does not consider."""
        self._ended_at = {
            data_centre: ended_at
            for data_centre, ended_at in self._ended_at.items()
            if now - ended_at < RETURN_RAMP_S
        }
        return {
            data_centre
            for data_centre, ended_at in self._ended_at.items()
            if self._rng.random() >= (now - ended_at) / RETURN_RAMP_S
        }
