"""A store that fails, a listener, and heartbeats, for what a daemon knows."""

import asyncio
import json
import random

from cowslipcourse.entry.knowledge import StateReplica
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import HistoryDropped, StoreUnavailable
from cowslipcourse.peers import Heartbeat, Member, PeerRegistry
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, StoredRow
from features.support.wire import entry_content

__all__ = ["FlakyStore", "Listener", "heartbeat", "make_replica", "member"]


class FlakyStore:
    """A store whose tables a scenario changes."""

    def __init__(self):
        self.targets = {}
        self.version = 1
        self.is_away = False
        self.drops_history = False
        self.deletes = None
        self.configuration = 7
        self.configuration_content = None

    def rows(self, table):
        if table == CONFIGURATION_TABLE:
            content = (
                self.configuration_content
                or json.dumps(
                    {"version": self.configuration, "routes": [], "services": []}
                ).encode()
            )
            return (StoredRow("config", content, 1),)
        value = entry_content()
        return tuple(StoredRow(key, value, 1) for key in self.targets)

    async def read_table(self, table):
        await asyncio.sleep(0.004)
        if self.is_away:
            raise StoreUnavailable("away")
        return RowChanges(self.rows(table), self.version)

    async def wait_for_changes(self, table, after, wait_s):
        await asyncio.sleep(0.05)
        if self.is_away:
            raise StoreUnavailable("away")
        if self.drops_history and table != CONFIGURATION_TABLE:
            self.drops_history = False
            raise HistoryDropped("dropped")
        if self.deletes is not None and table != CONFIGURATION_TABLE:
            key, self.deletes = self.deletes, None
            self.targets.discard(key)
            self.version += 1
            return RowChanges((StoredRow(key, b"", 1, deleted=True),), self.version)
        return RowChanges((), self.version)


class Listener:
    """Keeps what a daemon would act on."""

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
    """Return knowledge over a store, its registry and its listener."""
    settings = _settings()
    registry = PeerRegistry(settings.peers, settings.data_centre)
    listener = Listener()
    knowledge = StateReplica(settings, store, registry, random.Random(1), listener)
    return knowledge, registry, listener


def member(name, registration, data_centre="north", incarnation=1):
    """Return a daemon as others know it."""
    host = ".".join(str(byte % 250) for byte in name.encode().ljust(3)[:3])
    addresses = f"10.{host}:1", f"10.{host}:2"
    return Member(name, incarnation, registration, *addresses, data_centre, True, 7)


def heartbeat(name, registration, is_healthy=True, targets_version=0, sequence=1):
    return Heartbeat(
        member(name, registration), sequence, is_healthy, targets_version, {}, {}
    )
