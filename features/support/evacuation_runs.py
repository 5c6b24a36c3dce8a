"""Runs of many daemons that learn of evacuations, over their own links.

Each daemon has its own replica of the operators' rows, follows the store as its role
asks for, and tries a request to each data centre at short intervals.
"""

import asyncio
import json
import random
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.state_replica import StateReplica
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import StoreUnavailable, TargetWithheld
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, StoredRow, TargetEntry
from features.support.daemon_network import DaemonNetwork, NetworkShape
from features.support.knowledge import Listener

__all__ = ["EvacuationScenario", "OperatorStore", "run_scenario"]

STORE_CALL_S = 0.004
SLOW_STORE_CALL_S = 0.24
STORE_TIMEOUT_S = 1.5
FEED_POLL_S = 0.02
REACHABLE_EVERY = 8
"""Of this many daemons, the store that refuses some serves one."""
ROLE_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.2
SETTLED_S = 2.5
"""Time after which daemons that are no reporters no longer wait for the feed."""
EVACUATION_BOUND_S = 5.0
RETURN_BOUND_S = 3.0


class EvacuationScenario(NamedTuple):
    """One run.

    :param shape: :class:`~features.support.daemon_network.NetworkShape`
    :param fault: ``slow``, ``refusing``, ``alone``, ``losing answers``, ``cut`` or
        empty.
    :param writes: ``(seconds, data centre, whether it is evacuated)`` in order.
    :param duration_s: time until the end, from the first write on.
    :param starting: number of daemons that start while the first evacuation lasts.
    :param is_spread: whether daemons tell each other.
    """

    shape: NetworkShape
    fault: str = ""
    writes: tuple = ((0.0, "hall-0", True), (6.5, "hall-0", False))
    duration_s: float = 10.0
    starting: int = 0
    is_spread: bool = True


class OperatorStore:
    """The table of the operators, as the daemons of a scenario reach it."""

    def __init__(self, seed=0):
        configuration = json.dumps({"version": 7, "routes": [], "services": []})
        self._rows = {"config": StoredRow("config", configuration.encode(), 1)}
        self._version = 1
        self.rng = random.Random(f"store-{seed}")

    def write(self, data_centre, is_evacuated):
        """Write or delete the row of a data centre."""
        self._version += 1
        key = f"evacuate/{data_centre}"
        content = b"{}" if is_evacuated else b""
        self._rows[key] = StoredRow(key, content, self._version, not is_evacuated)

    def snapshot(self, table):
        """Return all rows of a table."""
        is_known = table == CONFIGURATION_TABLE
        rows = [row for row in self._rows.values() if is_known and not row.deleted]
        return RowChanges(tuple(rows), self._version)

    def changes(self, table, after):
        """Return the rows of a table that were written after a version."""
        is_known = table == CONFIGURATION_TABLE
        rows = [r for r in self._rows.values() if is_known and r.version > after]
        return RowChanges(tuple(rows), self._version)


class _StoreAccess:
    """The store as one daemon reaches it."""

    era = 0

    def __init__(self, store, number, daemon_count):
        self._store = store
        self._is_last = number == daemon_count - 1
        self._is_served = number % REACHABLE_EVERY == 0
        self.fault = ""

    async def read_table(self, table):
        await self._call()
        return self._store.snapshot(table)

    async def wait_for_changes(self, table, after, wait_s):
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + wait_s
        await self._call()
        while not self._store.changes(table, after).rows and loop.time() < give_up_at:
            await asyncio.sleep(FEED_POLL_S)
        return self._store.changes(table, after)

    async def _call(self):
        is_refused = (self.fault == "refusing" and not self._is_served) or (
            self.fault == "alone" and not self._is_last
        )
        is_slow = self.fault == "slow"
        await asyncio.sleep(SLOW_STORE_CALL_S if is_slow else STORE_CALL_S)
        if is_refused:
            raise StoreUnavailable("refused")
        if self.fault == "losing answers" and self._store.rng.random() < 0.5:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("the answer was lost")


class _CuttableTransport:
    """Sends datagrams of a daemon, none to other data centres while they are cut."""

    def __init__(self, daemon, data_centre_by_address):
        self._daemon = daemon
        self._data_centre_by_address = data_centre_by_address
        self.is_cut = False

    def sendto(self, content, address):
        receiver = self._data_centre_by_address[f"{address[0]}:{address[1]}"]
        if not self.is_cut or receiver == self._daemon.settings.data_centre:
            self._daemon.sendto(content, address)


