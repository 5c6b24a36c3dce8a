"""Groups: VMs that serve one replica of a model together."""

from typing import NamedTuple

__all__ = ["GroupMember", "GroupSpec"]


class GroupMember(NamedTuple):
    """A VM as a member of a group.

    :param vm: VM name.
    :param incarnation: incarnation of the VM that was taken in.
    :param address: base URL of its engine.
    """

    vm: str
    incarnation: str
    address: str


class GroupSpec(NamedTuple):
    """A group as the table holds it.

    :param group: group id.
    :param domain: fabric domain.
    :param data_centre: data centre.
    :param declaration: group declaration that it was formed for.
    :param model: model that it serves.
    :param version: version of the model.
    :param adapters: adapters loaded beside it.
    :param epoch: grows with every change of members or version.
    :param members: the leader first.
    :param state: ``active``, or ``dissolving`` once it is being given up.
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
