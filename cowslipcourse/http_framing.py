"""Bounds on HTTP messages, beyond which they are no messages."""

import asyncio
from collections import deque

__all__ = [
    "FINAL_STATUSES",
    "INTERIM_STATUSES",
    "MAX_BODY_BYTES",
    "MAX_FRAMING_BYTES",
    "MAX_HEADERS",
    "MAX_INTERIM_RESPONSES",
    "AnswerHold",
    "FramingMeter",
    "HeldAnswers",
    "ResponseBounds",
]

FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = (100, *range(102, 200))
"""Statuses of responses that precede the final one. A connection that changes its
protocol (101) carries no further response."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest body: a page of the store holds 1 MB of rows, encoded in twice as much."""
MAX_FRAMING_BYTES = 64 * 1024
"""Most bytes beside a body: a sound head has less than 2 KB."""
MAX_HEADERS = 256
"""Most headers and trailers of a response together."""
MAX_INTERIM_RESPONSES = 8
"""Most responses with a status below 200 before the final one."""
FREE_HELD_BYTES = 64 * 1024
"""Part of an answer that is held without a reservation; most answers are shorter."""
MAX_FRAMING_BYTES_PER_BODY_BYTE = 16
"""A chunk of a single byte has five bytes of framing, and extensions are short."""


class FramingMeter:
    """Counts the bytes of a message beside its body.

    These are the status or request line, headers, interim responses, sizes and
    extensions of chunks, and trailers.

    :param max_bytes: largest number of them in a message without a body.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._framing_bytes = 0

    @property
    def is_exceeded(self):
        """Whether there are more than a sound message has."""
        return self._framing_bytes > self._max_bytes

    def add_received(self, size_bytes):
        """Count bytes that were received."""
        self._framing_bytes += size_bytes

    def add_body(self, size_bytes):
        """Note how many of the received bytes belong to the body."""
        self._framing_bytes -= size_bytes * (1 + MAX_FRAMING_BYTES_PER_BODY_BYTE)
        self._framing_bytes = max(self._framing_bytes, 0)


class ResponseBounds:
    """Checks a response against its bounds as it is received.

    :param max_body_bytes: largest body.
    """

    def __init__(self, max_body_bytes=MAX_BODY_BYTES):
        self.excess = ""
        """What exceeds its bound; empty for nothing."""
        self.max_body_bytes = max_body_bytes
        self._framing = FramingMeter(MAX_FRAMING_BYTES)
        self._interim_count = 0
        self._body_bytes = 0

    def add_received(self, size_bytes):
        """Count bytes that were received, before they are parsed."""
        self._framing.add_received(size_bytes)

    def check_framing(self):
        """Check the bytes beside the body, after all received ones were parsed."""
        if self._framing.is_exceeded:
            self.excess = f"over {MAX_FRAMING_BYTES} bytes beside the body"

    def accepts_header(self, header_count):
        """Return whether a response that has some headers may have another one."""
        if header_count >= MAX_HEADERS:
            self.excess = f"over {MAX_HEADERS} headers"
        return header_count < MAX_HEADERS

    def add_interim(self):
        """Count an interim response."""
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            self.excess = f"over {MAX_INTERIM_RESPONSES} interim responses"

    def check_stated_length(self, content_length):
        """Check the length that a head states.

        :param content_length: value of the header, or ``None``.
        """
        if content_length is None or not content_length.isdigit():
            return
        if int(content_length) > self.max_body_bytes:
            self.excess = f"a body of {int(content_length)} bytes"

    def accepts_body(self, size_bytes):
        """Count a part of the body; return whether the body is within its bound."""
        self._framing.add_body(size_bytes)
        self._body_bytes += size_bytes
        if self._body_bytes > self.max_body_bytes:
            self.excess = f"a body of over {self.max_body_bytes} bytes"
        return self._body_bytes <= self.max_body_bytes


class HeldAnswers:
    """Bounds the memory of all answers together that are read as a whole.

    An answer that is longer than ``FREE_HELD_BYTES`` reserves its largest size, or
    waits until there is room; reservations are granted in the order of their requests.

    :param max_bytes: largest sum of all reservations; a single one may exceed it.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._reserved_bytes = 0
        self._waiting = deque()

    @property
    def reserved_bytes(self):
        """Sum of all reservations."""
        return self._reserved_bytes

    async def reserve(self, size_bytes):
        """Reserve memory, and wait for it if necessary."""
        if not self._waiting and self._has_room(size_bytes):
            self._reserved_bytes += size_bytes
            return
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((size_bytes, granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(size_bytes)
            self._grant()
            raise

    def release(self, size_bytes):
        """Release reserved memory."""
        self._reserved_bytes -= size_bytes
        self._grant()

    def _has_room(self, size_bytes):
        is_within = self._reserved_bytes + size_bytes <= self.max_bytes
        return is_within or not self._reserved_bytes

    def _grant(self):
        while self._waiting:
            size_bytes, granted = self._waiting[0]
            if granted.cancelled():
                self._waiting.popleft()
                continue
            if not self._has_room(size_bytes):
                return
            self._waiting.popleft()
            self._reserved_bytes += size_bytes
            granted.set_result(None)


class AnswerHold:
    """What the answers to one request hold.

    :param held_answers: :class:`HeldAnswers`
    """

    def __init__(self, held_answers):
        self._held_answers = held_answers
        self._reserved_bytes = 0

    async def grow(self, size_bytes, max_bytes):
        """Account for the size of an answer that is being read.

        :param size_bytes: size that has been read.
        :param max_bytes: size that it may reach.
        """
        if size_bytes > FREE_HELD_BYTES and self._reserved_bytes < max_bytes:
            missing_bytes = max_bytes - self._reserved_bytes
            await self._held_answers.reserve(missing_bytes)
            self._reserved_bytes += missing_bytes

    def release(self):
        """Release everything: the answers have been passed on, or given up."""
        self._held_answers.release(self._reserved_bytes)
        self._reserved_bytes = 0
