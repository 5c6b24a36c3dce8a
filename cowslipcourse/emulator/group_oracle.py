"""Emulated store and engines, with an oracle that checks the groups.

The oracle checks two invariants. A group must not run a request unless every member has
been ready with the same group name, epoch and member list. An engine must not accept a
join of another group while the head of its current group is open, which includes a
stalled head that has not broken yet, or closing.
"""

import asyncio
from collections import deque
from typing import NamedTuple

from cowslipcourse.emulator.engines import Engine
from cowslipcourse.exceptions import (
    ConditionFailed,
    ReplyLost,
    StoreUnavailable,
    TargetUnreachable,
)
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import encode_rate_limit
from cowslipcourse.ports import (
    OrderResult,
    RowChanges,
    StoredRow,
    era_of,
    pack_version,
    unpack_version,
)

__all__ = ["Faults", "World"]

CRASH_RESTART_S = 3.2
"""Time from the crash of an engine's process until its next incarnation is listed."""

PROBE_S = 0.003
"""Duration of a probe of an engine."""

SNAPSHOT_INTERVAL_S = 0.25
"""Interval at which snapshots of the store are taken."""
MAX_SNAPSHOTS = 40
"""Number of snapshots that are kept, which cover ten seconds."""

FIRST_START_MS = 1_790_000_000_000
"""Base of the incarnation numbers of engines, a time of day in milliseconds."""


class Faults(NamedTuple):
    """Probabilities of faults.

    :param late_order_fraction: fraction of orders executed 2 to 12 s late and not
        acknowledged.
    :param lost_order_fraction: fraction of orders that are lost.
    :param unanswered_order_fraction: fraction of orders executed on time but not
        acknowledged.
    :param pause_fraction: fraction of calls during which the caller pauses for up to
        15 s.
    :param store_failure_fraction: fraction of store calls that fail or whose answer is
        lost.
    :param checks_order_count: whether engines check the order count that orders carry.
    """

    late_order_fraction: float = 0.06
    lost_order_fraction: float = 0.03
    unanswered_order_fraction: float = 0.03
    pause_fraction: float = 0.01
    store_failure_fraction: float = 0.05
    checks_order_count: bool = True


