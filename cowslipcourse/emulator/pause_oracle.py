"""Oracle that counts the arrivals at engines within the pauses that they asked for."""

import asyncio
from typing import NamedTuple

__all__ = ["PauseFigures", "PauseOracle"]

REACTION_S = 0.5
"""Time from a response for which requests under way may still arrive."""


class PauseFigures(NamedTuple):
    """Pauses that one engine asked one daemon for, and its arrivals from there.

    :param engine: the engine; in the emulator its id and incarnation.
    :param daemon: name of the daemon.
    :param pauses: ``(time, duration in seconds)`` of each response that asked for one.
    :param arrivals: times of all arrivals.
    :param most_arrivals: most arrivals within one pause, later than ``REACTION_S``, of
        pauses in which the daemon was undisturbed.
    """

    engine: object
    daemon: str
    pauses: tuple[tuple[float, float], ...]
    arrivals: tuple[float, ...]
    most_arrivals: int


class PauseOracle:
    """Records pauses and arrivals by engine and sender, and disturbed daemons.

    :param clock: callable that returns the time in seconds; the loop's if omitted.
    """

    def __init__(self, clock=None):
        self._now = clock or (lambda: asyncio.get_running_loop().time())
        self._pauses = []
        self._arrivals = []
        self._disturbances = {}

    def record_pause(self, engine, sender, pause_s):
        """Record that an engine asks a sender for a pause of ``pause_s`` seconds."""
        self._pauses.append((engine, sender, self._now(), pause_s))

    def record_arrival(self, engine, sender):
        """Record that a request of a sender reaches an engine."""
        self._arrivals.append((engine, sender, self._now()))

    def record_disturbance(self, daemon, duration_s):
        """Record that a daemon is disturbed for ``duration_s`` seconds from now on."""
        now = self._now()
        self._disturbances.setdefault(daemon, []).append((now, now + duration_s))

    def figures(self, daemon_of=str, is_disturbed=None):
        """Return the :class:`PauseFigures` of each engine and daemon with a pause.

        :param daemon_of: callable that returns the daemon of a sender, or ``None`` if
            it is unknown; by default a sender is the name of its daemon.
        :param is_disturbed: callable that takes a daemon and the begin and end of a
            pause and returns whether it is not counted; by the recorded disturbances if
            omitted.
        """
        is_disturbed = is_disturbed or self._is_disturbed
        pauses, arrivals = {}, {}
        for engine, sender, at, pause_s in self._pauses:
            pauses.setdefault((engine, daemon_of(sender)), []).append((at, pause_s))
        for engine, sender, at in self._arrivals:
            arrivals.setdefault((engine, daemon_of(sender)), []).append(at)
        return [
            PauseFigures(
                *pair,
                tuple(pauses_of_pair),
                tuple(arrivals.get(pair, ())),
                _most_arrivals(
                    arrivals.get(pair, ()),
                    [
                        (at, pause_s)
                        for at, pause_s in pauses_of_pair
                        if not is_disturbed(pair[1], at, at + pause_s)
                    ],
                ),
            )
            for pair, pauses_of_pair in pauses.items()
            if pair[1] is not None
        ]

    def _is_disturbed(self, daemon, begin, end):
        return any(
            disturbed_from <= end and disturbed_until >= begin
            for disturbed_from, disturbed_until in self._disturbances.get(daemon, ())
        )


def _most_arrivals(arrivals, pauses):
    return max(
        (
            sum(at + REACTION_S < arrival < at + pause_s for arrival in arrivals)
            for at, pause_s in pauses
        ),
        default=0,
    )
