"""Heartbeats, digests and pushed changes between daemons over UDP."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import AddressTaken, MalformedAnswer
from cowslipcourse.peers import (
    CrashReports,
    DigestWriter,
    GroupUpdate,
    Heartbeat,
    QuarantineUpdate,
    RequestCleared,
    TargetChanges,
    decode,
    encode,
)

__all__ = ["PeerLink"]

MOST_BYTES = 32_000
"""Longest datagram that is pushed; more is left to a read of the whole state."""

log = get_logger(__name__)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take):
        self._take = take

    def datagram_received(self, data, addr):
        self._take(data)

    def error_received(self, exc):
        log.info("datagram-refused", why=exc)


class PeerLink:
    """Sends what this daemon has to tell and takes in what the others tell.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param registry: :class:`~cowslipcourse.peers.PeerRegistry`
    :param daemon: has ``heartbeat()``, ``heartbeat_interval_s()``,
        ``investigate_suspects(message)``, ``take_news(news)``, ``replica`` and
        ``quarantine``.
    """

    def __init__(self, settings, registry, daemon):
        self._settings = settings
        self._registry = registry
        self._daemon = daemon
        self._transport = None
        self._digests = DigestWriter(settings.peers, registry)
        self._told_all_at = None

    async def start(self):
        """Listen, and write to the seeds at first.

        :raises AddressTaken: if the address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        address = self._settings.listen.peer
        host, port = address.rsplit(":", 1)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self._take), local_addr=(host, int(port))
            )
        except OSError as error:
            raise AddressTaken(address, error.strerror) from error
        for address in self._settings.peers.seeds:
            # Where a seed runs is learnt from its heartbeat; until then it is near.
            self._registry.add_address(address, self._settings.data_centre, loop.time())

    async def run(self):
        """Send heartbeats for ever, and digests while this daemon is a reporter."""
        while True:
            self._beat()
            await asyncio.sleep(self._settings.peers.interval_s)

    def heartbeat_now(self):
        """Send a heartbeat to the whole data centre at once."""
        self._told_all_at = None
        self._beat()

    def _beat(self):
        """Send a heartbeat to the reporters, and to all others when it is time."""
        now = asyncio.get_running_loop().time()
        self._registry.expire(now)
        own = self._daemon.heartbeat()
        reporters = self._registry.reporter_addresses(own, now)
        quick = own._replace(interval_s=self._settings.peers.interval_s)
        self._send(encode(quick), reporters)
        self._registry.record_own_in_flight(own.in_flight)
        if self._is_time_for_all(own, now):
            self._told_all_at = now
            near = self._registry.local_addresses(now)
            self._send(encode(own), [each for each in near if each not in reporters])
        if own.member.name in self._registry.reporters(own, now):
            self._send_digests(own, now)

    def _is_time_for_all(self, own, now):
        if self._told_all_at is None:
            return True
        margin_s = self._settings.peers.interval_s / 2
        return now - self._told_all_at >= own.interval_s - margin_s

    def _send_digests(self, own, now):
        far = self._digests.build_remote_digest(own, now)
        self._send(encode(far), self._registry.remote_addresses(now))
        near = self._digests.build_local_digest(own, now)
        if near is not None:
            self._send(encode(near), self._registry.local_addresses(now))

    def broadcast_group_news(self, news):
        """Send a :class:`~cowslipcourse.peers.GroupUpdate` to all daemons, once.

        One that is lost costs what there is without news: the list tells it later.
        """
        now = asyncio.get_running_loop().time()
        self._send(encode(news), self._registry.all_addresses(now))

    @property
    def address(self):
        """This daemon's own address among its peers."""
        return self._settings.listen.peer

    def alive_addresses(self):
        """Return the addresses of the other daemons that live."""
        return self._registry.alive_addresses(asyncio.get_running_loop().time())

    def all_addresses(self):
        """Return the addresses of all other daemons that are known."""
        return self._registry.all_addresses(asyncio.get_running_loop().time())

    def repeat_addresses(self):
        """Return the addresses that this daemon speaks to for its data centre.

        They are those of its own data centre and the reporters elsewhere; none if
        another daemon speaks.
        """
        now = asyncio.get_running_loop().time()
        if not self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            return []
        return self._registry.local_addresses(now) + self._registry.remote_addresses(
            now
        )

    def send(self, message, addresses):
        """Send a message to some daemons, once; a datagram may be lost."""
        self._send(encode(message), addresses)

    def push_changes(self, changes):
        """Send changes of targets to the own data centre."""
        content = encode(changes)
        if len(content) > MOST_BYTES:
            return
        now = asyncio.get_running_loop().time()
        self._send(content, self._registry.local_addresses(now))

    def stop(self):
        """Stop listening."""
        self._transport.close()

    def _send(self, content, addresses):
        for address in addresses:
            if address != self._settings.listen.peer:
                host, port = address.rsplit(":", 1)
                self._transport.sendto(content, (host, int(port)))

    def _take(self, content):
        try:
            message = decode(content)
        except MalformedAnswer as error:
            log.info("datagram-unreadable", why=error)
            return
        now = asyncio.get_running_loop().time()
        if isinstance(message, TargetChanges):
            self._daemon.replica.apply_push(message)
        elif isinstance(message, GroupUpdate):
            self._daemon.take_news(message)
        elif isinstance(message, CrashReports | QuarantineUpdate | RequestCleared):
            self._daemon.quarantine.handle_message(message)
        elif isinstance(message, Heartbeat):
            if message.member.name != self._settings.name:
                self._take_heartbeat(message, now)
        elif self._registry.record_digest(message, now):
            self._hand_on(content, message, now)
            self._daemon.investigate_suspects(message)

    def _take_heartbeat(self, heartbeat, now):
        """Take in a heartbeat, and answer the first one of a run with an own one.

        A daemon that has just started need not wait for the next one of each other:
        that takes over a second in a large data centre.
        """
        is_first = self._registry.is_unknown(heartbeat.member)
        if not self._registry.record_heartbeat(heartbeat, now):
            return
        if is_first:
            own = self._daemon.heartbeat()
            self._send(encode(own), [heartbeat.member.peer_address])
        self._daemon.investigate_suspects(heartbeat)

    def _hand_on(self, content, digest, now):
        """Bring another data centre's digest to the own one, once."""
        is_near = digest.reporter.data_centre == self._settings.data_centre
        if is_near or digest.in_flight is None:
            return
        if self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            self._send(content, self._registry.local_addresses(now))