class World:
    """Emulated store and engines with faults.

    Implements :class:`~cowslipcourse.ports.RowStore` and
    :class:`~cowslipcourse.ports.EngineControl`.

    :param rng: :class:`random.Random`
    :param faults: :class:`Faults`
    :param models: :class:`~cowslipcourse.routes.EngineModel` list of the engines.
    :param data_centres: data centre by domain; all domains share one if omitted.
    :param remembers_models: whether an engine also rejoins quickly after it has left
        its last group of the model, as production engines do. Runs that compare
        variants of the coordinator leave it off.
    :param loads_take_time: whether staged weights reach a host some time after the
        order, instead of at once.
    """

    reports_eras = True
    """Whether versions include the store's era, as those of the store client do."""

    def __init__(
        self,
        rng,
        faults,
        models,
        data_centres=None,
        remembers_models=False,
        loads_take_time=False,
    ):
        self.models = {model.name: model for model in models}
        self.rng = rng
        self.faults = faults
        self.engines = {}
        self.violations = []
        self.served = set()
        self._rows = {}
        self._version = 0
        self._era = 0
        self._snapshots = deque(maxlen=MAX_SNAPSHOTS)
        self._store_unavailable_until = 0.0
        self._members_by_epoch = {}
        self._ready_members = set()
        self._data_centres = data_centres or {}
        self.remembers_models = remembers_models
        self.loads_take_time = loads_take_time
        self.reports_incarnations = True
        self._engine_count = 0
        self._incarnation_count = 0
        self.past_entries = []
        self.crashed_addresses = set()

    def data_centre_of(self, domain):
        """Return the data centre of a domain."""
        return self._data_centres.get(domain, "dc")

    def add_engine(self, domain, staged=()):
        """Start an engine and return it."""
        self._engine_count += 1
        return self._start(f"e{self._engine_count}", domain, staged)

    def _start(self, engine_id, domain, staged, address=None):
        self._incarnation_count += 1
        incarnation = FIRST_START_MS + self._incarnation_count
        address = address or f"{engine_id}:1"
        engine = Engine(self, engine_id, domain, staged, incarnation, address)
        self.engines[engine_id] = engine
        return engine

    def restart_under_new_id(self, engine):
        """Restart an engine at its address under a new id."""
        self.past_entries.append(engine.entry())
        self.engines.pop(engine.id, None)
        self._engine_count += 1
        new_id = f"e{self._engine_count}"
        return self._start(new_id, engine.domain, engine.staged, engine.address)

    def _engine_at(self, address):
        """Return the reachable engine at an address, or ``None``."""
        for engine in self.engines.values():
            if engine.address == address and not engine.is_unreachable:
                return engine
        return None

    def restart(self, engine):
        """Restart an engine under its id; only the weights on its host are kept."""
        self.past_entries.append(engine.entry())
        return self._start(engine.id, engine.domain, engine.staged)

    def crash(self, engine):
        """Crash an engine; its host restarts it after :data:`CRASH_RESTART_S`."""
        self.engines.pop(engine.id, None)
        self.crashed_addresses.add(engine.address)
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_RESTART_S, self._restart_crashed, engine)

    def _restart_crashed(self, engine):
        self.crashed_addresses.discard(engine.address)
        self.restart_under_new_id(engine)

    def entries(self):
        """Return the platform's list, which holds the reachable engines."""
        return [e.entry() for e in self.engines.values() if not e.is_unreachable]

    async def run(self):
        """Update all engines and take snapshots of the store; runs forever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            self._take_snapshot(loop.time())
            for engine in list(self.engines.values()):
                engine.update(loop.time())
                engine.record_report(loop.time())

    # The oracle.

    def record_ready(self, engine):
        """Record that an engine was ready in its group."""
        membership = engine.membership
        engine_incarnation = engine.id, engine.incarnation
        self._ready_members.add(
            (engine_incarnation, membership.group, membership.epoch, engine.members)
        )

    def incarnations_of(self, members):
        """Return the incarnations by id of those engines that still exist."""
        return {m: self.engines[m].incarnation for m in members if m in self.engines}

    def is_complete(self, head):
        """Whether a head and all members run and are in its group.

        A member that has restarted since the head opened is lost to the group, even if
        a late order to its earlier incarnation joins it again: the group stalls then.
        """
        membership = head.membership
        if self.incarnations_of(head.members) != head.opened_incarnations:
            return False
        engines = [self.engines.get(member) for member in head.members]
        return all(
            engine is not None and engine._is_in(membership.group, membership.epoch)
            for engine in engines
        )

    def check_running_group(self, head):
        """Check that a group that runs requests has all members, and all were ready."""
        membership = head.membership
        size = self.models[membership.model].size
        engine_incarnations = [(m, self.engines[m].incarnation) for m in head.members]
        all_ready = all(
            (engine_incarnation, membership.group, membership.epoch, head.members)
            in self._ready_members
            for engine_incarnation in engine_incarnations
        )
        if len(set(head.members)) != size or not all_ready:
            self.violations.append(
                f"group runs incomplete: {membership}, members {head.members}"
            )
        self.served.add((membership.group, membership.epoch))

    def check_join(self, engine, order):
        """Check an engine that is about to join a group."""
        first_members = self._members_by_epoch.setdefault(
            (order.group, order.epoch), order.members
        )
        if first_members != order.members:
            self.violations.append(
                f"epoch assigned twice: first members {first_members}, order {order}"
            )
        membership = engine.membership
        if membership is None or membership.group == order.group:
            return
        head = self.engines.get(engine.members[0])
        if (
            head is not None
            and (head.is_open_head or head.is_closing_head)
            and (head.membership.group, head.membership.epoch)
            == (membership.group, membership.epoch)
        ):
            self.violations.append(
                f"second group joined: {engine.id}, in {membership}, order {order}"
            )

    # The store.

    @property
    def era(self):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        return self._era if self.reports_eras else 0

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._enter_store_call()
        rows = [
            row._replace(version=self._packed_version(row.version))
            for (name, _), row in self._rows.items()
            if name == table
        ]
        return RowChanges(tuple(rows), self._packed_version(self._version))

    def _packed_version(self, version):
        return pack_version(self.era, version)

    def _take_snapshot(self, now):
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            self._snapshots.append((now, dict(self._rows), self._version))

    def restore_older_copy(self, age_s, downtime_s):
        """Take the store down and restore it from an older snapshot.

        :param age_s: minimum age of the snapshot in seconds; the oldest snapshot is
            restored if none is that old.
        :param downtime_s: seconds for which all calls fail.
        """
        now = asyncio.get_running_loop().time()
        older_snapshots = [
            snapshot for snapshot in self._snapshots if snapshot[0] <= now - age_s
        ]
        _, rows, version = (
            older_snapshots[-1] if older_snapshots else self._snapshots[0]
        )
        self._rows, self._version = dict(rows), version
        self._era += 1
        self._snapshots.clear()
        self._store_unavailable_until = now + downtime_s

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._enter_store_call()
        key = row_write.table, row_write.key
        current_version = self._rows[key].version if key in self._rows else 0
        expected = row_write.expected_version
        if expected is not None and unpack_version(expected) != current_version:
            raise ConditionFailed([row_write.key])
        self._version += 1
        self._rows[key] = StoredRow(row_write.key, row_write.value, self._version)
        version = self._packed_version(self._version)
        if self.rng.random() < self.faults.store_failure_fraction:
            raise ReplyLost("the reply was lost")
        if expected and era_of(expected) != era_of(version):
            raise ReplyLost(
                "the store was restored from an older copy since the row was read"
            )
        await self._pause()
        return version

    async def _enter_store_call(self):
        await asyncio.sleep(0.004)
        await self._pause()
        is_unavailable = (
            asyncio.get_running_loop().time() < self._store_unavailable_until
        )
        if is_unavailable or self.rng.random() < self.faults.store_failure_fraction:
            raise StoreUnavailable("busy")

    async def _pause(self):
        if self.rng.random() < self.faults.pause_fraction:
            await asyncio.sleep(self.rng.uniform(0.5, 15.0))

    # Control of engines.

    async def report(self, entry):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        await asyncio.sleep(0.003)
        # The engine at the address answers, as reports do not name their engine.
        engine = self._engine_at(entry.address)
        if engine is None:
            await asyncio.sleep(0.15)
            raise TargetUnreachable("the engine is unreachable")
        report = engine.delayed_report()
        await self._pause()
        return report

    async def probe(self, entry, health_path):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        await asyncio.sleep(PROBE_S)
        engine = self._engine_at(entry.address)
        if engine is None or engine.id != entry.id:
            raise TargetUnreachable("the engine is unreachable")
        return ResponseHead(200, encode_rate_limit(engine.rate_limit_per_s))

    async def order(self, entry, order):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        await self._pause()
        await asyncio.sleep(0.003)
        draw = self.rng.random()
        if draw < self.faults.late_order_fraction:
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(2, 12), self._execute_order, entry, order)
            raise TargetUnreachable("no answer")
        if draw < self.faults.late_order_fraction + self.faults.lost_order_fraction:
            raise TargetUnreachable("the order was lost")
        result = self._execute_order(entry, order)
        is_unanswered = self.rng.random() < self.faults.unanswered_order_fraction
        if result is None or is_unanswered:
            raise TargetUnreachable("no answer")
        await self._pause()
        return result

    def _execute_order(self, entry, order):
        engine = self._engine_at(entry.address)
        if engine is None:
            return None
        if engine.id != entry.id:
            return OrderResult.OTHER_ENGINE
        return engine.execute(order)
