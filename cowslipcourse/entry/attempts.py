"""One attempt at a target: send, and read the head of the answer."""

import asyncio
from contextlib import asynccontextmanager
from typing import NamedTuple

from cowslipcourse.entry.urgency import urgency
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.exchange import ConnectionPool, TargetRequest
from cowslipcourse.platform.edge import attempt_id_header, target_headers

__all__ = ["Attempt", "AttemptSender", "TargetRun"]

CONNECT_TIMEOUT_S = 0.4
"""A sound target accepts within some ms; a dropped packet costs a second or more."""


class Attempt(NamedTuple):
    """A request under way at a target.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    :param connection: :class:`~cowslipcourse.exchange.TargetConnection`
    :param sent_at: loop time.
    """

    entry: object
    connection: object
    sent_at: float


class TargetRun:
    """What this daemon sees of one run of a request at a target.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    """

    def __init__(self, entry):
        self.entry = entry
        self.connection = None
        """:class:`~cowslipcourse.exchange.TargetConnection` that it was sent on."""
        self.answer_started = False
        """Whether the head of an answer has come."""
        self.relayed_events = 0
        """Events of a stream that were passed on."""
        self.last_event_id = 0
        """Number of the last event that the caller has; 0 for none."""
        self.ended_by_target = False
        """Whether the target closed or reset the connection under it."""
        self.succeeded = False
        """Whether the target has answered whole, and with success."""

    def abort(self, error):
        """Break it off; whoever reads the answer gets the error."""
        if self.connection is not None:
            self.connection.abort(error)


class AttemptSender:
    """Makes attempts and counts them in flight.

    :param fleet: :class:`~cowslipcourse.entry.fleet.FleetView`
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._pool = ConnectionPool(CONNECT_TIMEOUT_S)

    @asynccontextmanager
    async def open(self, call, run, last_event_id=None):
        """Send a request to a target and yield the :class:`Attempt`.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`TargetRun` at the target.
        :param last_event_id: id of the last event of a stream that is resumed.
        :raises TargetUnreachable: ``sent`` tells whether it may run.
        """
        loop = asyncio.get_running_loop()
        entry = run.entry
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
                raise TargetUnreachable("no time is left", sent=False)
            waited_s = call.waited_s(loop.time())
            request = _target_request(call, entry, left_s, waited_s, last_event_id)
            connection.send(request)
            run.connection = connection
            yield Attempt(entry, connection, loop.time())
        finally:
            self._fleet.request_ended(entry.id)
            if connection is not None:
                run.ended_by_target = connection.ended_by_target
                self._pool.release(key, connection)

    def close_stale_connections(self):
        """Close connections that are too old or lead to targets that left."""
        entries = self._fleet.entries.values()
        self._pool.close_stale({_connection_key(entry) for entry in entries})


def _connection_key(entry):
    """Return what connections are kept by: a target's new start ends its old ones."""
    return entry.id, entry.incarnation, entry.address


def _target_request(call, entry, left_s, waited_s, last_event_id):
    urgency_level = urgency(call.route, call.workspace, waited_s)
    headers = target_headers(
        call.headers, entry, left_s, urgency_level, call.workspace_name, last_event_id
    )
    return TargetRequest(
        call.method, call.path, headers, call.body, attempt_id_header(call.fields)
    )
