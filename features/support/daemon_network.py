"""Simulate the peer links of many daemons in simulated time and count their bytes."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.entry.daemon_registration import DaemonRegistrar
from cowslipcourse.entry.evacuation_exchange import EvacuationExchange
from cowslipcourse.entry.evacuations import Evacuations
from cowslipcourse.entry.peer_link import PeerLink
from cowslipcourse.entry.roles import RoleAssignment
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.peer_protocol import (
    Heartbeat,
    Member,
    PeerRegistry,
    Registration,
    encode_registration,
)
from cowslipcourse.ports import RowChanges, StoredRow
from cowslipcourse.rate_limit_runtime import RateLimiter

__all__ = ["DaemonNetwork", "NetworkShape"]

DATAGRAM_DELAY_S = 0.001
IP_UDP_HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""
SERVING_TARGET_COUNT = 85
"""Targets of the large site that accept requests: heads of groups and plain ones."""


class NetworkShape(NamedTuple):
    """Size and load of a simulated network.

    :param data_centres: number of data centres.
    :param daemons_per_data_centre: number of daemons in each.
    :param busy_targets_per_daemon: number of targets at which a daemon has a request.
    :param loss_rate: fraction of datagrams that are lost.
    """

    data_centres: int
    daemons_per_data_centre: int
    busy_targets_per_daemon: int = 2
    loss_rate: float = 0.0


STORE_CALL_S = 0.004
"""Duration of a write or a read; writes to one partition are serialized."""
SAMPLE_INTERVAL_S = 0.05


class _FakeReplica:
    follows_store = True

    def apply_push(self, message):
        """Do nothing: no targets are pushed in this network."""

    def set_following(self, active, may_overlap=False):
        """Record whether the store would be read."""
        self.follows_store = active

    def note_peer_read(self):
        """Do nothing: no table is read in this network."""


class _RegistrationStore:
    """Registrations of daemons; all are registered from an earlier run already."""

    def __init__(self, daemons):
        self._version = 1000
        self._rows = {}
        self._writable_at = 0.0
        for daemon in daemons:
            row = encode_registration(
                Registration(daemon.settings.listen.peer, daemon.settings.data_centre)
            )
            self._rows[daemon.settings.name] = row

    async def write(self, row_write):
        now = asyncio.get_running_loop().time()
        self._writable_at = max(now, self._writable_at) + STORE_CALL_S
        await asyncio.sleep(self._writable_at - now)
        self._version += 1
        self._rows[row_write.key] = row_write.value
        return self._version

    async def read_table(self, table):
        await asyncio.sleep(STORE_CALL_S)
        rows = [StoredRow(key, value, 1) for key, value in self._rows.items()]
        return RowChanges(tuple(rows), self._version)


class _Daemon:
    """One daemon: its peer link, its registry, and the state that it reports."""

    def __init__(self, network, number, data_centre):
        self._network = network
        self._rng = random.Random(number)
        self._sequence = 0
        self._shape = network.shape
        self.replica = _FakeReplica()
        self.sent_bytes = 0
        self.is_down = False
        address = f"10.{data_centre}.{number // 250}.{number % 250}"
        self.settings = EntrySettings(
            name=f"front-hall-{data_centre}-{number}",
            data_centre=f"hall-{data_centre}",
            listen=dict.fromkeys(
                ("front", "directory", "ready", "peer"), f"{address}:7340"
            ),
            store={"address": "10.200.0.1:1"},
        )
        self.member = Member(
            self.settings.name,
            1_790_000_000_000_000_000 + number,
            1 + number,
            self.settings.listen.peer,
            self.settings.listen.front,
            self.settings.data_centre,
            True,
            7,
        )
        self.extra_in_flight = {}
        self.is_draining = False
        self.registrar = None
        self.roles = None
        self.registry = PeerRegistry(self.settings.peers, self.settings.data_centre)
        self.link = PeerLink(self.settings, self.registry, self)
        self.link._transport = self
        rng = random.Random(f"limits-{number}")
        self.rate_limiter = RateLimiter(self.link, None, rng)
        self.evacuations = Evacuations(random.Random(f"returns-{number}"))
        self.evacuation_exchange = EvacuationExchange(self.evacuations, self.link, rng)

    def heartbeat(self):
        """Return the daemon's next heartbeat."""
        self._sequence += 1
        busy_targets = self._rng.sample(
            range(SERVING_TARGET_COUNT), self._shape.busy_targets_per_daemon
        )
        in_flight = {f"i-{target * 0x123457:010x}": 1 for target in busy_targets}
        in_flight |= self.extra_in_flight
        if self.registrar is not None:
            self.member = self.member._replace(
                registration_version=self.registrar.version
            )
        heartbeat = Heartbeat(self.member, self._sequence, True, 99, in_flight, {})
        return heartbeat._replace(interval_s=self.heartbeat_interval_s())

    def heartbeat_interval_s(self):
        """Return the seconds until the next heartbeat."""
        now = asyncio.get_running_loop().time()
        own_heartbeat = Heartbeat(self.member, 0, True, 99, {}, {})
        is_reporter = self.member.name in self.registry.reporter_names(
            own_heartbeat, now
        )
        return self.registry.heartbeat_interval_s(is_reporter, now)

    def prepare_start(self, store):
        """Start without a registration and without known peers."""
        self.registrar = DaemonRegistrar(
            self.settings, store, self._on_registrations, random.Random(1)
        )
        self.roles = RoleAssignment(
            self.settings, self.registry, self.registrar, self.replica, self
        )

    def _on_registrations(self, registrations):
        now = asyncio.get_running_loop().time()
        for registration in registrations:
            self.registry.add_address(
                registration.peer_address, registration.data_centre, now
            )
        self.link.heartbeat_now()

    async def run(self, delay_s):
        """Run forever, after an initial delay in seconds."""
        self.is_down = True
        await asyncio.sleep(delay_s)
        self.is_down = False
        coroutines = self.registrar.run(), self.roles.run(), self.link.run()
        await asyncio.gather(*coroutines)

    def investigate_suspects(self, message):
        """Do nothing: no suspects are investigated in this network."""

    def apply_group_update(self, update):
        """Do nothing: no groups are formed in this network."""

    def sendto(self, content, address):
        """Send a datagram; see :class:`asyncio.DatagramTransport`."""
        if self.is_down:
            return
        self.sent_bytes += len(content) + IP_UDP_HEADER_BYTES
        self._network.transmit(content, address)


