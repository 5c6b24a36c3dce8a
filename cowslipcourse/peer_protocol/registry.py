"""Registry of the other daemons, built from heartbeats and digests.

Within a data centre each daemon sends heartbeats to all others. Between data centres
only reporters exchange messages, and relay what they receive: billed traffic grows with
the number of data centres, and the work of a daemon with the size of its own.
"""

from typing import NamedTuple

from cowslipcourse.peer_protocol.intervals import (
    REPORTER_TIMEOUT_S,
    digest_interval_s,
    heartbeat_interval_s,
    liveness_timeout_s,
    reading_timeout_s,
    routable_timeout_s,
)
from cowslipcourse.peer_protocol.load import PeerLoad
from cowslipcourse.peer_protocol.messages import Digest, Heartbeat

__all__ = ["PeerRegistry", "registration_order"]

SINGLE_REPORTER_DAEMONS = 8
"""Daemons in a data centre beyond which it has two reporters: more depend on them."""
SETTLED_S = 2.5
"""Time for which a reporter must have been heard so that reads of the store succeed
where it is: a read that gets no answer ends sooner."""
RECENT_S = 3600.0
"""Time for which a daemon counts as recently heard: as long as partitions last."""


class _Received(NamedTuple):
    message: Heartbeat | Digest
    received_at: float


class _SteadyReporter(NamedTuple):
    """The first reporter of a data centre.

    :param order: its registration order.
    :param heard_at: loop time of its last digest.
    :param since: loop time since which no first reporter has been late.
    """

    order: tuple
    heard_at: float
    since: float


def _daemon_key(name):
    """Return the sender key for the load of a daemon of the own data centre."""
    return "daemon", name


def _subtract(in_flight, own_in_flight):
    """Return requests in flight by target id without a daemon's own."""
    remaining = {
        target: count - own_in_flight.get(target, 0)
        for target, count in in_flight.items()
    }
    return {target: left for target, left in remaining.items() if left > 0}


def _data_centre_key(data_centre):
    """Return the sender key for the load of a whole data centre."""
    return "data centre", data_centre


def _is_failing(heartbeat):
    """Whether a daemon that is not about to stop fails to read, or reach, something."""
    return heartbeat.member.is_ready and not heartbeat.is_healthy


def registration_order(member):
    """Return the sort key that puts the members that registered first in front."""
    return member.registration_version, member.name


def _names_by_registration(heartbeats):
    """Return the names of registered daemons, those that registered first in front."""
    members = [h.member for h in heartbeats if h.member.registration_version]
    return [member.name for member in sorted(members, key=registration_order)]


