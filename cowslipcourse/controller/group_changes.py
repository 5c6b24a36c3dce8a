"""Changes of serving groups, made only once no request is running in them.

A group that has to change first stops receiving new requests. It is changed only when
every grant has expired and its leader has since reported no requests for longer than
the lag of its reports.
"""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.health import REASON_OTHER_ASSIGNMENT, member_fault
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import GROUP_PREFIX, REASON_CHANGING, decode_report
from cowslipcourse.placement import LoadNeed, Weights, load_order

__all__ = ["GroupChanges"]

DEPARTING_FAULTS = frozenset({"leaving", "drained"})
ABSENT_FAULTS = frozenset({"no-answer", "not-listed"})
MAX_REPORT_LAG_S = 1.5
"""Longest lag that is assumed of an engine's load report."""

log = get_logger(__name__)


class GroupChanges:
    """Determines which groups must change, quiesces them and changes them.

    :param shard: :class:`~cowslipcourse.controller.worker.Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._quiescing_since = {}
        self._excess_groups = frozenset()

    def set_excess_groups(self, groups):
        """Set the ids of groups beyond the number declared."""
        self._excess_groups = frozenset(groups)

    def withholding_reason(self, spec):
        """Return why a group must not receive new requests, or an empty string."""
        return REASON_CHANGING if spec.group in self._quiescing_since else ""

    def is_quiescent(self, spec):
        """Return whether no request can be running in a group."""
        quiescing_since = self._quiescing_since.get(spec.group)
        if quiescing_since is None:
            return False
        times = self._shard.settings.time
        grants_expire_at = quiescing_since + times.grant_s
        checked_at = now()
        if checked_at - quiescing_since > times.drain_limit_s:
            log.warning("drain-limit", group=spec.group)
            return True
        health = self._shard.prober.latest(spec.leader.vm)
        if health is None or health.probed_at < self._shard.probed_at:
            # Without its leader, a group runs no requests.
            return checked_at > grants_expire_at + MAX_REPORT_LAG_S
        if health.without_requests_since is None:
            return False
        return (
            checked_at - max(health.without_requests_since, grants_expire_at)
            > MAX_REPORT_LAG_S
        )

    def departing_members(self, spec):
        """Return the names of members that are leaving or drained."""
        return [
            m.vm
            for m in spec.members
            if self._member_fault(spec, m) in DEPARTING_FAULTS
        ]

    async def run(self):
        """Quiesce groups that must change, and change those that are quiescent."""
        shard = self._shard
        for spec in list(shard.groups.specs.values()):
            if not self._must_dissolve(spec) and not self._must_reload(spec):
                if not self.departing_members(spec):
                    self._quiescing_since.pop(spec.group, None)
                    continue
            if spec.group not in self._quiescing_since:
                if (
                    self._must_dissolve(spec)
                    or self.departing_members(spec)
                    or self._is_next_to_reload(spec)
                ):
                    self._quiescing_since[spec.group] = now()
                    log.info("quiescing", group=spec.group)
            elif self.is_quiescent(spec):
                await self._apply_change(spec)
        for group in set(self._quiescing_since) - set(shard.groups.specs):
            del self._quiescing_since[group]

    async def _apply_change(self, spec):
        shard = self._shard
        if self._must_dissolve(spec) or len(self.departing_members(spec)) == len(
            spec.members
        ):
            shard.require_lease()
            await shard.groups.dissolve(spec.group)
            shard.publisher.publish_dissolved(spec, shard.lease.fence, now())
            log.info("group-dissolved", group=spec.group)
        elif self._must_reload(spec):
            model = shard.fleet.configuration.model[spec.model]
            new_spec = spec._replace(
                epoch=spec.epoch + 1,
                version=model.version,
                adapters=tuple(model.adapters),
            )
            shard.require_lease()
            await shard.groups.change(new_spec)
            del self._quiescing_since[spec.group]
            log.info("group-reloads", group=spec.group, version=model.version)

    def _member_fault(self, spec, member):
        status = self._shard.status(member.vm)
        resolved = self._shard.resolved_configuration
        vm = resolved.vms.get(member.vm)
        return member_fault(spec, member, status, vm, resolved.draining)

    def _must_dissolve(self, spec):
        shard = self._shard
        declared_group = shard.fleet.configuration.group.get(spec.declaration)
        if declared_group is None or declared_group.model != spec.model:
            return True
        if (
            declared_group.vms_per_group != len(spec.members)
            or spec.group in self._excess_groups
        ):
            return True
        candidates = shard.resolved_configuration.group_vms.get(spec.declaration, ())
        listed = [name for name in spec.vm_names if name in shard.vms]
        return not set(candidates).issuperset(listed)

    def _must_reload(self, spec):
        model = self._shard.fleet.configuration.model.get(spec.model)
        if model is None:
            return False
        return (model.version, tuple(model.adapters)) != (spec.version, spec.adapters)

    def _is_next_to_reload(self, spec):
        """Whether this group is the next of its declaration to reload.

        Groups of a declaration reload one at a time, ordered by domain and id.
        """
        model = self._shard.fleet.configuration.model[spec.model]
        reports = self._group_reports(spec.declaration)
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

    def _group_reports(self, declaration):
        records = self._shard.agent.records.with_prefix(GROUP_PREFIX)
        reports = [decode_report(record) for record in records]
        return [r for r in reports if r.spec.declaration == declaration]

    async def send_load_orders(self):
        """Order members to load their assignment, most cost saved per load first."""
        shard = self._shard
        members_to_load = {}
        needs = []
        for spec in shard.groups.specs.values():
            if spec.group in self._quiescing_since:
                continue
            faults = {m: self._member_fault(spec, m) for m in spec.members}
            to_load = [m for m, f in faults.items() if f == REASON_OTHER_ASSIGNMENT]
            is_blocked = any(f in ABSENT_FAULTS for f in faults.values())
            loaded_count = len(spec.members) - len(to_load)
            accelerators = self._accelerators_per_vm(spec)
            needs.append(
                LoadNeed(
                    spec.group, len(to_load), loaded_count, is_blocked, accelerators
                )
            )
            members_to_load[spec.group] = to_load
        site_policy = shard.fleet.configuration.site_policy
        weights = Weights(site_policy.downtime_weight, site_policy.stranded_weight)
        for need in load_order(needs, weights):
            await self._order_loads(
                shard.groups.specs[need.group], members_to_load[need.group]
            )

    async def _order_loads(self, spec, members):
        shard = self._shard
        model = shard.fleet.configuration.model.get(spec.model)
        weights_bytes = model.weights_bytes if model else 1
        for member in members:
            await shard.orders.load(shard.lease, spec, member, weights_bytes)

    def _accelerators_per_vm(self, spec):
        vm = self._shard.vms.get(spec.leader.vm)
        return vm.accelerators if vm else 0