class DaemonNetwork:
    """Daemons that exchange datagrams through a simulated network with loss.

    :param shape: :class:`NetworkShape`
    :param seed: seed of the datagram loss and of start times.
    """

    def __init__(self, shape, seed=0):
        self.shape = shape
        self._rng = random.Random(seed)
        self.daemons = [
            _Daemon(
                self, data_centre * shape.daemons_per_data_centre + number, data_centre
            )
            for data_centre in range(shape.data_centres)
            for number in range(shape.daemons_per_data_centre)
        ]
        self._daemons_by_address = {d.member.peer_address: d for d in self.daemons}

    def transmit(self, content, address):
        """Deliver a datagram to its daemon after a delay, or lose it."""
        if self._rng.random() < self.shape.loss_rate:
            return
        daemon = self._daemons_by_address[f"{address[0]}:{address[1]}"]
        asyncio.get_running_loop().call_later(
            DATAGRAM_DELAY_S, self._deliver, daemon, content
        )

    def _deliver(self, daemon, content):
        if not daemon.is_down:
            daemon.link._handle_datagram(content)

    async def run(self, period_s, after_run=None):
        """Run daemons that know all addresses; return the bytes per second of each.

        Bytes are counted in the second of two periods of the given length.

        :param period_s: length of each period.
        :param after_run: coroutine function that is run afterwards, while they go on.
        """
        now = asyncio.get_running_loop().time()
        for daemon in self.daemons:
            for other in self.daemons:
                if other is not daemon:
                    member = other.member
                    daemon.registry.add_address(
                        member.peer_address, member.data_centre, now
                    )
        tasks = [asyncio.create_task(d.link.run()) for d in self.daemons]
        await asyncio.sleep(period_s)
        bytes_before = [daemon.sent_bytes for daemon in self.daemons]
        await asyncio.sleep(period_s)
        if after_run is not None:
            await after_run()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        sent_bytes = [
            d.sent_bytes - before
            for d, before in zip(self.daemons, bytes_before, strict=True)
        ]
        return [daemon_bytes / period_s for daemon_bytes in sent_bytes]

    def store_readers(self):
        """Return the names of daemons that read the store, by data centre."""
        readers = {}
        for daemon in self.daemons:
            if daemon.replica.follows_store and not daemon.is_down:
                names = readers.setdefault(daemon.settings.data_centre, [])
                names.append(daemon.settings.name)
        return readers

    def silence(self, names):
        """Disconnect the named daemons."""
        for daemon in self.daemons:
            if daemon.settings.name in names:
                daemon.is_down = True

    async def start_all(self, within_s, duration_s, after_run=None):
        """Start all daemons as after a power loss, and sample their roles.

        :param within_s: time within which they start, at random.
        :param duration_s: time for which roles are sampled.
        :param after_run: coroutine function that is run afterwards, while they go on.
        :returns: list of ``(seconds since the start, reporter count by data centre,
            largest number of coordinators of one data centre)``
        """
        store = _RegistrationStore(self.daemons)
        for daemon in self.daemons:
            daemon.prepare_start(store)
        tasks = [
            asyncio.create_task(daemon.run(self._rng.uniform(0, within_s)))
            for daemon in self.daemons
        ]
        samples = []
        for index in range(int(duration_s / SAMPLE_INTERVAL_S)):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            samples.append(((index + 1) * SAMPLE_INTERVAL_S, *self._sample_roles()))
        if after_run is not None:
            await after_run()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return samples

    def _sample_roles(self):
        reporter_counts = {}
        for daemon in self.daemons:
            if daemon.roles.is_reporter:
                data_centre = daemon.settings.data_centre
                reporter_counts[data_centre] = reporter_counts.get(data_centre, 0) + 1
        return reporter_counts, max(
            len(coordinators) for coordinators in self.coordinators().values()
        )

    def coordinators(self):
        """Return the names of coordinators, by data centre of the groups."""
        data_centres = sorted({d.settings.data_centre for d in self.daemons})
        return {
            data_centre: [
                daemon.settings.name
                for daemon in self.daemons
                if not daemon.is_down and daemon.roles.coordinates(data_centre)
            ]
            for data_centre in data_centres
        }
