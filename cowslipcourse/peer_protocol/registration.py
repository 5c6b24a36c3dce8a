"""Row of the store by which the other daemons find a daemon: a JSON array."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.ports.addresses import Address

__all__ = ["Registration", "decode_registration", "encode_registration"]


class Registration(NamedTuple):
    """Location of a daemon.

    :param peer_address: ``ip:port`` for datagrams and for reading its state.
    :param data_centre: data centre in which it runs.
    """

    peer_address: Address
    data_centre: Annotated[str, msgspec.Meta(min_length=1)]


_decoder = msgspec.json.Decoder(Registration)


def encode_registration(registration):
    """Return the bytes of a :class:`Registration`."""
    return msgspec.json.encode(registration)


def decode_registration(content):
    """Return the :class:`Registration` in a row.

    :raises MalformedResponse: the row cannot be decoded.
    """
    return decode_untrusted(_decoder, content, "registration")
