"""Bounds on HTTP messages, beyond which they are no messages."""

__all__ = [
    "FINAL_STATUSES",
    "INTERIM_STATUSES",
    "MAX_BODY_BYTES",
    "MAX_FRAMING_BYTES",
    "MAX_HEADERS",
    "MAX_INTERIM_RESPONSES",
    "FramingMeter",
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
        self._max_body_bytes = max_body_bytes
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
        if int(content_length) > self._max_body_bytes:
            self.excess = f"a body of {int(content_length)} bytes"

    def accepts_body(self, size_bytes):
        """Count a part of the body; return whether the body is within its bound."""
        self._framing.add_body(size_bytes)
        self._body_bytes += size_bytes
        if self._body_bytes > self._max_body_bytes:
            self.excess = f"a body of over {self._max_body_bytes} bytes"
        return self._body_bytes <= self._max_body_bytes
