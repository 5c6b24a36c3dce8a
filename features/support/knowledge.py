"""Fakes for tests of a daemon's replica: a failing store, a listener, heartbeats."""

import asyncio
import json
import random

from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.entry.state_replica import StateReplica
from cowslipcourse.exceptions import HistoryDropped, StoreUnavailable
from cowslipcourse.peer_protocol import Heartbeat, Member, PeerRegistry
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, StoredRow
from features.support.wire import entry_content

__all__ = ["FlakyStore", "Listener", "heartbeat", "make_replica", "member"]


class FlakyStore:
    """A store whose state and failures a scenario sets.

    A wait for target changes fails once if ``drops_history`` is set, and returns the
    removal of ``removed_key`` once.
    """

    def __init__(self):
        self.targets = {}
        self.version = 1
        self.is_unavailable = False
        self.drops_history = False
        self.removed_key = None
        self.configuration_version = 7
        self.configuration_content = None

    def rows(self, table):
        if table == CONFIGURATION_TABLE:
            content = (
                self.configuration_content
                or json.dumps(
                    {
                        "version": self.configuration_version,
                        "routes": [],
                        "services": [],
                    }
                ).encode()
            )
            return (StoredRow("config", content, 1),)
        value = entry_content()
        return tuple(StoredRow(key, value, 1) for key in self.targets)

    async def read_table(self, table):
        await asyncio.sleep(0.004)
        if self.is_unavailable:
            raise StoreUnavailable("unavailable")
        return RowChanges(self.rows(table), self.version)

    async def wait_for_changes(self, table, after, wait_s):
        await asyncio.sleep(0.05)
        if self.is_unavailable:
            raise StoreUnavailable("unavailable")
        if self.drops_history and table != CONFIGURATION_TABLE:
            self.drops_history = False
            raise HistoryDropped("dropped")
        if self.removed_key is not None and table != CONFIGURATION_TABLE:
            key, self.removed_key = self.removed_key, None
            self.targets.discard(key)
            self.version += 1
            return RowChanges((StoredRow(key, b"", 1, deleted=True),), self.version)
        return RowChanges((), self.version)


class Listener:
    """Records the notifications of a replica."""

    def __init__(self):
        self.targets = set()
        self.table = None
        self.pushes = []

    def apply_configuration(self, table):
        self.table = table

    def apply_targets(self, entries, gone):
        self.targets |= {entry.id for entry in entries}
        self.targets -= set(gone)

    def push_changes(self, changes):
        self.pushes.append(changes)


def _settings():
    address = "127.0.0.1:1"
    listen = dict.fromkeys(("front", "directory", "ready", "peer"), address)
    return EntrySettings(
        name="a", data_centre="north", listen=listen, store={"address": address}
    )


def make_replica(store):
    """Return a replica over a store, its registry and its listener."""
    settings = _settings()
    registry = PeerRegistry(settings.peers, settings.data_centre)
    listener = Listener()
    replica = StateReplica(settings, store, registry, random.Random(1), listener)
    return replica, registry, listener


def member(name, registration, data_centre="north", incarnation=1):
    """Return a :class:`Member` with addresses derived from its name."""
    host = ".".join(str(byte % 250) for byte in name.encode().ljust(3)[:3])
    addresses = f"10.{host}:1", f"10.{host}:2"
    return Member(name, incarnation, registration, *addresses, data_centre, True, 7)


def heartbeat(name, registration, is_healthy=True, targets_version=0, sequence=1):
    return Heartbeat(
        member(name, registration), sequence, is_healthy, targets_version, {}, {}
    )
