"""Assignment of shards to this controller.

Each fabric domain is a shard. Rendezvous hashing ranks the controllers for each shard,
so that shards spread over all of them; a controller acquires a free shard only after a
delay that grows with its rank.
"""

import asyncio

import xxhash

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.controller.shard_leases import LeaseTable
from cowslipcourse.controller.worker import Shard, ShardWorker
from cowslipcourse.daemon import now, run_forever
from cowslipcourse.exceptions import LeaseLost, StoreError
from cowslipcourse.membership import Role

__all__ = ["ShardManager"]

DELAY_PER_RANK_S = 1.0
POLL_INTERVAL_S = 1.0

log = get_logger(__name__)


class ShardManager:
    """Acquires, renews and releases shards, and runs their workers.

    :param context: :class:`~cowslipcourse.controller.context.ControllerContext`
    """

    def __init__(self, context):
        self._context = context
        member = context.agent.member
        self._holder_id = f"{member.name}/{member.incarnation}"
        times = context.settings.time
        self._leases = LeaseTable(context.table, self._holder_id, times)
        self._renewal_interval_s = times.lease_term_s / 3
        self._workers = {}
        self._tasks = {}
        self._available_since = {}

    @property
    def workers(self):
        """Running workers by domain."""
        return self._workers

    @property
    def leases(self):
        """:class:`~cowslipcourse.controller.shard_leases.LeaseTable`"""
        return self._leases

    async def run(self):
        """Acquire and renew shards, for ever."""
        renewal_task = run_forever(self._renew_leases(), "lease-renewals")
        try:
            while True:
                if self._context.agent.may_serve():
                    await self._poll_leases()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            renewal_task.cancel()

    async def stop(self):
        """Stop the workers and release their leases."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for worker in self._workers.values():
            await self._leases.release(worker.shard.lease)

    async def _poll_leases(self):
        try:
            await self._leases.observe()
        except StoreError:
            return
        for domain in self._domains():
            if domain in self._workers:
                self._stop_worker_if_lost(domain)
            elif self._leases.may_acquire(domain):
                await self._acquire_by_rank(domain)
            else:
                self._available_since.pop(domain, None)

    def _domains(self):
        return sorted({vm.domain for vm in self._context.fleet.vms})

    def rank(self, domain, excluded_controller="", silence_limit_s=None):
        """Return this controller's rank for a shard; 0 is the most preferred.

        :param domain: fabric domain.
        :param excluded_controller: name of a controller that is not ranked, unless it
            is this one.
        :param silence_limit_s: seconds without an answer after which a controller is
            not ranked; the eviction time by default.
        """
        own_member = self._context.agent.member
        data_centres = {
            vm.data_centre for vm in self._context.fleet.vms if vm.domain == domain
        }
        silent = self._context.agent.silent_members(silence_limit_s)

        def preference_key(member):
            digest = xxhash.xxh3_64_intdigest(f"{domain}/{member.name}".encode())
            return (member.data_centre not in data_centres, digest)

        members = self._context.agent.revision.members.values()
        candidates = [
            member
            for member in members
            if member.role == Role.CONTROLLER
            and member.name not in silent
            and (member.name != excluded_controller or member == own_member)
        ]
        return sum(
            preference_key(candidate) < preference_key(own_member)
            for candidate in candidates
        )

    async def _acquire_by_rank(self, domain):
        available_since = self._available_since.setdefault(domain, now())
        if now() - available_since < self.rank(domain) * DELAY_PER_RANK_S:
            return
        try:
            lease = await self._leases.acquire(domain)
        except (LeaseLost, StoreError) as error:
            log.info("lease-not-taken", shard=domain, code=error.code)
            return
        self._available_since.pop(domain, None)
        worker = ShardWorker(Shard(domain, lease, self._context))
        self._workers[domain] = worker
        self._tasks[domain] = run_forever(worker.run(), f"shard-{domain}")

    def _stop_worker_if_lost(self, domain):
        if self._leases.holder_of(domain) != self._holder_id:
            self._stop_worker(domain)

    def _stop_worker(self, domain):
        log.info("shard-dropped", shard=domain)
        self._workers.pop(domain)
        self._tasks.pop(domain).cancel()

    async def _renew_leases(self):
        while True:
            await asyncio.sleep(self._renewal_interval_s)
            running_workers = list(self._workers.items())
            await asyncio.gather(
                *(
                    self._renew(domain, worker.shard)
                    for domain, worker in running_workers
                )
            )

    async def _renew(self, domain, shard):
        try:
            shard.lease = await self._leases.renew(shard.lease)
        except LeaseLost:
            if domain in self._workers:
                self._stop_worker(domain)
        except StoreError as error:
            log.info("lease-not-renewed", shard=domain, code=error.code)
