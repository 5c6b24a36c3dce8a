"""Streams of events: splitting into complete events, and the position to resume at."""

from cowslipcourse.streams.events import Event, EventSplitter
from cowslipcourse.streams.position import StreamPosition

__all__ = ["Event", "EventSplitter", "StreamPosition"]
