"""Oracle that counts the arrivals at engines within the pauses that they asked for."""

import asyncio
from typing import NamedTuple

__all__ = ["PauseFigures", "PauseOracle"]

REACTION_S = 0.5
"""Time from a response for which requests under way may still arrive."""


class PauseFigures(NamedTuple):
    """Arrivals within the pauses that one engine asked one daemon for.

    :param engine: id and incarnation of the engine.
    :param daemon: name of the daemon.
    :param pauses: number of responses that asked for a pause.
    :param most_arrivals: most arrivals within one pause, later than ``REACTION_S``.
    """

    engine: tuple[str, int]
    daemon: str
    pauses: int
    most_arrivals: int


class _Pair:
    def __init__(self):
        self.pauses = []
        self.arrivals = []


class PauseOracle:
    """Records pauses by engine and daemon, arrivals, and disturbed daemons.

    :param clock: callable that returns the time in seconds; the loop's if omitted.
    """

    def __init__(self, clock=None):
        self._now = clock or (lambda: asyncio.get_running_loop().time())
        self._pairs = {}
        self._disturbances = {}

    def record_pause(self, engine, daemon, pause_s):
        """Record that an engine asks a daemon for a pause of ``pause_s`` seconds."""
        pair = self._pairs.setdefault((engine, daemon), _Pair())
        pair.pauses.append((self._now(), pause_s))

    def record_arrival(self, engine, daemon):
        """Record that a request of a daemon reaches an engine."""
        pair = self._pairs.setdefault((engine, daemon), _Pair())
        pair.arrivals.append(self._now())

    def record_disturbance(self, daemon, duration_s):
        """Record that a daemon is disturbed for ``duration_s`` seconds from now on."""
        now = self._now()
        self._disturbances.setdefault(daemon, []).append((now, now + duration_s))

    def figures(self, is_disturbed=None):
        """Return the :class:`PauseFigures` of each engine and daemon with a pause.

        :param is_disturbed: callable that takes a daemon and the begin and end of a
            pause and returns whether it is not counted; by the recorded disturbances if
            omitted.
        """
        is_disturbed = is_disturbed or self._is_disturbed
        return [
            PauseFigures(
                engine,
                daemon,
                len(pair.pauses),
                max(
                    _arrivals_within(pair, at, pause_s)
                    if not is_disturbed(daemon, at, at + pause_s)
                    else 0
                    for at, pause_s in pair.pauses
                ),
            )
            for (engine, daemon), pair in self._pairs.items()
            if pair.pauses
        ]

    def _is_disturbed(self, daemon, begin, end):
        return any(
            disturbed_from <= end and disturbed_until >= begin
            for disturbed_from, disturbed_until in self._disturbances.get(daemon, ())
        )


def _arrivals_within(pair, at, pause_s):
    return sum(at + REACTION_S < arrival < at + pause_s for arrival in pair.arrivals)
