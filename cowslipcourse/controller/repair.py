"""Repair of groups that lack members."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.spares import free_vms
from cowslipcourse.fleet import GroupMember
from cowslipcourse.placement import (
    BrokenGroup,
    CostPolicy,
    RepairView,
    Replace,
    Weights,
)

__all__ = ["GroupRepair"]

log = get_logger(__name__)


class GroupRepair:
    """Takes returned members back in and carries out repair decisions.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    :param policy: :class:`~cowslipcourse.placement.RepairPolicy`
    """

    def __init__(self, shard, policy=None):
        self._shard = shard
        self._policy = policy or CostPolicy()

    async def run(self):
        """Repair what can be repaired in this round."""
        shard = self._shard
        for spec in list(shard.groups.specs.values()):
            await self._take_back(spec)
        declarations = {s.declaration for s in shard.groups.specs.values()}
        for name in sorted(declarations):
            if name in shard.fleet.configuration.group:
                await self._repair(name)

    async def _take_back(self, spec):
        """Take restarted members in again under a new epoch."""
        shard = self._shard
        members, changed = [], False
        for member in spec.members:
            vm, status = shard.vms.get(member.vm), shard.status(member.vm)
            known = vm is not None and status is not None
            if known and status.incarnation == vm.incarnation != member.incarnation:
                member = GroupMember(member.vm, vm.incarnation, vm.address)
                changed = True
            members.append(member)
        if not changed:
            return
        shard.require_lease()
        await shard.groups.change(
            spec._replace(epoch=spec.epoch + 1, members=tuple(members))
        )
        log.info("members-returned", group=spec.group, epoch=spec.epoch + 1)

    def _broken(self, declaration):
        shard = self._shard
        broken = []
        for spec in shard.groups.specs.values():
            if spec.declaration != declaration:
                continue
            departing = shard.changes.departing(spec)
            if departing and not shard.changes.is_quiet(spec):
                continue
            absent, unrecoverable = {}, set(departing)
            for name in spec.vm_names:
                absent_s = shard.prober.absent_s(name)
                if name not in shard.vms:
                    unrecoverable.add(name)
                if name in unrecoverable or absent_s >= shard.settings.repair.suspect_s:
                    absent[name] = absent_s
            if absent:
                names = spec.vm_names
                broken.append(
                    BrokenGroup(spec.group, names, absent, frozenset(unrecoverable))
                )
        return broken

    def _view(self, declaration):
        shard = self._shard
        declared = shard.fleet.configuration.group[declaration]
        broken = self._broken(declaration)
        if not broken:
            return None
        spares = free_vms(shard, declaration)
        site = shard.fleet.configuration.site_policy
        weights_bytes = shard.fleet.configuration.model[declared.model].weights_bytes
        repair = shard.settings.repair
        loading = max(1, repair.loads_at_once - shard.orders.free_loads)
        share_bytes = weights_bytes / declared.vms_per_group
        accelerators = [shard.vms[name].accelerators for name in spares[:1]]
        return RepairView(
            broken=tuple(broken),
            spares=tuple(spares),
            vms_per_group=declared.vms_per_group,
            accelerators_per_vm=accelerators[0] if accelerators else 8,
            load_s=0.1 + share_bytes * loading / repair.weights_bytes_per_s,
            weights=Weights(site.downtime_weight, site.stranded_weight),
        )

    async def _repair(self, declaration):
        view = self._view(declaration)
        if view is None:
            return
        for decision in self._policy.repair(view):
            if isinstance(decision, Replace):
                await self._replace(decision)

    async def _replace(self, decision):
        shard = self._shard
        spec = shard.groups.specs[decision.group]
        members = []
        for member in spec.members:
            name = decision.replacements.get(member.vm)
            if name is not None:
                vm = shard.vms[name]
                member = GroupMember(name, vm.incarnation, vm.address)
            members.append(member)
        changed = spec._replace(epoch=spec.epoch + 1, members=tuple(members))
        released = [n for n in decision.replacements if n in shard.groups.claims]
        shard.require_lease()
        if decision.donor:
            donor = shard.groups.specs[decision.donor]
            taken = set(changed.vm_names)
            released += [n for n in donor.vm_names if n not in taken]
            await shard.groups.merge(changed, released, decision.donor)
            shard.publisher.publish_gone(donor, shard.lease.fence, shard.probed_at)
        else:
            await shard.groups.change(changed, released)
        log.info(
            "group-repaired",
            group=spec.group,
            epoch=changed.epoch,
            replaced=",".join(decision.replacements),
            donor=decision.donor,
        )
