"""Leases of shards in the table service.

The row ``lease/<shard>`` is written whenever the holder changes; its version is the
fencing token. The row ``lease/<shard>/renewal`` is written by each renewal.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import ConditionFailed, LeaseLost, ReplyLost, StoreError
from cowslipcourse.leases import HeldLease, LeaseTerms, ObservedLease
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["LEASE_PREFIX", "LeaseTable", "lease_key"]

LEASE_PREFIX = "lease/"
RENEWAL_SUFFIX = "/renewal"

log = get_logger(__name__)


def lease_key(shard):
    """Return the key of the row whose version is the shard's fencing token."""
    return f"{LEASE_PREFIX}{shard}"


class LeaseTable:
    """Acquires, renews and observes leases for one daemon.

    :param table: :class:`~cowslipcourse.ports.TableService`
    :param holder: name and incarnation of this daemon, as written to the lease row.
    :param times: :class:`~cowslipcourse.settings.TimeSettings`
    """

    def __init__(self, table, holder, times):
        self._table = table
        self._holder = holder
        self._terms = LeaseTerms(times.lease_term_s, times.lease_margin_s)
        self._observed = {}
        self._holders = {}

    def holder_of(self, shard):
        """Return the last observed holder of a shard, or an empty string."""
        return self._holders.get(shard, "")

    async def observe(self):
        """Read all leases.

        :raises StoreUnavailable: the table service did not answer.
        """
        rows = {row.key: row for row in await self._table.scan(LEASE_PREFIX)}
        read_at = now()
        for key, row in rows.items():
            if key.endswith(RENEWAL_SUFFIX):
                continue
            shard = key.removeprefix(LEASE_PREFIX)
            renewal_row = rows.get(key + RENEWAL_SUFFIX)
            row_versions = (row.version, renewal_row.version if renewal_row else ABSENT)
            previous = self._observed.get(shard)
            if previous is None:
                self._observed[shard] = ObservedLease(
                    row_versions, read_at, self._terms
                )
            else:
                self._observed[shard] = previous.observed(row_versions, read_at)
            self._holders[shard] = row.value["holder"]

    def may_acquire(self, shard):
        """Return whether a shard is free or its lease has certainly expired."""
        observed = self._observed.get(shard)
        return (
            observed is None
            or self._holders[shard] == ""
            or (observed.may_acquire(now()))
        )

    async def acquire(self, shard):
        """Acquire a lease and return it.

        :raises LeaseLost: another daemon acquired it first.
        :raises StoreError: it is not known whether the lease was acquired.
        """
        observed = self._observed.get(shard)
        holder_version, renewal_version = (
            observed.row_versions if observed else (ABSENT, ABSENT)
        )
        key = lease_key(shard)
        sent_at = now()
        try:
            fence = await self._table.commit(
                Transaction(
                    {key: holder_version, key + RENEWAL_SUFFIX: renewal_version},
                    {key: {"holder": self._holder}, key + RENEWAL_SUFFIX: {}},
                )
            )
        except ConditionFailed as error:
            raise LeaseLost(f"{shard}: another daemon acquired the lease") from error
        log.info("lease-taken", shard=shard, fence=fence)
        return HeldLease(shard, fence, sent_at, self._terms)

    async def renew(self, lease):
        """Renew a lease and return it.

        :raises LeaseLost: another daemon holds the lease.
        :raises StoreError: it is not known whether the lease was renewed.
        """
        key = lease_key(lease.shard)
        sent_at = now()
        transaction = Transaction({key: lease.fence}, {key + RENEWAL_SUFFIX: {}})
        try:
            await self._table.commit(transaction)
        except ConditionFailed as error:
            raise LeaseLost(f"{lease.shard}: another daemon holds the lease") from error
        return lease.renewed(sent_at)

    async def release(self, lease):
        """Release a lease, so that another daemon need not wait until it expires."""
        key = lease_key(lease.shard)
        try:
            await self._table.commit(
                Transaction({key: lease.fence}, {key: {"holder": ""}})
            )
        except (ReplyLost, StoreError, asyncio.CancelledError):
            log.info("lease-not-released", shard=lease.shard)
