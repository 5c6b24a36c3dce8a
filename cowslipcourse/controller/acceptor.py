"""Accept revisions that are in force everywhere, and evict silent members."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.daemon.revisions import ACCEPTED_KEY
from cowslipcourse.exceptions import ConditionFailed, StoreError
from cowslipcourse.membership import Role
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["RevisionAcceptor"]

CHECK_INTERVAL_S = 0.25
DELAY_PER_RANK_S = 1.0

log = get_logger(__name__)


class RevisionAcceptor:
    """Accepts revisions and evicts members that a majority cannot reach.

    Every controller runs one and waits ``DELAY_PER_RANK_S`` per rank before it writes,
    so that usually only one of them does.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, agent, table):
        self._agent = agent
        self._table = table
        self._accepted_number = 0
        self._acceptable_since = None

    @property
    def accepted_number(self):
        """Number of the last revision known to be accepted."""
        return self._accepted_number

    def members_behind(self):
        """Return the names of members not known to run the newest revision."""
        return self._agent.node.members_behind()

    async def wait_accepted(self, number, timeout_s):
        """Wait until a revision is accepted.

        :param number: revision number.
        :param timeout_s: maximum wait in seconds.
        :returns: whether the revision is accepted.
        """
        deadline = now() + timeout_s
        while self.accepted_number < number and now() < deadline:
            await asyncio.sleep(CHECK_INTERVAL_S)
        return self.accepted_number >= number

    async def run(self):
        """Check periodically, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if not self._agent.may_serve():
                self._acceptable_since = None
                continue
            try:
                await self._accept_newest()
                await self._evict_silent_members()
            except ConditionFailed:
                self._acceptable_since = None
            except StoreError as error:
                log.info("acceptance-delayed", code=error.code)

    async def _accept_newest(self):
        if self._agent.node.revision_number <= self._accepted_number:
            return
        if self._newest_acceptable() <= self._accepted_number:
            self._acceptable_since = None
            await self._read_accepted_number()
            return
        self._acceptable_since = self._acceptable_since or now()
        if now() - self._acceptable_since < self._rank() * DELAY_PER_RANK_S:
            await self._read_accepted_number()
            return
        await self._commit_accepted_number()

    async def _read_accepted_number(self):
        """Read the number accepted by any controller; returns the row's version."""
        row = await self._table.read(ACCEPTED_KEY)
        if row is None:
            return ABSENT
        self._accepted_number = row.value["number"]
        return row.version

    async def _commit_accepted_number(self):
        version = await self._read_accepted_number()
        number = self._newest_acceptable()
        if number <= self._accepted_number:
            return
        transaction = Transaction(
            {ACCEPTED_KEY: version}, {ACCEPTED_KEY: {"number": number}}
        )
        await self._table.commit(transaction)
        self._accepted_number = number
        log.info("accepted", revision=number)

    def _newest_acceptable(self):
        return self._agent.node.newest_accepted(self._accepted_number, now())

    def _rank(self):
        revision = self._agent.revision
        silent = self._agent.silent_members()
        controllers = sorted(
            member.name
            for member in revision.members.values()
            if member.role == Role.CONTROLLER and member.name not in silent
        )
        return controllers.index(self._agent.member.name)

    async def _evict_silent_members(self):
        """Evict members that a majority of the answering members cannot reach."""
        revision = self._agent.revision
        silent = self._agent.node.silent_to_majority(now())
        if not silent or not self._agent.table_answered:
            return
        await asyncio.sleep(self._rank() * DELAY_PER_RANK_S)
        if not self._agent.may_serve():
            return

        def remove_silent(members):
            remaining = {
                name: member
                for name, member in members.items()
                if name not in silent or member != revision.members[name]
            }
            return remaining if len(remaining) < len(members) else None

        new_revision = await self._agent.revisions.change_members(
            remove_silent, self._agent.revision
        )
        log.warning(
            "evicted", members=",".join(sorted(silent)), revision=new_revision.number
        )