class _Site:
    def __init__(self, scenario):
        self.scenario = scenario
        self.network = DaemonNetwork(scenario.shape)
        self.store = OperatorStore()
        self.history = {}
        self.late_sends = []
        self.unused = []
        self._accesses = []
        self._transports = []
        daemons = self.network.daemons
        data_centres = {d.member.peer_address: d.settings.data_centre for d in daemons}
        names = sorted(set(data_centres.values()))
        self.entries = [
            TargetEntry(f"t-{name}", "s", "10.9.0.1:1", name, 6) for name in names
        ]
        for number, daemon in enumerate(daemons):
            self._equip(daemon, number, data_centres)

    def _equip(self, daemon, number, data_centres):
        access = _StoreAccess(self.store, number, len(self.network.daemons))
        self._accesses.append(access)
        daemon.replica = StateReplica(
            daemon.settings,
            access,
            daemon.registry,
            random.Random(number),
            Listener(),
            daemon.evacuations,
        )
        heartbeat = daemon.heartbeat
        daemon.heartbeat = lambda: heartbeat()._replace(
            is_healthy=daemon.replica.is_current
        )
        daemon.link._transport = _CuttableTransport(daemon, data_centres)
        self._transports.append(daemon.link._transport)
        if not self.scenario.is_spread:
            daemon.evacuation_exchange.handle_message = lambda message: None

    async def run(self):
        scenario, daemons = self.scenario, self.network.daemons
        starting = daemons[len(daemons) - scenario.starting :]
        tasks = []
        for daemon in daemons:
            if daemon in starting:
                daemon.is_down = True
            else:
                tasks += self._start(daemon)
        await asyncio.sleep(SETTLED_S)
        for access in self._accesses:
            access.fault = scenario.fault
        for transport in self._transports:
            transport.is_cut = scenario.fault == "cut"
        tasks.append(asyncio.create_task(self._write()))
        loop = asyncio.get_running_loop()
        for daemon in starting:
            delay_s = self.store.rng.uniform(4.0, 6.0)
            loop.call_later(delay_s, self._start_late, daemon, tasks)
        await asyncio.sleep(scenario.duration_s)
        for task in tasks:
            task.cancel()

    def _start(self, daemon):
        configuration, targets, *others = daemon.replica.coroutines()
        for coroutine in others:
            coroutine.close()
        coroutines = (
            configuration,
            targets,
            daemon.evacuation_exchange.run(),
            self._follow_role(daemon),
            self._send_requests(daemon),
        )
        return [asyncio.create_task(coroutine) for coroutine in coroutines]

    def _start_late(self, daemon, tasks):
        daemon.is_down = False
        daemon.link.heartbeat_now()
        tasks += self._start(daemon)

    async def _write(self):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for at_s, data_centre, is_evacuated in self.scenario.writes:
            await asyncio.sleep(max(0.0, started_at + at_s - loop.time()))
            self.store.write(data_centre, is_evacuated)
            self.history[data_centre] = loop.time(), is_evacuated

    async def _follow_role(self, daemon):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(ROLE_INTERVAL_S)
            now, own = loop.time(), daemon.heartbeat()
            reporters = daemon.registry.reporter_names(own, now)
            is_active = daemon.registry.is_active_reporter(own, now)
            daemon.replica.set_following(not reporters or is_active)

    async def _send_requests(self, daemon):
        loop = asyncio.get_running_loop()
        fleet = FleetView(daemon.evacuations)
        fleet.apply(self.entries, ())
        conditions = TargetConditions(daemon.rate_limiter, fleet)
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            if not daemon.replica.configuration_version:
                continue
            now = loop.time()
            candidates = fleet.service_candidates("s", now)
            offered = {candidate.entry.id for candidate in candidates}
            for entry in self.entries:
                self._check(daemon, entry, entry.id in offered, conditions, now)

    def _check(self, daemon, entry, is_offered, conditions, now):
        changed_at, is_evacuated = self.history.get(entry.data_centre, (now, False))
        try:
            conditions.verify(entry, None)
            is_sent = True
        except TargetWithheld:
            is_sent = False
        age_s = now - changed_at
        if is_evacuated and age_s > EVACUATION_BOUND_S and (is_sent or is_offered):
            self.late_sends.append((daemon.member.name, entry.id, age_s))
        if not is_evacuated and age_s > RETURN_BOUND_S and not (is_sent and is_offered):
            self.unused.append((daemon.member.name, entry.id, age_s))


def run_scenario(scenario):
    """Run an :class:`EvacuationScenario`.

    :returns: requests that were sent too late, and data centres that were not used in
        time after they were taken back.
    """
    site = _Site(scenario)
    run_in_virtual_time(site.network.run(0.5, site.run))
    return site.late_sends, site.unused
