"""Inputs and results of repair decisions."""

from typing import NamedTuple

__all__ = ["BrokenGroup", "RepairView", "Replace", "Wait", "Weights"]


class Weights(NamedTuple):
    """Cost weights of a site.

    :param downtime: cost of one group not serving for a second.
    :param stranded: cost of one healthy accelerator unusable for a second.
    """

    downtime: float
    stranded: float


class BrokenGroup(NamedTuple):
    """A group that lacks members.

    :param group: group id.
    :param members: all its VM names.
    :param absent: seconds of absence by name of absent member.
    :param unrecoverable: absent members that will not return with this incarnation.
    """

    group: str
    members: tuple[str, ...]
    absent: dict[str, float]
    unrecoverable: frozenset[str] = frozenset()

    @property
    def healthy(self):
        """Names of members that are present, in order."""
        return tuple(name for name in self.members if name not in self.absent)


class RepairView(NamedTuple):
    """Broken groups of one declaration in one fabric domain, and free VMs.

    :param broken: broken groups.
    :param spares: names of free healthy VMs.
    :param vms_per_group: size of a group.
    :param accelerators_per_vm: accelerators of one VM.
    :param load_s: current seconds to load a member, including the queue.
    :param weights: :class:`Weights`
    """

    broken: tuple[BrokenGroup, ...]
    spares: tuple[str, ...]
    vms_per_group: int
    accelerators_per_vm: int
    load_s: float
    weights: Weights


class Wait(NamedTuple):
    """Leave the group as it is for now."""

    group: str


class Replace(NamedTuple):
    """Put other VMs in the place of absent members.

    :param group: group id.
    :param replacements: new VM name by absent member.
    :param donor: broken group to be dissolved for its VMs, or empty.
    """

    group: str
    replacements: dict[str, str]
    donor: str = ""
