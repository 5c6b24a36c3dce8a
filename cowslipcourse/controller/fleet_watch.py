"""The VMs as a controller lists them, and the configuration resolved over them."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.config import Configuration, resolve
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import (
    DEPARTURE_PREFIX,
    GROUP_PREFIX,
    DepartureReport,
    decode_report,
)
from cowslipcourse.exceptions import ConfigurationError, StoreError
from cowslipcourse.fleet import VmState

__all__ = ["FleetMonitor"]

DEPARTURE_REPORT_INTERVAL_S = 5.0

log = get_logger(__name__)


class FleetMonitor:
    """Polls the VM list and resolves the configuration over the listed VMs.

    :param vm_list: :class:`~cowslipcourse.ports.VmList`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param poll_interval_s: seconds between reads of the list.
    """

    def __init__(self, vm_list, agent, poll_interval_s):
        self._vm_list = vm_list
        self._agent = agent
        self._poll_interval_s = poll_interval_s
        self._vms = []
        self._list_read_at = None
        self._configuration = Configuration()
        self._resolved_configuration = resolve(self._configuration, ())
        self._problems = ()
        agent.on_revision(self._apply_revision)

    @property
    def configuration(self):
        """The :class:`~cowslipcourse.config.Configuration` in force at this daemon."""
        return self._configuration

    @property
    def resolved_configuration(self):
        """The :class:`~cowslipcourse.config.ResolvedConfiguration` of the fleet.

        The last one without problems.
        """
        return self._resolved_configuration

    @property
    def vms(self):
        """VMs as last listed, with the labels that the platform gives them."""
        return self._vms

    @property
    def vm_list_age_s(self):
        """Seconds since the list was last read, or ``None`` before the first read."""
        return None if self._list_read_at is None else now() - self._list_read_at

    @property
    def problems(self):
        """Problems of the configuration with the VMs as last listed."""
        return self._problems

    async def run(self):
        """Poll the VM list, for ever."""
        while True:
            try:
                vms = await self._vm_list.list_vms()
                self._list_read_at = now()
                if vms != self._vms:
                    self._vms = vms
                    self._resolve()
                self._publish_departures()
            except StoreError as error:
                log.warning("vm-list-failed", code=error.code)
            await asyncio.sleep(self._poll_interval_s)

    def _publish_departures(self):
        """Publish which VMs must get no new work.

        Every controller publishes what it observes, so that departures are known even
        while the shard's holder cannot read the list.
        """
        unavailable_vms = set(self._resolved_configuration.draining)
        unavailable_vms.update(
            vm.name for vm in self._vms if vm.state == VmState.LEAVING
        )
        listed_names = {vm.name for vm in self._vms}
        for record in self._agent.records.with_prefix(GROUP_PREFIX):
            unavailable_vms.update(
                set(decode_report(record).spec.vm_names) - listed_names
            )
        member = self._agent.member
        key = f"{DEPARTURE_PREFIX}{member.name}/{member.incarnation}"
        report = DepartureReport(member.name, tuple(sorted(unavailable_vms)))
        previous = self._agent.records.get(key)
        has_changed = previous is None or decode_report(previous) != report
        if has_changed or now() - previous.observed_at > DEPARTURE_REPORT_INTERVAL_S:
            self._agent.publish(key, report)

    def _apply_revision(self, revision):
        try:
            self._configuration = Configuration.model_validate(revision.configuration)
        except ValueError as error:
            log.warning("unreadable-configuration", detail=str(error))
            return
        self._resolve()

    def _resolve(self):
        try:
            self._resolved_configuration = resolve(self._configuration, self._vms)
            self._problems = ()
        except ConfigurationError as error:
            # New VMs can make selectors overlap; the last valid result stays in force.
            if error.problems != self._problems:
                log.warning("selectors-clash", problems=error.detail)
            self._problems = error.problems
