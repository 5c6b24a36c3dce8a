"""Free VMs of a shard."""

from cowslipcourse.fleet import VmState

__all__ = ["free_vms"]


def free_vms(shard, declaration):
    """Return the names of VMs that may be taken into a group, in order.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    :param declaration: group declaration that must select them.
    """
    free = []
    for name in shard.resolved_configuration.group_vms.get(declaration, ()):
        vm = shard.vms.get(name)
        if vm is None or name in shard.groups.claims:
            continue
        if vm.state == VmState.LEAVING or name in shard.resolved_configuration.draining:
            continue
        status = shard.status(name)
        if status is None or status.incarnation != vm.incarnation:
            continue
        if shard.idle_long_enough(name):
            free.append(name)
    return free
