"""Shorter bytes between daemons: what is long enough is compressed.

Entries of targets and lists of daemons repeat names and addresses. Uncompressed, the
whole list of 930 targets has 304 KB, and daemons that read it anew after a loss filled
the links of 20 Mbit/s of those that they read from.
"""

import zlib

from cowslipcourse.exceptions import MalformedAnswer

__all__ = ["pack", "unpack"]

MIN_COMPRESSED_BYTES = 300
"""Shorter content fits one packet as it is."""
COMPRESSION_LEVEL = 1
"""Fastest: 4 ms for 300 KB on a whole core, so 30 ms on the smallest VMs."""
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Longest content that is unpacked: far beyond the list of any site, and less than
what would end a daemon."""
_PACKED, _PLAIN = b"Z", b"P"


def pack(content):
    """Return bytes from which :func:`unpack` returns the content."""
    if len(content) < MIN_COMPRESSED_BYTES:
        return _PLAIN + content
    return _PACKED + zlib.compress(content, COMPRESSION_LEVEL)


def unpack(content):
    """Return what was packed.

    :raises MalformedAnswer: it was not packed, was cut short or is too long.
    """
    kind, rest = content[:1], content[1:]
    if kind == _PLAIN:
        return rest
    if kind != _PACKED:
        raise MalformedAnswer("unreadable: not packed")
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(rest, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise MalformedAnswer(f"unreadable: {error}") from error
    if not decompressor.eof:
        raise MalformedAnswer("unreadable: cut short or too long")
    return found
