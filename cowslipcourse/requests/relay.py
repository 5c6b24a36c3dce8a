"""Relay of a streamed answer: every token once, in order, and only its own.

Events are checked by their first line and passed on as they are, without decoding.
"""

from cowslipcourse.exceptions import MalformedAnswer

__all__ = ["END_DATA", "StreamRelay"]

END_DATA = b"data: [DONE]"
_ID = b"id: "


class StreamRelay:
    """Position in one answer, over all attempts.

    :ivar offset: number of tokens passed on so far.
    :ivar complete: whether the engine's end event came in its place.
    """

    def __init__(self):
        self.offset = 0
        self.complete = False
        self._fault = None

    def filter_events(self, attempt_id, events):
        """Check events and return what is to be passed on, as one piece.

        Drops tokens that were forwarded before. Stops at the first malformed event;
        :meth:`raise_for_malformed` then raises, once the caller has forwarded the
        valid events before it.

        :param attempt_id: attempt that the events must belong to.
        :param events: raw events in order.
        """
        expected = _ID + attempt_id.encode() + b":"
        passed = []
        self._fault = None
        for event in events:
            try:
                data = self._next(expected, event)
            except MalformedAnswer as error:
                self._fault = error
                break
            if data is not None:
                passed.append(data)
                passed.append(b"\n\n")
        return b"".join(passed)

    def raise_for_malformed(self):
        """Raise if an event was out of place.

        :raises MalformedAnswer: an event of another attempt, a gap, an early end.
        """
        if self._fault is not None:
            raise self._fault

    def _next(self, expected, event):
        """Return the data of an event that is to be passed on, else ``None``."""
        first, _, data = event.partition(b"\n")
        if not first.startswith(expected) or not data.startswith(b"data: "):
            raise MalformedAnswer("an event of another attempt")
        if self.complete:
            raise MalformedAnswer("an event after the end")
        offset = _offset(first[len(expected) :])
        if offset > self.offset:
            raise MalformedAnswer(f"token {self.offset} is missing")
        if offset < self.offset:
            if data == END_DATA:
                raise MalformedAnswer("the end came too early")
            return None
        if data == END_DATA:
            self.complete = True
            return None
        self.offset += 1
        return data


def _offset(text):
    if not text.isdigit():
        raise MalformedAnswer("an event without offset")
    return int(text)
