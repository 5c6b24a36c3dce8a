"""Heartbeats, digests and pushed changes between daemons over UDP."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedAnswer
from cowslipcourse.peers import (
    Digest,
    GroupNews,
    Heartbeat,
    TargetChanges,
    decode,
    encode,
)

__all__ = ["PeerLink"]

MOST_BYTES = 32_000
"""Longest datagram that is pushed; more is left to a read of the whole state."""
MEMBERS_AGAIN_S = 1.0
"""Interval at which digests list all members although none has changed: a datagram may
be lost. They are most of a digest, and bytes between data centres are paid for."""

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
    :param daemon: has ``heartbeat()``, ``heartbeat_interval_s()``, ``heard(message)``,
        ``take_news(news)`` and ``knowledge``.
    """

    def __init__(self, settings, registry, daemon):
        self._settings = settings
        self._registry = registry
        self._daemon = daemon
        self._transport = None
        self._digests = 0
        self._members = ()
        self._members_at = None
        self._spoke_at = None
        self._told_suspects = set()

    async def start(self):
        """Listen, and write to the seeds at first."""
        loop = asyncio.get_running_loop()
        host, port = self._settings.listen.peer.rsplit(":", 1)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._take), local_addr=(host, int(port))
        )
        for address in self._settings.peers.seeds:
            # Where a seed runs is learnt from its heartbeat; until then it is near.
            self._registry.add_address(address, self._settings.data_centre, loop.time())

    async def run(self):
        """Send heartbeats for ever, and digests while this daemon is a reporter."""
        while True:
            self.tell()
            await asyncio.sleep(self._daemon.heartbeat_interval_s())

    def tell(self):
        """Send one heartbeat, and a digest if this daemon is a reporter."""
        now = asyncio.get_running_loop().time()
        self._registry.expire(now)
        own = self._daemon.heartbeat()
        self._send(encode(own), self._registry.near_addresses(now))
        if own.member.name in self._registry.reporters(own, now):
            self._send_digest(own, now)

    def _send_digest(self, own, now):
        """Tell reporters elsewhere what the data centre does, or that this one lives.

        Only one speaks for a data centre. When both reporters did, four times a second
        and uncompressed, a link that handed that on to 38 daemons carried 3 MB/s of it.
        """
        self._digests += 1
        digest = Digest(own.member, self._digests, None, None, {})
        if self._registry.speaks(own, now) and self._is_due(own, now):
            digest = self._content(digest, own, now)
        self._send(encode(digest), self._registry.far_addresses(now))

    def _is_due(self, own, now):
        """Whether it is time for content, or a suspicion is to be told at once."""
        suspects = set(own.suspects)
        for heartbeat in self._registry.near(now):
            suspects |= set(heartbeat.suspects)
        is_news = not suspects <= self._told_suspects
        self._told_suspects = suspects
        spoke_s = None if self._spoke_at is None else now - self._spoke_at
        # Digests go with heartbeats, so the next chance is one interval later.
        margin_s = self._settings.peers.interval_s / 2
        if not is_news and spoke_s is not None:
            if spoke_s < self._registry.digest_s(now) - margin_s:
                return False
        self._spoke_at = now
        return True

    def tell_news(self, news):
        """Send a :class:`~cowslipcourse.peers.GroupNews` to all daemons, once.

        One that is lost costs what there is without news: the list tells it later.
        """
        now = asyncio.get_running_loop().time()
        self._send(encode(news), self._registry.all_addresses(now))

    def push(self, changes):
        """Send changes of targets to the own data centre."""
        content = encode(changes)
        if len(content) > MOST_BYTES:
            return
        now = asyncio.get_running_loop().time()
        self._send(content, self._registry.near_addresses(now))

    def stop(self):
        """Stop listening."""
        self._transport.close()

    def _content(self, digest, own, now):
        """Add to a digest what the daemons of the data centre say."""
        near = [own, *self._registry.near(now)]
        in_flight, suspects = {}, {}
        for heartbeat in near:
            suspects |= heartbeat.suspects
            for target, number in heartbeat.in_flight.items():
                in_flight[target] = in_flight.get(target, 0) + number
        members = tuple(heartbeat.member for heartbeat in near)
        return digest._replace(
            members=self._changed_members(members, now),
            in_flight=in_flight,
            suspects=suspects,
        )

    def _changed_members(self, members, now):
        """Return the members, or ``None`` if they were told a moment ago."""
        is_fresh = self._members_at is not None and (
            now - self._members_at < MEMBERS_AGAIN_S
        )
        if members == self._members and is_fresh:
            return None
        self._members, self._members_at = members, now
        return members

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
            self._daemon.knowledge.take_push(message)
        elif isinstance(message, GroupNews):
            self._daemon.take_news(message)
        elif isinstance(message, Heartbeat):
            if message.member.name != self._settings.name:
                self._take_heartbeat(message, now)
        elif self._registry.note_digest(message, now):
            self._hand_on(content, message, now)
            self._daemon.heard(message)

    def _take_heartbeat(self, heartbeat, now):
        """Take in a heartbeat, and answer the first one of a run with an own one.

        A daemon that has just started need not wait for the next one of each other:
        that takes over a second in a large data centre.
        """
        is_first = self._registry.is_unknown(heartbeat.member)
        if not self._registry.note_heartbeat(heartbeat, now):
            return
        if is_first:
            own = self._daemon.heartbeat()
            self._send(encode(own), [heartbeat.member.peer_address])
        self._daemon.heard(heartbeat)

    def _hand_on(self, content, digest, now):
        """Bring another data centre's digest to the own one, once."""
        is_near = digest.reporter.data_centre == self._settings.data_centre
        if is_near or digest.in_flight is None:
            return
        if self._registry.speaks(self._daemon.heartbeat(), now):
            self._send(content, self._registry.near_addresses(now))
