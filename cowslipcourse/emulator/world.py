"""A store and engines in fake time, with an oracle that watches the groups.

The oracle knows two rules only. A group must not run a request unless every member
has been ready under its name, epoch and list. An engine must not take a join of another
group while the head of its own is open, or stands still and is not broken yet.
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
"""Time from the end of an engine's process until its next life is listed."""

COPY_S = 0.25
"""Interval at which the store's rows are copied."""
MOST_COPIES = 40
"""Copies that are kept: ten seconds of them."""

BORN_MS = 1_790_000_000_000
"""Time of day at which the first engine starts; each life has a number of its own."""


class Faults(NamedTuple):
    """How often things go wrong.

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
    """Store, engines and faults; meets ``RowStore`` and ``EngineControl``.

    :param rng: :class:`random.Random`
    :param faults: :class:`Faults`
    :param models: :class:`~cowslipcourse.routes.EngineModel` list that they serve.
    :param data_centres: data centre by domain; one for all if it is left out.
    :param remembers_models: whether an engine joins quickly, too, if it has left its
        last group of the model. The users' engines do; the duels' runs began without.
    :param loads_take_time: whether weights reach a host some time after the order.
    """

    reports_eras = True
    """Whether versions are points, as the store client makes them."""

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
        self._copies = deque(maxlen=MOST_COPIES)
        self._away_until = 0.0
        self._joined = {}
        self._ready = set()
        self._data_centres = data_centres or {}
        self.remembers_models = remembers_models
        self.loads_take_time = loads_take_time
        self.reports_incarnations = True
        self._born = 0
        self._lives = 0
        self.past_entries = []
        self.crashed = set()

    def data_centre_of(self, domain):
        """Return the data centre that a domain is in."""
        return self._data_centres.get(domain, "dc")

    def add_engine(self, domain, staged=()):
        """Start an engine and return it."""
        self._born += 1
        return self._start(f"e{self._born}", domain, staged)

    def _start(self, engine_id, domain, staged, address=None):
        self._lives += 1
        born = BORN_MS + self._lives
        address = address or f"{engine_id}:1"
        engine = Engine(self, engine_id, domain, staged, born, address)
        self.engines[engine_id] = engine
        return engine

    def restart_under_new_id(self, engine):
        """Start an engine again at its address under another id."""
        self.past_entries.append(engine.entry())
        self.engines.pop(engine.id, None)
        self._born += 1
        new_id = f"e{self._born}"
        return self._start(new_id, engine.domain, engine.staged, engine.address)

    def _at(self, address):
        """Return the engine that answers at an address, or ``None``."""
        for engine in self.engines.values():
            if engine.address == address and not engine.is_unreachable:
                return engine
        return None

    def restart(self, engine):
        """Start an engine again under its id: its host keeps the weights, no more."""
        self.past_entries.append(engine.entry())
        return self._start(engine.id, engine.domain, engine.staged)

    def crash(self, engine):
        """End an engine's process; another life comes to its host after a while."""
        self.engines.pop(engine.id, None)
        self.crashed.add(engine.address)
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_RESTART_S, self._come_back, engine)

    def _come_back(self, engine):
        self.crashed.discard(engine.address)
        self.restart_under_new_id(engine)

    def entries(self):
        """Return the platform's list: engines that are not dark."""
        return [e.entry() for e in self.engines.values() if not e.is_unreachable]

    async def run(self):
        """Let requests come to every open group, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            self._copy(loop.time())
            for engine in list(self.engines.values()):
                engine.look(loop.time())
                engine.note_report(loop.time())

    # The oracle.

    def note_ready(self, engine):
        """Remember that an engine was ready in its group."""
        found = engine.membership
        life = engine.id, engine.incarnation
        self._ready.add((life, found.group, found.epoch, engine.members))

    def lives_of(self, members):
        """Return the present lives of engines by id; those that are gone have none."""
        return {m: self.engines[m].incarnation for m in members if m in self.engines}

    def is_complete(self, head):
        """Whether a head and all members are in their group and live.

        A member that has started again since the head opened is lost to the group, even
        if a late order to its earlier life joins it again: nothing moves then.
        """
        found = head.membership
        if self.lives_of(head.members) != head.opened_lives:
            return False
        engines = [self.engines.get(member) for member in head.members]
        return all(
            engine is not None and engine._is_in(found.group, found.epoch)
            for engine in engines
        )

    def check_whole(self, head):
        """Check a group that runs a request."""
        found = head.membership
        size = self.models[found.model].size
        lives = [(m, self.engines[m].incarnation) for m in head.members]
        ready = all(
            (life, found.group, found.epoch, head.members) in self._ready
            for life in lives
        )
        if len(set(head.members)) != size or not ready:
            self.violations.append(f"partial: {found} {head.members}")
        self.served.add((found.group, found.epoch))

    def check_join(self, engine, order):
        """Check an engine that is about to take a join."""
        meant = self._joined.setdefault((order.group, order.epoch), order.members)
        if meant != order.members:
            self.violations.append(f"epoch given out twice: {meant} {order}")
        found = engine.membership
        if found is None or found.group == order.group:
            return
        head = self.engines.get(engine.members[0])
        if (
            head is not None
            and (head.is_open_head or head.is_closing_head)
            and (head.membership.group, head.membership.epoch)
            == (found.group, found.epoch)
        ):
            self.violations.append(f"two: {engine.id} {found} {order}")

    # The store.

    @property
    def era(self):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        return self._era if self.reports_eras else 0

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._store_call()
        rows = [
            row._replace(version=self._point(row.version))
            for (name, _), row in self._rows.items()
            if name == table
        ]
        return RowChanges(tuple(rows), self._point(self._version))

    def _point(self, version):
        return pack_version(self.era, version)

    def _copy(self, now):
        if not self._copies or now - self._copies[-1][0] >= COPY_S:
            self._copies.append((now, dict(self._rows), self._version))

    def restore_older_copy(self, age_s, away_s):
        """Let the store be away, and come back as it was some seconds before.

        :param age_s: age of the copy in seconds; the oldest one kept if that is less.
        :param away_s: seconds for which no call is answered.
        """
        now = asyncio.get_running_loop().time()
        older = [copy for copy in self._copies if copy[0] <= now - age_s]
        _, rows, version = older[-1] if older else self._copies[0]
        self._rows, self._version = dict(rows), version
        self._era += 1
        self._copies.clear()
        self._away_until = now + away_s

    async def write(self, row_write):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        await self._store_call()
        key = row_write.table, row_write.key
        known = self._rows[key].version if key in self._rows else 0
        expected = row_write.expected_version
        if expected is not None and unpack_version(expected) != known:
            raise ConditionFailed([row_write.key])
        self._version += 1
        self._rows[key] = StoredRow(row_write.key, row_write.value, self._version)
        version = self._point(self._version)
        if self.rng.random() < self.faults.store_failure_fraction:
            raise ReplyLost("the answer was lost")
        if expected and era_of(expected) != era_of(version):
            raise ReplyLost("the store has come back older since the row was read")
        await self._pause()
        return version

    async def _store_call(self):
        await asyncio.sleep(0.004)
        await self._pause()
        is_away = asyncio.get_running_loop().time() < self._away_until
        if is_away or self.rng.random() < self.faults.store_failure_fraction:
            raise StoreUnavailable("busy")

    async def _pause(self):
        if self.rng.random() < self.faults.pause_fraction:
            await asyncio.sleep(self.rng.uniform(0.5, 15.0))

    # Control of engines.

    async def report(self, entry):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        await asyncio.sleep(0.003)
        # Whoever has the address answers: a report does not say whose it is.
        engine = self._at(entry.address)
        if engine is None:
            await asyncio.sleep(0.15)
            raise TargetUnreachable("dark")
        report = engine.lagging_report()
        await self._pause()
        return report

    async def order(self, entry, order):
        """See :class:`~cowslipcourse.ports.EngineControl`."""
        await self._pause()
        await asyncio.sleep(0.003)
        luck = self.rng.random()
        if luck < self.faults.late_order_fraction:
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(2, 12), self._carry_out, entry, order)
            raise TargetUnreachable("no answer")
        if luck < self.faults.late_order_fraction + self.faults.lost_order_fraction:
            raise TargetUnreachable("lost")
        answer = self._carry_out(entry, order)
        unanswered = self.rng.random() < self.faults.unanswered_order_fraction
        if answer is None or unanswered:
            raise TargetUnreachable("no answer")
        await self._pause()
        return answer

    def _carry_out(self, entry, order):
        engine = self._at(entry.address)
        if engine is None:
            return None
        if engine.id != entry.id:
            return OrderResult.OTHER_ENGINE
        return engine.execute(order)
