"""Formation of declared groups, and detection of groups beyond the declared count."""

import secrets

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.spares import free_vms
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import GROUP_PREFIX, decode_report
from cowslipcourse.fleet import GroupMember, GroupSpec, VmState
from cowslipcourse.placement import Demand, allocate

__all__ = ["GroupFormation"]

MIN_EXCESS_S = 10.0
"""Seconds for which a group must be in excess before it is dissolved."""

log = get_logger(__name__)


class GroupFormation:
    """Brings the number of groups in the domain to its share of the declared count.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._excess_since = {}

    async def run(self):
        """Form missing groups, and mark groups beyond the domain's share as excess."""
        excess = set()
        for name, declared_group in self._shard.fleet.configuration.group.items():
            formed_by_domain = self._count_formed(name)
            wanted_by_domain = allocate(
                self._demand(name, declared_group, formed_by_domain)
            )
            own_count = formed_by_domain.get(self._shard.domain, 0)
            target_count = wanted_by_domain.get(self._shard.domain, 0)
            if own_count < target_count:
                await self._form_groups(name, declared_group, target_count - own_count)
            if (
                own_count > target_count
                and sum(formed_by_domain.values()) > declared_group.count
            ):
                excess |= self._persistent_excess(name, own_count - target_count)
            else:
                self._excess_since.pop(name, None)
        self._shard.changes.set_excess_groups(excess)

    def _count_formed(self, declaration):
        """Count groups by domain: this domain's from the table, others from reports."""
        counts = {}
        for record in self._shard.agent.records.with_prefix(GROUP_PREFIX):
            spec = decode_report(record).spec
            if spec.declaration == declaration and spec.state == "active":
                counts[spec.domain] = counts.get(spec.domain, 0) + 1
        own_specs = self._shard.groups.specs.values()
        counts[self._shard.domain] = sum(
            spec.declaration == declaration for spec in own_specs
        )
        return counts

    def _demand(self, declaration, declared_group, formed_by_domain):
        resolved = self._shard.resolved_configuration
        candidates = {}
        for name in resolved.group_vms.get(declaration, ()):
            vm = resolved.vms[name]
            if vm.state == VmState.LIVE and name not in resolved.draining:
                candidates[vm.domain] = candidates.get(vm.domain, 0) + 1
        return Demand(
            declared_group.count,
            declared_group.vms_per_group,
            candidates,
            formed_by_domain,
        )

    async def _form_groups(self, declaration, declared_group, count):
        shard = self._shard
        model = shard.fleet.configuration.model[declared_group.model]
        free = free_vms(shard, declaration)
        vms_per_group = declared_group.vms_per_group
        for index in range(min(count, len(free) // vms_per_group)):
            vms = [
                shard.vms[name]
                for name in free[index * vms_per_group : (index + 1) * vms_per_group]
            ]
            spec = GroupSpec(
                group=f"{declaration}-{secrets.token_hex(3)}",
                domain=shard.domain,
                data_centre=vms[0].data_centre,
                declaration=declaration,
                model=declared_group.model,
                version=model.version,
                adapters=tuple(model.adapters),
                epoch=1,
                members=tuple(
                    GroupMember(vm.name, vm.incarnation, vm.address) for vm in vms
                ),
            )
            shard.require_lease()
            await shard.groups.form(spec)
            log.info("group-formed", group=spec.group, vms=",".join(spec.vm_names))

    def _persistent_excess(self, declaration, count):
        since = self._excess_since.setdefault(declaration, now())
        if now() - since < MIN_EXCESS_S:
            return set()
        own_groups = [
            spec.group
            for spec in self._shard.groups.specs.values()
            if spec.declaration == declaration
        ]
        return set(sorted(own_groups)[-count:])
