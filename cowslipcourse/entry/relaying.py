"""Send requests to other daemons while this one has no links to the targets.

The other daemon decides about the request as about its own: it chooses the target,
waits for a slot, retries, and keeps to what targets state. It never relays a relayed
request.
"""

import asyncio
from contextlib import asynccontextmanager
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.attempts import RelayPeer, relay_id
from cowslipcourse.entry.host_checks import HostChecks, answers_nothing
from cowslipcourse.exceptions import (
    IncompleteResponse,
    NotRelayed,
    TargetSilent,
    TargetUnreachable,
)
from cowslipcourse.http_client import (
    ConnectionPool,
    TargetConnection,
    TargetRequest,
)
from cowslipcourse.platform.headers import (
    attempt_id_header,
    relay_refusal,
    relayed_headers,
)
from cowslipcourse.reachability import RelayChoice

__all__ = ["RelayedAttempt", "Relays"]

CONNECT_TIMEOUT_S = 0.4
"""A healthy daemon accepts within a few ms; a lost packet costs a second or more."""
CHECK_INTERVAL_S = 0.25
MIN_CHECKED_SILENCE_S = 1.0
"""Silence of a relayed response after which it is checked whether its relay has ended.
Heartbeats may be lost, or this daemon may be late to read them."""
MAX_COMPARED = 3
"""Other daemons that are asked for a connection once a relay has not answered."""

log = get_logger(__name__)


class RelayedAttempt(NamedTuple):
    """A request that was sent to another daemon.

    :param entry: :class:`~cowslipcourse.entry.attempts.RelayPeer`
    :param connection: :class:`~cowslipcourse.http_client.TargetConnection`
    :param sent_at: loop time at which the request was sent.
    :param on_relayed: called with the peer once it has relayed the request.
    """

    entry: RelayPeer
    connection: object
    sent_at: float
    on_relayed: object

    async def read_head(self):
        """Return the head of the response.

        :raises NotRelayed: the daemon cannot serve the request either.
        :raises TargetError: the response ended before its head was complete.
        """
        head = await self.connection.head()
        refusal = relay_refusal(head)
        if refusal:
            raise NotRelayed(f"{self.entry.id} cannot relay: {refusal}")
        self.on_relayed(self.entry)
        return head

    async def confirm_end(self):
        """Check that the end of the response was stated: daemons always state it.

        :raises IncompleteResponse: it ended with its connection.
        """
        if self.connection.is_close_delimited:
            self.connection.reject_end()
            raise IncompleteResponse("the response of a relay has no stated end")


class Relays:
    """Chooses daemons that relay requests, and sends requests to them.

    :param data_centre: this daemon's own data centre.
    :param ready_members: callable that returns the
        :class:`~cowslipcourse.peer_protocol.Member` list of other ready daemons.
    :param alive_addresses: callable that returns the peer addresses of other daemons
        that are alive.
    :param rng: :class:`random.Random`
    :param pool: :class:`~cowslipcourse.http_client.ConnectionPool`
    :param connect: coroutine function like :meth:`TargetConnection.connect`.
    """

    def __init__(
        self,
        data_centre,
        ready_members,
        alive_addresses,
        rng,
        pool=None,
        connect=TargetConnection.connect,
    ):
        self._ready_members = ready_members
        self._alive_addresses = alive_addresses
        self._choice = RelayChoice(data_centre, rng)
        self._pool = pool or ConnectionPool(CONNECT_TIMEOUT_S)
        self._connect = connect
        self._rng = rng
        self._hosts = HostChecks(self._is_host_lost)
        self._open_attempts = set()

    def choose(self, tried_ids):
        """See :class:`~cowslipcourse.entry.unloaded_components.RelayService`."""
        members = self._ready_members()
        tried_names = {m.name for m in members if relay_id(m.name) in tried_ids}
        now = asyncio.get_running_loop().time()
        member = self._choice.choose(members, tried_names, now)
        return None if member is None else RelayPeer.from_member(member)

    def record_failure(self, peer):
        """See :class:`~cowslipcourse.entry.unloaded_components.RelayService`."""
        self._choice.record_failure(peer.name, asyncio.get_running_loop().time())

    def _on_relayed(self, peer):
        self._choice.record_success(peer.name, asyncio.get_running_loop().time())

    @asynccontextmanager
    async def open(self, call, run, last_event_id=None):
        """Send a request to a relay and yield the :class:`RelayedAttempt`.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun` at the relay.
        :param last_event_id: id of the last event of a stream that is resumed.
        :raises TargetUnreachable: ``sent`` tells whether the request may run.
        """
        loop, peer = asyncio.get_running_loop(), run.entry
        key = peer.id, peer.incarnation
        needs_new_connection = not call.route.is_retryable
        connection = await self._pool.acquire(key, peer.address, needs_new_connection)
        try:
            left_s = call.deadline - loop.time()
            if left_s <= 0:
                raise TargetUnreachable(
                    "the deadline passed before the request was sent", sent=False
                )
            connection.send(_relayed_request(call, left_s, last_event_id))
            run.connection = connection
            attempt = RelayedAttempt(peer, connection, loop.time(), self._on_relayed)
            self._open_attempts.add(attempt)
            try:
                yield attempt
            finally:
                self._open_attempts.discard(attempt)
        finally:
            run.ended_by_target = connection.ended_by_target
            self._pool.release(key, connection)

    async def run(self):
        """Abort requests to relays that are gone, and close idle connections."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._pool.close_expired()
            if self._open_attempts:
                self._abort_lost()

    def _abort_lost(self):
        """Abort silent requests whose relay is known to have ended."""
        now = asyncio.get_running_loop().time()
        silent = [each for each in self._open_attempts if _is_silent(each, now)]
        if not silent:
            return
        incarnations = {each.name: each.incarnation for each in self._ready_members()}
        alive = set(self._alive_addresses())
        for attempt in silent:
            peer = attempt.entry
            has_restarted = incarnations.get(peer.name, 0) > peer.incarnation
            is_missing = peer.peer_address not in alive
            if has_restarted or (is_missing and self._hosts.is_lost(peer, now)):
                log.warning("relay-lost", relay=peer.name)
                attempt.connection.abort(
                    TargetSilent(f"{peer.id} is gone", "relay-gone")
                )

    async def _is_host_lost(self, address):
        """Return whether a daemon answers nothing, while another one answers."""
        if not await answers_nothing(address, self._connect):
            return False
        others = [
            member.front_address
            for member in self._ready_members()
            if member.front_address != address
        ]
        for other in self._rng.sample(others, min(len(others), MAX_COMPARED)):
            if not await answers_nothing(other, self._connect):
                return True
        return False


def _is_silent(attempt, now):
    received_at = max(attempt.sent_at, attempt.connection.last_received_at)
    return now - received_at > MIN_CHECKED_SILENCE_S


def _relayed_request(call, left_s, last_event_id):
    return TargetRequest(
        call.method,
        call.path,
        relayed_headers(call.headers, left_s, last_event_id),
        call.body,
        attempt_id_header(call.caller_headers),
        call.max_response_bytes,
    )
