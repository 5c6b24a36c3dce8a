"""Leases of shards in the table service.

``lease/<shard>`` changes with each holder; the version of that row is the fencing
token. ``lease/<shard>/renewal`` changes with each renewal.
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
    """Takes, renews and observes leases for one daemon.

    :param table: :class:`~cowslipcourse.ports.TableService`
    :param holder: name and incarnation of this daemon.
    :param times: :class:`~cowslipcourse.settings.TimeSettings`
    """

    def __init__(self, table, holder, times):
        self._table = table
        self._holder = holder
        self._terms = LeaseTerms(times.lease_term_s, times.lease_margin_s)
        self._observed = {}
        self._holders = {}

    def holder_of(self, shard):
        """Return who was last seen to hold a shard, or an empty string."""
        return self._holders.get(shard, "")

    async def observe(self):
        """Read all leases.

        :raises StoreUnavailable: the table service did not answer.
        """
        rows = {row.key: row for row in await self._table.scan(LEASE_PREFIX)}
        at = now()
        for key, row in rows.items():
            if key.endswith(RENEWAL_SUFFIX):
                continue
            shard = key.removeprefix(LEASE_PREFIX)
            renewal = rows.get(key + RENEWAL_SUFFIX)
            mark = (row.version, renewal.version if renewal else ABSENT)
            known = self._observed.get(shard)
            if known is None:
                self._observed[shard] = ObservedLease(mark, at, self._terms)
            else:
                self._observed[shard] = known.observed(mark, at)
            self._holders[shard] = row.value["holder"]

    def may_take(self, shard):
        """Return whether a shard is free or its lease has lapsed for certain."""
        observed = self._observed.get(shard)
        return (
            observed is None
            or self._holders[shard] == ""
            or (observed.may_acquire(now()))
        )

    async def take(self, shard):
        """Take a lease and return it.

        :raises LeaseLost: another daemon was faster.
        :raises StoreError: it is not known whether the lease was taken.
        """
        observed = self._observed.get(shard)
        version, renewal = observed.row_versions if observed else (ABSENT, ABSENT)
        key = lease_key(shard)
        sent_at = now()
        try:
            fence = await self._table.commit(
                Transaction(
                    {key: version, key + RENEWAL_SUFFIX: renewal},
                    {key: {"holder": self._holder}, key + RENEWAL_SUFFIX: {}},
                )
            )
        except ConditionFailed as error:
            raise LeaseLost(f"{shard} was taken by another") from error
        log.info("lease-taken", shard=shard, fence=fence)
        return HeldLease(shard, fence, sent_at, self._terms)

    async def renew(self, lease):
        """Renew a lease and return it.

        :raises LeaseLost: another daemon holds it.
        :raises StoreError: it may or may not have been renewed.
        """
        key = lease_key(lease.shard)
        sent_at = now()
        transaction = Transaction({key: lease.fence}, {key + RENEWAL_SUFFIX: {}})
        try:
            await self._table.commit(transaction)
        except ConditionFailed as error:
            raise LeaseLost(f"{lease.shard} is held by another") from error
        return lease.renewed(sent_at)

    async def release(self, lease):
        """Give a lease up, so that another daemon need not wait."""
        key = lease_key(lease.shard)
        try:
            await self._table.commit(
                Transaction({key: lease.fence}, {key: {"holder": ""}})
            )
        except (ReplyLost, StoreError, asyncio.CancelledError):
            log.info("lease-not-released", shard=lease.shard)
