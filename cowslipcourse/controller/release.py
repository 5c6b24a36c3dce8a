"""Free VMs that left their group, once they hold nothing any more."""

from cowslipcourse.daemon import now

__all__ = ["VmRelease"]


class VmRelease:
    """Unloads released VMs and frees them after the fact.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard

    async def run(self):
        """Free what is proven free and unload the rest."""
        shard = self._shard
        released = [c for c in shard.groups.claims.values() if c.releasing]
        freed = [claim.vm for claim in released if self._holds_nothing(claim)]
        if freed:
            shard.require_lease()
            await shard.groups.free(freed)
        for claim in released:
            if claim.vm not in freed:
                await self._unload(claim.vm)
        await self._unload_strays()

    def _holds_nothing(self, claim):
        """Whether ground truth says that the VM no longer holds the group.

        It says so if the engine is idle, or the VM is no longer listed: its name
        cannot come back with the old engine, since only a listed incarnation that
        answers for itself is ever taken into a group.
        """
        vm = self._shard.vms.get(claim.vm)
        if vm is None:
            age_s = self._shard.fleet.vm_list_age_s
            return age_s is not None and age_s < self._shard.settings.time.lease_term_s
        return self._shard.idle_long_enough(claim.vm)

    async def _unload(self, name):
        vm = self._shard.vms.get(name)
        status = self._shard.status(name)
        if vm is None or status is None or self._shard.idle_long_enough(name):
            return
        if status.state != "idle" or status.group:
            await self._shard.orders.unload(self._shard.lease, name, vm.address)

    async def _unload_strays(self):
        """Unload engines that hold a group which the table does not know of."""
        shard = self._shard
        if now() - shard.taken_at < shard.settings.repair.order_in_flight_s:
            return
        for names in shard.resolved_configuration.group_vms.values():
            for name in names:
                if name in shard.vms and name not in shard.groups.claims:
                    await self._unload(name)
