"""Validated decoding of the platform's JSON.

Rows of the store may come from writers other than the platform, so everything is
checked against a typed structure. Whatever does not fit raises
:class:`~cowslipcourse.exceptions.MalformedResponse` and nothing else.
"""

from typing import Annotated

import msgspec

from cowslipcourse.decoding import decode_untrusted

__all__ = ["Count", "Name", "Path", "Positive", "Quantity", "decode_as"]

MAX_NAME_LENGTH = 200
"""Limit of the store's keys, in bytes; no name on the platform is longer."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Path = Annotated[str, msgspec.Meta(pattern=r"^/[!-~]*$", max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1 << 62)]
Quantity = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""A non-negative number, in the unit that the platform uses for the field."""

_decoders = {}


def decode_as(type_, content, description):
    """Decode JSON bytes into a typed structure.

    :param type_: :class:`msgspec.Struct` or another type that msgspec supports.
    :param content: JSON bytes.
    :param description: what is decoded, for error messages.
    :raises MalformedResponse: the bytes are not JSON, or do not match the type.
    """
    decoder = _decoders.get(type_)
    if decoder is None:
        decoder = _decoders[type_] = msgspec.json.Decoder(type_)
    return decode_untrusted(decoder, content, description)
