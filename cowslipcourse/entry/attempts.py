"""Single attempts at targets: connections, requests and in-flight counts."""

import asyncio
from contextlib import asynccontextmanager, contextmanager
from typing import NamedTuple

from cowslipcourse.admission.urgency import urgency
from cowslipcourse.entry.concurrent_attempts import NO_RIVALS
from cowslipcourse.exceptions import (
    AttemptSuperseded,
    IncompleteResponse,
    TargetUnreachable,
)
from cowslipcourse.http_client import (
    ConnectionPool,
    PortState,
    TargetRequest,
    check_port,
)
from cowslipcourse.platform.headers import attempt_id_header, target_headers

__all__ = ["Attempt", "AttemptSender", "RelayPeer", "TargetRun", "relay_id"]

CONNECT_TIMEOUT_S = 0.4
"""A healthy target accepts within a few ms; a lost packet costs a second or more."""
MAX_END_CHECKS = 2
"""Connection attempts after a response that ended with its connection."""
END_CHECK_S = 0.02
"""Time for which such a connection must stay open: longer than a round trip within a
region."""
MAX_SILENCE_S = 0.5
"""Silence after which a request is relayed once the links are lost: longer than the
pauses between events, as open connections may live on while new ones fail."""


class Attempt(NamedTuple):
    """A request in flight at a target.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    :param connection: :class:`~cowslipcourse.http_client.TargetConnection`
    :param sent_at: loop time at which the request was sent.
    :param conditions:
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    :param still_runs: coroutine function that returns whether the process of a target
        still runs.
    """

    entry: object
    connection: object
    sent_at: float
    conditions: object
    still_runs: object

    async def read_head(self):
        """Return the head of the response, after recording what it states.

        :raises TargetError: the response ended before its head was complete.
        """
        head = await self.connection.head()
        self.conditions.observe(self.entry, head)
        return head

    async def confirm_end(self):
        """Check that a response which ended with its connection is whole.

        The connection of a target whose process exits is closed in the same way.

        :raises IncompleteResponse: the target has exited.
        """
        if not self.connection.is_close_delimited:
            return
        if not await self.still_runs(self.entry):
            self.connection.reject_end()
            raise IncompleteResponse("the target has exited as its response ended")


class RelayPeer(NamedTuple):
    """A daemon that a request is sent to in place of a target.

    :param name: name of the daemon.
    :param incarnation: incarnation of the daemon.
    :param address: ``ip:port`` at which it serves callers.
    :param peer_address: its address among the daemons.
    """

    name: str
    incarnation: int
    address: str
    peer_address: str

    @classmethod
    def from_member(cls, member):
        """Return the peer that a :class:`~cowslipcourse.peer_protocol.Member` is."""
        return cls(
            member.name,
            member.incarnation,
            member.front_address,
            member.peer_address,
        )

    @property
    def id(self):
        """Id in place of that of a target."""
        return relay_id(self.name)


def relay_id(name):
    """Return the id of a daemon in logs and among the targets that were tried."""
    return f"relay:{name}"


class TargetRun:
    """Observed state of a request at one target, or at a daemon that relays it.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry` or :class:`RelayPeer`
    :param rivals: :class:`~cowslipcourse.entry.concurrent_attempts.Rivals`
    :param is_hedge: whether it was sent while the target of another run was silent.
    :param is_retry: whether it was sent after a run that may have reached its target
        had ended.
    """

    def __init__(self, entry, rivals=NO_RIVALS, is_hedge=False, is_retry=False):
        self.entry = entry
        self.is_hedge = is_hedge
        self.is_retry = is_retry
        self.is_silent = False
        """Whether the target has sent nothing for longer than expected."""
        self.is_superseded = False
        """Whether another run of the request has delivered first."""
        self._rivals = rivals
        self.is_relayed = isinstance(entry, RelayPeer)
        self.connection = None
        """:class:`~cowslipcourse.http_client.TargetConnection` that it was sent on."""
        self.on_sent = None
        """Called with this run once the request has been sent to the target."""
        self.on_read = None
        """Called with this run once the target is known to have read the request."""
        self.is_read = False
        """Whether the target is known to have read the request."""
        self.answer_started = False
        """Whether the response head has arrived, or, for a single response, whether the
        request was sent."""
        self.sent_at = asyncio.get_running_loop().time()
        """Loop time just before it was sent."""
        self.relayed_events = 0
        """Number of events that were relayed to the caller."""
        self.configuration_version = 0
        """Version of the configuration that was in force when it was sent."""
        self.first_event_at = None
        """Loop time at which the first of them was relayed."""
        self.last_event_id = 0
        """Id of the last event that the caller has received; 0 for none."""
        self.ended_by_target = False
        """Whether the target closed or reset the connection during the request."""
        self.ends_with_connection = False
        """Whether the answer states neither a length nor chunks, so that it ends with
        its connection."""
        self.succeeded = False
        """Whether the target sent a complete, successful response."""

    @property
    def begun_at(self):
        """Loop time from which on its target has answered, as far as is known."""
        return self.sent_at if self.first_event_at is None else self.first_event_at

    @property
    def has_rivals(self):
        """Whether other attempts at the same request are in progress."""
        return self._rivals.exist_beside(self)

    @property
    def target_key(self):
        """Hashable id of the target's incarnation."""
        return self.entry.id, self.entry.incarnation

    @property
    def may_arrive(self):
        """Whether the request was sent, and its target may read it later."""
        was_sent = self.connection is not None
        return was_sent and not (self.is_read or self.ended_by_target)

    def mark_sent(self):
        """Record that the request has been sent to the target."""
        if self.on_sent is not None:
            self.on_sent(self)

    def mark_read(self):
        """Record that the target has read the request."""
        if self.is_read:
            return
        self.is_read = True
        if self.on_read is not None:
            self.on_read(self)

    def mark_silent(self):
        """Record that the target is silent; the request may be sent to another one."""
        self.is_silent = True
        self._rivals.report_silence()

    def mark_heard(self):
        """Record that the target sends again."""
        self.is_silent = False

    def check_superseded(self):
        """Check that no other attempt has delivered first.

        :raises AttemptSuperseded: another one has.
        """
        if self.is_superseded:
            raise AttemptSuperseded(f"{self.entry.id} was not the first to deliver")

    def supersede_rivals(self):
        """End the other attempts, as this one has something to deliver.

        :raises AttemptSuperseded: another one has delivered first.
        """
        self.check_superseded()
        self._rivals.supersede(self)

    def abort(self, error):
        """Abort the request; the reader of its response gets the error."""
        if self.connection is not None:
            self.connection.abort(error)


