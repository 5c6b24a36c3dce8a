"""Say when a revision is in force everywhere, and evict silent members."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.daemon.revisions import ACCEPTED_KEY
from cowslipcourse.exceptions import ConditionFailed, StoreError
from cowslipcourse.membership import Role
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["RevisionAcceptor"]

LOOK_S = 0.25
DELAY_PER_RANK_S = 1.0

log = get_logger(__name__)


class RevisionAcceptor:
    """Accepts revisions and evicts members that nobody reaches.

    Every controller runs one; those of lower rank wait a little, so that usually one
    of them writes.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, agent, table):
        self._agent = agent
        self._table = table
        self._accepted = 0
        self._ready_since = None

    @property
    def accepted(self):
        """Number of the last revision known to be accepted."""
        return self._accepted

    def members_behind(self):
        """Return the names of members not known to run the newest revision."""
        return self._agent.node.members_behind()

    async def wait_accepted(self, number, wait_s):
        """Wait until a revision is accepted.

        :param number: revision number.
        :param wait_s: seconds to wait at most.
        :returns: whether it is.
        """
        until = now() + wait_s
        while self.accepted < number and now() < until:
            await asyncio.sleep(LOOK_S)
        return self.accepted >= number

    async def run(self):
        """Look for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            if not self._agent.may_serve():
                self._ready_since = None
                continue
            try:
                await self._accept()
                await self._evict()
            except ConditionFailed:
                self._ready_since = None
            except StoreError as error:
                log.info("acceptance-delayed", code=error.code)

    async def _accept(self):
        if self._agent.node.revision_number <= self._accepted:
            return
        if self._newest() <= self._accepted:
            self._ready_since = None
            await self._follow()
            return
        self._ready_since = self._ready_since or now()
        if now() - self._ready_since < self._rank() * DELAY_PER_RANK_S:
            await self._follow()
            return
        await self._write()

    async def _follow(self):
        """Read what others accepted and return the version of the row."""
        row = await self._table.read(ACCEPTED_KEY)
        if row is None:
            return ABSENT
        self._accepted = row.value["number"]
        return row.version

    async def _write(self):
        version = await self._follow()
        number = self._newest()
        if number <= self._accepted:
            return
        transaction = Transaction(
            {ACCEPTED_KEY: version}, {ACCEPTED_KEY: {"number": number}}
        )
        await self._table.commit(transaction)
        self._accepted = number
        log.info("accepted", revision=number)

    def _newest(self):
        return self._agent.node.newest_accepted(self._accepted, now())

    def _rank(self):
        revision = self._agent.revision
        silent = self._agent.silent_members()
        names = sorted(
            member.name
            for member in revision.members.values()
            if member.role == Role.CONTROLLER and member.name not in silent
        )
        return names.index(self._agent.member.name)

    async def _evict(self):
        """Evict members that most of those who answer cannot reach either."""
        revision = self._agent.revision
        gone = self._agent.node.silent_to_majority(now())
        if not gone or not self._agent.table_answered:
            return
        await asyncio.sleep(self._rank() * DELAY_PER_RANK_S)
        if not self._agent.may_serve():
            return

        def without_gone(members):
            kept = {
                name: member
                for name, member in members.items()
                if name not in gone or member != revision.members[name]
            }
            return kept if len(kept) < len(members) else None

        newest = await self._agent.revisions.change_members(
            without_gone, self._agent.revision
        )
        log.warning("evicted", members=",".join(sorted(gone)), revision=newest.number)
