"""Groups of VMs that serve one replica of a model together."""

from typing import NamedTuple

__all__ = ["GroupMember", "GroupSpec"]


class GroupMember(NamedTuple):
    """A VM as a member of a group.

    :param vm: VM name.
    :param incarnation: incarnation of the VM when it joined the group.
    :param address: base URL of its engine.
    """

    vm: str
    incarnation: str
    address: str


class GroupSpec(NamedTuple):
    """A group as stored in the table.

    :param group: group id.
    :param domain: fabric domain.
    :param data_centre: data centre.
    :param declaration: name of the group declaration that it implements.
    :param model: served model.
    :param version: version of the model.
    :param adapters: adapters loaded beside the model.
    :param epoch: number that increases with every change of members or version.
    :param members: :class:`GroupMember`, the leader first.
    :param state: ``active``, or ``dissolving`` while it is being removed.
    """

    group: str
    domain: str
    data_centre: str
    declaration: str
    model: str
    version: str
    adapters: tuple[str, ...]
    epoch: int
    members: tuple[GroupMember, ...]
    state: str = "active"

    @property
    def leader(self):
        """The member that takes requests."""
        return self.members[0]

    @property
    def vm_names(self):
        """Names of the member VMs, the leader first."""
        return tuple(member.vm for member in self.members)
