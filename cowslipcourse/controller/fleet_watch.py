"""The controller's view of VMs and of the configuration over them."""

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
    """Polls the VM list and resolves the configuration over it.

    :param vm_list: :class:`~cowslipcourse.ports.VmList`
    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param poll_s: seconds between reads of the list.
    """

    def __init__(self, vm_list, agent, poll_s):
        self._vm_list = vm_list
        self._agent = agent
        self._poll_s = poll_s
        self._vms = []
        self._list_read_at = None
        self._configuration = Configuration()
        self._resolved_configuration = resolve(self._configuration, ())
        self._problems = ()
        agent.on_revision(self._apply_revision)

    @property
    def configuration(self):
        """The :class:`~cowslipcourse.config.Configuration` that runs here."""
        return self._configuration

    @property
    def resolved_configuration(self):
        """The :class:`~cowslipcourse.config.ResolvedConfiguration` of the fleet."""
        return self._resolved_configuration

    @property
    def vms(self):
        """VMs as last listed, with the platform's own labels."""
        return self._vms

    @property
    def vm_list_age_s(self):
        """Seconds since the list was last read, or ``None``."""
        return None if self._list_read_at is None else now() - self._list_read_at

    @property
    def problems(self):
        """What is wrong with the configuration over the VMs as they are now."""
        return self._problems

    async def run(self):
        """Poll for ever."""
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
            await asyncio.sleep(self._poll_s)

    def _publish_departures(self):
        """Spread which VMs shall get no new work.

        Whoever sees it first says it, also while another controller, which holds the
        shard, cannot see the list.
        """
        names = set(self._resolved_configuration.draining)
        names.update(vm.name for vm in self._vms if vm.state == VmState.LEAVING)
        listed = {vm.name for vm in self._vms}
        for record in self._agent.records.with_prefix(GROUP_PREFIX):
            names.update(set(decode_report(record).spec.vm_names) - listed)
        member = self._agent.member
        key = f"{DEPARTURE_PREFIX}{member.name}/{member.incarnation}"
        report = DepartureReport(member.name, tuple(sorted(names)))
        known = self._agent.records.get(key)
        changed = known is None or decode_report(known) != report
        if changed or now() - known.observed_at > DEPARTURE_REPORT_INTERVAL_S:
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
            # New VMs can make selectors overlap; what runs goes on as it is.
            if error.problems != self._problems:
                log.warning("selectors-clash", problems=error.detail)
            self._problems = error.problems
