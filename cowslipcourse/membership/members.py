"""Members, and the revisions that list them."""

from enum import StrEnum
from typing import Any, NamedTuple

__all__ = ["Member", "MemberList", "Revision", "Role"]


class Role(StrEnum):
    """Role of a daemon."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"


class Member(NamedTuple):
    """One incarnation of a daemon.

    :param name: daemon name from its settings.
    :param incarnation: unique to each start of the process.
    :param role: gateway or controller.
    :param data_centre: data centre from its settings.
    :param peer_address: ``ip:port`` at which other daemons reach it.
    :param public_address: base URL at which callers or operators reach it.
    """

    name: str
    incarnation: str
    role: Role
    data_centre: str
    peer_address: str
    public_address: str


class MemberList(NamedTuple):
    """Members listed from one revision until the next list.

    :param first_revision_number: number of the first revision with this list.
    :param identities: ``(incarnation, peer address)`` by daemon name.
    """

    first_revision_number: int
    identities: dict[str, tuple[str, str]]


class Revision(NamedTuple):
    """A configuration and the members that must run it.

    Each edit, join and eviction creates a new revision.

    :param number: revision number, one more than that of the previous revision.
    :param members: :class:`Member` by daemon name.
    :param configuration: declared objects as plain JSON data.
    :param configuration_number: number of the revision whose edit created the
        configuration.
    :param lists: member lists since the last accepted revision, the current one
        last.
    """

    number: int
    members: dict[str, Member]
    configuration: Any
    configuration_number: int = 0
    lists: tuple[MemberList, ...] = ()

    def includes(self, member):
        """Return whether this incarnation of the daemon is a member."""
        listed = self.members.get(member.name)
        return listed is not None and listed.incarnation == member.incarnation

    def next(self, members, last_accepted):
        """Return the next revision, with the given members.

        :param members: :class:`Member` by daemon name.
        :param last_accepted: number of the last accepted revision; lists replaced by
            then are dropped.
        """
        number = self.number + 1
        lists = self.lists
        if members != self.members or not lists:
            identities = {
                name: (member.incarnation, member.peer_address)
                for name, member in members.items()
            }
            lists = (*lists, MemberList(number, identities))
        while len(lists) > 1 and lists[1].first_revision_number <= last_accepted:
            lists = lists[1:]
        return self._replace(number=number, members=dict(members), lists=lists)
