"""Publication of reports on groups and services, from the newest probes."""

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


HOLDER_SEQUENCE_STEP, OBSERVER_SEQUENCE_STEP = 1, 5


def group_fault(spec, prober, probed_at, resolved):
    """Return why a group cannot serve, or an empty string.

    :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
    :param prober: :class:`~cowslipcourse.controller.health.Prober`
    :param probed_at: loop time before the probes of this round were sent.
    :param resolved: :class:`~cowslipcourse.config.ResolvedConfiguration`
    """
    for member in spec.members:
        status = prober.status_since(member.vm, probed_at)
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
    :param is_observer: whether it publishes in place of a silent holder.
    """

    def __init__(self, agent, prober, fleet, is_observer=False):
        self._is_observer = is_observer
        self._agent = agent
        self._prober = prober
        self._fleet = fleet

    def publish_group(self, spec, withholding_reason, probed_at, fence):
        """Publish whether a group may serve; returns why it may not.

        :param spec: :class:`~cowslipcourse.fleet.GroupSpec`
        :param withholding_reason: reason of the controller's own why a group without
            faults must not serve; empty if there is none.
        :param probed_at: loop time from which the grant's age counts.
        :param fence: fencing token of the shard.
        :returns: reason, empty if the group may serve.
        """
        resolved = self._fleet.resolved_configuration
        fault = (
            group_fault(spec, self._prober, probed_at, resolved) or withholding_reason
        )
        leader = self._prober.status_since(spec.leader.vm, probed_at)
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

    def publish_dissolved(self, spec, fence, observed_at):
        """Publish that a group was dissolved."""
        report = GroupReport(
            spec._replace(state="dissolved"), False, "dissolved", EngineLoad()
        )
        self._publish(
            f"{GROUP_PREFIX}{spec.domain}/{spec.group}", report, fence, observed_at
        )

    def publish_services(self, domain, probed_at, fence):
        """Publish which targets of plain services in a domain may be called."""
        resolved = self._fleet.resolved_configuration
        for service, vm_names in resolved.service_vms.items():
            for vm_name in vm_names:
                vm = resolved.vms[vm_name]
                if vm.domain != domain:
                    continue
                reason = self._service_fault(vm, probed_at, resolved)
                report = ServiceReport(
                    vm_name, service, vm.address, vm.data_centre, not reason, reason
                )
                self._publish(
                    f"{SERVICE_PREFIX}{domain}/{vm_name}", report, fence, probed_at
                )

    def _service_fault(self, vm, probed_at, resolved):
        if vm.state == VmState.LEAVING:
            return "leaving"
        if vm.name in resolved.draining:
            return "drained"
        if self._prober.status_since(vm.name, probed_at) is None:
            return "no-answer"
        return ""

    def _publish(self, key, report, fence, observed_at):
        previous = self._agent.records.get(key)
        sequence = 0
        if previous is not None and previous.fence == fence:
            sequence = previous.sequence
        # An observer may have missed the silent holder's last reports, so its sequence
        # numbers advance in larger steps.
        sequence += (
            OBSERVER_SEQUENCE_STEP if self._is_observer else HOLDER_SEQUENCE_STEP
        )
        self._agent.publish(key, report, fence, sequence, observed_at)
