"""Heartbeat messages between members."""

from typing import NamedTuple

from cowslipcourse.membership.members import Revision
from cowslipcourse.membership.records import Record

__all__ = ["Heartbeat", "HeartbeatAnswer"]


class Heartbeat(NamedTuple):
    """Liveness probe that also requests newer revisions and records.

    The fields are passed to the protobuf message by name.

    :param name: name of the sender.
    :param incarnation: incarnation of the sender.
    :param revision: number of the revision that the sender runs.
    :param configuration_number: number of the newest configuration that the sender
        holds.
    :param position_incarnation: incarnation of the receiver that ``position`` refers
        to.
    :param position: position up to which the sender has the receiver's records.
    :param silent: names of members that the sender cannot reach and whose records it
        wants relayed.
    """

    name: str
    incarnation: str
    revision: int
    configuration_number: int
    position_incarnation: str
    position: int
    silent: frozenset[str]


class HeartbeatAnswer(NamedTuple):
    """Answer to a heartbeat.

    :param incarnation: incarnation of the responder.
    :param revision: number of the revision that the responder runs.
    :param stopped: whether the responder accepts no new work.
    :param position: position of the responder's last record change.
    :param silent: names of members that the responder cannot reach.
    :param newer_revision: the responder's revision if the requester's is older, else
        ``None``; without the configuration if the requester has that.
    :param records: records that the requester lacks, with their age in seconds in
        ``observed_at``.
    """

    incarnation: str
    revision: int
    stopped: bool
    position: int
    silent: frozenset[str]
    newer_revision: Revision | None
    records: tuple[Record, ...]
