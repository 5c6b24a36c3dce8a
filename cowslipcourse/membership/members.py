"""Members and the revisions that list them."""

from enum import StrEnum
from typing import Any, NamedTuple

__all__ = ["Member", "MemberList", "Revision", "Role"]


class Role(StrEnum):
    """What a daemon does."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Member(NamedTuple):
    """One run of one daemon.

    :param name: name from its settings.
    :param incarnation: unique to this run of the process.
    :param role: gateway or controller.
    :param data_centre: data centre from its settings.
    :param peer_address: ``ip:port`` for other daemons.
    :param public_address: base URL for callers or operators.
    """

    name: str
    incarnation: str
    role: Role
    data_centre: str
    peer_address: str
    public_address: str


class MemberList(NamedTuple):
    """Who was listed from some revision on, until the next list.

    :param first_revision_number: number of the first revision with this list.
    :param runs: ``(incarnation, peer address)`` by daemon name.
    """

    first_revision_number: int
    runs: dict[str, tuple[str, str]]


class Revision(NamedTuple):
    """One revision: a configuration and the daemons that must run it.

    Every edit, join and eviction makes a new one.

    :param number: revision number, one more than the one before.
    :param members: daemons by name.
    :param configuration: declared objects as plain JSON data.
    :param configuration_number: revision of the edit that made the configuration.
    :param lists: member lists since the last accepted revision, the present one last.
    """

    number: int
    members: dict[str, Member]
    configuration: Any
    configuration_number: int = 0
    lists: tuple[MemberList, ...] = ()

    def includes(self, member):
        """Return whether exactly this run of the daemon is a member."""
        listed = self.members.get(member.name)
        return listed is not None and listed.incarnation == member.incarnation

    def next(self, members, accepted):
        """Return the next revision, with other members.

        :param members: daemons by name.
        :param accepted: last accepted revision number; older lists are dropped.
        """
        number = self.number + 1
        lists = self.lists
        if members != self.members or not lists:
            runs = {n: (m.incarnation, m.peer_address) for n, m in members.items()}
            lists = (*lists, MemberList(number, runs))
        while len(lists) > 1 and lists[1].first_revision_number <= accepted:
            lists = lists[1:]
        return self._replace(number=number, members=dict(members), lists=lists)
