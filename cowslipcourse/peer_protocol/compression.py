"""Compression of messages between daemons.

Target entries and member lists repeat names and addresses. Uncompressed, a list of 930
targets takes 304 KB, and daemons that read it again after a loss saturated the
20 Mbit/s links of the daemons that they read from.
"""

import zlib

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["pack", "unpack"]

MIN_COMPRESSED_BYTES = 300
"""Shorter content fits one packet uncompressed."""
COMPRESSION_LEVEL = 1
"""Fastest level: 4 ms for 300 KB on a whole core, hence 30 ms on the smallest VMs."""
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Limit on unpacked content: far more than the target list of any site, and less than
what would exhaust the memory of a daemon."""
_COMPRESSED, _UNCOMPRESSED = b"Z", b"P"


def pack(content):
    """Return content in the form that :func:`unpack` reads, compressed if long."""
    if len(content) < MIN_COMPRESSED_BYTES:
        return _UNCOMPRESSED + content
    return _COMPRESSED + zlib.compress(content, COMPRESSION_LEVEL)


def unpack(content):
    """Return the content of packed bytes.

    :raises MalformedResponse: the bytes are not packed, are truncated, or unpack to
        more than ``MAX_UNPACKED_BYTES``.
    """
    marker, payload = content[:1], content[1:]
    if marker == _UNCOMPRESSED:
        return payload
    if marker != _COMPRESSED:
        raise MalformedResponse("unreadable content: not packed, unknown marker")
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(payload, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise MalformedResponse(f"unreadable packed content: {error}") from error
    if not decompressor.eof:
        raise MalformedResponse("unreadable packed content: truncated or too long")
    return unpacked
