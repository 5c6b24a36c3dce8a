"""Detect targets that stop sending events."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.pauses import ticks
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
LOCAL_PAUSE_S = 0.12
"""Lateness of a check that is attributed to a pause of this process. Silence before it
does not count against targets."""

log = get_logger(__name__)


class WatchedStream:
    """A stream watched for silence.

    :param attempt: :class:`~cowslipcourse.entry.attempts.Attempt`
    :param request_id: id of the request, for logs.
    """

    def __init__(self, attempt, request_id):
        self.attempt = attempt
        self.request_id = request_id
        self.has_events = False


class SilenceDetector:
    """Aborts streams of silent targets and marks the targets as suspected.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param on_suspect: called when a target is newly suspected.
    """

    def __init__(self, fleet, on_suspect):
        self._fleet = fleet
        self._on_suspect = on_suspect
        self._streams = {}
        self._observed_since = 0.0

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
            if late_s > LOCAL_PAUSE_S:
                self._observed_since = now
                log.info("own-pause", seconds=round(late_s, 3))
            self.check(now)

    def check(self, now):
        """Abort the streams of targets that are silent.

        :param now: loop time.
        """
        for target, streams in list(self._streams.items()):
            last_received_at = max(
                stream.attempt.connection.last_received_at for stream in streams
            )
            last_received_at = max(last_received_at, self._observed_since)
            for stream in list(streams):
                silent_s = now - max(last_received_at, stream.attempt.sent_at)
                if silent_s > self._limit_s(stream):
                    self._abort_stream(target, stream, silent_s, now)

    def _limit_s(self, stream):
        if stream.has_events:
            return MAX_EVENT_GAP_S
        entry = stream.attempt.entry
        is_queued = self._fleet.load(entry.id) > entry.slots
        return MAX_QUEUED_FIRST_EVENT_WAIT_S if is_queued else MAX_FIRST_EVENT_WAIT_S

    def _abort_stream(self, target, stream, silent_s, now):
        if self._fleet.suspect(target, now):
            log.warning(
                "target-silent",
                target=target,
                request=stream.request_id,
                seconds=round(silent_s, 3),
                begun=stream.has_events,
            )
            self._on_suspect()
        error = TargetSilent(f"{target} sent nothing for {silent_s:.2f} s")
        stream.attempt.connection.abort(error)
