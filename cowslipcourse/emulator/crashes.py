"""Oracles of requests and parts of prompts that crash the engines that run them."""

import asyncio
from typing import NamedTuple

__all__ = [
    "MAX_PART_CRASHES_BEFORE_DETECTION",
    "CrashFigures",
    "CrashOracle",
]

MAX_CRASHES_BEFORE_DETECTION = 3
"""Crashes caused by one request after which the system must have detected it."""
MAX_PART_CRASHES_BEFORE_DETECTION = 5
"""Crashes caused by one part of prompts after which the system must have detected
it."""
VERDICT_SPREAD_S = 3.0
"""Time allowed for a verdict to reach all daemons; daemons that were disturbed within
this time are not checked."""


class CrashFigures(NamedTuple):
    """Crashes caused by one request or part, and its late arrivals.

    :param crash_count: number of engines that it crashed.
    :param late_arrival_count: arrivals at engines more than :data:`VERDICT_SPREAD_S`
        after the crash by which it must have been detected, sent by daemons undisturbed
        for as long.
    :param detected_by: loop time of that crash, or ``None``.
    """

    crash_count: int
    late_arrival_count: int
    detected_by: float | None = None


class CrashOracle:
    """Records arrivals at engines, crashes of engines, and disturbed daemons.

    :param max_crashes: crashes after which the cause must have been detected.
    """

    def __init__(self, max_crashes=MAX_CRASHES_BEFORE_DETECTION):
        self._max_crashes = max_crashes
        self._arrivals = {}
        self._crash_times = {}
        self._disturbed_until = {}

    def record_arrival(self, fingerprint, daemon):
        """Record that a request, or one with the part, reaches an engine."""
        at = asyncio.get_running_loop().time()
        self._arrivals.setdefault(fingerprint, []).append(
            (at, self._is_undisturbed(daemon))
        )

    def record_crash(self, fingerprint, delay_s):
        """Record that a request or part crashes an engine after ``delay_s`` seconds."""
        at = asyncio.get_running_loop().time() + delay_s
        self._crash_times.setdefault(fingerprint, []).append(at)

    def record_disturbance(self, daemon, duration_s):
        """Record that a daemon is disturbed for ``duration_s`` seconds from now on."""
        until = asyncio.get_running_loop().time() + duration_s
        current_until = self._disturbed_until.get(daemon, float("-inf"))
        self._disturbed_until[daemon] = max(until, current_until)

    def _is_undisturbed(self, daemon):
        until = self._disturbed_until.get(daemon, float("-inf"))
        return asyncio.get_running_loop().time() > until + VERDICT_SPREAD_S

    def figures(self):
        """Return the :class:`CrashFigures` of each request or part."""
        return [self._cause_figures(fingerprint) for fingerprint in self._crash_times]

    def _cause_figures(self, fingerprint):
        crash_times = sorted(self._crash_times[fingerprint])
        if len(crash_times) < self._max_crashes:
            return CrashFigures(len(crash_times), 0)
        detected_by = crash_times[self._max_crashes - 1]
        allowed_until = detected_by + VERDICT_SPREAD_S
        arrivals = self._arrivals[fingerprint]
        late_arrival_count = sum(
            is_undisturbed and at > allowed_until for at, is_undisturbed in arrivals
        )
        return CrashFigures(len(crash_times), late_arrival_count, detected_by)
