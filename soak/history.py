"""What was done to a site and what its callers saw, with times."""

import contextlib
from typing import NamedTuple

__all__ = ["CallKind", "CallRecord", "SiteHistory"]


class CallKind:
    """Kinds of calls; their values are the first parts of paths."""

    STREAM = "draft"
    BOOKING = "book"
    LOOKUP = "look"


class CallRecord(NamedTuple):
    """A call as its caller saw it.

    :param kind: one of :class:`CallKind`.
    :param name: last part of its path; answers depend on it.
    :param attempt: its attempt id.
    :param daemon: name of the daemon that it went to.
    :param run: run of that daemon's process, or ``None`` if it changed meanwhile.
    :param turn: number of the changing key that it used; ``None`` for the lasting key.
    :param began_at: loop time.
    :param ended_at: loop time.
    :param status: status of the answer; ``None`` if there was none.
    :param body: body of an answer that was complete; ``None`` for a broken one.
    :param was_sent: whether the daemon can have read it.
    """

    kind: str
    name: str
    attempt: str
    daemon: str
    run: int | None
    turn: int | None
    began_at: float
    ended_at: float
    status: int | None
    body: bytes | None
    was_sent: bool


class _Disturbance(NamedTuple):
    subject: str
    began_at: float
    ended_at: float
    is_planned: bool


class SiteHistory:
    """Keeps disturbances, the operator's changes and calls.

    :param clock: callable that returns the loop's time.
    """

    def __init__(self, clock):
        self._now = clock
        self.calls = []
        self.own_ends = []
        self.slow_stops = []
        self.broken_faults = []
        self.left_at = {}
        self.configured_at = {}
        self._runs = {}
        self._disturbances = []
        self._open = {}

    @contextlib.contextmanager
    def disturbance(self, subject, is_planned=False):
        """Note a disturbance that lasts as long as the context.

        :param subject: name of a daemon, ``"store"`` or ``"targets"``.
        :param is_planned: whether it is planned work, which must cut nothing.
        """
        key = object()
        self._open[key] = (subject, self._now(), is_planned)
        try:
            yield
        finally:
            subject, began_at, is_planned = self._open.pop(key)
            found = _Disturbance(subject, began_at, self._now(), is_planned)
            self._disturbances.append(found)

    def started(self, daemon, ended_at):
        """Note that a daemon's process was started.

        :param ended_at: loop time by which the one before it, if any, had ended.
        """
        self._runs[daemon] = self.run_of(daemon) + 1
        self._disturbances.append(_Disturbance(daemon, ended_at, self._now(), False))

    def run_of(self, daemon):
        """Return the number of a daemon's present run."""
        return self._runs.get(daemon, 0)

    def leaving(self, target):
        """Note that the list says that a target is leaving."""
        self.left_at[target] = self._now()

    def configured(self, turn):
        """Note that the store has a configuration with another changing key."""
        self.configured_at[turn] = self._now()

    def is_calm(self, subject, began_at, ended_at, for_s, planned_counts=True):
        """Whether a subject was undisturbed in a span and for a while before it.

        :param subject: as in :meth:`disturbance`.
        :param began_at: loop time.
        :param ended_at: loop time.
        :param for_s: seconds before the span that count too.
        :param planned_counts: whether planned work is a disturbance.
        """
        still = [(s, began, self._now(), p) for s, began, p in self._open.values()]
        return not any(
            found == subject
            and (planned_counts or not is_planned)
            and begun <= ended_at
            and ended >= began_at - for_s
            for found, begun, ended, is_planned in (*self._disturbances, *still)
        )
