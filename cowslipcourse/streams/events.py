"""Splitting of a ``text/event-stream`` into complete events."""

import re
from typing import NamedTuple

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["Event", "EventSplitter"]

MAX_EVENT_BYTES = 256 * 1024
"""Largest event: one holds some tokens, of at most some hundred bytes."""
MAX_SEPARATOR_BYTES = 4
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|\n|\r)id: ?(\d+)")


class Event(NamedTuple):
    """A complete event.

    :param event_id: its id, or ``None`` if it has none.
    :param raw: its bytes including the terminating blank line.
    """

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Buffers bytes until events are complete."""

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self):
        """Whether the buffer holds an incomplete event."""
        return bool(self._rest)

    def feed(self, content):
        """Add bytes and return the list of :class:`Event` that they complete.

        :raises MalformedResponse: an event exceeds ``MAX_EVENT_BYTES``.
        """
        # A separator may have begun in the bytes before.
        searched_from = max(0, len(self._rest) - MAX_SEPARATOR_BYTES)
        content = self._rest + content
        events, start = [], 0
        for end in _EVENT_END.finditer(content, searched_from):
            raw = content[start : end.end()]
            id_match = _EVENT_ID.search(raw)
            events.append(Event(int(id_match[1]) if id_match else None, raw))
            start = end.end()
        self._rest = content[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MalformedResponse("an event is too long")
        return events
