"""The known plans of all domains and their rows in the store."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import ConditionFailed, MalformedResponse
from cowslipcourse.group_plans import DomainPlan, decode_plan, encode_plan
from cowslipcourse.ports import RowWrite, era_of

__all__ = ["GROUPS_TABLE", "PlanTable"]

GROUPS_TABLE = "groups"
CONFIRMATION_VALIDITY_S = 2.0
"""Age beyond which the rows are read again before the next order."""

log = get_logger(__name__)


class PlanTable:
    """Reads and conditionally replaces the rows of plans.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param on_plan: called with each :class:`~cowslipcourse.group_plans.DomainPlan` that
        becomes known, and whether this daemon wrote it.
    """

    def __init__(self, store, on_plan):
        self._store = store
        self._on_plan = on_plan
        self._unreadable = frozenset()
        self._confirmed_at = None
        self._read_at = float("-inf")
        self._read_version = 0
        self._lost_domains = set()
        self.plans = {}

    @property
    def is_valid(self):
        """Whether the rows were read and not invalidated since."""
        return self._confirmed_at is not None

    def check_era(self):
        """Invalidate the rows if the store was restored to an older state."""
        if self._store.era != era_of(self._read_version):
            self._confirmed_at = None

    def invalidate(self):
        """Require a read of the rows before the next action."""
        self._confirmed_at = None

    def is_confirmed(self, now):
        """Whether the rows were confirmed within ``CONFIRMATION_VALIDITY_S``."""
        if (
            self._confirmed_at is None
            or now - self._confirmed_at > CONFIRMATION_VALIDITY_S
        ):
            self._confirmed_at = None
            return False
        return True

    def age_s(self, now):
        """Return the seconds since the last read of all rows."""
        return now - self._read_at

    def is_readable(self, domain):
        """Whether the row of a domain could be decoded."""
        return domain not in self._unreadable

    def is_lost(self, domain):
        """Whether the store has lost the row of a domain's known plan."""
        return domain in self._lost_domains

    def plan(self, domain):
        """Return the :class:`~cowslipcourse.group_plans.DomainPlan` of a domain."""
        return self.plans.get(domain) or DomainPlan(
            domain, absent_at_version=self._read_version
        )

    async def read(self):
        """Read all rows.

        :raises StoreError: if they cannot be read.
        """
        requested_at = asyncio.get_running_loop().time()
        snapshot = await self._store.read_table(GROUPS_TABLE)
        previous_plans, self.plans = self.plans, {}
        may_be_lost = self._lost_domains or era_of(snapshot.version) > era_of(
            self._read_version
        )
        unreadable = set()
        for row in snapshot.rows:
            try:
                plan = decode_plan(row.key, row.value, row.version)
            except MalformedResponse as error:
                # The members of its groups are unknown, so the domain is left alone.
                log.warning("plan-unreadable", domain=row.key, why=error)
                unreadable.add(row.key)
                continue
            self._set_plan(plan, is_own=False)
        self._unreadable = frozenset(unreadable)
        self._read_version = snapshot.version
        self._lost_domains = (
            self._restore_lost(previous_plans) if may_be_lost else set()
        )
        self._confirmed_at = self._read_at = requested_at
        log.info("plans-read", domains=len(self.plans), version=snapshot.version)

    def _restore_lost(self, previous_plans):
        """Keep plans that are newer than those of a restored store.

        :param previous_plans: known :class:`~cowslipcourse.group_plans.DomainPlan`
            by domain.
        :returns: names of their domains.
        """
        lost = set()
        for domain, plan in previous_plans.items():
            found = self.plan(domain)
            if plan.decided_at <= found.decided_at or domain in self._unreadable:
                continue
            log.warning(
                "plan-lost",
                domain=domain,
                known=plan.decided_at,
                found=found.decided_at,
                version=found.version,
            )
            self._set_plan(
                found._replace(groups=plan.groups, decided_at=plan.decided_at),
                is_own=False,
            )
            lost.add(domain)
        return lost

    async def replace(self, plan, groups):
        """Replace the groups of a plan, unless its row has changed.

        :param plan: the :class:`~cowslipcourse.group_plans.DomainPlan` that is known.
        :param groups: tuple of :class:`~cowslipcourse.group_plans.PlannedGroup`
        :returns: the new plan; ``None`` if the row had changed and all were read again.
        :raises StoreError: the row may not have been written.
        """
        return await self._write(plan, groups, plan.next_epoch)

    async def rewrite(self, domain):
        """Write a domain's plan again after the store has lost it.

        :returns: the new plan; ``None`` if the row had changed and all were read again.
        :raises StoreError: the row may not have been written.
        """
        plan = self.plan(domain)
        written = await self._write(plan, plan.groups, plan.decided_at)
        if written is not None:
            self._lost_domains.discard(domain)
            log.info("plan-written-again", domain=domain, version=written.version)
        return written

    async def _write(self, plan, groups, decided_at):
        content = encode_plan(groups, decided_at)
        requested_at = asyncio.get_running_loop().time()
        try:
            version = await self._store.write(
                RowWrite(GROUPS_TABLE, plan.domain, content, plan.version)
            )
        except ConditionFailed:
            log.info("plan-outdated", domain=plan.domain, version=plan.version)
            await self.read()
            return None
        written = DomainPlan(plan.domain, version, groups, decided_at)
        self._set_plan(written, is_own=True)
        self._confirmed_at = requested_at
        return written

    def _set_plan(self, plan, is_own):
        self.plans[plan.domain] = plan
        self._on_plan(plan, is_own)
