"""The plans of all domains, as this daemon knows their rows."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import ConditionFailed, MalformedAnswer
from cowslipcourse.groups import DomainPlan, decode_plan, encode_plan
from cowslipcourse.ports import RowWrite

__all__ = ["GROUPS_TABLE", "PlanTable"]

GROUPS_TABLE = "groups"
CONFIRMED_S = 2.0
"""Age at which the rows are read again before the next order."""

log = get_logger(__name__)


class PlanTable:
    """Reads and replaces the rows of plans.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param see_plan: called with each :class:`~cowslipcourse.groups.DomainPlan` that
        becomes known, and whether this daemon wrote it.
    """

    def __init__(self, store, see_plan):
        self._store = store
        self._see_plan = see_plan
        self._unreadable = frozenset()
        self._confirmed_at = None
        self._read_at = float("-inf")
        self.plans = {}

    @property
    def is_known(self):
        """Whether the rows were read and nothing has cast doubt on them since."""
        return self._confirmed_at is not None

    def doubt(self):
        """Read the rows again before anything is done."""
        self._confirmed_at = None

    def is_confirmed(self, now):
        """Whether the rows are known to have been current a moment ago."""
        if self._confirmed_at is None or now - self._confirmed_at > CONFIRMED_S:
            self._confirmed_at = None
            return False
        return True

    def age_s(self, now):
        """Return the seconds since all rows were read."""
        return now - self._read_at

    def is_readable(self, domain):
        """Whether the row of a domain could be decoded."""
        return domain not in self._unreadable

    def plan(self, domain):
        """Return the :class:`~cowslipcourse.groups.DomainPlan` of a domain."""
        return self.plans.get(domain) or DomainPlan(domain)

    async def read(self):
        """Read all rows.

        :raises StoreError: they could not be read.
        """
        asked_at = asyncio.get_running_loop().time()
        found = await self._store.read_table(GROUPS_TABLE)
        self.plans = {}
        unreadable = set()
        for row in found.rows:
            try:
                self._take(decode_plan(row.key, row.value, row.version), is_own=False)
            except MalformedAnswer as error:
                # Who is in its groups is not known, so nothing is done there.
                log.warning("plan-unreadable", domain=row.key, why=error)
                unreadable.add(row.key)
        self._unreadable = frozenset(unreadable)
        self._confirmed_at = self._read_at = asked_at
        log.info("plans-read", domains=len(self.plans), version=found.version)

    async def replace(self, plan, groups):
        """Replace the groups of a plan, unless its row has changed.

        :param plan: the :class:`~cowslipcourse.groups.DomainPlan` that is known.
        :param groups: tuple of :class:`~cowslipcourse.groups.PlannedGroup`
        :returns: the new plan; ``None`` if the row had changed and all were read again.
        :raises StoreError: the row may not have been written.
        """
        content = encode_plan(groups)
        asked_at = asyncio.get_running_loop().time()
        try:
            version = await self._store.write(
                RowWrite(GROUPS_TABLE, plan.domain, content, plan.version)
            )
        except ConditionFailed:
            log.info("plan-outdated", domain=plan.domain, version=plan.version)
            await self.read()
            return None
        written = DomainPlan(plan.domain, version, groups)
        self._take(written, is_own=True)
        self._confirmed_at = asked_at
        return written

    def _take(self, plan, is_own):
        self.plans[plan.domain] = plan
        self._see_plan(plan, is_own)
