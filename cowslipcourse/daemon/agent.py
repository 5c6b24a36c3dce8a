"""The agent: membership, heartbeats and spread state of one daemon.

Gateways and controllers each run one. It owns the membership node and the sockets to
the peers; other tasks ask it and publish through it.
"""

import asyncio
import random
import secrets

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.peer import GrpcPeerNetwork, TlsFiles
from cowslipcourse.daemon.revisions import RevisionTable
from cowslipcourse.daemon.runtime import now
from cowslipcourse.daemon.tasks import run_forever
from cowslipcourse.exceptions import DaemonStopped, PeerUnreachable, StoreError
from cowslipcourse.membership import (
    Member,
    MembershipNode,
    MembershipTimes,
    Record,
    Role,
)

__all__ = ["Agent"]

INCARNATION_BYTES = 6
RETRY_S = 1.0

log = get_logger(__name__)


class Agent:
    """Keeps this daemon in touch with its peers and the table.

    :param settings: :class:`~cowslipcourse.settings.BaseDaemonSettings`
    :param role: :class:`~cowslipcourse.membership.Role`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param peers: :class:`~cowslipcourse.ports.PeerNetwork`, gRPC if left out.
    """

    def __init__(self, settings, role, table, peers=None):
        daemon, times = settings.daemon, settings.time
        member = Member(
            name=daemon.name,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
            role=Role(role),
            data_centre=daemon.data_centre,
            peer_address=daemon.peer_address,
            public_address=f"http://{daemon.public_address}",
        )
        membership_times = MembershipTimes(
            times.heartbeat_s, times.isolation_s, times.eviction_s, times.table_poll_s
        )
        self._node = MembershipNode(member, membership_times, times.record_keep_s)
        self._revisions = RevisionTable(table)
        tls = settings.tls and TlsFiles(**dict(settings.tls))
        self._peers = peers or GrpcPeerNetwork(daemon.peer_address, tls)
        self._peer_tasks = {}
        self._tasks = []
        self._sequence = 0
        self._leaving = False
        self._table_answered = False
        self._was_serving = False
        self._forward_handler = None
        self._record_listeners = []
        self._revision_listeners = []

    @property
    def node(self):
        """:class:`~cowslipcourse.membership.MembershipNode`"""
        return self._node

    @property
    def member(self):
        """This run of this daemon."""
        return self._node.member

    @property
    def times(self):
        """:class:`~cowslipcourse.membership.MembershipTimes` in use."""
        return self._node.times

    @property
    def contacts(self):
        """:class:`~cowslipcourse.membership.Contacts` with the peers."""
        return self._node.contacts

    @property
    def records(self):
        """:class:`~cowslipcourse.membership.RecordStore` of spread state."""
        return self._node.records

    @property
    def revision(self):
        """The revision that this daemon runs, or ``None``."""
        return self._node.revision

    @property
    def revisions(self):
        """:class:`~cowslipcourse.daemon.RevisionTable`"""
        return self._revisions

    @property
    def table_answered(self):
        """Whether the last call to the table service was answered."""
        return self._table_answered

    @property
    def peers(self):
        """:class:`~cowslipcourse.ports.PeerNetwork`"""
        return self._peers

    def on_record(self, listener):
        """Call ``listener(record)`` with every newer record."""
        self._record_listeners.append(listener)

    def on_revision(self, listener):
        """Call ``listener(revision)`` with every newer revision."""
        self._revision_listeners.append(listener)

    def on_forward(self, handler):
        """Answer forwarded calls with ``await handler(call)``."""
        self._forward_handler = handler

    def may_serve(self):
        """Return whether this daemon may take new work now."""
        serving = self._node.may_serve(now())
        if serving != self._was_serving:
            self._was_serving = serving
            event = "serving" if serving else "stopped"
            log.info(event, revision=self._node.revision_number)
        return serving

    def require_serving(self):
        """Raise unless this daemon may take new work now.

        :raises DaemonStopped: it cannot tell what is in force.
        """
        if not self.may_serve():
            raise DaemonStopped("cut off from the other daemons", RETRY_S)

    def silent_members(self, silence_limit_s=None):
        """Return the names of members that do not answer this daemon.

        :param silence_limit_s: seconds of silence, the eviction time if left out.
        """
        if silence_limit_s is None:
            silence_limit_s = self.times.eviction_s
        return self.contacts.silent_members(self._node.peers, now(), silence_limit_s)

    def publish(self, key, value, fence=0, sequence=None, observed_at=None):
        """Spread a record.

        :param key: record key.
        :param value: anything that msgspec encodes.
        :param fence: fencing token under which it is written.
        :param sequence: sequence number; a growing one is taken if left out.
        :param observed_at: loop time from which its age counts, now if left out.
        """
        self._sequence += 1
        record = Record(
            key=key,
            fence=fence,
            sequence=self._sequence if sequence is None else sequence,
            value=msgspec.json.encode(value),
            observed_at=now() if observed_at is None else observed_at,
            origin=self.member.name,
        )
        if self.records.apply(record):
            self._tell_record(record)

    async def start(self):
        """Listen for peers and start the tasks; joins in the background."""
        await self._peers.listen(self)
        self._tasks = [
            run_forever(self._watch_table(), "table-watch"),
            run_forever(self._tidy(), "tidy"),
        ]

    async def leave(self):
        """Take this daemon out of the members; part of a planned stop."""
        self._leaving = True

        def without_self(members):
            if members.get(self.member.name) != self.member:
                return None
            del members[self.member.name]
            return members

        try:
            await self._revisions.change_members(without_self, self.revision)
        except StoreError as error:
            log.warning("leave-failed", code=error.code)

    async def stop(self):
        """End the tasks and close the sockets."""
        tasks = [*self._tasks, *self._peer_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peers.close()

    async def heartbeat(self, heartbeat):
        """See :class:`~cowslipcourse.ports.peers.PeerHandler`."""
        self.may_serve()
        return self._node.answer(heartbeat, now())

    async def forward(self, call):
        """See :class:`~cowslipcourse.ports.peers.PeerHandler`."""
        return await self._forward_handler(call)

    # Heartbeats to peers.

    def _match_peer_tasks(self):
        peers = set(self._node.peers)
        for member in set(self._peer_tasks) - peers:
            self._peer_tasks.pop(member).cancel()
        for member in peers - set(self._peer_tasks):
            name = f"heartbeats-{member.name}"
            self._peer_tasks[member] = run_forever(self._heartbeats(member), name)

    async def _heartbeats(self, member):
        # Spread the heartbeats of many daemons over the interval.
        await asyncio.sleep(random.random() * self.times.heartbeat_s)
        while True:
            sent_at = now()
            try:
                await self._heartbeat(member, sent_at)
            except PeerUnreachable:
                pass
            self.may_serve()
            await asyncio.sleep(max(0.0, sent_at + self.times.heartbeat_s - now()))

    async def _heartbeat(self, member, sent_at):
        heartbeat = self._node.build_heartbeat(member, sent_at)
        timeout_s = self.times.isolation_s / 2
        answer = await self._peers.heartbeat(member.peer_address, heartbeat, timeout_s)
        self.may_serve()
        before = self._node.revision_number
        records = self._node.handle_heartbeat_answer(member, answer, sent_at, now())
        self._tell_revision(before)
        for record in records or ():
            self._tell_record(record)

    def _tell_record(self, record):
        for listener in self._record_listeners:
            listener(record)

    # Revisions.

    def _tell_revision(self, number_before):
        revision = self.revision
        if self._node.revision_number == number_before:
            return
        log.info("revision", revision=revision.number, members=len(revision.members))
        self._match_peer_tasks()
        for listener in self._revision_listeners:
            listener(revision)

    async def _watch_table(self):
        while True:
            sent_at = now()
            try:
                await self._read_table(sent_at)
            except StoreError as error:
                if self._table_answered:
                    log.warning("table-lost", code=error.code, detail=error.detail)
                self._table_answered = False
            self.may_serve()
            await asyncio.sleep(max(0.0, sent_at + self.times.table_poll_s - now()))

    async def _read_table(self, sent_at):
        revision = await self._revisions.read_newest(self.revision)
        if not self._table_answered:
            log.info("table-answers")
        self._table_answered = True
        if revision is not None:
            before = self._node.revision_number
            self._node.handle_table_revision(revision, sent_at, now())
            self._tell_revision(before)
        if not self._leaving and not self._node.is_listed:
            await self._join()

    async def _join(self):
        def with_self(members):
            if members.get(self.member.name) == self.member:
                return None
            members[self.member.name] = self.member
            return members

        revision = await self._revisions.change_members(with_self, self.revision)
        before = self._node.revision_number
        self._node.apply(revision, now())
        self._tell_revision(before)

    async def _tidy(self):
        while True:
            await asyncio.sleep(self.times.eviction_s)
            self.records.drop_expired(now())
            await self._peers.close_connections_except(
                {member.peer_address for member in self._node.peers}
            )
