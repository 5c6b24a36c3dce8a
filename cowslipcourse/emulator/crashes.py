"""An oracle that counts where a request goes which ends the engines that run it."""

import asyncio
from typing import NamedTuple

__all__ = ["CrashFigures", "CrashOracle"]

MAX_CRASHES_BEFORE_DETECTION = 3
"""Engines that a request may end before the system must have seen it."""
VERDICT_SPREAD_S = 3.0
"""Time for which a daemon must have been undisturbed, and for the news to reach it."""


class CrashFigures(NamedTuple):
    """What became of one request that ends engines.

    :param crash_count: number of engines that it crashed.
    :param late_arrival_count: arrivals at engines more than :data:`VERDICT_SPREAD_S`
        after the third crash, sent by daemons undisturbed for as long.
    """

    crash_count: int
    late_arrival_count: int


class CrashOracle:
    """Notes arrivals at engines, the ends of engines, and disturbed daemons."""

    def __init__(self):
        self._arrivals = {}
        self._ends = {}
        self._disturbed_until = {}

    def note_arrival(self, fingerprint, daemon):
        """Note that a request reaches an engine."""
        at = asyncio.get_running_loop().time()
        self._arrivals.setdefault(fingerprint, []).append((at, self._is_calm(daemon)))

    def note_end(self, fingerprint, in_s):
        """Note that a request ends an engine after some seconds."""
        at = asyncio.get_running_loop().time() + in_s
        self._ends.setdefault(fingerprint, []).append(at)

    def note_disturbance(self, daemon, for_s):
        """Note that a daemon is disturbed for a time from now on."""
        until = asyncio.get_running_loop().time() + for_s
        known = self._disturbed_until.get(daemon, float("-inf"))
        self._disturbed_until[daemon] = max(until, known)

    def _is_calm(self, daemon):
        until = self._disturbed_until.get(daemon, float("-inf"))
        return asyncio.get_running_loop().time() > until + VERDICT_SPREAD_S

    def figures(self):
        """Return the :class:`CrashFigures` of each request."""
        return [self._figures(fingerprint) for fingerprint in self._ends]

    def _figures(self, fingerprint):
        ends = sorted(self._ends[fingerprint])
        if len(ends) < MAX_CRASHES_BEFORE_DETECTION:
            return CrashFigures(len(ends), 0)
        allowed_until = ends[MAX_CRASHES_BEFORE_DETECTION - 1] + VERDICT_SPREAD_S
        arrivals = self._arrivals[fingerprint]
        later = sum(calm and at > allowed_until for at, calm in arrivals)
        return CrashFigures(len(ends), later)
