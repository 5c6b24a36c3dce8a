"""The other daemons as heartbeats and digests tell of them.

Inside a data centre each daemon tells all others. Between data centres only reporters
talk, and hand on what they hear: the traffic that is paid for grows with the number of
data centres, and a daemon's own work with the size of its data centre.
"""

from typing import NamedTuple

from cowslipcourse.peers.load import PeerLoad
from cowslipcourse.peers.messages import Digest, Heartbeat
from cowslipcourse.peers.pace import (
    digest_interval_s,
    heartbeat_interval_s,
    liveness_timeout_s,
    routable_timeout_s,
)

__all__ = ["PeerRegistry", "registration_order"]

SINGLE_REPORTER_DAEMONS = 8
"""Daemons beyond which a data centre has two reporters: more depend on them."""
REPORTER_TIMEOUT_S = 0.6
"""Silence of a first reporter, which speaks four times a second, after which the second
one speaks for the data centre."""


class _Received(NamedTuple):
    message: Heartbeat | Digest
    at: float


def _daemon_key(name):
    """Return the key of what a daemon of the own data centre has in flight."""
    return "daemon", name


def _subtract(in_flight, own):
    """Return counts of requests in flight without a daemon's own."""
    left = {target: n - own.get(target, 0) for target, n in in_flight.items()}
    return {target: number for target, number in left.items() if number > 0}


def _data_centre_key(data_centre):
    """Return the key of what a whole data centre has in flight."""
    return "data centre", data_centre


def registration_order(member):
    """Return the key by which those that registered first come first."""
    return member.registration_version, member.name


