"""Relay of a streamed answer: every token once, in order, and only its own.

Events are checked by their first line and passed on as they are, without decoding.
"""

from cowslipcourse.exceptions import MalformedAnswer

__all__ = ["END_DATA", "AnswerRelay"]

END_DATA = b"data: [DONE]"
_ID = b"id: "


class AnswerRelay:
    """Position in one answer, over all attempts.

    :ivar offset: number of tokens passed on so far.
    :ivar complete: whether the engine's end event came in its place.
    """

    def __init__(self):
        self.offset = 0
        self.complete = False

    def take(self, attempt_id, events):
        """Check events and return what is to be passed on, as one piece.

        Tokens that came before are dropped; a gap is an error.

        :param attempt_id: attempt that the events must belong to.
        :param events: raw events in order.
        :raises MalformedAnswer: an event of another attempt, or out of place.
        """
        expected = _ID + attempt_id.encode() + b":"
        passed = []
        for event in events:
            first, _, data = event.partition(b"\n")
            if not first.startswith(expected) or not data.startswith(b"data: "):
                raise MalformedAnswer("an event of another attempt")
            if self.complete:
                raise MalformedAnswer("an event after the end")
            offset = _offset(first[len(expected) :])
            if offset < self.offset:
                if data == END_DATA:
                    raise MalformedAnswer("the end came too early")
                continue
            if offset > self.offset:
                raise MalformedAnswer(f"token {self.offset} is missing")
            if data == END_DATA:
                self.complete = True
                continue
            self.offset += 1
            passed.append(data)
            passed.append(b"\n\n")
        return b"".join(passed)


def _offset(text):
    if not text.isdigit():
        raise MalformedAnswer("an event without offset")
    return int(text)
