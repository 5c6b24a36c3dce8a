"""What a daemon reads from a peer: a packed MessagePack array."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.peers.packing import pack, unpack

__all__ = ["PeerState", "decode_state", "encode_state"]


_Version = Annotated[int, msgspec.Meta(ge=0)]


class PeerState(NamedTuple):
    """Configuration and targets as a daemon knows them.

    :param configuration: content of the configuration, or ``None`` if the reader's is
        as new.
    :param targets_version: store version up to which the targets are complete.
    :param targets: content of the entries by target id.
    :param after: store version since which the targets have changed; ``None`` if they
        are the whole list.
    :param gone: ids of entries that were dropped since.
    """

    configuration: bytes | None
    targets_version: _Version
    targets: dict[str, bytes]
    after: _Version | None = None
    gone: tuple[str, ...] = ()


_decoder = msgspec.msgpack.Decoder(PeerState)


def encode_state(state):
    """Return the bytes of a :class:`PeerState`."""
    return pack(msgspec.msgpack.encode(state))


def decode_state(content):
    """Return the :class:`PeerState` in an answer.

    :raises MalformedResponse: it cannot be read.
    """
    return decode_untrusted(_decoder, unpack(content), "peer state")
