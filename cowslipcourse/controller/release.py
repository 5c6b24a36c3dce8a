"""Release of VMs that left their group."""

from cowslipcourse.daemon import now

__all__ = ["VmRelease"]


class VmRelease:
    """Unloads VMs that left their group, and frees them once they are empty.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard

    async def run(self):
        """Free the VMs that are proven empty and unload the others."""
        shard = self._shard
        releasing = [c for c in shard.groups.claims.values() if c.releasing]
        emptied_vms = [claim.vm for claim in releasing if self._is_proven_empty(claim)]
        if emptied_vms:
            shard.require_lease()
            await shard.groups.delete_claims(emptied_vms)
        for claim in releasing:
            if claim.vm not in emptied_vms:
                await self._unload(claim.vm)
        await self._unload_unclaimed()

    def _is_proven_empty(self, claim):
        """Whether the VM certainly no longer holds the group's assignment.

        This is so if its engine is proven idle, or if a recently read list no longer
        has the VM: the old engine cannot return under its name, as only a listed
        incarnation that answers for itself ever joins a group.
        """
        vm = self._shard.vms.get(claim.vm)
        if vm is None:
            age_s = self._shard.fleet.vm_list_age_s
            return age_s is not None and age_s < self._shard.settings.time.lease_term_s
        return self._shard.is_proven_idle(claim.vm)

    async def _unload(self, vm_name):
        vm = self._shard.vms.get(vm_name)
        status = self._shard.status(vm_name)
        if vm is None or status is None or self._shard.is_proven_idle(vm_name):
            return
        if status.state != "idle" or status.group:
            await self._shard.orders.unload(self._shard.lease, vm_name, vm.address)

    async def _unload_unclaimed(self):
        """Unload engines that hold a group although the table has no claim on them."""
        shard = self._shard
        if now() - shard.acquired_at < shard.settings.repair.order_in_flight_s:
            return
        for names in shard.resolved_configuration.group_vms.values():
            for vm_name in names:
                if vm_name in shard.vms and vm_name not in shard.groups.claims:
                    await self._unload(vm_name)
