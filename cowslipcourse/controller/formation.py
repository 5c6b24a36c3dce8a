"""Form groups that are wanted and point out those that are too many."""

import secrets

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.spares import free_vms
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import GROUP_PREFIX, decode_report
from cowslipcourse.fleet import GroupMember, GroupSpec, VmState
from cowslipcourse.placement import Demand, allocate

__all__ = ["GroupFormation"]

EXCESS_STEADY_S = 10.0
"""Seconds for which a group must have been too many before it is given up."""

log = get_logger(__name__)


class GroupFormation:
    """Brings the number of groups in the domain to what is wanted.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._excess_since = {}

    async def run(self):
        """Form groups, and mark groups beyond the number wanted."""
        excess = set()
        for name, declared in self._shard.fleet.configuration.group.items():
            formed = self._formed(name)
            wanted = allocate(self._demand(name, declared, formed))
            own = formed.get(self._shard.domain, 0)
            target = wanted.get(self._shard.domain, 0)
            if own < target:
                await self._form(name, declared, target - own)
            if own > target and sum(formed.values()) > declared.count:
                excess |= self._steady_excess(name, own - target)
            else:
                self._excess_since.pop(name, None)
        self._shard.changes.set_excess(excess)

    def _formed(self, declaration):
        """Number of groups by domain: the own from the table, others as reported."""
        counts = {}
        for record in self._shard.agent.records.with_prefix(GROUP_PREFIX):
            spec = decode_report(record).spec
            if spec.declaration == declaration and spec.state == "active":
                counts[spec.domain] = counts.get(spec.domain, 0) + 1
        own = self._shard.groups.specs.values()
        counts[self._shard.domain] = sum(s.declaration == declaration for s in own)
        return counts

    def _demand(self, declaration, declared, formed):
        resolved = self._shard.resolved_configuration
        candidates = {}
        for name in resolved.group_vms.get(declaration, ()):
            vm = resolved.vms[name]
            if vm.state == VmState.LIVE and name not in resolved.draining:
                candidates[vm.domain] = candidates.get(vm.domain, 0) + 1
        return Demand(declared.count, declared.vms_per_group, candidates, formed)

    async def _form(self, declaration, declared, number):
        shard = self._shard
        model = shard.fleet.configuration.model[declared.model]
        free = free_vms(shard, declaration)
        size = declared.vms_per_group
        for index in range(min(number, len(free) // size)):
            vms = [shard.vms[name] for name in free[index * size : (index + 1) * size]]
            spec = GroupSpec(
                group=f"{declaration}-{secrets.token_hex(3)}",
                domain=shard.domain,
                data_centre=vms[0].data_centre,
                declaration=declaration,
                model=declared.model,
                version=model.version,
                adapters=tuple(model.adapters),
                epoch=1,
                members=tuple(
                    GroupMember(v.name, v.incarnation, v.address) for v in vms
                ),
            )
            shard.require_lease()
            await shard.groups.form(spec)
            log.info("group-formed", group=spec.group, vms=",".join(spec.vm_names))

    def _steady_excess(self, declaration, number):
        since = self._excess_since.setdefault(declaration, now())
        if now() - since < EXCESS_STEADY_S:
            return set()
        own = [
            spec.group
            for spec in self._shard.groups.specs.values()
            if spec.declaration == declaration
        ]
        return set(sorted(own)[-number:])
