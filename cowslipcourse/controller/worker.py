"""Worker of one shard: one fabric domain, under its lease.

In each round it probes the domain's targets, publishes which groups and services may
serve, and then, under a valid lease only, releases VMs, repairs, forms and dissolves
groups and sends orders. Publishing only repeats what the targets report of themselves,
so it continues without a lease while the table service is down.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.formation import GroupFormation
from cowslipcourse.controller.group_changes import GroupChanges
from cowslipcourse.controller.groups import GroupTable
from cowslipcourse.controller.health import Prober
from cowslipcourse.controller.orders import OrderDispatcher
from cowslipcourse.controller.release import VmRelease
from cowslipcourse.controller.repair import GroupRepair
from cowslipcourse.controller.reports import ReportPublisher
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import ConditionFailed, LeaseLost, StoreError

__all__ = ["Shard", "ShardWorker"]

log = get_logger(__name__)


class Shard:
    """State shared by the parts of a shard's worker.

    :param domain: fabric domain.
    :param lease: :class:`~cowslipcourse.leases.HeldLease`
    :param context: :class:`~cowslipcourse.controller.context.ControllerContext`
    """

    def __init__(self, domain, lease, context):
        self.domain = domain
        self.lease = lease
        self.settings = context.settings
        self.agent = context.agent
        self.fleet = context.fleet
        self.groups = GroupTable(context.table, domain, lease.fence)
        self.prober = Prober(context.targets)
        self.orders = OrderDispatcher(context.targets, context.settings.repair)
        self.publisher = ReportPublisher(context.agent, self.prober, context.fleet)
        self.changes = GroupChanges(self)
        self.acquired_at = now()
        self.probed_at = now()

    @property
    def resolved_configuration(self):
        """The :class:`~cowslipcourse.config.ResolvedConfiguration` of the fleet."""
        return self.fleet.resolved_configuration

    @property
    def vms(self):
        """Listed VMs of the domain by name."""
        listed = self.resolved_configuration.vms.items()
        return {vm_name: vm for vm_name, vm in listed if vm.domain == self.domain}

    def status(self, vm_name):
        """Return a VM's status as probed in this round, or ``None``."""
        return self.prober.status_since(vm_name, self.probed_at)

    def is_proven_idle(self, vm_name):
        """Return whether a VM's engine certainly holds no assignment.

        A target that does not check fencing tokens may still receive an old order, so
        it must have been idle for as long as an order can be in flight.
        """
        health = self.prober.latest(vm_name)
        if health is None or health.probed_at < self.probed_at:
            return False
        if health.idle_since is None:
            return False
        if vm_name not in self.resolved_configuration.unfenced:
            return True
        required_idle_s = self.settings.repair.order_in_flight_s
        return self.probed_at - health.idle_since >= required_idle_s

    def require_lease(self):
        """Raise unless the lease is valid now.

        :raises LeaseLost: the lease expired.
        """
        if not self.lease.is_valid(now()):
            raise LeaseLost(f"{self.domain}: the lease expired")


class ShardWorker:
    """Runs the rounds of a shard.

    :param shard: :class:`Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._release = VmRelease(shard)
        self._repair = GroupRepair(shard)
        self._formation = GroupFormation(shard)

    @property
    def shard(self):
        """The :class:`Shard` of this worker."""
        return self._shard

    async def run(self):
        """Run rounds, for ever."""
        interval_s = self._shard.settings.repair.probe_s
        while True:
            started_at = now()
            try:
                await self._run_round()
            except StoreError as error:
                if not isinstance(error, ConditionFailed):
                    log.info("round-cut", shard=self._shard.domain, code=error.code)
            except LeaseLost:
                log.info("lease-lapsed", shard=self._shard.domain)
            except Exception:
                log.exception("round-failed", shard=self._shard.domain)
            await asyncio.sleep(max(0.05, started_at + interval_s - now()))

    async def _run_round(self):
        shard = self._shard
        await self._probe()
        self._publish()
        if not shard.agent.may_serve():
            return
        shard.require_lease()
        if shard.groups.stale:
            await shard.groups.refresh()
            self._publish()
        if not self._may_give_orders():
            return
        loading = [vm_name for vm_name in shard.vms if self._is_loading(vm_name)]
        shard.orders.update_loading(loading)
        await self._release.run()
        await shard.changes.run()
        await self._repair.run()
        await self._formation.run()
        await shard.changes.send_load_orders()

    async def _probe(self):
        shard = self._shard
        addresses = {vm_name: vm.address for vm_name, vm in shard.vms.items()}
        for spec in shard.groups.specs.values():
            for member in spec.members:
                addresses.setdefault(member.vm, member.address)
        shard.probed_at = await shard.prober.probe(addresses)

    def _publish(self):
        shard = self._shard
        fence = shard.lease.fence
        for spec in shard.groups.specs.values():
            withholding_reason = shard.changes.withholding_reason(spec)
            shard.publisher.publish_group(
                spec, withholding_reason, shard.probed_at, fence
            )
        shard.publisher.publish_services(shard.domain, shard.probed_at, fence)

    def _may_give_orders(self):
        """Whether no order of the previous holder can still be in flight."""
        shard = self._shard
        if not shard.resolved_configuration.unfenced.intersection(shard.vms):
            return True
        waited_s = now() - shard.acquired_at
        return waited_s > shard.settings.repair.order_in_flight_s

    def _is_loading(self, vm_name):
        status = self._shard.status(vm_name)
        return status is not None and status.state == "loading"
