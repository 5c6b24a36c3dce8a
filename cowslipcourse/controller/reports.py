"""Publish what may serve, from the newest probes."""

from cowslipcourse.controller.health import member_fault
from cowslipcourse.daemon.reports import (
    GROUP_PREFIX,
    SERVICE_PREFIX,
    GroupReport,
    ServiceReport,
)
from cowslipcourse.fleet import VmState
from cowslipcourse.ports import EngineLoad

__all__ = ["ReportPublisher", "group_fault"]


HOLDER_STEP, OBSERVER_STEP = 1, 5


def group_fault(spec, prober, probed_at, resolved):
    """Return why a group cannot serve, or an empty string.

    :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
    :param prober: :class:`~cowslipcourse.controller.health.Prober`
    :param probed_at: loop time before the probes of this round were sent.
    :param resolved: :class:`~cowslipcourse.config.ResolvedConfiguration`
    """
    for member in spec.members:
        status = prober.fresh(member.vm, probed_at)
        vm = resolved.vms.get(member.vm)
        fault = member_fault(spec, member, status, vm, resolved.draining)
        if fault:
            return f"{member.vm}:{fault}"
    return ""


class ReportPublisher:
    """Publishes reports of one shard under its fencing token.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param prober: :class:`~cowslipcourse.controller.health.Prober`
    :param fleet: :class:`~cowslipcourse.controller.fleet_watch.FleetMonitor`
    :param observes: whether it publishes in the place of a silent holder.
    """

    def __init__(self, agent, prober, fleet, observes=False):
        self._observes = observes
        self._agent = agent
        self._prober = prober
        self._fleet = fleet

    def publish_group(self, spec, withheld, probed_at, fence):
        """Publish whether a group may serve and return why it does not.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
        :param withheld: a reason of the controller's own not to let it serve.
        :param probed_at: loop time from which the grant's age counts.
        :param fence: fencing token of the shard.
        """
        resolved = self._fleet.resolved_configuration
        fault = group_fault(spec, self._prober, probed_at, resolved) or withheld
        leader = self._prober.fresh(spec.leader.vm, probed_at)
        report = GroupReport(
            spec=spec,
            serving=not fault,
            reason=fault,
            load=leader.load if leader else EngineLoad(),
            cached_prefixes=leader.prefixes if leader else (),
        )
        self._publish(
            f"{GROUP_PREFIX}{spec.domain}/{spec.group}", report, fence, probed_at
        )
        return fault

    def publish_gone(self, spec, fence, at):
        """Publish that a group was given up."""
        report = GroupReport(
            spec._replace(state="dissolved"), False, "dissolved", EngineLoad()
        )
        self._publish(f"{GROUP_PREFIX}{spec.domain}/{spec.group}", report, fence, at)

    def publish_services(self, domain, probed_at, fence):
        """Publish the plain services of a domain."""
        resolved = self._fleet.resolved_configuration
        for service, names in resolved.service_vms.items():
            for name in names:
                vm = resolved.vms[name]
                if vm.domain != domain:
                    continue
                reason = self._service_fault(vm, probed_at, resolved)
                report = ServiceReport(
                    name, service, vm.address, vm.data_centre, not reason, reason
                )
                self._publish(
                    f"{SERVICE_PREFIX}{domain}/{name}", report, fence, probed_at
                )

    def _service_fault(self, vm, probed_at, resolved):
        if vm.state == VmState.LEAVING:
            return "leaving"
        if vm.name in resolved.draining:
            return "drained"
        if self._prober.fresh(vm.name, probed_at) is None:
            return "no-answer"
        return ""

    def _publish(self, key, report, fence, observed_at):
        known = self._agent.records.get(key)
        sequence = 0
        if known is not None and known.fence == fence:
            sequence = known.sequence
        # An observer may have missed the silent holder's last reports.
        sequence += OBSERVER_STEP if self._observes else HOLDER_STEP
        self._agent.publish(key, report, fence, sequence, observed_at)
