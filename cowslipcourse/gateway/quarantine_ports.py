"""What the quarantine needs of a gateway: peers, kept rows, ends of targets, runs."""

import itertools
import time
from typing import NamedTuple

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.daemon.reports import QUARANTINE_PREFIX
from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.membership import Role
from cowslipcourse.peers import decode, encode
from cowslipcourse.ports import RowChanges, StoredRow
from cowslipcourse.ports.platform import ABSENT, Transaction
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantining import Quarantine, TargetExitDetector

__all__ = [
    "GroupLeader",
    "GroupRun",
    "QuarantineCall",
    "RecordMessenger",
    "TableRowStore",
    "make_quarantine",
]

SLOTS = 16
"""Messages of a gateway that spread at the same time; the oldest gives way."""

log = get_logger(__name__)


class QuarantineCall(NamedTuple):
    """A request as the quarantine knows it.

    :param id: id of the request.
    :param fingerprint: of the request, as bytes.
    """

    id: str
    fingerprint: bytes


class GroupLeader(NamedTuple):
    """The target that takes the requests of a group.

    :param id: VM name.
    :param incarnation: epoch of the group, which grows when the VM starts anew.
    :param address: base URL.
    """

    id: str
    incarnation: int
    address: str


class GroupRun:
    """What a gateway sees of one run of a request at a group.

    :param entry: :class:`GroupLeader`
    :param last_event_id: number of tokens that the caller has.
    :param cancel: callable that asks the leader to end the run.
    """

    def __init__(self, entry, last_event_id, cancel):
        self.entry = entry
        self.answer_started = False
        self.relayed_events = 0
        self.last_event_id = last_event_id
        self.ended_by_target = False
        self._cancel = cancel

    def note_events(self, number, last_event_id):
        """Note that events of the answer have come."""
        self.relayed_events += number
        self.last_event_id = last_event_id

    def abort(self, _error):
        """Break it off; its stream ends without its last event."""
        self._cancel()


class _Message(NamedTuple):
    to: tuple[str, ...]
    content: bytes


_decoder = msgspec.json.Decoder(_Message)


class RecordMessenger:
    """The other gateways, reached through records that spread with heartbeats.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    """

    def __init__(self, agent):
        self._agent = agent
        self._take = None
        self._slots = itertools.cycle(range(SLOTS))

    def listen(self, take):
        """Hand each message that is addressed to this gateway to ``take(message)``."""
        self._take = take
        self._agent.on_record(self._take_record)

    @property
    def address(self):
        """This gateway's name."""
        return self._agent.member.name

    def all_addresses(self):
        """Return the names of the other gateways."""
        peers = self._agent.node.peers
        return [peer.name for peer in peers if peer.role == Role.GATEWAY]

    def alive_addresses(self):
        """Return the names of the other gateways that answer."""
        silent = set(self._agent.silent_members(self._agent.times.isolation_s))
        return [name for name in self.all_addresses() if name not in silent]

    def repeat_addresses(self):
        """Return the names of the others if this gateway is to repeat verdicts."""
        others = self.alive_addresses()
        return others if self.address < min(others, default="") else []

    def send(self, message, addresses):
        """Send a message to some gateways, once; a newer one may overtake it."""
        if not addresses:
            return
        member = self._agent.member
        slot = next(self._slots)
        key = f"{QUARANTINE_PREFIX}{member.name}/{member.incarnation}/{slot}"
        self._agent.publish(key, _Message(tuple(addresses), encode(message)))

    def _take_record(self, record):
        if not record.key.startswith(QUARANTINE_PREFIX):
            return
        try:
            message = decode_untrusted(
                _decoder, record.value, "record of the quarantine"
            )
            if self.address in message.to:
                self._take(decode(message.content))
        except MalformedResponse as error:
            log.warning("unreadable-record", key=record.key, detail=error)


class _Content(NamedTuple):
    text: str


class TableRowStore:
    """Rows of the table service; meets the quarantine's part of a row store.

    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, table):
        self._table = table

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        prefix = f"{table}/"
        rows = await self._table.scan(prefix)
        found = tuple(_stored(row, prefix) for row in rows)
        return RowChanges(found, max((row.version for row in rows), default=ABSENT))

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        key = f"{row_write.table}/{row_write.key}"
        expected = row_write.expected_version
        conditions = {} if expected is None else {key: expected}
        content = _Content(row_write.value.decode())._asdict()
        return await self._table.commit(Transaction(conditions, {key: content}))


def _stored(row, prefix):
    try:
        content = msgspec.convert(row.value, dict[str, str])["text"].encode()
    except (msgspec.ValidationError, KeyError) as error:
        raise MalformedResponse(f"unreadable row {row.key}") from error
    return StoredRow(row.key.removeprefix(prefix), content, row.version)


def make_quarantine(agent, view, targets, table):
    """Return the :class:`~cowslipcourse.quarantining.Quarantine` of a gateway.

    :param agent: :class:`~cowslipcourse.daemon.Agent`
    :param view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :param targets: :class:`~cowslipcourse.ports.TargetClient`
    :param table: :class:`~cowslipcourse.ports.TableService`
    """
    peers = RecordMessenger(agent)
    ends = TargetExitDetector(
        lambda leader: not view.is_departing(leader.id), targets.refuses_connections
    )
    kept = VerdictStore(TableRowStore(table), time.time)
    quarantine = Quarantine(peers, ends, kept)
    peers.listen(quarantine.handle_message)
    return quarantine
