"""Which shards this controller works on.

Each fabric domain is a shard. Controllers prefer shards by rendezvous hashing, so
that the work spreads over all of them; whoever is not preferred takes a free shard
only after a delay.
"""

import asyncio

import xxhash

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.leasing import LeaseTable
from cowslipcourse.controller.worker import Shard, ShardWorker
from cowslipcourse.daemon import now, run_forever
from cowslipcourse.exceptions import LeaseLost, StoreError
from cowslipcourse.membership import Role

__all__ = ["ShardManager"]

DELAY_PER_RANK_S = 1.0
POLL_S = 1.0

log = get_logger(__name__)


class ShardManager:
    """Takes, renews and gives up shards, and runs their workers.

    :param context: :class:`~cowslipcourse.controller.services.ControllerContext`
    """

    def __init__(self, context):
        self._context = context
        member = context.agent.member
        self._holder = f"{member.name}/{member.incarnation}"
        times = context.settings.time
        self._leases = LeaseTable(context.table, self._holder, times)
        self._renew_s = times.lease_term_s / 3
        self._workers = {}
        self._tasks = {}
        self._free_since = {}

    @property
    def workers(self):
        """Running workers by domain."""
        return self._workers

    @property
    def leases(self):
        """:class:`~cowslipcourse.controller.leasing.LeaseTable`"""
        return self._leases

    async def run(self):
        """Keep shards for ever."""
        renewals = run_forever(self._renew_for_ever(), "renewals")
        try:
            while True:
                if self._context.agent.may_serve():
                    await self._look()
                await asyncio.sleep(POLL_S)
        finally:
            renewals.cancel()

    async def stop(self):
        """Stop the workers and give their leases up."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for worker in self._workers.values():
            await self._leases.release(worker.shard.lease)

    async def _look(self):
        try:
            await self._leases.observe()
        except StoreError:
            return
        for domain in self._domains():
            if domain in self._workers:
                self._drop_if_taken(domain)
            elif self._leases.may_take(domain):
                await self._take_in_turn(domain)
            else:
                self._free_since.pop(domain, None)

    def _domains(self):
        return sorted({vm.domain for vm in self._context.fleet.vms})

    def rank(self, domain, without="", heard_within_s=None):
        """Return this controller's place in the order of preference for a shard.

        :param domain: fabric domain.
        :param without: name of a controller that is left out, unless it is this one.
        :param heard_within_s: leave out controllers that did not answer lately; as
            long as a member may be silent if left out.
        """
        own = self._context.agent.member
        centres = {
            vm.data_centre for vm in self._context.fleet.vms if vm.domain == domain
        }
        silent = self._context.agent.silent_members(heard_within_s)

        def order(member):
            digest = xxhash.xxh3_64_intdigest(f"{domain}/{member.name}".encode())
            return (member.data_centre not in centres, digest)

        members = self._context.agent.revision.members.values()
        rivals = [
            member
            for member in members
            if member.role == Role.CONTROLLER
            and member.name not in silent
            and (member.name != without or member == own)
        ]
        return sum(order(rival) < order(own) for rival in rivals)

    async def _take_in_turn(self, domain):
        since = self._free_since.setdefault(domain, now())
        if now() - since < self.rank(domain) * DELAY_PER_RANK_S:
            return
        try:
            lease = await self._leases.take(domain)
        except (LeaseLost, StoreError) as error:
            log.info("lease-not-taken", shard=domain, code=error.code)
            return
        self._free_since.pop(domain, None)
        worker = ShardWorker(Shard(domain, lease, self._context))
        self._workers[domain] = worker
        self._tasks[domain] = run_forever(worker.run(), f"shard-{domain}")

    def _drop_if_taken(self, domain):
        if self._leases.holder_of(domain) != self._holder:
            self._drop(domain)

    def _drop(self, domain):
        log.info("shard-dropped", shard=domain)
        self._workers.pop(domain)
        self._tasks.pop(domain).cancel()

    async def _renew_for_ever(self):
        while True:
            await asyncio.sleep(self._renew_s)
            held = list(self._workers.items())
            await asyncio.gather(*(self._renew(d, w.shard) for d, w in held))

    async def _renew(self, domain, shard):
        try:
            shard.lease = await self._leases.renew(shard.lease)
        except LeaseLost:
            if domain in self._workers:
                self._drop(domain)
        except StoreError as error:
            log.info("lease-not-renewed", shard=domain, code=error.code)
