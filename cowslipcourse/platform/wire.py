"""Decoding of what the platform sends: typed structures, one kind of failure.

Rows of the store may come from writers other than the platform. Nothing that does not
fit its structure gets past this module, and nothing but
:class:`~cowslipcourse.exceptions.MalformedAnswer` is raised for it.
"""

from typing import Annotated

import msgspec

from cowslipcourse.decoding import decoded

__all__ = ["Count", "Name", "Positive", "Quantity", "decode_as"]

LONGEST_NAME = 200
"""Bytes of a key of the store; no name on the platform is longer."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=1 << 62)]
Quantity = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""A number that is not negative, in the platform's unit for it."""

_decoders = {}


def decode_as(kind, content, what):
    """Return a structure that JSON bytes hold.

    :param kind: :class:`msgspec.Struct` or another type that msgspec knows.
    :param content: JSON bytes.
    :param what: says in errors what was decoded.
    :raises MalformedAnswer: the bytes are not JSON, or do not fit the structure.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    return decoded(decoder, content, what)
