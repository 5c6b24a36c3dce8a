"""Heartbeats, digests and pushed changes between daemons over UDP."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import AddressTaken, MalformedResponse
from cowslipcourse.peer_protocol import (
    CrashReports,
    DigestWriter,
    EvacuatedSet,
    ExitReports,
    GroupUpdate,
    Heartbeat,
    LimitUpdate,
    PartAnswers,
    PartCleared,
    PartCrashes,
    PartHold,
    PartInquiry,
    PermitRequest,
    PermitResponse,
    ProbeGrant,
    ProbeRequest,
    QuarantineUpdate,
    Relayed,
    RequestCleared,
    SpeedReport,
    TargetChanges,
    decode,
    encode,
)

__all__ = ["PeerLink"]

MAX_PUSH_BYTES = 32_000
"""Longest pushed datagram; peers read larger changes as state."""
MAX_DIRECT_DATAGRAMS = 64
"""Daemons up to which a message to all of them is sent to each, without relays."""

QUARANTINE_MESSAGES = (
    CrashReports,
    ExitReports,
    PartAnswers,
    PartCleared,
    PartCrashes,
    PartHold,
    PartInquiry,
    ProbeGrant,
    ProbeRequest,
    QuarantineUpdate,
    RequestCleared,
)

log = get_logger(__name__)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self._handle_datagram = on_datagram

    def datagram_received(self, data, addr):
        self._handle_datagram(data)

    def error_received(self, exc):
        log.info("datagram-refused", why=exc)


class PeerLink:
    """Sends this daemon's messages to its peers and dispatches received ones.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param registry: :class:`~cowslipcourse.peer_protocol.PeerRegistry`
    :param daemon: has ``heartbeat()``, ``heartbeat_interval_s()``,
        ``investigate_suspects(message)``, ``apply_group_update(update)``, ``replica``,
        ``quarantine``, ``rate_limiter``, ``evacuation_exchange`` and
        ``speed_exchange``.
    """

    def __init__(self, settings, registry, daemon):
        self._settings = settings
        self._registry = registry
        self._daemon = daemon
        self._transport = None
        self._digests = DigestWriter(settings.peers, registry)
        self._sent_to_all_at = None

    async def start(self):
        """Listen, and register the seeds as the first peers.

        :raises AddressTaken: if the daemon cannot listen on its address.
        """
        loop = asyncio.get_running_loop()
        address = self._settings.listen.peer
        host, port = address.rsplit(":", 1)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramReceiver(self._handle_datagram),
                local_addr=(host, int(port)),
            )
        except OSError as error:
            raise AddressTaken(address, error.strerror) from error
        for address in self._settings.peers.seeds:
            # Until its heartbeat names its data centre, a seed counts as local.
            self._registry.add_address(address, self._settings.data_centre, loop.time())

    async def run(self):
        """Send heartbeats, and digests while a reporter, until cancelled."""
        while True:
            self._send_heartbeats()
            await asyncio.sleep(self._settings.peers.interval_s)

    def heartbeat_now(self):
        """Send a heartbeat to the whole data centre immediately."""
        self._sent_to_all_at = None
        self._send_heartbeats()

    def _send_heartbeats(self):
        """Send a heartbeat to the reporters, and to all others when it is due."""
        now = asyncio.get_running_loop().time()
        self._registry.drop_expired(now)
        own_heartbeat = self._daemon.heartbeat()
        reporters = self._registry.reporter_addresses(own_heartbeat, now)
        frequent_heartbeat = own_heartbeat._replace(
            interval_s=self._settings.peers.interval_s
        )
        self._send(encode(frequent_heartbeat), reporters)
        self._registry.record_own_in_flight(own_heartbeat.in_flight)
        if self._is_full_heartbeat_due(own_heartbeat, now):
            self._sent_to_all_at = now
            local_addresses = self._registry.local_addresses(now)
            self._send(
                encode(own_heartbeat),
                [a for a in local_addresses if a not in reporters],
            )
        if own_heartbeat.member.name in self._registry.reporter_names(
            own_heartbeat, now
        ):
            self._send_digests(own_heartbeat, now)

    def _is_full_heartbeat_due(self, own_heartbeat, now):
        if self._sent_to_all_at is None:
            return True
        margin_s = self._settings.peers.interval_s / 2
        return now - self._sent_to_all_at >= own_heartbeat.interval_s - margin_s

    def _send_digests(self, own_heartbeat, now):
        remote_digest = self._digests.build_remote_digest(own_heartbeat, now)
        self._send(encode(remote_digest), self._registry.remote_addresses(now))
        local_digest = self._digests.build_local_digest(own_heartbeat, now)
        if local_digest is not None:
            self._send(encode(local_digest), self._registry.local_addresses(now))

    def broadcast_group_update(self, update):
        """Send a ``GroupUpdate`` to all daemons, once.

        If a datagram is lost, its receiver learns the change later from the list.
        """
        now = asyncio.get_running_loop().time()
        self._send(encode(update), self._registry.all_addresses(now))

    @property
    def address(self):
        """This daemon's own address among its peers."""
        return self._settings.listen.peer

    def alive_addresses(self):
        """Return the addresses of the other daemons that are alive."""
        return self._registry.alive_addresses(asyncio.get_running_loop().time())

    def ready_addresses(self):
        """Return the addresses of ready daemons, this one included, by data centre."""
        now = asyncio.get_running_loop().time()
        own_member = self._daemon.heartbeat().member
        return self._registry.ready_by_data_centre(own_member, now)

    def is_isolated(self):
        """Whether this daemon has lost most daemons of its data centre."""
        return self._registry.is_isolated(asyncio.get_running_loop().time())

    def local_addresses(self):
        """Return the known addresses of daemons of this data centre."""
        return self._registry.local_addresses(asyncio.get_running_loop().time())

    def all_addresses(self):
        """Return the addresses of all other known daemons."""
        return self._registry.all_addresses(asyncio.get_running_loop().time())

    def repeat_addresses(self):
        """Return the addresses to which an active reporter repeats messages.

        They are those of its own data centre and the reporters elsewhere; none if this
        daemon is not the active reporter.
        """
        now = asyncio.get_running_loop().time()
        if not self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            return []
        return self._registry.local_addresses(now) + self._registry.remote_addresses(
            now
        )

    def shared_repeat_addresses(self):
        """Return the addresses to which this daemon repeats what all reporters know.

        The active reporter repeats it to its own data centre, and the other one to the
        reporters elsewhere; a single one does both.
        """
        now = asyncio.get_running_loop().time()
        own_heartbeat = self._daemon.heartbeat()
        names = self._registry.reporter_names(own_heartbeat, now)
        if own_heartbeat.member.name not in names:
            return []
        is_active = self._registry.is_active_reporter(own_heartbeat, now)
        addresses = self._registry.local_addresses(now) if is_active else []
        if not is_active or len(names) == 1:
            addresses += self._registry.remote_addresses(now)
        return addresses

    def local_repeat_addresses(self):
        """Return the same without the reporters elsewhere."""
        now = asyncio.get_running_loop().time()
        if not self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            return []
        return self._registry.local_addresses(now)

    def reporter_addresses(self):
        """Return the addresses of the other reporters of the own data centre."""
        now = asyncio.get_running_loop().time()
        return self._registry.reporter_addresses(self._daemon.heartbeat(), now)

    def send(self, message, addresses):
        """Send a message once to each address; datagrams may be lost."""
        self._send(encode(message), addresses)

    def broadcast(self, message):
        """Send a message to all other daemons, once; datagrams may be lost.

        If they are many, the reporters of other data centres relay it.
        """
        content = encode(message)
        now = asyncio.get_running_loop().time()
        addresses = self._registry.all_addresses(now)
        if len(addresses) <= MAX_DIRECT_DATAGRAMS:
            self._send(content, addresses)
            return
        self._send(content, self._registry.local_addresses(now))
        self._send(encode(Relayed(content)), self._registry.remote_addresses(now))

    def push_changes(self, changes):
        """Send target changes to the daemons of this data centre."""
        content = encode(changes)
        if len(content) > MAX_PUSH_BYTES:
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

    def _handle_datagram(self, content):
        now = asyncio.get_running_loop().time()
        try:
            message = decode(content)
            if isinstance(message, Relayed):
                self._relay(message.content, now)
                return
        except MalformedResponse as error:
            log.info("datagram-unreadable", why=error)
            return
        if isinstance(message, TargetChanges):
            self._daemon.replica.apply_push(message)
        elif isinstance(message, GroupUpdate):
            self._daemon.apply_group_update(message)
        elif isinstance(message, QUARANTINE_MESSAGES):
            self._daemon.quarantine.handle_message(message)
        elif isinstance(message, LimitUpdate | PermitRequest | PermitResponse):
            self._daemon.rate_limiter.handle_message(message)
        elif isinstance(message, EvacuatedSet):
            self._daemon.evacuation_exchange.handle_message(message)
        elif isinstance(message, SpeedReport):
            self._daemon.speed_exchange.handle_message(message)
        elif isinstance(message, Heartbeat):
            if message.member.name != self._settings.name:
                self._handle_heartbeat(message, now)
        elif self._registry.record_digest(message, now):
            self._relay_digest(content, message, now)
            self._daemon.investigate_suspects(message)

    def _handle_heartbeat(self, heartbeat, now):
        """Record a heartbeat; answer the first one of an incarnation with a heartbeat.

        A daemon that has just started would otherwise wait for the next heartbeat of
        each peer, which takes over a second in a large data centre.
        """
        is_first = self._registry.is_unknown(heartbeat.member)
        if not self._registry.record_heartbeat(heartbeat, now):
            return
        if is_first:
            own_heartbeat = self._daemon.heartbeat()
            self._send(encode(own_heartbeat), [heartbeat.member.peer_address])
            self._daemon.rate_limiter.send_all_limits(heartbeat.member.peer_address)
            self._daemon.evacuation_exchange.greet(heartbeat.member.peer_address)
        self._daemon.investigate_suspects(heartbeat)

    def _relay(self, content, now):
        """Handle a message from another data centre, and relay it if it is this
        daemon's turn.

        :raises MalformedResponse: it is none that is relayed.
        """
        message = decode(content)
        if not isinstance(message, QUARANTINE_MESSAGES):
            raise MalformedResponse(f"{type(message).__name__} is not relayed")
        if self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            self._send(content, self._registry.local_addresses(now))
        self._daemon.quarantine.handle_message(message)

    def _relay_digest(self, content, digest, now):
        """Relay a digest of another data centre to the daemons of this one, once."""
        is_local = digest.reporter.data_centre == self._settings.data_centre
        if is_local or digest.in_flight is None:
            return
        if self._registry.is_active_reporter(self._daemon.heartbeat(), now):
            self._send(content, self._registry.local_addresses(now))
