"""What a daemon that the store turns away reads from a peer: a MessagePack array."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decoded

__all__ = ["PeerState", "decode_state", "encode_state"]


class PeerState(NamedTuple):
    """Configuration and targets as a daemon read them from the store.

    :param configuration: content of the configuration, or ``None`` if the reader's is
        as new.
    :param targets_version: store version up to which the targets are complete.
    :param targets: content of the entries by target id.
    """

    configuration: bytes | None
    targets_version: Annotated[int, msgspec.Meta(ge=0)]
    targets: dict[str, bytes]


_decoder = msgspec.msgpack.Decoder(PeerState)


def encode_state(state):
    """Return the bytes of a :class:`PeerState`."""
    return msgspec.msgpack.encode(state)


def decode_state(content):
    """Return the :class:`PeerState` in an answer.

    :raises MalformedAnswer: it cannot be read.
    """
    return decoded(_decoder, content, "peer state")
