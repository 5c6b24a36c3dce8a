"""Changes to groups that serve: never under a running answer.

A group that has to change stops getting new requests first. Only when every grant
has run out and its leader has reported no requests for a while is it touched.
"""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.health import REASON_OTHER_ASSIGNMENT, member_fault
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import GROUP_PREFIX, REASON_CHANGING, decode_report
from cowslipcourse.placement import LoadNeed, Weights, load_order

__all__ = ["GroupChanges"]

DEPARTING = frozenset({"leaving", "drained"})
ABSENT = frozenset({"no-answer", "not-listed"})
REPORT_LAG_S = 1.5
"""Longest lag of an engine's load report that is reckoned with."""

log = get_logger(__name__)


class GroupChanges:
    """Knows which groups must change and when they may.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._quiescing = {}
        self._excess = frozenset()

    def set_excess(self, groups):
        """Say which groups are more than are wanted."""
        self._excess = frozenset(groups)

    def withheld(self, spec):
        """Return why a group gets no new requests, or an empty string."""
        return REASON_CHANGING if spec.group in self._quiescing else ""

    def is_quiet(self, spec):
        """Return whether no request can be running in a group."""
        since = self._quiescing.get(spec.group)
        if since is None:
            return False
        times = self._shard.settings.time
        ungranted_at = since + times.grant_s
        at = now()
        if at - since > times.drain_limit_s:
            log.warning("drain-limit", group=spec.group)
            return True
        health = self._shard.prober.get(spec.leader.vm)
        if health is None or health.probed_at < self._shard.probed_at:
            # Nothing runs without the leader.
            return at > ungranted_at + REPORT_LAG_S
        if health.quiet_since is None:
            return False
        return at - max(health.quiet_since, ungranted_at) > REPORT_LAG_S

    def departing(self, spec):
        """Return the names of members that are leaving or drained."""
        return [m.vm for m in spec.members if self._fault(spec, m) in DEPARTING]

    async def run(self):
        """Find groups that must change, and change those that are quiet."""
        shard = self._shard
        for spec in list(shard.groups.specs.values()):
            if not self._must_go(spec) and not self._must_reload(spec):
                if not self.departing(spec):
                    self._quiescing.pop(spec.group, None)
                    continue
            if spec.group not in self._quiescing:
                if self._must_go(spec) or self.departing(spec) or self._turn(spec):
                    self._quiescing[spec.group] = now()
                    log.info("quiescing", group=spec.group)
            elif self.is_quiet(spec):
                await self._change(spec)
        for group in set(self._quiescing) - set(shard.groups.specs):
            del self._quiescing[group]

    async def _change(self, spec):
        shard = self._shard
        if self._must_go(spec) or len(self.departing(spec)) == len(spec.members):
            shard.require_lease()
            await shard.groups.dissolve(spec.group)
            shard.publisher.publish_gone(spec, shard.lease.fence, now())
            log.info("group-dissolved", group=spec.group)
        elif self._must_reload(spec):
            model = shard.fleet.configuration.model[spec.model]
            changed = spec._replace(
                epoch=spec.epoch + 1,
                version=model.version,
                adapters=tuple(model.adapters),
            )
            shard.require_lease()
            await shard.groups.change(changed)
            del self._quiescing[spec.group]
            log.info("group-reloads", group=spec.group, version=model.version)

    def _fault(self, spec, member):
        status = self._shard.status(member.vm)
        resolved = self._shard.resolved_configuration
        vm = resolved.vms.get(member.vm)
        return member_fault(spec, member, status, vm, resolved.draining)

    def _must_go(self, spec):
        shard = self._shard
        declared = shard.fleet.configuration.group.get(spec.declaration)
        if declared is None or declared.model != spec.model:
            return True
        if declared.vms_per_group != len(spec.members) or spec.group in self._excess:
            return True
        candidates = shard.resolved_configuration.group_vms.get(spec.declaration, ())
        listed = [name for name in spec.vm_names if name in shard.vms]
        return not set(candidates).issuperset(listed)

    def _must_reload(self, spec):
        model = self._shard.fleet.configuration.model.get(spec.model)
        if model is None:
            return False
        return (model.version, tuple(model.adapters)) != (spec.version, spec.adapters)

    def _turn(self, spec):
        """Whether this group is the next of its declaration to reload."""
        model = self._shard.fleet.configuration.model[spec.model]
        reports = self._reports(spec.declaration)
        for report in reports:
            other = report.spec
            if other.group == spec.group or other.state == "dissolved":
                continue
            reloaded = other.version == model.version
            if not report.serving and reloaded:
                return False
            if not reloaded and (other.domain, other.group) < (spec.domain, spec.group):
                return False
        return True

    def _reports(self, declaration):
        records = self._shard.agent.records.with_prefix(GROUP_PREFIX)
        reports = [decode_report(record) for record in records]
        return [r for r in reports if r.spec.declaration == declaration]

    async def give_load_orders(self):
        """Order members to load what the table says, where it saves most first."""
        shard = self._shard
        lacking = {}
        needs = []
        for spec in shard.groups.specs.values():
            if spec.group in self._quiescing:
                continue
            faults = {m: self._fault(spec, m) for m in spec.members}
            wanted = [m for m, f in faults.items() if f == REASON_OTHER_ASSIGNMENT]
            blocked = any(f in ABSENT for f in faults.values())
            loaded = len(spec.members) - len(wanted)
            accelerators = self._accelerators(spec)
            needs.append(
                LoadNeed(spec.group, len(wanted), loaded, blocked, accelerators)
            )
            lacking[spec.group] = wanted
        site = shard.fleet.configuration.site_policy
        weights = Weights(site.downtime_weight, site.stranded_weight)
        for need in load_order(needs, weights):
            await self._load(shard.groups.specs[need.group], lacking[need.group])

    async def _load(self, spec, members):
        shard = self._shard
        model = shard.fleet.configuration.model.get(spec.model)
        size_bytes = model.weights_bytes if model else 1
        for member in members:
            await shard.orders.load(shard.lease, spec, member, size_bytes)

    def _accelerators(self, spec):
        vm = self._shard.vms.get(spec.leader.vm)
        return vm.accelerators if vm else 0
