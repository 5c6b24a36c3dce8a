"""Values that describe the fleet: VMs, groups and label selectors."""

from cowslipcourse.fleet.groups import GroupMember, GroupSpec
from cowslipcourse.fleet.selectors import Requirement, Selector, parse_selector
from cowslipcourse.fleet.vms import VM, TargetKind, VmState

__all__ = [
    "VM",
    "GroupMember",
    "GroupSpec",
    "Requirement",
    "Selector",
    "TargetKind",
    "VmState",
    "parse_selector",
]
