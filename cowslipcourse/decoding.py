"""One way to decode what came from outside: a value of its type, or one typed error."""

import msgspec

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["decode_untrusted"]


def decode_untrusted(decoder, content, what):
    """Return what a decoder reads from bytes.

    :param decoder: :class:`msgspec.json.Decoder` or :class:`msgspec.msgpack.Decoder`.
    :param content: bytes.
    :param what: says in the error what was decoded.
    :raises MalformedResponse: the bytes cannot be read or do not fit the type.
    """
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedResponse(f"unreadable {what}: {error}") from error
