"""Conversion of membership messages to and from protocol buffers."""

import msgspec

from cowslipcourse.adapters.peer import peer_pb2
from cowslipcourse.membership import (
    Heartbeat,
    HeartbeatAnswer,
    Member,
    MemberList,
    Record,
    Revision,
    Role,
)

__all__ = [
    "decode_heartbeat",
    "decode_heartbeat_answer",
    "encode_heartbeat",
    "encode_heartbeat_answer",
    "member_lists_from_rows",
    "members_from_rows",
    "members_to_rows",
]


def members_to_rows(members):
    """Return members by name, converted to plain lists for JSON."""
    return {name: list(member) for name, member in members.items()}


def members_from_rows(rows):
    """Return members by name, converted from plain lists."""
    members = (Member(*values) for values in rows.values())
    return {m.name: m._replace(role=Role(m.role)) for m in members}


def member_lists_from_rows(rows):
    """Return member lists, converted from plain lists."""
    return tuple(msgspec.convert(row, MemberList) for row in rows)


def _encode_revision(revision):
    return msgspec.json.encode(
        {**revision._asdict(), "members": members_to_rows(revision.members)}
    )


def _decode_revision(content):
    fields = msgspec.json.decode(content)
    members = members_from_rows(fields.pop("members"))
    lists = member_lists_from_rows(fields.pop("lists"))
    return Revision(members=members, lists=lists, **fields)


def encode_heartbeat(heartbeat):
    """Return a ``HeartbeatRequest``."""
    return peer_pb2.HeartbeatRequest(**heartbeat._asdict())


def decode_heartbeat(message):
    """Return a :class:`~cowslipcourse.membership.Heartbeat`."""
    return Heartbeat(
        name=message.name,
        incarnation=message.incarnation,
        revision=message.revision,
        configuration_number=message.configuration_number,
        position_incarnation=message.position_incarnation,
        position=message.position,
        silent=frozenset(message.silent),
    )


def encode_heartbeat_answer(heartbeat_answer):
    """Return a ``HeartbeatReply``."""
    reply = peer_pb2.HeartbeatReply(
        incarnation=heartbeat_answer.incarnation,
        revision=heartbeat_answer.revision,
        stopped=heartbeat_answer.stopped,
        position=heartbeat_answer.position,
        silent=heartbeat_answer.silent,
    )
    if heartbeat_answer.newer_revision is not None:
        reply.revision_content = _encode_revision(heartbeat_answer.newer_revision)
    for record in heartbeat_answer.records:
        reply.records.add(
            key=record.key,
            fence=record.fence,
            sequence=record.sequence,
            value=record.value,
            age_s=record.observed_at,
            origin=record.origin,
        )
    return reply


def decode_heartbeat_answer(reply):
    """Return a :class:`~cowslipcourse.membership.HeartbeatAnswer`."""
    content = reply.revision_content
    records = (
        Record(r.key, r.fence, r.sequence, r.value, r.age_s, r.origin)
        for r in reply.records
    )
    return HeartbeatAnswer(
        incarnation=reply.incarnation,
        revision=reply.revision,
        stopped=reply.stopped,
        position=reply.position,
        silent=frozenset(reply.silent),
        newer_revision=_decode_revision(content) if content else None,
        records=tuple(records),
    )
