"""Many daemons that tell each other that they live, in fake time; bytes are counted."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.entry.peer_link import PeerLink
from cowslipcourse.entry.registering import DaemonRegistrar
from cowslipcourse.entry.roles import RoleAssignment
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.peers import (
    Heartbeat,
    Member,
    PeerRegistry,
    Registration,
    encode_registration,
)
from cowslipcourse.ports import RowChanges, StoredRow

__all__ = ["DaemonNetwork", "NetworkShape"]

TRIP_S = 0.001
IP_UDP_HEADER_BYTES = 28
"""Of a datagram, for IP and UDP."""
HEADS = 85
"""Targets that take requests on the large site: heads of groups and plain ones."""


class NetworkShape(NamedTuple):
    """A network.

    :param data_centres: number of data centres.
    :param daemons: daemons in each.
    :param in_flight: targets at which a daemon has requests.
    :param lost: share of datagrams that are lost.
    """

    data_centres: int
    daemons_per_data_centre: int
    busy_targets_per_daemon: int = 2
    loss_rate: float = 0.0


WRITE_S = 0.004
"""Writes to one part of the store's rows follow each other."""
LOOK_S = 0.05


class _Knowledge:
    follows_store = True

    def apply_push(self, message):
        """Nothing is pushed here."""

    def set_following(self, active):
        """Note whether the store would be read."""
        self.follows_store = active


class _Store:
    """Rows of daemons; those of an earlier run of all daemons are there already."""

    def __init__(self, daemons):
        self._version = 1000
        self._rows = {}
        self._free_at = 0.0
        for daemon in daemons:
            row = encode_registration(
                Registration(daemon.settings.listen.peer, daemon.settings.data_centre)
            )
            self._rows[daemon.settings.name] = row

    async def write(self, row_write):
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + WRITE_S
        await asyncio.sleep(self._free_at - now)
        self._version += 1
        self._rows[row_write.key] = row_write.value
        return self._version

    async def read_table(self, table):
        await asyncio.sleep(WRITE_S)
        rows = [StoredRow(key, value, 1) for key, value in self._rows.items()]
        return RowChanges(tuple(rows), self._version)


class _Daemon:
    """One daemon: its link and its registry, and what it says of itself."""

    def __init__(self, network, number, data_centre):
        self._network = network
        self._rng = random.Random(number)
        self._sequence = 0
        self._shape = network.shape
        self.replica = _Knowledge()
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
        self.burst = {}
        self.is_draining = False
        self.registering = None
        self.roles = None
        self.registry = PeerRegistry(self.settings.peers, self.settings.data_centre)
        self.link = PeerLink(self.settings, self.registry, self)
        self.link._transport = self

    def heartbeat(self):
        """Return what it says of itself now."""
        self._sequence += 1
        heads = self._rng.sample(range(HEADS), self._shape.busy_targets_per_daemon)
        in_flight = {f"i-{head * 0x123457:010x}": 1 for head in heads}
        in_flight |= self.burst
        if self.registering is not None:
            self.member = self.member._replace(
                registration_version=self.registering.version
            )
        beat = Heartbeat(self.member, self._sequence, True, 99, in_flight, {})
        return beat._replace(interval_s=self.heartbeat_interval_s())

    def heartbeat_interval_s(self):
        """Return the seconds until the next heartbeat."""
        now = asyncio.get_running_loop().time()
        own = Heartbeat(self.member, 0, True, 99, {}, {})
        is_reporter = self.member.name in self.registry.reporter_names(own, now)
        return self.registry.heartbeat_interval_s(is_reporter, now)

    def starts(self, store):
        """Begin without a registration, and knowing nobody."""
        self.registering = DaemonRegistrar(
            self.settings, store, self._learn, random.Random(1)
        )
        self.roles = RoleAssignment(
            self.settings, self.registry, self.registering, self.replica, self
        )

    def _learn(self, registrations):
        now = asyncio.get_running_loop().time()
        for known in registrations:
            self.registry.add_address(known.peer_address, known.data_centre, now)
        self.link.heartbeat_now()

    async def live(self, after_s):
        """Start after a while, and live."""
        self.is_down = True
        await asyncio.sleep(after_s)
        self.is_down = False
        coroutines = self.registering.run(), self.roles.run(), self.link.run()
        await asyncio.gather(*coroutines)

    def investigate_suspects(self, message):
        """Nothing is looked into here."""

    def apply_group_update(self, news):
        """Nothing is formed here."""

    def sendto(self, content, address):
        """Send a datagram; see :class:`asyncio.DatagramTransport`."""
        if self.is_down:
            return
        self.sent_bytes += len(content) + IP_UDP_HEADER_BYTES
        self._network.carry(content, address)


