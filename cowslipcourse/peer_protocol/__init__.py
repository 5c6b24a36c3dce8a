"""Messages between daemons (liveness, versions, load, suspicions) and their state."""

from cowslipcourse.peer_protocol.change_datagrams import split_changes
from cowslipcourse.peer_protocol.digests import DigestWriter
from cowslipcourse.peer_protocol.messages import (
    CrashReports,
    Digest,
    EvacuatedSet,
    GroupUpdate,
    Heartbeat,
    LimitUpdate,
    Member,
    OpenedHead,
    PartAnswers,
    PartCleared,
    PartCrashes,
    PartInquiry,
    PermitRequest,
    PermitResponse,
    QuarantineUpdate,
    RequestCleared,
    SpeedReport,
    StatedLimit,
    TargetChanges,
    decode,
    encode,
)
from cowslipcourse.peer_protocol.registration import (
    Registration,
    decode_registration,
    encode_registration,
)
from cowslipcourse.peer_protocol.registry import PeerRegistry, registration_order
from cowslipcourse.peer_protocol.state import PeerState, decode_state, encode_state

__all__ = [
    "CrashReports",
    "Digest",
    "DigestWriter",
    "EvacuatedSet",
    "GroupUpdate",
    "Heartbeat",
    "LimitUpdate",
    "Member",
    "OpenedHead",
    "PartAnswers",
    "PartCleared",
    "PartCrashes",
    "PartInquiry",
    "PeerRegistry",
    "PeerState",
    "PermitRequest",
    "PermitResponse",
    "QuarantineUpdate",
    "Registration",
    "RequestCleared",
    "SpeedReport",
    "StatedLimit",
    "TargetChanges",
    "decode",
    "decode_registration",
    "decode_state",
    "encode",
    "encode_registration",
    "encode_state",
    "registration_order",
    "split_changes",
]
