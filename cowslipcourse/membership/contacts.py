"""State of peers, as reported in answers to heartbeats."""

from typing import NamedTuple

__all__ = ["Contact", "Contacts"]

MAX_TRACKED_INCARNATIONS = 4096
"""Incarnations whose revision history is kept; the oldest are dropped first."""


class Contact(NamedTuple):
    """Newest answered heartbeat to a peer.

    :param sent_at: loop time just before the heartbeat was sent.
    :param incarnation: incarnation of the peer that answered.
    :param revision: number of the revision that the peer runs.
    :param stopped: whether the peer accepts no new work.
    :param silent: names of members that the peer cannot reach.
    """

    sent_at: float
    incarnation: str
    revision: int
    stopped: bool
    silent: frozenset[str] = frozenset()


class Contacts:
    """Newest contact by peer name, and the revisions that each incarnation has reached.

    :param history_s: seconds for which the time of a change to a newer revision is
        kept; after that it is only known to be at least that long ago.
    """

    def __init__(self, history_s):
        self._history_s = history_s
        self._contacts = {}
        self._revision_history = {}
        self._expected_since = {}

    def record_answer(self, name, contact, now):
        """Record an answered heartbeat.

        :param name: peer name.
        :param contact: :class:`Contact`
        :param now: loop time at which the answer is recorded.
        """
        self.record_revision(contact.incarnation, contact.revision, now)
        current = self._contacts.get(name)
        if current is None or current.sent_at <= contact.sent_at:
            self._contacts[name] = contact

    def record_revision(self, incarnation, revision_number, now):
        """Record that an incarnation has reached a revision; it never goes back.

        :param incarnation: incarnation of the daemon.
        :param revision_number: number of the revision.
        :param now: loop time.
        """
        history = self._revision_history.setdefault(incarnation, [])
        if history and history[-1][0] >= revision_number:
            return
        history.append((revision_number, now))
        while len(history) > 1 and history[1][1] < now - self._history_s:
            history.pop(0)
        while len(self._revision_history) > MAX_TRACKED_INCARNATIONS:
            del self._revision_history[next(iter(self._revision_history))]

    def moved_past_at(self, incarnation, revision_number):
        """Return when an incarnation is first known to have run a newer revision.

        :returns: loop time, or ``None`` if it is not known to run a newer one.
        """
        for number, since in self._revision_history.get(incarnation, ()):
            if number > revision_number:
                return since
        return None

    def get(self, name):
        """Return the newest contact with a peer, or ``None``."""
        return self._contacts.get(name)

    def confirms_revision(self, member, revision_number, now, max_age_s):
        """Return whether a member confirms that a revision is the newest it knows.

        It does if it answered a heartbeat sent within the last ``max_age_s`` seconds,
        accepts work itself and knows no newer revision.
        """
        contact = self._contacts.get(member.name)
        if contact is None or contact.stopped or contact.revision > revision_number:
            return False
        if contact.incarnation != member.incarnation:
            return False
        return now - contact.sent_at <= max_age_s

    def silent_members(self, members, now, silence_limit_s):
        """Return the names of members that have been silent for longer than a limit.

        For an incarnation that has never answered, the time counts from when it was
        listed.

        :param members: iterable of :class:`~cowslipcourse.membership.Member`
        :param now: loop time.
        :param silence_limit_s: seconds without an answer.
        """
        names = set()
        for member in members:
            contact = self._contacts.get(member.name)
            is_same_incarnation = (
                contact is not None and contact.incarnation == member.incarnation
            )
            listed_at = self._expected_since.get((member.name, member.incarnation), now)
            last_answer_at = contact.sent_at if is_same_incarnation else listed_at
            if now - last_answer_at > silence_limit_s:
                names.add(member.name)
        return frozenset(names)

    def set_members(self, members, now):
        """Set the current members; contacts with other daemons are dropped.

        :param members: iterable of :class:`~cowslipcourse.membership.Member`
        :param now: loop time.
        """
        incarnations = {(member.name, member.incarnation) for member in members}
        expected_since = self._expected_since
        self._expected_since = {
            key: expected_since.get(key, now) for key in incarnations
        }
        member_names = {name for name, _ in incarnations}
        for name in set(self._contacts) - member_names:
            del self._contacts[name]
