"""Detect targets that stop sending events, and streams that wait for too long."""

import asyncio
import math
from contextlib import contextmanager

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
MAX_EVENT_DURATION_S = 1.0
"""Longest time from the first byte of an event to its last one, which come together."""
MIN_CHECKED_SILENCE_S = 1.0
"""Silence of a target without an entry after which its host is checked. Targets may
serve without one while the store is away, so it does not show that they have ended."""
IN_FLIGHT_S = 0.1
"""Time for which events of a target that has ended may still be under way."""
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
    :param overdue_after_s: seconds without an event after which it may be sent to
        another target although this one serves others.
    """

    def __init__(self, attempt, run, request_id, overdue_after_s=math.inf):
        self.attempt = attempt
        self.run = run
        self.request_id = request_id
        self.overdue_after_s = overdue_after_s
        self.has_events = False
        self.is_silent = False
        self._partial_since = None
        self._awaited_since = attempt.sent_at
        self.entry = attempt.entry
        """The target as it is known to have received the request."""
        self.end_seen_at = None
        """Loop time at which the target or its group was first seen to have ended."""
        self.checked_version = None
        """Version of the fleet view in which its end was last looked for."""

    @property
    def received_at(self):
        """Loop time at which its target last sent something that may end in an event.

        Bytes of an event that is not complete in time do not count.
        """
        received_at = self.attempt.connection.last_received_at
        if self._partial_since is None:
            return received_at
        return min(received_at, self._partial_since + MAX_EVENT_DURATION_S)

    def note_partial_event(self, is_partial, now):
        """Note whether the last bytes belong to an event that is not complete.

        :param is_partial: whether they do.
        :param now: loop time.
        """
        if not is_partial:
            self._partial_since = None
        elif self._partial_since is None:
            self._partial_since = now

    @property
    def has_outlived_end(self):
        """Whether events have come since the target was seen to have ended."""
        if self.end_seen_at is None:
            return False
        return self.received_at > self.end_seen_at + IN_FLIGHT_S

    @contextmanager
    def relaying(self):
        """Do not count the time in which the caller accepts events."""
        self._awaited_since = math.inf
        try:
            yield
        finally:
            self._awaited_since = asyncio.get_running_loop().time()

    def waited_s(self, now, observed_since):
        """Return the seconds for which it has waited for its target.

        :param now: loop time.
        :param observed_since: loop time since which this process has not been paused.
        """
        return now - max(self.received_at, self._awaited_since, observed_since)


class SilenceDetector:
    """Marks silent streams and suspects their targets.

    A silent target may only be paused, so a stream is aborted only once its target, or
    the group that it was sent to, is known to have ended. A stream that is overdue
    while its target serves others counts as silent, but its target is not suspected.

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
            last_received_at = max(stream.received_at for stream in streams)
            last_received_at = max(last_received_at, self._observed_since)
            for stream in list(streams):
                silent_s = now - max(last_received_at, stream.attempt.sent_at)
                self._check_stream(stream, silent_s, now)

    def _check_stream(self, stream, silent_s, now):
        if stream.end_seen_at is not None or (
            stream.checked_version != self._fleet.version
        ):
            self._note_end(stream, now)
        was_silent = stream.is_silent
        is_target_silent = silent_s > self._limit_s(stream)
        if is_target_silent:
            self._suspect(stream, silent_s, now)
            self._abort_ended(stream, silent_s, now)
        stream.is_silent = is_target_silent or self._is_overdue(stream, now)
        if stream.is_silent and not was_silent:
            stream.run.mark_silent()
        elif was_silent and not stream.is_silent:
            stream.run.mark_heard()

    def _note_end(self, stream, now):
        """Note when the target of a stream was seen to have ended.

        A stream that goes on was sent to the target that is listed now; the list that
        it was chosen from was older.
        """
        stream.checked_version = self._fleet.version
        if not self._fleet.has_ended(stream.entry):
            stream.end_seen_at = None
        elif stream.end_seen_at is None:
            stream.end_seen_at = now
        elif stream.has_outlived_end:
            stream.entry = self._fleet.entries.get(stream.entry.id, stream.entry)
            stream.end_seen_at = stream.checked_version = None

    def _limit_s(self, stream):
        if stream.has_events:
            return MAX_EVENT_GAP_S
        is_queued = self._has_queue(stream.attempt.entry)
        return MAX_QUEUED_FIRST_EVENT_WAIT_S if is_queued else MAX_FIRST_EVENT_WAIT_S

    def _has_queue(self, entry):
        return self._fleet.load(entry.id) > entry.slots

    def _is_overdue(self, stream, now):
        """Whether a stream waits for too long; a queue explains a late first event."""
        if now - stream.received_at <= stream.overdue_after_s:
            return False
        waited_s = stream.waited_s(now, self._observed_since)
        if waited_s <= stream.overdue_after_s:
            return False
        if not stream.has_events and self._has_queue(stream.attempt.entry):
            return False
        if not stream.is_silent:
            log.info(
                "stream-overdue",
                target=stream.attempt.entry.id,
                request=stream.request_id,
                seconds=round(waited_s, 3),
                begun=stream.has_events,
                own_late_s=round(self.own_late_s, 3),
            )
        return True

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
        entry = stream.entry
        if stream.end_seen_at is not None:
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
