"""Decoding of untrusted bytes: a value of the expected type, or one error type."""

import msgspec

from cowslipcourse.exceptions import MalformedResponse

__all__ = ["decode_untrusted"]


def decode_untrusted(decoder, content, description):
    """Decode bytes that another process or another writer produced.

    :param decoder: :class:`msgspec.json.Decoder` or :class:`msgspec.msgpack.Decoder`.
    :param content: bytes.
    :param description: what is decoded, for the error message.
    :raises MalformedResponse: the bytes cannot be decoded as the decoder's type.
    """
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedResponse(f"cannot decode {description}: {error}") from error
