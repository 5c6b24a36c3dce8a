"""State that a daemon reads from a peer: a packed MessagePack array."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.peer_protocol.compression import pack, unpack
from cowslipcourse.peer_protocol.messages import EvacuatedSet

__all__ = ["PeerState", "decode_state", "encode_state"]


_Version = Annotated[int, msgspec.Meta(ge=0)]


class PeerState(NamedTuple):
    """Configuration and targets as a daemon knows them, for a reader.

    :param configuration: content of the configuration, or ``None`` if the reader's is
        as new.
    :param targets_version: store version up to which the targets are complete.
    :param targets: content of entries by target id.
    :param base_version: store version since which the entries in ``targets`` have
        changed; ``None`` if they are the whole target list.
    :param gone: ids of entries removed since ``base_version``.
    :param evacuated: the evacuated data centres, or ``None`` if the reader's are as new
        or it has not asked for them.
    """

    configuration: bytes | None
    targets_version: _Version
    targets: dict[str, bytes]
    base_version: _Version | None = None
    gone: tuple[str, ...] = ()
    evacuated: EvacuatedSet | None = None


_decoder = msgspec.msgpack.Decoder(PeerState)


def encode_state(state):
    """Return the bytes of a :class:`PeerState`.

    Readers of an earlier build refuse a longer array, so that ``evacuated`` is left out
    if they have not asked for it.
    """
    fields = state[:-1] if state.evacuated is None else state
    return pack(msgspec.msgpack.encode(fields))


def decode_state(content):
    """Return the :class:`PeerState` in an answer.

    :raises MalformedResponse: the answer cannot be decoded.
    """
    return decode_untrusted(_decoder, unpack(content), "peer state")
