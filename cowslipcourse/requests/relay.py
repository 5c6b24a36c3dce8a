"""Relay of a streamed response: each of its tokens once and in order, no others.

Events are checked by their first line and forwarded without decoding.
"""

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["END_DATA", "StreamRelay"]

END_DATA = b"data: [DONE]"
_ID_FIELD = b"id: "


class StreamRelay:
    """Position in one response, across all attempts.

    :ivar offset: number of tokens forwarded so far.
    :ivar complete: whether the engine's end event was received at its place.
    """

    def __init__(self):
        self.offset = 0
        self.complete = False
        self._error = None

    def filter_events(self, attempt_id, events):
        """Check events and return the data to forward, joined.

        Drops tokens that were forwarded before. Stops at the first malformed event;
        :meth:`raise_for_malformed` then raises, once the caller has forwarded the
        valid events before it.

        :param attempt_id: id of the attempt to which the events must belong.
        :param events: raw events in order.
        """
        expected_prefix = _ID_FIELD + attempt_id.encode() + b":"
        forwarded = []
        self._error = None
        for event in events:
            try:
                data = self._data_to_forward(expected_prefix, event)
            except MalformedResponse as error:
                self._error = error
                break
            if data is not None:
                forwarded.append(data)
                forwarded.append(b"\n\n")
        return b"".join(forwarded)

    def raise_for_malformed(self):
        """Raise if the last events had a malformed one.

        :raises MalformedResponse: an event belongs to another attempt, has no offset,
            leaves a gap or comes after the end, or the end comes too early.
        """
        if self._error is not None:
            raise self._error

    def _data_to_forward(self, expected_prefix, event):
        """Return the data of an event to forward, or ``None`` to drop it."""
        id_line, _, data = event.partition(b"\n")
        if not id_line.startswith(expected_prefix) or not data.startswith(b"data: "):
            raise MalformedResponse("event of another attempt")
        if self.complete:
            raise MalformedResponse("event after the end of the stream")
        offset = _parse_offset(id_line[len(expected_prefix) :])
        if offset > self.offset:
            raise MalformedResponse(f"token {self.offset} is missing")
        if offset < self.offset:
            if data == END_DATA:
                raise MalformedResponse("premature end of the stream")
            return None
        if data == END_DATA:
            self.complete = True
            return None
        self.offset += 1
        return data


def _parse_offset(text):
    if not text.isdigit():
        raise MalformedResponse("event without offset")
    return int(text)