class PeerRegistry:
    """Newest heartbeats and digests, and decisions that rest on them.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param data_centre: this daemon's own.
    """

    def __init__(self, settings, data_centre):
        self._settings = settings
        self._data_centre = data_centre
        self._heartbeats = {}
        self._digests = {}
        self._content_by_data_centre = {}
        self._addresses = {}
        self._own_in_flight = {}
        self._load = PeerLoad()

    @property
    def in_flight(self):
        """Requests of the other daemons in flight by target id; stays up to date."""
        return self._load.total

    def add_address(self, address, data_centre, now):
        """Add an address known from elsewhere; it expires like any other."""
        self._addresses.setdefault(address, (data_centre, now))

    def is_unknown(self, member):
        """Whether no heartbeat of this run of a daemon has been received."""
        known = self._heartbeats.get(member.name)
        return known is None or known.message.member.incarnation != member.incarnation

    def record_heartbeat(self, heartbeat, now):
        """Take in a heartbeat; return whether it is newer than what was known."""
        member = heartbeat.member
        known = self._heartbeats.get(member.name)
        number = member.incarnation, heartbeat.sequence
        if known is not None:
            old = known.message
            last = old.member.incarnation, old.sequence
            if not self._is_newer(number, last, known.at, now):
                return False
        self._heartbeats[member.name] = _Received(heartbeat, now)
        self._addresses[member.peer_address] = (member.data_centre, now)
        if member.data_centre == self._data_centre and not self._has_local_digest(now):
            self._load.replace(_daemon_key(member.name), heartbeat.in_flight)
        return True

    def record_own_in_flight(self, in_flight):
        """Note what this daemon has told of itself: the next digests contain it."""
        self._own_in_flight = in_flight

    def record_digest(self, digest, now):
        """Take in a digest; return whether it is newer than what was known."""
        reporter = digest.reporter
        key = reporter.data_centre, reporter.name
        known = self._digests.get(key)
        number = reporter.incarnation, digest.sequence
        if known is not None:
            old = known.message
            last = old.reporter.incarnation, old.sequence
            if not self._is_newer(number, last, known.at, now):
                return False
        self._digests[key] = _Received(digest, now)
        self._addresses[reporter.peer_address] = (reporter.data_centre, now)
        if digest.in_flight is not None:
            self._record_content(digest, now)
        return True

    def _record_content(self, digest, now):
        """Take in what a data centre says of itself, whoever speaks for it."""
        data_centre = digest.reporter.data_centre
        if digest.members is None:
            known = self._content_by_data_centre.get(data_centre)
            if known is None and data_centre == self._data_centre:
                # It would say that no other daemon lives; heartbeats tell until then.
                return
            digest = digest._replace(members=known.message.members if known else ())
        self._content_by_data_centre[data_centre] = _Received(digest, now)
        for member in digest.members:
            self._addresses[member.peer_address] = (member.data_centre, now)
        in_flight = digest.in_flight
        if data_centre == self._data_centre:
            in_flight = _subtract(in_flight, self._own_in_flight)
        self._load.replace(_data_centre_key(data_centre), in_flight)

    def _has_local_digest(self, now):
        """Whether a reporter tells this daemon what the own data centre does."""
        received = self._content_by_data_centre.get(self._data_centre)
        return received is not None and now - received.at < self._settings.alive_s

    def expire(self, now):
        """Forget what daemons told that are gone."""
        self._forget_addresses(now)
        remote = {
            _data_centre_key(digest.reporter.data_centre)
            for digest in self.remote_digests(now)
        }
        if self._has_local_digest(now):
            self._load.retain(remote | {_data_centre_key(self._data_centre)})
            return
        local = {
            _daemon_key(h.member.name): h.in_flight for h in self.local_heartbeats(now)
        }
        for name in local.keys() - self._load.senders:
            # Until now a digest told it with that of all others.
            self._load.replace(name, local[name])
        self._load.retain(local.keys() | remote)

    def heartbeat_interval_s(self, is_reporter, now):
        """Return the seconds until this daemon's next heartbeat."""
        number = len(self.local_heartbeats(now)) + 1
        return heartbeat_interval_s(self._settings, number, is_reporter)

    def digest_interval_s(self, now):
        """Return the seconds between digests that say what this data centre does."""
        return digest_interval_s(self._settings, len(self.local_heartbeats(now)) + 1)

    def _is_newer(self, number, last, heard_at, now):
        """Whether a message comes after the last one of its sender.

        Incarnations are times of day, which may jump back: after a silence that is
        longer than any datagram travels, whatever comes is new.
        """
        return number > last or now - heard_at >= self._settings.alive_s

    def local_heartbeats(self, now):
        """Return the heartbeats of the daemons of the own data centre that live."""
        return self._received_within(liveness_timeout_s, now)

    def routable_heartbeats(self, now):
        """Return the heartbeats of those near daemons that callers may be sent to."""
        return self._received_within(routable_timeout_s, now)

    def _received_within(self, timeout_s, now):
        """Return the near heartbeats whose silence is shorter than a limit.

        :param timeout_s: function of the settings and a heartbeat.
        """
        return [
            received.message
            for received in self._heartbeats.values()
            if received.message.member.data_centre == self._data_centre
            and now - received.at < timeout_s(self._settings, received.message)
        ]

    def is_large(self, now):
        """Whether the data centre is so large that a reporter tells it of all."""
        return len(self.local_heartbeats(now)) + 1 > SINGLE_REPORTER_DAEMONS

    def reporter_addresses(self, own, now):
        """Return the addresses of the other daemons that report for the data centre.

        :param own: this daemon's own :class:`~cowslipcourse.peers.Heartbeat`.
        """
        names = self.reporters(own, now)
        return [
            self._heartbeats[name].message.member.peer_address
            for name in names
            if name != own.member.name
        ]

    def remote_digests(self, now):
        """Return what each other data centre says of itself, if that is fresh."""
        return [
            received.message
            for data_centre, received in self._content_by_data_centre.items()
            if data_centre != self._data_centre
            and now - received.at < self._settings.alive_s
        ]

    def _recent_digests(self, now):
        """Return the recent digests of every reporter of other data centres."""
        return [
            received
            for received in self._digests.values()
            if now - received.at < self._settings.alive_s
        ]

    def local_addresses(self, now):
        """Return the addresses of the daemons of the own data centre."""
        self._forget_addresses(now)
        return [
            address
            for address, (data_centre, _) in self._addresses.items()
            if data_centre == self._data_centre
        ]

    def all_addresses(self, now):
        """Return the addresses of all other daemons that are known."""
        self._forget_addresses(now)
        return list(self._addresses)

    def alive_addresses(self, now):
        """Return the addresses of the other daemons that live, in all data centres."""
        members = [heartbeat.member for heartbeat in self.local_heartbeats(now)]
        members += [member for d in self.remote_digests(now) for member in d.members]
        return sorted({member.peer_address for member in members})

    def remote_addresses(self, now):
        """Return the addresses that a digest goes to: reporters elsewhere.

        For a data centre without a recent digest, the addresses of all its daemons.
        """
        self._forget_addresses(now)
        received = {}
        for digest in self._recent_digests(now):
            reporter = digest.message.reporter
            received.setdefault(reporter.data_centre, []).append(reporter.peer_address)
        found = [address for addresses in received.values() for address in addresses]
        found += [
            address
            for address, (data_centre, _) in self._addresses.items()
            if data_centre != self._data_centre and data_centre not in received
        ]
        return found

    def _forget_addresses(self, now):
        for address, (_, at) in list(self._addresses.items()):
            if now - at > self._settings.forget_s:
                del self._addresses[address]

    def reporters(self, own, now):
        """Return the names of the daemons that read the store for the data centre.

        They are those that registered first, of those alive that are fit.

        :param own: this daemon's own :class:`~cowslipcourse.peers.Heartbeat`.
        """
        local = [own, *self.local_heartbeats(now)]
        eligible = [
            h.member for h in local if h.member.registration_version and h.is_healthy
        ]
        eligible.sort(key=registration_order)
        number = 2 if len(local) > SINGLE_REPORTER_DAEMONS else 1
        return [member.name for member in eligible[:number]]

    def is_active_reporter(self, own, now):
        """Whether a daemon speaks for its data centre, and hands on what others say.

        It is the first reporter; the second one does so once the first is late.

        :param own: this daemon's own :class:`~cowslipcourse.peers.Heartbeat`.
        """
        for name in self.reporters(own, now):
            if name == own.member.name:
                return True
            if now - self._heartbeats[name].at < REPORTER_TIMEOUT_S:
                return False
        return False

    def first_reporter_by_data_centre(self, own, now):
        """Return the reporter of each data centre that registered first.

        :param own: this daemon's own :class:`~cowslipcourse.peers.Heartbeat`.
        :returns: :class:`Member` by data centre; none where no reporter is known.
        """
        first = self.reporters(own, now)[:1]
        eligible = [
            h.member
            for h in (own, *self.local_heartbeats(now))
            if h.member.name in first
        ]
        # A large data centre has two reporters, and either may have spoken last.
        eligible += [
            received.message.reporter
            for received in self._recent_digests(now)
            if received.message.reporter.data_centre != self._data_centre
        ]
        found = {}
        for member in sorted(eligible, key=registration_order):
            if member.registration_version:
                found.setdefault(member.data_centre, member)
        return found

    def ready_members(self, own_name, now):
        """Return the :class:`Member` list of daemons to which callers may be sent.

        :param own_name: name of this daemon, which is left out.
        """
        found = [heartbeat.member for heartbeat in self.routable_heartbeats(now)]
        if self._has_local_digest(now):
            # Its reporter hears each daemon four times a second, and this one rarely.
            members = self._content_by_data_centre[self._data_centre].message.members
            alive = {member.name for member in members}
            found = [member for member in found if member.name in alive]
        known = {member.name for member in found}
        for digest in self.remote_digests(now):
            found += [m for m in digest.members if m.name not in known]
        return [m for m in found if m.is_ready and m.name != own_name]

    def known_daemon_count(self, now):
        """Return the number of other daemons that live or did so lately.

        Who is cut off hears nobody, and the others still live.
        """
        self._forget_addresses(now)
        return len(self._addresses)

    def with_newer_configuration(self, version, now):
        """Return the :class:`Member` list of those with a newer configuration.

        Those of the own data centre, if there are any.

        :param version: version to compare with.
        """
        local = [
            h.member
            for h in self.local_heartbeats(now)
            if h.member.configuration_version > version
        ]
        if local:
            return local
        reporters = [digest.reporter for digest in self.remote_digests(now)]
        return [
            member for member in reporters if member.configuration_version > version
        ]
