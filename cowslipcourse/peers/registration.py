"""A daemon's row in the store, by which the others find it: a JSON array."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.ports.addresses import Address

__all__ = ["Registration", "decode_registration", "encode_registration"]


class Registration(NamedTuple):
    """Where a daemon is found.

    :param peer_address: ``ip:port`` for datagrams and for reading its state.
    :param data_centre: where it runs.
    """

    peer_address: Address
    data_centre: Annotated[str, msgspec.Meta(min_length=1)]


_decoder = msgspec.json.Decoder(Registration)


def encode_registration(registration):
    """Return the bytes of a :class:`Registration`."""
    return msgspec.json.encode(registration)


def decode_registration(content):
    """Return the :class:`Registration` in a row.

    :raises MalformedResponse: it cannot be read.
    """
    return decode_untrusted(_decoder, content, "registration")
