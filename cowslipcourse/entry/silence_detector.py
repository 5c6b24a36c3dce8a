"""Detect targets that stop sending events."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.pauses import RecentLateness, ticks
from cowslipcourse.exceptions import TargetSilent

__all__ = ["SilenceDetector", "WatchedStream"]

CHECK_INTERVAL_S = 0.03
IDLE_INTERVAL_S = 0.1
"""Check interval without streams; a first event may take longer than that anyway."""
MAX_EVENT_GAP_S = 0.3
"""Longest gap between events of a healthy group. Five token steps of a full batch, with
a prompt chunk for each of a few new requests, take less."""
MAX_FIRST_EVENT_WAIT_S = 0.8
"""Longest wait for a first event while all streams of the group are silent and no
request is queued there."""
MAX_QUEUED_FIRST_EVENT_WAIT_S = 3.0
"""Longest wait for a first event where requests are queued at the group."""
MIN_CHECKED_SILENCE_S = 1.0
"""Silence of a target without an entry after which its host is checked. Targets may
serve without one while the store is away, so it does not show that they have ended."""
LOCAL_PAUSE_S = 0.12
"""Lateness of a check that is attributed to a pause of this process. Silence before it
does not count against targets."""
LATENESS_WINDOW_S = 1.0
"""Time for which the lateness of this process is stated in logs."""

log = get_logger(__name__)


class WatchedStream:
    """A stream watched for silence.

    :param attempt: :class:`~cowslipcourse.entry.attempts.Attempt`
    :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
    :param request_id: id of the request, for logs.
    """

    def __init__(self, attempt, run, request_id):
        self.attempt = attempt
        self.run = run
        self.request_id = request_id
        self.has_events = False
        self.is_silent = False


class SilenceDetector:
    """Marks silent streams and suspects their targets.

    A silent target may only be paused, so a stream is aborted only once its target, or
    the group that it was sent to, is known to have ended.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param is_host_lost: callable like
        :meth:`~cowslipcourse.entry.unloaded_components.Reachability.is_host_lost`.
    :param on_suspect: called when a target is newly suspected.
    """

    def __init__(self, fleet, is_host_lost, on_suspect):
        self._fleet = fleet
        self._is_host_lost = is_host_lost
        self._on_suspect = on_suspect
        self._streams = {}
        self._observed_since = 0.0
        self._lateness = RecentLateness(LATENESS_WINDOW_S)

    @property
    def own_late_s(self):
        """Largest lateness of this process in the last second, in seconds."""
        return self._lateness.max_s

    def add(self, stream):
        """Start watching a stream."""
        self._streams.setdefault(stream.attempt.entry.id, set()).add(stream)

    def remove(self, stream):
        """Stop watching a stream."""
        target = stream.attempt.entry.id
        self._streams[target].discard(stream)
        if not self._streams[target]:
            del self._streams[target]

    async def run(self):
        """Check the streams forever."""
        async for now, late_s in ticks(
            CHECK_INTERVAL_S, lambda: not self._streams, IDLE_INTERVAL_S
        ):
            self._lateness.record(now, late_s)
            if late_s > LOCAL_PAUSE_S:
                self._observed_since = now
                log.info("own-pause", seconds=round(late_s, 3))
            self.check(now)

    def check(self, now):
        """Check the streams of all targets.

        :param now: loop time.
        """
        for streams in list(self._streams.values()):
            last_received_at = max(
                stream.attempt.connection.last_received_at for stream in streams
            )
            last_received_at = max(last_received_at, self._observed_since)
            for stream in list(streams):
                silent_s = now - max(last_received_at, stream.attempt.sent_at)
                self._check_stream(stream, silent_s, now)

    def _check_stream(self, stream, silent_s, now):
        was_silent = stream.is_silent
        stream.is_silent = silent_s > self._limit_s(stream)
        if stream.is_silent:
            self._suspect(stream, silent_s, now)
            self._abort_ended(stream, silent_s, now)
        if stream.is_silent and not was_silent:
            stream.run.mark_silent()
        elif was_silent and not stream.is_silent:
            stream.run.mark_heard()

    def _limit_s(self, stream):
        if stream.has_events:
            return MAX_EVENT_GAP_S
        entry = stream.attempt.entry
        is_queued = self._fleet.load(entry.id) > entry.slots
        return MAX_QUEUED_FIRST_EVENT_WAIT_S if is_queued else MAX_FIRST_EVENT_WAIT_S

    def _suspect(self, stream, silent_s, now):
        target = stream.attempt.entry.id
        if not self._fleet.suspect(target, now):
            return
        log.warning(
            "target-silent",
            target=target,
            request=stream.request_id,
            seconds=round(silent_s, 3),
            begun=stream.has_events,
            own_late_s=round(self.own_late_s, 3),
        )
        self._on_suspect()

    def _abort_ended(self, stream, silent_s, now):
        """Abort a silent stream if its target, group or host is known to have ended."""
        entry = stream.attempt.entry
        if self._fleet.has_ended(entry):
            reason = "target-ended"
        elif self._is_lost(entry, silent_s, now):
            reason = "host-lost"
        else:
            return
        stream.attempt.connection.abort(
            TargetSilent(f"{entry.id} sent nothing for {silent_s:.2f} s", reason)
        )

    def _is_lost(self, entry, silent_s, now):
        """Whether a target has no entry, and its host answers nothing."""
        return (
            silent_s > MIN_CHECKED_SILENCE_S
            and not self._fleet.is_listed(entry)
            and self._is_host_lost(entry, now)
        )
