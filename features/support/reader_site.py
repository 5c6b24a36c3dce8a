"""Daemons that read the targets from a store, in simulated time without a network."""

import asyncio
import contextlib
import json
import random
from unittest import mock

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry import state_replica
from cowslipcourse.entry.state_replica import StateReplica
from cowslipcourse.exceptions import PeerUnreachable, StoreUnavailable
from cowslipcourse.peer_protocol import decode_state
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, StoredRow
from features.support.daemon_network import (
    DaemonNetwork,
    NetworkShape,
    _RegistrationStore,
)
from features.support.wire import entry_content

__all__ = ["ReaderSite"]

CALL_S = 0.004
SETTLE_S = 6.0
CONFIGURATION = json.dumps({"version": 7, "routes": [], "services": []}).encode()


class _Store:
    """A store with a change feed that may be silent to some daemons, or to all."""

    def __init__(self):
        self.version = 1000
        self.silent_to = set()
        self.is_silent = False
        self.calls = 0
        self._rows = {}
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an entry, or remove it if the value is ``None``."""
        self.version += 1
        self._rows[key] = StoredRow(key, value or b"", self.version, value is None)
        self._wake()

    def lapse(self, key):
        """Remove an entry that its target has not renewed."""
        self.put(key, None)

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _answers(self, name):
        return not (self.is_silent or name in self.silent_to)

    async def read(self, name, table, timeout_s):
        """Return all rows of a table as the store answers a daemon."""
        self.calls += 1
        if self._answers(name):
            await asyncio.sleep(CALL_S)
        if not self._answers(name):
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable("silent")
        if table == CONFIGURATION_TABLE:
            return RowChanges((StoredRow("config", CONFIGURATION, 1),), self.version)
        rows = tuple(row for row in self._rows.values() if not row.deleted)
        return RowChanges(rows, self.version)

    def _changes(self, table, after):
        if table == CONFIGURATION_TABLE:
            return ()
        return tuple(row for row in self._rows.values() if row.version > after)

    async def feed(self, name, table, after, wait_s, margin_s):
        """Return the changes of a table as the store answers a daemon."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        could_answer = self._answers(name)
        while not self._changes(table, after) and loop.time() < began_at + wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(began_at + wait_s):
                    await self._changed.wait()
        if not (could_answer and self._answers(name)):
            await asyncio.sleep(max(0.0, began_at + wait_s + margin_s - loop.time()))
            raise StoreUnavailable("silent")
        changes = RowChanges(self._changes(table, after), self.version)
        await asyncio.sleep(CALL_S)
        return changes


class _StoreView:
    """The store as one daemon reaches it."""

    def __init__(self, store, name, settings):
        self._store = store
        self._name = name
        self._settings = settings

    async def read_table(self, table):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        return await self._store.read(self._name, table, self._settings.timeout_s)

    async def wait_for_changes(self, table, after, wait_s):
        """See :class:`~cowslipcourse.ports.RowStore`."""
        margin_s = self._settings.feed_margin_s
        return await self._store.feed(self._name, table, after, wait_s, margin_s)


class _Reader:
    """A daemon of the network with a replica of the targets."""

    def __init__(self, daemon, store):
        self.name = daemon.settings.name
        self.data_centre = daemon.settings.data_centre
        self.daemon = daemon
        self.left_at = {}
        """Loop times at which targets were last dropped or seen to leave."""
        self.usable = set()
        self.drops = []
        """Targets that were dropped or seen to leave, each with its loop time."""
        self._next_heartbeat = daemon.heartbeat
        view = _StoreView(store, self.name, daemon.settings.store)
        self.replica = StateReplica(
            daemon.settings, view, daemon.registry, random.Random(self.name), self
        )
        daemon.replica = self.replica
        daemon.heartbeat = self._heartbeat
        daemon.link._daemon = daemon

    def _heartbeat(self):
        heartbeat = self._next_heartbeat()
        is_draining = self.daemon.is_draining
        return heartbeat._replace(
            is_healthy=self.replica.is_current and not is_draining,
            targets_version=self.replica.targets_version,
            member=heartbeat.member._replace(is_ready=not is_draining),
        )

    def apply_configuration(self, table):
        """Do nothing: no requests are sent."""

    def apply_targets(self, entries, gone):
        """Record which targets may get requests."""
        now = asyncio.get_running_loop().time()
        for entry in entries:
            if entry.is_leaving:
                self._drop(entry.id, now)
            else:
                self.usable.add(entry.id)
        for target in gone:
            self._drop(target, now)

    def _drop(self, target, now):
        if target in self.usable:
            self.usable.discard(target)
            self.left_at[target] = now
            self.drops.append((target, now))

    def push_changes(self, changes):
        """Send changes to the daemons of the data centre."""
        self.daemon.link.push_changes(changes)


class ReaderSite:
    """Data centres of daemons with real replicas, roles and links.

    :param data_centres: number of data centres.
    :param daemons: daemons in each.
    """

    def __init__(self, data_centres, daemons):
        self.store = _Store()
        self.network = DaemonNetwork(NetworkShape(data_centres, daemons))
        self.readers = [_Reader(d, self.store) for d in self.network.daemons]
        self._by_address = {r.daemon.member.peer_address: r for r in self.readers}

    def registered(self, data_centre=0):
        """Return the readers of a data centre in the order of their registration."""
        local = [r for r in self.readers if r.data_centre == f"hall-{data_centre}"]
        return sorted(local, key=lambda r: r.daemon.registrar.version)

    def play(self, act, targets=("t1", "t2")):
        """Run the daemons, and let a coroutine function act once they have settled."""
        for target in targets:
            self.store.put(target, entry_content())
        with mock.patch.object(state_replica, "read_state", self._read_state):
            run_in_virtual_time(self._run(act))

    async def _run(self, act):
        registrations = _RegistrationStore(self.network.daemons)
        for reader in self.readers:
            reader.daemon.prepare_start(registrations)
        tasks = [
            asyncio.create_task(coroutine)
            for number, reader in enumerate(self.readers)
            for coroutine in (
                reader.daemon.run(0.05 * number),
                *reader.replica.coroutines(),
            )
        ]
        try:
            await asyncio.sleep(SETTLE_S)
            await act(self)
            _raise_failures(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_state(self, _, address, configuration, targets, evacuations):
        await asyncio.sleep(CALL_S)
        reader = self._by_address[address]
        if reader.daemon.is_down:
            raise PeerUnreachable("down")
        replica = reader.replica
        return decode_state(replica.encoded_state(configuration, targets, evacuations))

    def stop(self, reader):
        """Let a daemon begin a planned stop."""
        reader.daemon.is_draining = True
        reader.daemon.link.heartbeat_now()

    def kill(self, *readers):
        """Let daemons end at once."""
        self.network.silence([reader.name for reader in readers])

    def lateness_s(self, target, since, readers):
        """Return the longest time for which one of some daemons used a target.

        :param since: loop time from which it is counted.
        """
        now = asyncio.get_running_loop().time()
        return max(
            (now if target in r.usable else r.left_at[target]) - since for r in readers
        )


def _raise_failures(tasks):
    for task in tasks:
        if task.done() and not task.cancelled():
            task.result()
