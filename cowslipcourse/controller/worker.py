"""The worker of one shard: one fabric domain, under its lease.

In each round it probes the domain's targets, publishes what may serve, and then,
if its lease is good, acts: it frees, orders, repairs, forms and gives up groups.
Publishing only repeats what the targets say of themselves, so it goes on without a
lease while the table service is down; acting does not.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.changes import GroupChanges
from cowslipcourse.controller.formation import GroupFormation
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
    """What the parts of a shard's worker share.

    :param domain: fabric domain.
    :param lease: :class:`~cowslipcourse.leases.HeldLease`
    :param context: :class:`~cowslipcourse.controller.services.ControllerContext`
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
        self.taken_at = now()
        self.probed_at = now()

    @property
    def resolved_configuration(self):
        """The configuration over the fleet."""
        return self.fleet.resolved_configuration

    @property
    def vms(self):
        """Listed VMs of the domain by name."""
        found = self.resolved_configuration.vms.items()
        return {name: vm for name, vm in found if vm.domain == self.domain}

    def status(self, name):
        """Return a VM's status from this round, or ``None``."""
        return self.prober.fresh(name, self.probed_at)

    def idle_long_enough(self, name):
        """Return whether a VM's engine holds nothing, for certain.

        A target that does not check fencing tokens may still get an old order that
        was under way; it must have been idle for as long as that can take.
        """
        health = self.prober.get(name)
        if health is None or health.probed_at < self.probed_at:
            return False
        if health.idle_since is None:
            return False
        if name not in self.resolved_configuration.unfenced:
            return True
        needed_s = self.settings.repair.order_in_flight_s
        return self.probed_at - health.idle_since >= needed_s

    def require_lease(self):
        """Raise unless the lease is good at this moment.

        :raises LeaseLost: it lapsed.
        """
        if not self.lease.is_valid(now()):
            raise LeaseLost(self.domain)


class ShardWorker:
    """Runs a shard for as long as its lease lasts.

    :param shard: :class:`Shard`
    """

    def __init__(self, shard):
        self._shard = shard
        self._release = VmRelease(shard)
        self._repair = GroupRepair(shard)
        self._formation = GroupFormation(shard)

    @property
    def shard(self):
        """The :class:`Shard` that it works on."""
        return self._shard

    async def run(self):
        """Work for ever."""
        interval_s = self._shard.settings.repair.probe_s
        while True:
            started_at = now()
            try:
                await self._round()
            except StoreError as error:
                if not isinstance(error, ConditionFailed):
                    log.info("round-cut", shard=self._shard.domain, code=error.code)
            except LeaseLost:
                log.info("lease-lapsed", shard=self._shard.domain)
            except Exception:
                log.exception("round-failed", shard=self._shard.domain)
            await asyncio.sleep(max(0.05, started_at + interval_s - now()))

    async def _round(self):
        shard = self._shard
        await self._probe()
        self._publish()
        if not shard.agent.may_serve():
            return
        shard.require_lease()
        if shard.groups.stale:
            await shard.groups.refresh()
            self._publish()
        if not self._may_act():
            return
        loading = [n for n in shard.vms if self._is_loading(n)]
        shard.orders.note_loading(loading)
        await self._release.run()
        await shard.changes.run()
        await self._repair.run()
        await self._formation.run()
        await shard.changes.give_load_orders()

    async def _probe(self):
        shard = self._shard
        addresses = {name: vm.address for name, vm in shard.vms.items()}
        for spec in shard.groups.specs.values():
            for member in spec.members:
                addresses.setdefault(member.vm, member.address)
        shard.probed_at = await shard.prober.probe(addresses)

    def _publish(self):
        shard = self._shard
        fence = shard.lease.fence
        for spec in shard.groups.specs.values():
            withheld = shard.changes.withheld(spec)
            shard.publisher.publish_group(spec, withheld, shard.probed_at, fence)
        shard.publisher.publish_services(shard.domain, shard.probed_at, fence)

    def _may_act(self):
        """Whether orders of the holder before can no longer be under way."""
        shard = self._shard
        if not shard.resolved_configuration.unfenced.intersection(shard.vms):
            return True
        waited_s = now() - shard.taken_at
        return waited_s > shard.settings.repair.order_in_flight_s

    def _is_loading(self, name):
        status = self._shard.status(name)
        return status is not None and status.state == "loading"
