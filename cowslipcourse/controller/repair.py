"""Repair of groups with absent members."""

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
    """Readmits restarted members and carries out the decisions of a repair policy.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    :param policy: :class:`~cowslipcourse.placement.RepairPolicy`
    """

    def __init__(self, shard, policy=None):
        self._shard = shard
        self._policy = policy or CostPolicy()

    async def run(self):
        """Repair the groups that can be repaired in this round."""
        shard = self._shard
        for spec in list(shard.groups.specs.values()):
            await self._readmit_restarted(spec)
        declarations = {spec.declaration for spec in shard.groups.specs.values()}
        for name in sorted(declarations):
            if name in shard.fleet.configuration.group:
                await self._repair_declaration(name)

    async def _readmit_restarted(self, spec):
        """Readmit restarted members under a new epoch."""
        shard = self._shard
        members, has_changed = [], False
        for member in spec.members:
            vm, status = shard.vms.get(member.vm), shard.status(member.vm)
            is_present = vm is not None and status is not None
            if (
                is_present
                and status.incarnation == vm.incarnation != member.incarnation
            ):
                member = GroupMember(member.vm, vm.incarnation, vm.address)
                has_changed = True
            members.append(member)
        if not has_changed:
            return
        shard.require_lease()
        await shard.groups.change(
            spec._replace(epoch=spec.epoch + 1, members=tuple(members))
        )
        log.info("members-returned", group=spec.group, epoch=spec.epoch + 1)

    def _broken_groups(self, declaration):
        shard = self._shard
        broken = []
        for spec in shard.groups.specs.values():
            if spec.declaration != declaration:
                continue
            departing = shard.changes.departing_members(spec)
            if departing and not shard.changes.is_quiescent(spec):
                continue
            absent, unrecoverable = {}, set(departing)
            for vm_name in spec.vm_names:
                absent_s = shard.prober.absent_s(vm_name)
                if vm_name not in shard.vms:
                    unrecoverable.add(vm_name)
                if (
                    vm_name in unrecoverable
                    or absent_s >= shard.settings.repair.suspect_s
                ):
                    absent[vm_name] = absent_s
            if absent:
                names = spec.vm_names
                broken.append(
                    BrokenGroup(spec.group, names, absent, frozenset(unrecoverable))
                )
        return broken

    def _repair_view(self, declaration):
        shard = self._shard
        declared_group = shard.fleet.configuration.group[declaration]
        broken = self._broken_groups(declaration)
        if not broken:
            return None
        spares = free_vms(shard, declaration)
        site_policy = shard.fleet.configuration.site_policy
        weights_bytes = shard.fleet.configuration.model[
            declared_group.model
        ].weights_bytes
        repair_settings = shard.settings.repair
        concurrent_loads = max(
            1, repair_settings.loads_at_once - shard.orders.free_load_slots
        )
        weights_bytes_per_vm = weights_bytes / declared_group.vms_per_group
        spare_accelerators = [shard.vms[name].accelerators for name in spares[:1]]
        return RepairView(
            broken=tuple(broken),
            spares=tuple(spares),
            vms_per_group=declared_group.vms_per_group,
            accelerators_per_vm=spare_accelerators[0] if spare_accelerators else 8,
            load_s=0.1
            + weights_bytes_per_vm
            * concurrent_loads
            / repair_settings.weights_bytes_per_s,
            weights=Weights(site_policy.downtime_weight, site_policy.stranded_weight),
        )

    async def _repair_declaration(self, declaration):
        view = self._repair_view(declaration)
        if view is None:
            return
        for decision in self._policy.repair(view):
            if isinstance(decision, Replace):
                await self._replace_members(decision)

    async def _replace_members(self, decision):
        shard = self._shard
        spec = shard.groups.specs[decision.group]
        members = []
        for member in spec.members:
            name = decision.replacements.get(member.vm)
            if name is not None:
                vm = shard.vms[name]
                member = GroupMember(name, vm.incarnation, vm.address)
            members.append(member)
        new_spec = spec._replace(epoch=spec.epoch + 1, members=tuple(members))
        released = [
            vm_name
            for vm_name in decision.replacements
            if vm_name in shard.groups.claims
        ]
        shard.require_lease()
        if decision.donor:
            donor = shard.groups.specs[decision.donor]
            taken_vms = set(new_spec.vm_names)
            released += [
                vm_name for vm_name in donor.vm_names if vm_name not in taken_vms
            ]
            await shard.groups.merge(new_spec, released, decision.donor)
            shard.publisher.publish_dissolved(donor, shard.lease.fence, shard.probed_at)
        else:
            await shard.groups.change(new_spec, released)
        log.info(
            "group-repaired",
            group=spec.group,
            epoch=new_spec.epoch,
            replaced=",".join(decision.replacements),
            donor=decision.donor,
        )
