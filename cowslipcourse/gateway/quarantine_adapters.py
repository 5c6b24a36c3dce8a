"""Implementations of the quarantine's interfaces for a gateway."""

import asyncio
import itertools
import time
from typing import NamedTuple

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon.reports import QUARANTINE_PREFIX
from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.membership import Role
from cowslipcourse.peer_protocol import decode, encode
from cowslipcourse.ports import RowChanges, StoredRow
from cowslipcourse.ports.platform import ABSENT, Transaction
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation

__all__ = [
    "GroupLeader",
    "GroupRun",
    "QuarantineCall",
    "RecordMessenger",
    "TableRowStore",
    "make_quarantine",
]

MESSAGE_SLOT_COUNT = 32
"""Messages of a gateway that spread at the same time; a new one replaces the oldest."""

log = get_logger(__name__)


class QuarantineCall(NamedTuple):
    """A request, as the quarantine identifies it.

    :param id: id of the request.
    :param fingerprint: digest of workspace, path and body.
    :param part_fingerprints: fingerprints of the shared parts of its prompt, in order.
    :param model: model that it is for.
    """

    id: str
    fingerprint: bytes
    part_fingerprints: tuple = ()
    model: str = ""


class GroupLeader(NamedTuple):
    """The member of a group that receives its requests.

    :param id: VM name.
    :param incarnation: epoch of the group, which increases when the VM restarts.
    :param address: base URL.
    """

    id: str
    incarnation: int
    address: str


class GroupRun:
    """State of one run of a request at a group.

    :param entry: :class:`GroupLeader`
    :param last_event_id: number of tokens that were forwarded to the caller.
    :param cancel: callable that asks the leader to stop the run.
    :param is_retry: whether an earlier run of the request had ended.
    :ivar answer_started: whether the response has started.
    :ivar sent_at: loop time just before it was sent.
    :ivar first_event_at: loop time of its first events.
    :ivar relayed_events: number of events that this run has relayed.
    :ivar ended_by_target: whether the target broke the run off.
    """

    def __init__(self, entry, last_event_id, cancel, is_retry=False):
        self.entry = entry
        self.answer_started = False
        self.sent_at = asyncio.get_running_loop().time()
        self.first_event_at = None
        self.relayed_events = 0
        self.is_retry = is_retry
        self.last_event_id = last_event_id
        self.ended_by_target = False
        self._cancel = cancel

    @property
    def begun_at(self):
        """Loop time from which on the group has answered, as far as is known."""
        return self.sent_at if self.first_event_at is None else self.first_event_at

    def record_events(self, count, last_event_id):
        """Record that events of the response have been received."""
        self.relayed_events += count
        self.last_event_id = last_event_id
        if self.first_event_at is None:
            self.first_event_at = asyncio.get_running_loop().time()

    @property
    def target_key(self):
        """Hashable id of the group in its epoch."""
        return self.entry.id, self.entry.incarnation

    def abort(self, _error):
        """Cancel the run; its stream ends without its end event."""
        self._cancel()


class _AddressedMessage(NamedTuple):
    to: tuple[str, ...]
    content: bytes


_message_decoder = msgspec.json.Decoder(_AddressedMessage)


class RecordMessenger:
    """Messages to the other gateways, in records that spread with heartbeats.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    """

    def __init__(self, agent):
        self._agent = agent
        self._handle_message = None
        self._slots = itertools.cycle(range(MESSAGE_SLOT_COUNT))

    def listen(self, handle_message):
        """Call ``handle_message(message)`` with each message to this gateway."""
        self._handle_message = handle_message
        self._agent.on_record(self._handle_record)

    @property
    def address(self):
        """This gateway's name."""
        return self._agent.member.name

    def all_addresses(self):
        """Return the names of the other gateways."""
        peers = self._agent.node.peers
        return [peer.name for peer in peers if peer.role == Role.GATEWAY]

    def alive_addresses(self):
        """Return the names of the other gateways that respond."""
        silent = set(self._agent.silent_members(self._agent.times.isolation_s))
        return [name for name in self.all_addresses() if name not in silent]

    def shared_repeat_addresses(self):
        """Return the names of the other gateways if this one is to repeat verdicts."""
        others = self.alive_addresses()
        return others if self.address < min(others, default="") else []

    def send(self, message, addresses):
        """Send a message to some gateways, once; newer messages may replace it."""
        if not addresses:
            return
        member = self._agent.member
        slot = next(self._slots)
        key = f"{QUARANTINE_PREFIX}{member.name}/{member.incarnation}/{slot}"
        self._agent.publish(key, _AddressedMessage(tuple(addresses), encode(message)))

    def broadcast(self, message):
        """Send a message to all other gateways, once."""
        self.send(message, self.all_addresses())

    def _handle_record(self, record):
        if not record.key.startswith(QUARANTINE_PREFIX):
            return
        try:
            message = decode_untrusted(
                _message_decoder, record.value, "quarantine record"
            )
            if self.address in message.to:
                self._handle_message(decode(message.content))
        except MalformedResponse as error:
            log.warning("unreadable-record", key=record.key, detail=error)


class _Content(NamedTuple):
    text: str


class TableRowStore:
    """Row store in the table service, as far as the quarantine uses one.

    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, table):
        self._table = table

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        prefix = f"{table}/"
        rows = await self._table.scan(prefix)
        stored_rows = tuple(_stored_row(row, prefix) for row in rows)
        return RowChanges(
            stored_rows, max((row.version for row in rows), default=ABSENT)
        )

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        key = f"{row_write.table}/{row_write.key}"
        expected = row_write.expected_version
        conditions = {} if expected is None else {key: expected}
        content = _Content(row_write.value.decode())._asdict()
        return await self._table.commit(Transaction(conditions, {key: content}))


def _stored_row(row, prefix):
    try:
        content = msgspec.convert(row.value, dict[str, str])["text"].encode()
    except (msgspec.ValidationError, KeyError) as error:
        raise MalformedResponse(f"cannot decode row {row.key}") from error
    return StoredRow(row.key.removeprefix(prefix), content, row.version)


def make_quarantine(agent, fleet_view, targets, table):
    """Create the :class:`~cowslipcourse.quarantine_runtime.Quarantine` of a gateway.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param fleet_view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param table: :class:`~cowslipcourse.ports.TableService`
    """
    peers = RecordMessenger(agent)
    exit_detector = TargetExitDetector(
        lambda leader: not fleet_view.is_departing(leader.id),
        targets.refuses_connections,
    )
    verdict_store = VerdictStore(TableRowStore(table), time.time)
    quarantine = Quarantine(peers, exit_detector, verdict_store)
    quarantine.load_part_evaluation(PartEvaluation)
    peers.listen(quarantine.handle_message)
    return quarantine
