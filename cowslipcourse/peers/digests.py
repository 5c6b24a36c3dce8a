"""What a reporter tells of its data centre, and when.

One daemon speaks for a data centre. In a large one it also tells its own daemons, four
times a second, what all of them have in flight and which of them live: heartbeats from
each to each come only every 1.2 s there, by when most requests that they tell of have
ended, and callers would be sent to a daemon that is gone for 3 s.
"""

from cowslipcourse.peers.messages import Digest

__all__ = ["DigestWriter"]

MEMBER_LIST_INTERVAL_S = 2.0
"""Interval at which digests list all members although none has changed: a datagram may
be lost, two in a hundred on a bad link. The members are most of a digest, which goes to
every daemon, and bytes between data centres are paid for."""


class DigestWriter:
    """Writes the digests of a daemon.

    :param settings: :class:`~cowslipcourse.entry.settings.PeerSettings`
    :param registry: :class:`~cowslipcourse.peers.PeerRegistry`
    """

    def __init__(self, settings, registry):
        self._settings = settings
        self._registry = registry
        self._sequence = 0
        self._local_members = _MemberListTracker()
        self._remote_members = _MemberListTracker()
        self._last_content_at = None
        self._reported_suspects = set()

    def build_local_digest(self, own, now):
        """Return the digest for the own data centre, or ``None`` if it needs none.

        :param own: this daemon's own :class:`~cowslipcourse.peers.Heartbeat`.
        :param now: loop time.
        """
        if not self._registry.is_large(now) or not self._registry.is_active_reporter(
            own, now
        ):
            return None
        return self._content(own, now, self._local_members)

    def build_remote_digest(self, own, now):
        """Return the digest for reporters elsewhere: content, or that this one lives.

        When both reporters told everything, four times a second and uncompressed, a
        link that handed that on to 38 daemons carried 1.9 MB/s of it.
        """
        if self._registry.is_active_reporter(own, now) and self._is_due(own, now):
            return self._content(own, now, self._remote_members)
        self._sequence += 1
        return Digest(own.member, self._sequence, None, None, {})

    def _is_due(self, own, now):
        """Whether it is time for content, or a suspicion is to be told at once."""
        suspects = set(own.suspects)
        for heartbeat in self._registry.local_heartbeats(now):
            suspects |= set(heartbeat.suspects)
        has_new_suspects = not suspects <= self._reported_suspects
        self._reported_suspects = suspects
        content_age_s = (
            None if self._last_content_at is None else now - self._last_content_at
        )
        # Digests go with heartbeats, so the next chance is one interval later.
        margin_s = self._settings.interval_s / 2
        if not has_new_suspects and content_age_s is not None:
            if content_age_s < self._registry.digest_interval_s(now) - margin_s:
                return False
        self._last_content_at = now
        return True

    def _content(self, own, now, member_tracker):
        self._sequence += 1
        local = [own, *self._registry.routable_heartbeats(now)]
        in_flight, suspects = {}, {}
        for heartbeat in local:
            suspects |= heartbeat.suspects
            for target, number in heartbeat.in_flight.items():
                in_flight[target] = in_flight.get(target, 0) + number
        members = tuple(heartbeat.member for heartbeat in local)
        changed = member_tracker.changed_members(members, now)
        return Digest(own.member, self._sequence, changed, in_flight, suspects)


class _MemberListTracker:
    """The members that were listed last, and when."""

    def __init__(self):
        self._members = ()
        self._listed_at = None

    def changed_members(self, members, now):
        """Return the members, or ``None`` if they were listed a moment ago."""
        is_recent = (
            self._listed_at is not None
            and now - self._listed_at < MEMBER_LIST_INTERVAL_S
        )
        if members == self._members and is_recent:
            return None
        self._members, self._listed_at = members, now
        return members
