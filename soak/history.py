"""Record of a site's disturbances, configuration changes and calls."""

import contextlib
from typing import NamedTuple

from soak.schedule import PLANNED_KINDS, disturbed_subject

__all__ = ["STREAM_KINDS", "CallKind", "CallRecord", "SiteHistory"]


class CallKind:
    """Kinds of calls; the values are the first segments of their paths."""

    STREAM = "draft"
    BOOKING = "book"
    LOOKUP = "look"
    STREAM_ONCE = "tell"
    """A stream that may not be resumed, nor run twice."""


STREAM_KINDS = (CallKind.STREAM, CallKind.STREAM_ONCE)


class CallRecord(NamedTuple):
    """A call as its caller saw it.

    :param kind: one of :class:`CallKind`.
    :param request_name: last segment of its path; it determines the response.
    :param attempt_id: value of its ``X-Attempt-Id`` header.
    :param daemon: name of the daemon that it was sent to.
    :param incarnation: incarnation of that daemon's process, or ``None`` if it changed
        during the call.
    :param key_version: version of the rotating key that it used; ``None`` for the
        permanent key.
    :param began_at: loop time in seconds.
    :param ended_at: loop time in seconds.
    :param status: HTTP status; ``None`` if there was no response.
    :param body: body of a complete response; ``None`` if it was incomplete.
    :param was_sent: whether the daemon may have read it.
    :param is_kept: whether the caller kept its daemon and connection from an earlier
        call, without asking whether the daemon is still listed.
    """

    kind: str
    request_name: str
    attempt_id: str
    daemon: str
    incarnation: int | None
    key_version: int | None
    began_at: float
    ended_at: float
    status: int | None
    body: bytes | None
    was_sent: bool
    is_kept: bool = False


class _Disturbance(NamedTuple):
    subject: str
    began_at: float
    ended_at: float
    is_planned: bool


class SiteHistory:
    """Records disturbances, the operator's changes and calls.

    :param clock: callable that returns the loop time in seconds.
    """

    def __init__(self, clock):
        self._now = clock
        self.calls = []
        self.unexpected_exits = []
        self.slow_stops = []
        self.failed_tasks = []
        self.draining_since = {}
        self.key_configured_at = {}
        self.keyless_versions = set()
        """Versions of the rotating key at which no key at all exists."""
        self.silences = []
        """Loop times from and until which a target or more were silent."""
        self.stand_stills = []
        """Loop times from and until which the platform of the run stood still."""
        self.arrivals = {}
        """Loop times of arrivals at targets by service and attempt id."""
        self._incarnations = {}
        self._disturbances = []
        self._active = {}

    def stand_still_s(self, began_at=0.0, ended_at=float("inf")):
        """Return the seconds in an interval for which the platform stood still."""
        return sum(
            max(0.0, min(until, ended_at) - max(since, began_at))
            for since, until in self.stand_stills
        )

    def record_arrival(self, service, attempt_id, at):
        """Record the arrival of a request at a target."""
        by_attempt = self.arrivals.setdefault(service, {})
        by_attempt.setdefault(attempt_id, []).append(at)

    @contextlib.contextmanager
    def disturbance(self, subject, is_planned=False):
        """Record a disturbance that lasts as long as the context.

        :param subject: name of a daemon, ``"store"`` or ``"targets"``.
        :param is_planned: whether it is planned maintenance, which must interrupt no
            request.
        """
        key = object()
        self._active[key] = (subject, self._now(), is_planned)
        try:
            yield
        finally:
            subject, began_at, is_planned = self._active.pop(key)
            finished = _Disturbance(subject, began_at, self._now(), is_planned)
            self._disturbances.append(finished)

    def fault(self, kind, daemon):
        """Return a context that records what a fault disturbs while it lasts.

        :param kind: :class:`~soak.schedule.FaultKind`
        :param daemon: name of the daemon that the fault would affect.
        """
        subject = disturbed_subject(kind, daemon)
        if subject is None:
            return contextlib.nullcontext()
        return self.disturbance(subject, kind in PLANNED_KINDS)

    def record_start(self, daemon, ended_at):
        """Record that a daemon's process was started.

        :param ended_at: loop time in seconds by which its predecessor had ended.
        """
        self._incarnations[daemon] = self.incarnation_of(daemon) + 1
        self._disturbances.append(_Disturbance(daemon, ended_at, self._now(), False))

    def incarnation_of(self, daemon):
        """Return the number of a daemon's current incarnation."""
        return self._incarnations.get(daemon, 0)

    def record_draining(self, target):
        """Record that a target is listed as draining."""
        self.draining_since[target] = self._now()

    def record_key_configured(self, key_version):
        """Record that the store has a configuration with a new rotating key."""
        self.key_configured_at[key_version] = self._now()

    def is_undisturbed(
        self, subject, began_at, ended_at, margin_s, includes_planned=True
    ):
        """Whether a subject was undisturbed in an interval and for a margin before it.

        :param subject: as in :meth:`disturbance`.
        :param began_at: loop time in seconds.
        :param ended_at: loop time in seconds.
        :param margin_s: seconds before the interval that count too.
        :param includes_planned: whether planned maintenance is a disturbance.
        """
        active = [
            (active_subject, active_began_at, self._now(), planned)
            for active_subject, active_began_at, planned in self._active.values()
        ]
        return not any(
            disturbed == subject
            and (includes_planned or not is_planned)
            and disturbed_from <= ended_at
            and disturbed_until >= began_at - margin_s
            for disturbed, disturbed_from, disturbed_until, is_planned in (
                *self._disturbances,
                *active,
            )
        )