class PeerRegistry:
    """Newest heartbeats and digests of other daemons, and decisions based on them.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param data_centre: this daemon's own data centre.
    """

    def __init__(self, settings, data_centre):
        self._settings = settings
        self._data_centre = data_centre
        self._heartbeats = {}
        self._store_lost_at = 0.0
        self._digests_by_reporter = {}
        self._steady_reporters = {}
        self._content_digests = {}
        self._addresses = {}
        self._last_heard_at = {}
        self._own_in_flight = {}
        self._peer_load = PeerLoad()

    @property
    def in_flight(self):
        """Requests in flight of the other daemons by target id; a live mapping."""
        return self._peer_load.total

    @property
    def store_lost_at(self):
        """Loop time at which the last daemon was heard to begin to fail, or 0."""
        return self._store_lost_at

    def add_address(self, address, data_centre, now):
        """Add an address that no message has reported; it expires like any other."""
        self._addresses.setdefault(address, (data_centre, now))

    def _record_address(self, member, now):
        """Record the address of a daemon that is alive."""
        self._addresses[member.peer_address] = (member.data_centre, now)
        self._last_heard_at[member.peer_address] = now

    def is_unknown(self, member):
        """Whether no heartbeat of this incarnation of a daemon has been received."""
        known = self._heartbeats.get(member.name)
        return known is None or known.message.member.incarnation != member.incarnation

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat; return whether it is newer than the last one."""
        member = heartbeat.member
        known = self._heartbeats.get(member.name)
        order = member.incarnation, heartbeat.sequence
        if known is not None:
            last_message = known.message
            last_order = last_message.member.incarnation, last_message.sequence
            if not self._is_newer(order, last_order, known.received_at, now):
                return False
        self._record_health(heartbeat, known and known.message, now)
        self._heartbeats[member.name] = _Received(heartbeat, now)
        self._record_address(member, now)
        if member.data_centre == self._data_centre and not self._has_local_digest(now):
            self._peer_load.replace(_daemon_key(member.name), heartbeat.in_flight)
        return True

    def _record_health(self, heartbeat, last_heartbeat, now):
        was_failing = last_heartbeat is not None and _is_failing(last_heartbeat)
        if _is_failing(heartbeat) and not was_failing:
            self._store_lost_at = now

    def record_own_in_flight(self, in_flight):
        """Record the load that this daemon has sent; the next digests include it."""
        self._own_in_flight = in_flight

    def record_digest(self, digest, now):
        """Record a digest; return whether it is newer than the last one."""
        reporter = digest.reporter
        key = reporter.data_centre, reporter.name
        known = self._digests_by_reporter.get(key)
        order = reporter.incarnation, digest.sequence
        if known is not None:
            last_message = known.message
            last_order = last_message.reporter.incarnation, last_message.sequence
            if not self._is_newer(order, last_order, known.received_at, now):
                return False
        self._record_reporter(reporter, now)
        self._digests_by_reporter[key] = _Received(digest, now)
        self._record_address(reporter, now)
        if digest.in_flight is not None:
            self._record_content(digest, now)
        return True

    def _record_reporter(self, reporter, now):
        """Record since when a data centre has had a reporter that did not fail.

        One that registered earlier takes the role back, also while the other one is
        sound.
        """
        known = self._steady_reporters.get(reporter.data_centre)
        order = registration_order(reporter)
        is_late = known is not None and now - known.heard_at >= REPORTER_TIMEOUT_S
        if known is None or is_late:
            known = _SteadyReporter(order, now, now)
        elif order <= known.order:
            known = known._replace(order=order, heard_at=now)
        self._steady_reporters[reporter.data_centre] = known

    def _record_content(self, digest, now):
        """Record the content of a digest, whichever reporter has sent it."""
        data_centre = digest.reporter.data_centre
        if digest.members is None:
            known = self._content_digests.get(data_centre)
            if known is None and data_centre == self._data_centre:
                # It would show no other daemon alive; until a digest lists them,
                # heartbeats do.
                return
            digest = digest._replace(members=known.message.members if known else ())
        self._content_digests[data_centre] = _Received(digest, now)
        for member in digest.members:
            self._record_address(member, now)
        in_flight = digest.in_flight
        if data_centre == self._data_centre:
            in_flight = _subtract(in_flight, self._own_in_flight)
        self._peer_load.replace(_data_centre_key(data_centre), in_flight)

    def _has_local_digest(self, now):
        """Whether this daemon receives digests of its own data centre."""
        received = self._content_digests.get(self._data_centre)
        return (
            received is not None and now - received.received_at < self._settings.alive_s
        )

    def drop_expired(self, now):
        """Drop the addresses and the load of daemons that are gone."""
        self._drop_expired_addresses(now)
        remote_keys = {
            _data_centre_key(digest.reporter.data_centre)
            for digest in self.remote_digests(now)
        }
        if self._has_local_digest(now):
            self._peer_load.retain(remote_keys | {_data_centre_key(self._data_centre)})
            return
        local_loads = {
            _daemon_key(h.member.name): h.in_flight for h in self.local_heartbeats(now)
        }
        for key in local_loads.keys() - self._peer_load.senders:
            # Until now a digest included its load.
            self._peer_load.replace(key, local_loads[key])
        self._peer_load.retain(local_loads.keys() | remote_keys)

    def heartbeat_interval_s(self, is_reporter, now):
        """Return the seconds until this daemon's next heartbeat."""
        daemon_count = len(self.local_heartbeats(now)) + 1
        return heartbeat_interval_s(self._settings, daemon_count, is_reporter)

    def digest_interval_s(self, now):
        """Return the seconds between digests with the load of this data centre."""
        return digest_interval_s(self._settings, len(self.local_heartbeats(now)) + 1)

    def _is_newer(self, order, last_order, last_received_at, now):
        """Whether a message is newer than the last one of its sender.

        Incarnations are times of day, which may jump back: after a silence longer than
        any datagram is in transit, every message counts as newer.

        :param order: ``(incarnation, sequence)`` of the message.
        :param last_order: that of the last message.
        :param last_received_at: loop time at which the last message was received.
        """
        return order > last_order or now - last_received_at >= self._settings.alive_s

    def local_heartbeats(self, now):
        """Return the heartbeats of local daemons that are alive."""
        return self._received_within(liveness_timeout_s, now)

    def routable_heartbeats(self, now):
        """Return the heartbeats of local daemons that callers may be sent to."""
        return self._received_within(routable_timeout_s, now)

    def _received_within(self, timeout_s, now):
        """Return the last heartbeats of local daemons, except timed-out ones.

        :param timeout_s: function that returns the timeout from the settings and a
            heartbeat.
        """
        return [
            received.message
            for received in self._heartbeats.values()
            if received.message.member.data_centre == self._data_centre
            and now - received.received_at < timeout_s(self._settings, received.message)
        ]

    def is_large(self, now):
        """Whether the data centre is so large that a reporter sends it digests."""
        return len(self.local_heartbeats(now)) + 1 > SINGLE_REPORTER_DAEMONS

    def reporter_addresses(self, own_heartbeat, now):
        """Return the addresses of the other reporters of the own data centre.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        """
        names = self.reporter_names(own_heartbeat, now)
        return [
            self._heartbeats[name].message.member.peer_address
            for name in names
            if name != own_heartbeat.member.name
        ]

    def remote_digests(self, now):
        """Return the newest digest content of each other data centre, if recent."""
        return [
            received.message
            for data_centre, received in self._content_digests.items()
            if data_centre != self._data_centre
            and now - received.received_at < self._settings.alive_s
        ]

    def _recent_digests(self, now):
        """Return the recent digests of every reporter of other data centres."""
        return [
            received
            for received in self._digests_by_reporter.values()
            if now - received.received_at < self._settings.alive_s
        ]

    def local_addresses(self, now):
        """Return the known addresses of daemons of the own data centre."""
        self._drop_expired_addresses(now)
        return [
            address
            for address, (data_centre, _) in self._addresses.items()
            if data_centre == self._data_centre
        ]

    def all_addresses(self, now):
        """Return the addresses of all known other daemons."""
        self._drop_expired_addresses(now)
        return list(self._addresses)

    def alive_addresses(self, now):
        """Return the addresses of other daemons that are alive, in all data centres."""
        members = [heartbeat.member for heartbeat in self.local_heartbeats(now)]
        members += [member for d in self.remote_digests(now) for member in d.members]
        return sorted({member.peer_address for member in members})

    def ready_by_data_centre(self, own_member, now):
        """Return the addresses of ready daemons, by data centre.

        :param own_member: this daemon's own :class:`Member`, included if ready.
        :returns: mapping of data centres to frozen sets of ``ip:port``.
        """
        if self._has_local_digest(now):
            members = self._content_digests[self._data_centre].message.members
        else:
            members = [h.member for h in self.local_heartbeats(now)]
        others = [m for m in members if m.name != own_member.name]
        for digest in self.remote_digests(now):
            others += digest.members
        by_data_centre = {}
        for member in (own_member, *others):
            if member.is_ready:
                addresses = by_data_centre.setdefault(member.data_centre, set())
                addresses.add(member.peer_address)
        return {name: frozenset(each) for name, each in by_data_centre.items()}

    def is_isolated(self, now):
        """Whether most daemons of the own data centre have been silent recently."""
        recent_count = sum(
            now - received.received_at < self._settings.forget_s
            for received in self._heartbeats.values()
            if received.message.member.data_centre == self._data_centre
        )
        alive_count = len(self.local_heartbeats(now))
        return 2 * (alive_count + 1) < recent_count + 1

    def remote_addresses(self, now):
        """Return the addresses of the reporters of other data centres.

        For a data centre without a recent digest, the addresses of all its daemons.
        """
        self._drop_expired_addresses(now)
        reporters = {}
        for digest in self._recent_digests(now):
            reporter = digest.message.reporter
            reporters.setdefault(reporter.data_centre, []).append(reporter.peer_address)
        remote = [address for addresses in reporters.values() for address in addresses]
        remote += [
            address
            for address, (data_centre, _) in self._addresses.items()
            if data_centre != self._data_centre and data_centre not in reporters
        ]
        return remote

    def _drop_expired_addresses(self, now):
        for address, (_, seen_at) in list(self._addresses.items()):
            if now - seen_at > self._settings.forget_s:
                del self._addresses[address]

    def reporter_names(self, own_heartbeat, now):
        """Return the names of the daemons that read the store for the data centre.

        They are the first to have registered among those alive, registered and
        healthy.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        """
        local_heartbeats = [own_heartbeat, *self.local_heartbeats(now)]
        reporter_count = 2 if len(local_heartbeats) > SINGLE_REPORTER_DAEMONS else 1
        healthy = [h for h in local_heartbeats if h.is_healthy]
        return _names_by_registration(healthy)[:reporter_count]

    def reading_order(self, own_heartbeat, now):
        """Return the names of daemons that may read the store, the preferred one first.

        A daemon that is late may be lost and is left out.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        """
        punctual = [own_heartbeat, *self._received_within(reading_timeout_s, now)]
        return _names_by_registration([h for h in punctual if h.is_healthy])

    def registered_names(self, own_heartbeat, now):
        """Return the names of daemons that are alive, the first registered in front.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        """
        return _names_by_registration([own_heartbeat, *self.local_heartbeats(now)])

    def suggests_outage(self, now):
        """Whether others fail as they would in an outage of the store.

        A daemon that fails alone may be cut off itself.
        """
        failing_count = sum(map(_is_failing, self.local_heartbeats(now)))
        return failing_count > 1 or bool(failing_count and self._remote_data_centres)

    def hears_settled_reporter(self, now):
        """Whether the store answers elsewhere.

        It does where the first reporter has been heard for a while.
        """
        return any(
            now - known.heard_at < REPORTER_TIMEOUT_S and now - known.since >= SETTLED_S
            for name, known in self._steady_reporters.items()
            if name != self._data_centre
        )

    @property
    def _remote_data_centres(self):
        return self._content_digests.keys() - {self._data_centre}

    def is_active_reporter(self, own_heartbeat, now):
        """Whether a daemon sends the digests of its data centre, and relays others.

        It is the first reporter, or the second one once the first is late.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        """
        for name in self.reporter_names(own_heartbeat, now):
            if name == own_heartbeat.member.name:
                return True
            if now - self._heartbeats[name].received_at < REPORTER_TIMEOUT_S:
                return False
        return False

    def first_reporter_by_data_centre(self, own_heartbeat, now):
        """Return, for each data centre, the reporter that registered first.

        :param own_heartbeat: this daemon's own
            :class:`~cowslipcourse.peer_protocol.Heartbeat`.
        :returns: :class:`Member` by data centre, without those that have no known
            reporter.
        """
        first_names = self.reporter_names(own_heartbeat, now)[:1]
        eligible = [
            h.member
            for h in (own_heartbeat, *self.local_heartbeats(now))
            if h.member.name in first_names
        ]
        # A large data centre has two reporters, and either may have sent last.
        eligible += [
            received.message.reporter
            for received in self._recent_digests(now)
            if received.message.reporter.data_centre != self._data_centre
        ]
        first_by_data_centre = {}
        for member in sorted(eligible, key=registration_order):
            if member.registration_version:
                first_by_data_centre.setdefault(member.data_centre, member)
        return first_by_data_centre

    def ready_members(self, own_name, now):
        """Return the :class:`Member` list of daemons that callers may be sent to.

        :param own_name: name of this daemon, which is left out.
        """
        routable = [heartbeat.member for heartbeat in self.routable_heartbeats(now)]
        if self._has_local_digest(now):
            # Its reporter hears each daemon four times a second, this one less often.
            members = self._content_digests[self._data_centre].message.members
            alive_names = {member.name for member in members}
            routable = [member for member in routable if member.name in alive_names]
        local_names = {member.name for member in routable}
        for digest in self.remote_digests(now):
            routable += [m for m in digest.members if m.name not in local_names]
        return [m for m in routable if m.is_ready and m.name != own_name]

    def known_daemon_count(self, now):
        """Return the number of other daemons that are alive or were so recently.

        A daemon that is cut off hears from no other, although they are still alive.
        """
        self._drop_expired_addresses(now)
        return len(self._addresses)

    def recent_daemon_count(self, now):
        """Return the number of other daemons that are known, or were heard recently.

        A partition may outlast the time after which a daemon is forgotten.
        """
        for address, heard_at in list(self._last_heard_at.items()):
            if now - heard_at > RECENT_S:
                del self._last_heard_at[address]
        self._drop_expired_addresses(now)
        return len(self._last_heard_at.keys() | self._addresses.keys())

    def with_newer_configuration(self, version, now):
        """Return the :class:`Member` list of daemons with a newer configuration.

        It lists reporters of other data centres only if no local daemon has one.

        :param version: configuration version to compare with.
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