class _SentRequest(NamedTuple):
    sent_at: float
    run: TargetRun


class AttemptSender:
    """Sends requests to targets and counts them as in flight.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param conditions:
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    """

    def __init__(self, fleet, conditions):
        self._fleet = fleet
        self._conditions = conditions
        self._pool = ConnectionPool(CONNECT_TIMEOUT_S)
        self._sent_by_connection = {}
        self._last_received_at = float("-inf")

    @asynccontextmanager
    async def open(self, call, run, last_event_id=None):
        """Send a request to a target and yield the :class:`Attempt`.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`TargetRun` at the target.
        :param last_event_id: id of the last event of a stream that is resumed.
        :raises TargetWithheld: nothing was sent, as the target accepts no request now.
        :raises TargetUnreachable: ``sent`` tells whether the request may run.
        """
        loop = asyncio.get_running_loop()
        entry = run.entry
        permit = await self._conditions.admit(entry)
        needs_new_connection = not call.route.is_retryable
        key = _connection_key(entry)
        self._fleet.request_started(entry.id)
        connection = None
        try:
            connection = await self._pool.acquire(
                key, entry.address, needs_new_connection
            )
            left_s = call.deadline - loop.time()
            if left_s <= 0:
                raise TargetUnreachable(
                    "the deadline passed before the request was sent", sent=False
                )
            waited_s = call.waited_s(loop.time())
            request = _target_request(call, entry, left_s, waited_s, last_event_id)
            self._conditions.verify(entry, permit)
            connection.send(request)
            run.connection = connection
            run.mark_sent()
            with self._tracking(connection, run):
                yield Attempt(
                    entry,
                    connection,
                    loop.time(),
                    self._conditions,
                    self._still_runs,
                )
        finally:
            self._fleet.request_ended(entry.id)
            if connection is not None:
                run.ended_by_target = connection.ended_by_target
                run.ends_with_connection = connection.is_close_delimited
                if run.connection is not None and connection.last_received_at:
                    run.mark_read()
                self._pool.release(key, connection)

    async def _still_runs(self, entry):
        """Return whether a target accepts connections, or ends as planned.

        The connection is kept for the next request, in place of the one that ended.
        """
        if not self._fleet.is_expected(entry):
            return True
        state, connection = await check_port(
            entry.address, MAX_END_CHECKS, CONNECT_TIMEOUT_S, END_CHECK_S
        )
        if connection is not None:
            self._pool.release(_connection_key(entry), connection)
        return state is PortState.OPEN

    @contextmanager
    def _tracking(self, connection, run):
        now = asyncio.get_running_loop().time()
        self._sent_by_connection[connection] = _SentRequest(now, run)
        try:
            yield
        finally:
            del self._sent_by_connection[connection]
            self._last_received_at = max(
                self._last_received_at, connection.last_received_at
            )

    def silent_s(self):
        """Return the seconds for which all targets with open requests are silent."""
        if not self._sent_by_connection:
            return 0.0
        silent_since = max(
            self._last_received_at,
            min(request.sent_at for request in self._sent_by_connection.values()),
            *(each.last_received_at for each in self._sent_by_connection),
        )
        return asyncio.get_running_loop().time() - silent_since

    def report_silent(self):
        """Mark the requests at silent targets, after the links were lost.

        They may still be answered once the links are back.
        """
        now = asyncio.get_running_loop().time()
        for connection, request in list(self._sent_by_connection.items()):
            received_at = max(request.sent_at, connection.last_received_at)
            if now - received_at > MAX_SILENCE_S:
                request.run.mark_silent()

    def close_stale_connections(self):
        """Close connections that are too old or belong to targets no longer listed."""
        entries = self._fleet.entries.values()
        self._pool.close_stale({_connection_key(entry) for entry in entries})


def _connection_key(entry):
    """Return the pool key; a restarted target gets new connections."""
    return entry.id, entry.incarnation, entry.address


def _target_request(call, entry, left_s, waited_s, last_event_id):
    urgency_level = urgency(call.route, call.workspace, waited_s)
    headers = target_headers(
        call.headers, entry, left_s, urgency_level, call.workspace_name, last_event_id
    )
    return TargetRequest(
        call.method,
        call.path,
        headers,
        call.body,
        attempt_id_header(call.caller_headers),
        call.max_response_bytes,
    )
