"""Datagrams between daemons: a letter for the kind and a MessagePack array, packed."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.peers.packing import pack, unpack
from cowslipcourse.ports.addresses import Address
from cowslipcourse.quarantine import CrashReport, Verdict

__all__ = [
    "CrashReports",
    "Digest",
    "GroupUpdate",
    "Heartbeat",
    "Member",
    "OpenedHead",
    "QuarantineUpdate",
    "RequestCleared",
    "TargetChanges",
    "decode",
    "encode",
]


_Count = Annotated[int, msgspec.Meta(ge=0)]


class Member(NamedTuple):
    """A daemon as others need to know it.

    :param name: name of the daemon.
    :param incarnation: run of its process.
    :param registration_version: store version of its registration; 0 if not registered.
    :param peer_address: ``ip:port`` for datagrams and for reading its state.
    :param front_address: ``ip:port`` for callers.
    :param data_centre: where it runs.
    :param is_ready: whether callers may be sent to it.
    :param configuration_version: version of its configuration, 0 for none.
    """

    name: str
    incarnation: _Count
    registration_version: _Count
    peer_address: Address
    front_address: Address
    data_centre: str
    is_ready: bool
    configuration_version: _Count


class Heartbeat(NamedTuple):
    """What a daemon tells the others of its data centre.

    :param member: the sender.
    :param sequence: counts the heartbeats of its run.
    :param is_healthy: whether it reaches the store, if it asks it, and the engines, and
        is not about to stop.
    :param targets_version: store version up to which its list of targets is complete.
    :param in_flight: its requests in flight by target id.
    :param suspects: targets that it found silent, with the epoch of their group.
    :param interval_s: seconds until its next heartbeat.
    """

    member: Member
    sequence: _Count
    is_healthy: bool
    targets_version: _Count
    in_flight: dict[str, _Count]
    suspects: dict[str, _Count]
    interval_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 0.25


class Digest(NamedTuple):
    """What the reporter of a data centre tells the other data centres.

    :param reporter: the sender.
    :param sequence: counts the digests of its run.
    :param members: the daemons of its data centre that are alive, itself included;
        ``None`` if none has changed since the last digest that listed them.
    :param in_flight: their requests in flight by target id; ``None`` if this only says
        that the sender lives.
    :param suspects: targets that they found silent, with the epoch of their group.
    """

    reporter: Member
    sequence: _Count
    members: tuple[Member, ...] | None
    in_flight: dict[str, _Count] | None
    suspects: dict[str, _Count]


class TargetChanges(NamedTuple):
    """Changes of the list of targets, from a reporter to its data centre.

    :param after: store version that a reader must know already.
    :param version: store version that it knows then.
    :param changed: content of changed entries by target id.
    :param gone: ids of entries that were dropped.
    """

    after: _Count
    version: _Count
    changed: dict[str, bytes]
    gone: tuple[str, ...]


class GroupUpdate(NamedTuple):
    """What a coordinator has decided about a group, for all daemons.

    The list of targets tells the same, up to a second later.

    :param group: name of the group.
    :param epoch: epoch from which on it may serve; heads of earlier ones no longer do.
    :param opened: what its head serves, if it was told to open.
    """

    group: Annotated[str, msgspec.Meta(min_length=1)]
    epoch: _Count
    opened: "OpenedHead | None" = None


class OpenedHead(NamedTuple):
    """The head of a group that begins to serve.

    :param engine: id of the head.
    :param incarnation: life of the head that was told to open.
    :param model: model that it serves.
    :param serves_in_s: seconds until it serves.
    """

    engine: str
    incarnation: _Count
    model: str
    serves_in_s: Annotated[float, msgspec.Meta(ge=0, le=60)]


class CrashReports(NamedTuple):
    """Targets that ended under requests, for those daemons that judge the requests.

    :param reports: of any number of requests.
    """

    reports: tuple[CrashReport, ...]


class QuarantineUpdate(NamedTuple):
    """Requests that are not to be sent to targets, for all daemons.

    :param verdicts: their times are seconds from now on.
    """

    verdicts: tuple[Verdict, ...]


class RequestCleared(NamedTuple):
    """A target has answered a request whole that is suspected or quarantined.

    :param fingerprint: of the request.
    """

    fingerprint: bytes


_KINDS = {
    b"C": CrashReports,
    b"D": Digest,
    b"G": GroupUpdate,
    b"H": Heartbeat,
    b"Q": QuarantineUpdate,
    b"R": RequestCleared,
    b"T": TargetChanges,
}
_LETTERS = {kind: letter for letter, kind in _KINDS.items()}
_encoder = msgspec.msgpack.Encoder()
_decoders = {letter: msgspec.msgpack.Decoder(kind) for letter, kind in _KINDS.items()}


def encode(message):
    """Return the bytes of a message."""
    return pack(_LETTERS[type(message)] + _encoder.encode(message))


def decode(content):
    """Return the message in a datagram.

    :raises MalformedResponse: it cannot be read.
    """
    content = unpack(content)
    decoder = _decoders.get(content[:1])
    if decoder is None:
        raise MalformedResponse("a datagram of an unknown kind")
    return decode_untrusted(decoder, content[1:], "datagram")
