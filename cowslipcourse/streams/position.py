"""Position of a caller's stream across all targets that have served it."""

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["StreamPosition"]


class StreamPosition:
    """Relays each event once and in order.

    :param last_event_id: id of the last event that the caller has, or ``None``.
    """

    def __init__(self, last_event_id=None):
        self.last_event_id = last_event_id
        self.relayed_events = 0

    def filter_events(self, events):
        """Return the bytes of the events that the caller does not have yet.

        :param events: list of :class:`~cowslipcourse.streams.Event`
        :returns: ``(bytes, MalformedResponse or None)``; the bytes before
            a gap in the event ids are to be relayed.
        """
        relayed = []
        for event in events:
            if event.event_id is None:
                relayed.append(event.raw)
                continue
            if self.last_event_id is not None and event.event_id <= self.last_event_id:
                continue
            if (
                self.last_event_id is not None
                and event.event_id != self.last_event_id + 1
            ):
                error = MalformedResponse(f"event {self.last_event_id + 1} is missing")
                return b"".join(relayed), error
            self.last_event_id = event.event_id
            self.relayed_events += 1
            relayed.append(event.raw)
        return b"".join(relayed), None
