"""Split a stream into whole events (``text/event-stream``)."""

import re
from typing import NamedTuple

from cowslipcourse.exceptions import MalformedAnswer

__all__ = ["Event", "EventSplitter"]

MAX_EVENT_BYTES = 1 << 20
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\n|\r)id: ?(\d+)")


class Event(NamedTuple):
    """A whole event.

    :param number: its id, or ``None`` if it has none.
    :param raw: its bytes with the blank line behind it.
    """

    number: int | None
    raw: bytes


class EventSplitter:
    """Collects bytes until whole events are there."""

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self):
        """Whether an event has begun that is not whole."""
        return bool(self._rest)

    def feed(self, content):
        """Return the list of :class:`Event` that are whole now.

        :raises MalformedAnswer: an event is too long.
        """
        content = self._rest + content
        events, start = [], 0
        for end in _END.finditer(content):
            raw = content[start : end.end()]
            found = _ID.search(raw)
            events.append(Event(int(found[1]) if found else None, raw))
            start = end.end()
        self._rest = content[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MalformedAnswer("an event is too long")
        return events
