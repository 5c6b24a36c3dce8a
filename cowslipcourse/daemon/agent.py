"""Membership, heartbeats and replicated records of one daemon.

Every gateway and controller runs one agent. It owns the membership node and the
connections to the peers; other tasks query it and publish their records through it.
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
RETRY_AFTER_S = 1.0

log = get_logger(__name__)


class Agent:
    """Exchanges heartbeats with the peers and polls the table for revisions.

    :param settings: :class:`~cowslipcourse.settings.BaseDaemonSettings`
    :param role: :class:`~cowslipcourse.membership.Role`
    :param table: :class:`~cowslipcourse.ports.TableService`
    :param peers: :class:`~cowslipcourse.ports.PeerNetwork`; gRPC by default.
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
        self._heartbeat_tasks = {}
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
        """The :class:`~cowslipcourse.membership.Member` of this run of the daemon."""
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
        """:class:`~cowslipcourse.membership.RecordStore` of the replicated records."""
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
        """Add a listener, called as ``listener(record)`` for every newer record."""
        self._record_listeners.append(listener)

    def on_revision(self, listener):
        """Add a listener, called as ``listener(revision)`` for every newer revision."""
        self._revision_listeners.append(listener)

    def on_forward(self, handler):
        """Set the handler of forwarded calls, used as ``await handler(call)``."""
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

        :raises DaemonStopped: the daemon cannot tell which revision is in force.
        """
        if not self.may_serve():
            raise DaemonStopped("isolated from the other daemons", RETRY_AFTER_S)

    def silent_members(self, silence_limit_s=None):
        """Return the names of members that do not answer this daemon.

        :param silence_limit_s: seconds without an answer after which a member counts
            as silent; the eviction time by default.
        """
        if silence_limit_s is None:
            silence_limit_s = self.times.eviction_s
        return self.contacts.silent_members(self._node.peers, now(), silence_limit_s)

    def publish(self, key, value, fence=0, sequence=None, observed_at=None):
        """Publish a record to all members.

        :param key: record key.
        :param value: anything that msgspec encodes.
        :param fence: fencing token under which the record is written.
        :param sequence: sequence number; by default the next one of this agent.
        :param observed_at: loop time from which the record's age counts; now by
            default.
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
            self._notify_record_listeners(record)

    async def start(self):
        """Listen for peers and start the tasks; the daemon joins in the background."""
        await self._peers.listen(self)
        self._tasks = [
            run_forever(self._poll_table(), "table-poll"),
            run_forever(self._drop_expired_state(), "expired-state"),
        ]

    async def leave(self):
        """Remove this daemon from the members, as part of a planned stop."""
        self._leaving = True

        def remove_self(members):
            if members.get(self.member.name) != self.member:
                return None
            del members[self.member.name]
            return members

        try:
            await self._revisions.change_members(remove_self, self.revision)
        except StoreError as error:
            log.warning("leave-failed", code=error.code)

    async def stop(self):
        """Cancel the tasks and close the connections."""
        tasks = [*self._tasks, *self._heartbeat_tasks.values()]
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

    def _update_heartbeat_tasks(self):
        peers = set(self._node.peers)
        for member in set(self._heartbeat_tasks) - peers:
            self._heartbeat_tasks.pop(member).cancel()
        for member in peers - set(self._heartbeat_tasks):
            name = f"heartbeats-{member.name}"
            self._heartbeat_tasks[member] = run_forever(
                self._send_heartbeats(member), name
            )

    async def _send_heartbeats(self, member):
        # A random delay spreads the heartbeats of many daemons over the interval.
        await asyncio.sleep(random.random() * self.times.heartbeat_s)
        while True:
            sent_at = now()
            try:
                await self._send_heartbeat(member, sent_at)
            except PeerUnreachable:
                pass
            self.may_serve()
            await asyncio.sleep(max(0.0, sent_at + self.times.heartbeat_s - now()))

    async def _send_heartbeat(self, member, sent_at):
        heartbeat = self._node.build_heartbeat(member, sent_at)
        timeout_s = self.times.isolation_s / 2
        answer = await self._peers.heartbeat(member.peer_address, heartbeat, timeout_s)
        self.may_serve()
        previous_number = self._node.revision_number
        records = self._node.handle_heartbeat_answer(member, answer, sent_at, now())
        self._notify_if_revision_changed(previous_number)
        for record in records or ():
            self._notify_record_listeners(record)

    def _notify_record_listeners(self, record):
        for listener in self._record_listeners:
            listener(record)

    # Revisions.

    def _notify_if_revision_changed(self, previous_number):
        revision = self.revision
        if self._node.revision_number == previous_number:
            return
        log.info("revision", revision=revision.number, members=len(revision.members))
        self._update_heartbeat_tasks()
        for listener in self._revision_listeners:
            listener(revision)

    async def _poll_table(self):
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
            previous_number = self._node.revision_number
            self._node.handle_table_revision(revision, sent_at, now())
            self._notify_if_revision_changed(previous_number)
        if not self._leaving and not self._node.is_listed:
            await self._join()

    async def _join(self):
        def add_self(members):
            if members.get(self.member.name) == self.member:
                return None
            members[self.member.name] = self.member
            return members

        revision = await self._revisions.change_members(add_self, self.revision)
        previous_number = self._node.revision_number
        self._node.apply(revision, now())
        self._notify_if_revision_changed(previous_number)

    async def _drop_expired_state(self):
        while True:
            await asyncio.sleep(self.times.eviction_s)
            self.records.drop_expired(now())
            await self._peers.close_connections_except(
                {member.peer_address for member in self._node.peers}
            )
