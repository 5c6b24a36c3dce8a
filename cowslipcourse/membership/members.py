"""Members and the revisions that list them."""

from enum import StrEnum
from typing import Any, NamedTuple

__all__ = ["Member", "Revision", "Role"]


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


class Revision(NamedTuple):
    """One revision: a configuration and the daemons that must run it.

    Every edit, join and eviction makes a new one.

    :param number: revision number, one more than the one before.
    :param members: daemons by name.
    :param configuration: declared objects as plain JSON data.
    :param configuration_number: revision of the edit that made the configuration.
    """

    number: int
    members: dict[str, Member]
    configuration: Any
    configuration_number: int = 0

    def lists(self, member):
        """Return whether exactly this run of the daemon is a member."""
        listed = self.members.get(member.name)
        return listed is not None and listed.incarnation == member.incarnation
