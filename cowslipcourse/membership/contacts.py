"""What a daemon knows of its peers from answered heartbeats."""

from typing import NamedTuple

__all__ = ["Contact", "Contacts"]


class Contact(NamedTuple):
    """The newest answered heartbeat to one peer.

    :param sent_at: loop time just before the heartbeat was sent.
    :param incarnation: the run of the peer that answered.
    :param revision: revision that the peer runs.
    :param stopped: whether the peer takes no new work.
    :param silent: names of members that the peer itself cannot reach.
    """

    sent_at: float
    incarnation: str
    revision: int
    stopped: bool
    silent: frozenset[str] = frozenset()


class Contacts:
    """Newest contact by peer name, and when each peer acknowledged a revision."""

    def __init__(self):
        self._contacts = {}
        self._acked = {}
        self._expected_since = {}

    def heard(self, name, contact, now):
        """Take in an answered heartbeat.

        :param name: peer name.
        :param contact: :class:`Contact`
        :param now: loop time when the answer was taken in.
        """
        known = self._contacts.get(name)
        if known is not None and known.sent_at > contact.sent_at:
            return
        acked = self._acked.get(name)
        restarted = known is not None and known.stopped
        changed = acked is None or acked[0] != contact.incarnation
        if changed or restarted or contact.revision > acked[1]:
            self._acked[name] = (contact.incarnation, contact.revision, now)
        self._contacts[name] = contact

    def get(self, name):
        """Return the newest contact with a peer, or ``None``."""
        return self._contacts.get(name)

    def acknowledged(self, member, revision):
        """Return when a member was first known to run a revision or a newer one.

        :param member: :class:`~cowslipcourse.membership.Member`
        :param revision: revision number.
        :returns: loop time, or ``None`` if it is not known to run it.
        """
        contact = self._contacts.get(member.name)
        if contact is None or contact.incarnation != member.incarnation:
            return None
        if contact.stopped or contact.revision < revision:
            return None
        return self._acked[member.name][2]

    def counted(self, member, revision, now, within_s):
        """Return whether a member vouches for a revision.

        It does if it answered a heartbeat that was sent lately, takes work itself
        and knows no newer revision.
        """
        contact = self._contacts.get(member.name)
        if contact is None or contact.stopped or contact.revision > revision:
            return False
        if contact.incarnation != member.incarnation:
            return False
        return now - contact.sent_at <= within_s

    def silent(self, members, now, after_s):
        """Return the names of members that have not answered for some time.

        A member that was never heard counts from when it was first expected.
        """
        names = set()
        for member in members:
            contact = self._contacts.get(member.name)
            same = contact is not None and contact.incarnation == member.incarnation
            since = self._expected_since.get((member.name, member.incarnation), now)
            heard_at = contact.sent_at if same else since
            if now - heard_at > after_s:
                names.add(member.name)
        return frozenset(names)

    def expect(self, members, now):
        """Take in who the members are; contacts with others are dropped.

        :param members: iterable of :class:`~cowslipcourse.membership.Member`
        :param now: loop time.
        """
        runs = {(member.name, member.incarnation) for member in members}
        known = self._expected_since
        self._expected_since = {run: known.get(run, now) for run in runs}
        names_kept = {name for name, _ in runs}
        for name in set(self._contacts) - names_kept:
            del self._contacts[name]
            self._acked.pop(name, None)
