"""Notice targets that fall silent in the middle of streams."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.pauses import ticks
from cowslipcourse.exceptions import TargetSilent

__all__ = ["SilenceDetector", "WatchedStream"]

CHECK_INTERVAL_S = 0.03
IDLE_INTERVAL_S = 0.1
"""Interval without streams; the first event of one may take longer than that anyway."""
MAX_EVENT_GAP_S = 0.3
"""Longest pause inside a stream of a sound group: five token steps of a full batch and
a prompt chunk for each of a few newcomers stay under it."""
MAX_FIRST_EVENT_WAIT_S = 0.8
"""Longest wait for a first event while the group's other streams are silent too and
the group runs everything that it has."""
MAX_QUEUED_EVENT_WAIT_S = 3.0
"""The same where requests wait at the group."""
LOCAL_PAUSE_S = 0.12
"""A tick that comes this late says that this process stood still, not the target."""

log = get_logger(__name__)


class WatchedStream:
    """A stream that is watched.

    :param attempt: :class:`~cowslipcourse.entry.attempts.Attempt`
    :param call_id: id of the request, for logs.
    """

    def __init__(self, attempt, request_id):
        self.attempt = attempt
        self.request_id = request_id
        self.has_events = False


class SilenceDetector:
    """Ends streams of targets that are silent, and has the targets suspected.

    :param fleet: :class:`~cowslipcourse.entry.fleet.FleetView`
    :param on_suspect: called when a target is newly suspected.
    """

    def __init__(self, fleet, on_suspect):
        self._fleet = fleet
        self._on_suspect = on_suspect
        self._streams = {}
        self._observed_since = 0.0

    def add(self, stream):
        """Watch a stream."""
        self._streams.setdefault(stream.attempt.entry.id, set()).add(stream)

    def remove(self, stream):
        """Stop to watch a stream."""
        target = stream.attempt.entry.id
        self._streams[target].discard(stream)
        if not self._streams[target]:
            del self._streams[target]

    async def run(self):
        """Look again and again."""
        async for now, late_s in ticks(
            CHECK_INTERVAL_S, lambda: not self._streams, IDLE_INTERVAL_S
        ):
            if late_s > LOCAL_PAUSE_S:
                self._observed_since = now
                log.info("own-pause", seconds=round(late_s, 3))
            self.check(now)

    def check(self, now):
        """End the streams of targets that are silent at a loop time."""
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
        return MAX_QUEUED_EVENT_WAIT_S if is_queued else MAX_FIRST_EVENT_WAIT_S

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
        error = TargetSilent(f"{target} was silent for {silent_s:.2f} s")
        stream.attempt.connection.abort(error)
