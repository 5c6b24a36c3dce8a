"""Say when a revision is in force everywhere, and evict silent members."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon import now
from cowslipcourse.daemon.revisions import HEAD_KEY
from cowslipcourse.exceptions import ConditionFailed, StoreError
from cowslipcourse.membership import AcceptedList, Role
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["ACCEPTED_KEY", "Acceptor"]

ACCEPTED_KEY = "config/accepted"
LOOK_S = 0.25
DELAY_PER_RANK_S = 1.0

log = get_logger(__name__)


class Acceptor:
    """Accepts revisions and evicts members that nobody reaches.

    Every controller runs one; those of lower rank wait a little, so that usually one
    of them writes.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, agent, table):
        self._agent = agent
        self._table = table
        self._last = AcceptedList(0, {})
        self._ready_since = None

    @property
    def accepted(self):
        """Number of the last revision known to be accepted."""
        return self._last.number

    def missing(self):
        """Return the names of members not known to run the newest revision."""
        return self._agent.node.missing()

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
        revision = self._agent.revision
        if revision.number <= self._last.number:
            return
        if not self._accepted():
            self._ready_since = None
            await self._follow()
            return
        self._ready_since = self._ready_since or now()
        if now() - self._ready_since < self._rank() * DELAY_PER_RANK_S:
            await self._follow()
            return
        await self._write(revision)

    def _accepted(self):
        return self._agent.node.accepts(self._last, now())

    async def _follow(self):
        """Read what others accepted."""
        row = await self._table.read(ACCEPTED_KEY)
        if row is not None:
            self._last = AcceptedList(row.value["number"], row.value["members"])
        return row.version if row is not None else ABSENT

    async def _write(self, revision):
        head = await self._table.read(HEAD_KEY)
        version = await self._follow()
        newest = head.value["number"] == revision.number
        # The list may have changed with what was just read: judge again.
        if not newest or revision.number <= self._last.number:
            return
        if not self._accepted():
            return
        members = {name: m.incarnation for name, m in revision.members.items()}
        value = {"number": revision.number, "members": members}
        conditions = {ACCEPTED_KEY: version, HEAD_KEY: head.version}
        await self._table.commit(Transaction(conditions, {ACCEPTED_KEY: value}))
        self._last = AcceptedList(revision.number, members)
        log.info("accepted", revision=revision.number)

    def _rank(self):
        revision = self._agent.revision
        silent = self._agent.silent()
        names = sorted(
            member.name
            for member in revision.members.values()
            if member.role == Role.CONTROLLER and member.name not in silent
        )
        return names.index(self._agent.member.name)

    async def _evict(self):
        """Evict members that most of those who answer cannot reach either."""
        revision = self._agent.revision
        gone = self._agent.node.silent_to_most(now())
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
