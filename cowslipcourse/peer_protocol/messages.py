"""Datagrams between daemons: a letter for the type and a MessagePack array, packed."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.peer_protocol.compression import pack, unpack
from cowslipcourse.ports.addresses import Address
from cowslipcourse.quarantine import (
    CrashReport,
    ExitReport,
    PartAnswer,
    PartCrash,
    Verdict,
)
from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES

__all__ = [
    "CrashReports",
    "Digest",
    "EvacuatedSet",
    "ExitReports",
    "GroupUpdate",
    "Heartbeat",
    "LimitUpdate",
    "Member",
    "OpenedHead",
    "PartAnswers",
    "PartCleared",
    "PartCrashes",
    "PartHold",
    "PartInquiry",
    "PermitRequest",
    "PermitResponse",
    "ProbeGrant",
    "ProbeRequest",
    "QuarantineUpdate",
    "Relayed",
    "RequestCleared",
    "SpeedReport",
    "StatedLimit",
    "TargetChanges",
    "decode",
    "encode",
]


_PartFingerprint = Annotated[
    bytes, msgspec.Meta(min_length=FINGERPRINT_BYTES, max_length=FINGERPRINT_BYTES)
]

MAX_RATE_PER_S = 1e12
MAX_DURATION_S = 1e6
"""Bounds of decoded values, which exclude infinity."""

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0, le=MAX_RATE_PER_S)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]


class Member(NamedTuple):
    """A daemon as described to other daemons.

    :param name: name of the daemon.
    :param incarnation: Unix time in ns at which its process was started.
    :param registration_version: store version of its registration; 0 if it is not
        registered.
    :param peer_address: ``ip:port`` for datagrams and for reading its state.
    :param front_address: ``ip:port`` at which callers reach it.
    :param data_centre: data centre in which it runs.
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
    """State that a daemon sends to the other daemons of its data centre.

    :param member: the sender.
    :param sequence: number of the heartbeat within its incarnation.
    :param is_healthy: whether it reaches the engines and, if it reads the store, the
        store too, and is not about to stop.
    :param targets_version: store version up to which its target list is complete.
    :param in_flight: its requests in flight by target id.
    :param suspects: epoch of their group by id of targets that it found silent.
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
    """State of a data centre, sent by its reporters.

    It goes to the reporters of other data centres and, in a large data centre, to its
    own daemons.

    :param reporter: the sender.
    :param sequence: number of the digest within the incarnation of the sender.
    :param members: the daemons of its data centre that are alive, itself included;
        ``None`` if none has changed since the last digest that listed them.
    :param in_flight: their requests in flight by target id; ``None`` if the digest only
        shows that the sender is alive.
    :param suspects: epoch of their group by id of targets that they found silent.
    """

    reporter: Member
    sequence: _Count
    members: tuple[Member, ...] | None
    in_flight: dict[str, _Count] | None
    suspects: dict[str, _Count]


class TargetChanges(NamedTuple):
    """Changes of the target list, from a reporter to its data centre.

    :param base_version: store version that the receiver must have applied before.
    :param version: store version that the receiver has applied afterwards.
    :param changed: content of changed entries by target id.
    :param gone: ids of entries that were removed.
    """

    base_version: _Count
    version: _Count
    changed: dict[str, bytes]
    gone: tuple[str, ...]


class GroupUpdate(NamedTuple):
    """Decision of a coordinator on a group, for all daemons.

    The target list shows the same up to a second later.

    :param group: name of the group.
    :param epoch: epoch from which on the group may serve; heads of earlier epochs no
        longer serve.
    :param opened: its head if that was ordered to open, else ``None``.
    """

    group: Annotated[str, msgspec.Meta(min_length=1)]
    epoch: _Count
    opened: "OpenedHead | None" = None


class OpenedHead(NamedTuple):
    """The head of a group that begins to serve.

    :param engine: id of the head.
    :param incarnation: incarnation of the head that was ordered to open.
    :param model: model that it serves.
    :param serves_in_s: seconds until it begins to serve.
    """

    engine: str
    incarnation: _Count
    model: str
    serves_in_s: Annotated[float, msgspec.Meta(ge=0, le=60)]


class CrashReports(NamedTuple):
    """Crash reports for the daemons that evaluate the requests.

    :param reports: reports on any number of requests.
    """

    reports: tuple[CrashReport, ...]


class QuarantineUpdate(NamedTuple):
    """Verdicts on requests that must not be sent to targets, for all daemons.

    :param verdicts: verdicts whose ``until`` is in seconds from now.
    """

    verdicts: tuple[Verdict, ...]


class RequestCleared(NamedTuple):
    """A suspected or quarantined request was answered completely by a target.

    :param fingerprint: fingerprint of the request.
    """

    fingerprint: bytes


class ExitReports(NamedTuple):
    """Exits of targets for the daemons that evaluate the parts of prompts there.

    :param reports: what the sender reports of any number of targets of a service.
    """

    reports: tuple[ExitReport, ...]


class PartHold(NamedTuple):
    """Requests with a suspected part wait for some that are let through.

    :param part: fingerprint of the part.
    :param age_s: seconds since the last exit under a request with it.
    """

    part: _PartFingerprint
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]


class ProbeRequest(NamedTuple):
    """Asks for the permit to send one request with a held part.

    :param part: fingerprint of the part.
    :param address: address of the sender, for the response.
    """

    part: _PartFingerprint
    address: Address


class ProbeGrant(NamedTuple):
    """Permits the receiver to send one request with a held part.

    :param part: fingerprint of the part.
    """

    part: _PartFingerprint


class PartCrashes(NamedTuple):
    """Crashes by parts, as earlier builds report them.

    :param crashes: crashes of any number of targets.
    """

    crashes: tuple[PartCrash, ...]


class PartInquiry(NamedTuple):
    """Asks all daemons for answers to requests with parts that are suspected.

    :param parts: fingerprints of the parts.
    """

    parts: tuple[_PartFingerprint, ...]


class PartAnswers(NamedTuple):
    """Answers to requests with suspected parts, for the daemons that evaluate these.

    :param answers: the last answer for each part.
    """

    answers: tuple[PartAnswer, ...]


class PartCleared(NamedTuple):
    """A quarantined part is sound, as a request with it was answered.

    :param part: fingerprint of the part.
    :param age_s: seconds since its quarantine was lifted.
    """

    part: _PartFingerprint
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]


class EvacuatedSet(NamedTuple):
    """The evacuated data centres, for other daemons.

    :param version: store version at which they were read.
    :param data_centres: their names.
    :param age_s: seconds since a daemon has read them from the store.
    """

    version: _Count
    data_centres: tuple[str, ...]
    age_s: _Duration


class StatedLimit(NamedTuple):
    """Rate limit that a target has stated, as a part of other messages.

    :param target: id of the target.
    :param incarnation: its incarnation.
    :param service: its service.
    :param limit_per_s: requests per second from all daemons together, or ``None``.
    :param age_s: seconds since it has stated that.
    """

    target: str
    incarnation: _Count
    service: str
    limit_per_s: _Rate | None
    age_s: _Duration


class LimitUpdate(NamedTuple):
    """Rate limits of targets, for all daemons.

    :param limits: newest statements of any number of targets.
    """

    limits: tuple[StatedLimit, ...]


class PermitRequest(NamedTuple):
    """Request for a permit to send a request to a rate-limited target.

    :param number: number of the permit request, unique for its sender.
    :param address: address of the sender, for the response.
    :param data_centre: data centre of the target.
    :param limit: the target and its limit as the sender knows it.
    """

    number: _Count
    address: Address
    data_centre: str
    limit: StatedLimit


class PermitResponse(NamedTuple):
    """Response to a :class:`PermitRequest`.

    :param number: number of the permit request.
    :param is_granted: whether the request may be sent now.
    :param wait_s: seconds to wait before the next permit request otherwise.
    :param limit: the target and its limit as the sender knows it.
    """

    number: _Count
    is_granted: bool
    wait_s: _Duration
    limit: StatedLimit


class SpeedReport(NamedTuple):
    """Targets that daemons have found slow, or normal although others say slow.

    :param sender: name of the sender.
    :param data_centre: data centre whose daemons have observed it.
    :param is_summary: whether a reporter tells it of all its daemons.
    :param percents: times of the targets in percent of those of their peers, by
        target id.
    """

    sender: str
    data_centre: str
    is_summary: bool
    percents: dict[str, _Count]


class Relayed(NamedTuple):
    """A message that reporters of other data centres relay to the daemons of theirs.

    :param content: the encoded message.
    """

    content: bytes


_TYPE_BY_LETTER = {
    b"A": PermitResponse,
    b"B": PartAnswers,
    b"C": CrashReports,
    b"D": Digest,
    b"E": EvacuatedSet,
    b"F": Relayed,
    b"G": GroupUpdate,
    b"H": Heartbeat,
    b"I": PartInquiry,
    b"K": PartCrashes,
    b"L": LimitUpdate,
    b"P": PermitRequest,
    b"Q": QuarantineUpdate,
    b"R": RequestCleared,
    b"S": PartCleared,
    b"T": TargetChanges,
    b"V": SpeedReport,
    b"W": PartHold,
    b"X": ExitReports,
    b"Y": ProbeRequest,
    b"Z": ProbeGrant,
}
_LETTER_BY_TYPE = {
    message_type: letter for letter, message_type in _TYPE_BY_LETTER.items()
}
_encoder = msgspec.msgpack.Encoder()
_decoder_by_letter = {
    letter: msgspec.msgpack.Decoder(message_type)
    for letter, message_type in _TYPE_BY_LETTER.items()
}


def encode(message):
    """Return the bytes of a message."""
    return pack(_LETTER_BY_TYPE[type(message)] + _encoder.encode(message))


def decode(content):
    """Return the message in a datagram.

    :raises MalformedResponse: the datagram cannot be decoded.
    """
    content = unpack(content)
    decoder = _decoder_by_letter.get(content[:1])
    if decoder is None:
        raise MalformedResponse("datagram of unknown type")
    return decode_untrusted(decoder, content[1:], "datagram")
