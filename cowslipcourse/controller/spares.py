"""Selection of a shard's free VMs."""

from cowslipcourse.fleet import VmState

__all__ = ["free_vms"]


def free_vms(shard, declaration):
    """Return the names of VMs that may join a group, in the resolved order.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    :param declaration: name of the group declaration that selects the VMs.
    """
    free = []
    for vm_name in shard.resolved_configuration.group_vms.get(declaration, ()):
        vm = shard.vms.get(vm_name)
        if vm is None or vm_name in shard.groups.claims:
            continue
        if (
            vm.state == VmState.LEAVING
            or vm_name in shard.resolved_configuration.draining
        ):
            continue
        status = shard.status(vm_name)
        if status is None or status.incarnation != vm.incarnation:
            continue
        if shard.is_proven_idle(vm_name):
            free.append(vm_name)
    return free
