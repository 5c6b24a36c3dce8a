"""State of peers as known from answered heartbeats."""

from typing import NamedTuple

__all__ = ["Contact", "Contacts"]

MAX_TRACKED_INCARNATIONS = 4096
"""Incarnations of daemons whose revisions are remembered."""


class Contact(NamedTuple):
    """The newest answered heartbeat to one peer.

    :param sent_at: loop time just before the heartbeat was sent.
    :param incarnation: incarnation of the peer that answered.
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
    """Newest contact by peer name, and the revisions that each incarnation has reached.

    :param memory_s: seconds for which the time of a change to a newer revision is kept;
        after that it is only known to be at least that long ago.
    """

    def __init__(self, memory_s):
        self._memory_s = memory_s
        self._contacts = {}
        self._steps = {}
        self._expected_since = {}

    def record_answer(self, name, contact, now):
        """Record an answered heartbeat.

        :param name: peer name.
        :param contact: :class:`Contact`
        :param now: loop time at which the answer is recorded.
        """
        self.record_revision(contact.incarnation, contact.revision, now)
        known = self._contacts.get(name)
        if known is None or known.sent_at <= contact.sent_at:
            self._contacts[name] = contact

    def record_revision(self, incarnation, revision, now):
        """Record that an incarnation has reached a revision; it never goes back.

        :param incarnation: incarnation of the daemon.
        :param revision: revision number.
        :param now: loop time.
        """
        steps = self._steps.setdefault(incarnation, [])
        if steps and steps[-1][0] >= revision:
            return
        steps.append((revision, now))
        while len(steps) > 1 and steps[1][1] < now - self._memory_s:
            steps.pop(0)
        while len(self._steps) > MAX_TRACKED_INCARNATIONS:
            del self._steps[next(iter(self._steps))]

    def moved_past_at(self, incarnation, revision):
        """Return since when an incarnation is known to run a newer revision.

        :returns: loop time, or ``None`` if it is not known to run a newer one.
        """
        for number, since in self._steps.get(incarnation, ()):
            if number > revision:
                return since
        return None

    def get(self, name):
        """Return the newest contact with a peer, or ``None``."""
        return self._contacts.get(name)

    def confirms_revision(self, member, revision, now, within_s):
        """Return whether a member confirms that a revision is the newest it knows.

        It does if it answered a heartbeat sent within the last ``within_s`` seconds,
        accepts work itself and knows no newer revision.
        """
        contact = self._contacts.get(member.name)
        if contact is None or contact.stopped or contact.revision > revision:
            return False
        if contact.incarnation != member.incarnation:
            return False
        return now - contact.sent_at <= within_s

    def silent_members(self, members, now, after_s):
        """Return the names of members that have not answered for ``after_s`` seconds.

        For a member that has never answered, the time counts from when it was listed.
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

    def set_members(self, members, now):
        """Set the current members; contacts with other daemons are dropped.

        :param members: iterable of :class:`~cowslipcourse.membership.Member`
        :param now: loop time.
        """
        runs = {(member.name, member.incarnation) for member in members}
        known = self._expected_since
        self._expected_since = {run: known.get(run, now) for run in runs}
        names_kept = {name for name, _ in runs}
        for name in set(self._contacts) - names_kept:
            del self._contacts[name]