class DaemonNetwork:
    """Daemons that know each other's addresses from the start.

    :param shape: :class:`NetworkShape`
    :param seed: of what is lost.
    """

    def __init__(self, shape, seed=0):
        self.shape = shape
        self._rng = random.Random(seed)
        self.daemons = [
            _Daemon(self, place * shape.daemons_per_data_centre + number, place)
            for place in range(shape.data_centres)
            for number in range(shape.daemons_per_data_centre)
        ]
        self._by_host = {d.member.peer_address: d for d in self.daemons}

    def carry(self, content, address):
        """Bring a datagram to its daemon, or lose it."""
        if self._rng.random() < self.shape.loss_rate:
            return
        daemon = self._by_host[f"{address[0]}:{address[1]}"]
        asyncio.get_running_loop().call_later(TRIP_S, self._deliver, daemon, content)

    def _deliver(self, daemon, content):
        if not daemon.is_down:
            daemon.link._handle_datagram(content)

    async def run(self, seconds, then=None):
        """Run for a while; return the bytes a second that each daemon sent.

        :param then: coroutine function that is run afterwards, while they live on.
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
        await asyncio.sleep(seconds)
        begun = [daemon.sent_bytes for daemon in self.daemons]
        await asyncio.sleep(seconds)
        if then is not None:
            await then()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        spent = [d.sent_bytes - b for d, b in zip(self.daemons, begun, strict=True)]
        return [each / seconds for each in spent]

    def followers(self):
        """Return the names of daemons that read the store, by data centre."""
        found = {}
        for daemon in self.daemons:
            if daemon.replica.follows_store and not daemon.is_down:
                names = found.setdefault(daemon.settings.data_centre, [])
                names.append(daemon.settings.name)
        return found

    def end(self, names):
        """Let daemons go silent."""
        for daemon in self.daemons:
            if daemon.settings.name in names:
                daemon.is_down = True

    async def start_all(self, within_s, seconds, then=None):
        """Start all daemons after a loss of power, and watch them.

        :param within_s: time within which they begin to run.
        :param seconds: time for which they are watched.
        :param then: coroutine function that is run afterwards, while they live on.
        :returns: list of ``(seconds since the first start, reporters by data centre,
            most daemons that keep the groups of a data centre)``
        """
        store = _Store(self.daemons)
        for daemon in self.daemons:
            daemon.starts(store)
        tasks = [
            asyncio.create_task(daemon.live(self._rng.uniform(0, within_s)))
            for daemon in self.daemons
        ]
        seen = []
        for step in range(int(seconds / LOOK_S)):
            await asyncio.sleep(LOOK_S)
            seen.append(((step + 1) * LOOK_S, *self._roles()))
        if then is not None:
            await then()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return seen

    def _roles(self):
        reporters = {}
        for daemon in self.daemons:
            if daemon.roles.is_reporter:
                place = daemon.settings.data_centre
                reporters[place] = reporters.get(place, 0) + 1
        return reporters, max(len(keepers) for keepers in self.keepers().values())

    def keepers(self):
        """Return the names of those that keep groups, by data centre of the groups."""
        places = sorted({d.settings.data_centre for d in self.daemons})
        return {
            place: [
                daemon.settings.name
                for daemon in self.daemons
                if not daemon.is_down and daemon.roles.coordinates(place)
            ]
            for place in places
        }
