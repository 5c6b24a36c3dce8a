"""Messages between members."""

from typing import NamedTuple

from cowslipcourse.membership.members import Revision
from cowslipcourse.membership.records import Record

__all__ = ["Heartbeat", "HeartbeatAnswer"]


class Heartbeat(NamedTuple):
    """An answered probe that also asks for news.

    :param name: asking daemon.
    :param incarnation: its run.
    :param revision: revision that it runs.
    :param configuration_number: newest configuration that it holds.
    :param position_incarnation: run of the answering daemon that ``position`` is of.
    :param position: position in the answering daemon's records seen so far.
    :param silent: members that it cannot reach and whose records it wants relayed.
    """

    name: str
    incarnation: str
    revision: int
    configuration_number: int
    position_incarnation: str
    position: int
    silent: frozenset[str]


class HeartbeatAnswer(NamedTuple):
    """The answer to a heartbeat.

    :param incarnation: run of the answering daemon.
    :param revision: revision that it runs.
    :param stopped: whether it takes no new work.
    :param position: position of its last record.
    :param silent: members that it cannot reach.
    :param newer_revision: its revision if the asker's is older, else ``None``.
    :param records: records that the asker lacks, ``observed_at`` replaced by the age
        in seconds.
    """

    incarnation: str
    revision: int
    stopped: bool
    position: int
    silent: frozenset[str]
    newer_revision: Revision | None
    records: tuple[Record, ...]
