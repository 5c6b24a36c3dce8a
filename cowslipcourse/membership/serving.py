"""Rule that decides whether a daemon may accept new work.

A partitioned daemon must stop before a revision that it has not seen can be reported as
accepted. It may serve while the table service, or at least half of the members that it
knows, confirm its revision.
"""

from typing import NamedTuple

__all__ = ["MembershipTimes", "ServingRule"]


class MembershipTimes(NamedTuple):
    """Times of the membership rules.

    :param heartbeat_s: seconds between heartbeats to a peer.
    :param isolation_s: seconds without contact after which a daemon accepts no new
        work.
    :param eviction_s: seconds of silence after which a member is evicted; longer
        than ``isolation_s`` plus margins.
    :param table_poll_s: seconds between reads of the newest revision.
    """

    heartbeat_s: float = 0.5
    isolation_s: float = 4.0
    eviction_s: float = 6.0
    table_poll_s: float = 1.0


class ServingRule:
    """Decides whether this daemon may serve; owns the stopped state.

    :param member: this daemon, :class:`~cowslipcourse.membership.Member`.
    :param times: :class:`MembershipTimes`
    :param contacts: :class:`~cowslipcourse.membership.Contacts`
    """

    def __init__(self, member, times, contacts):
        self._member = member
        self._times = times
        self._contacts = contacts
        self._revision = None
        self._table_contact_at = None
        self._stopped = True

    @property
    def stopped(self):
        """Whether the daemon accepts no new work, as of the last update."""
        return self._stopped

    @property
    def revision(self):
        """The revision that this daemon runs, or ``None``."""
        return self._revision

    def update(self, now):
        """Stop if contact was lost; called before any message is processed.

        :param now: loop time.
        :returns: whether the daemon may serve.
        """
        if not self._stopped and not self._in_contact(now):
            self._stopped = True
        return not self._stopped

    def apply(self, revision, now):
        """Switch to a revision if it is newer than the current one.

        :param revision: :class:`~cowslipcourse.membership.Revision`
        :param now: loop time.
        :returns: whether it was newer.
        """
        if self._revision is not None and revision.number <= self._revision.number:
            return False
        self._revision = revision
        self._contacts.set_members(revision.members.values(), now)
        if not revision.includes(self._member):
            self._stopped = True
        return True

    def record_table_confirmation(self, number, sent_at, now):
        """Record that a read of the newest revision number was answered.

        :param number: number of the newest revision in the table.
        :param sent_at: loop time just before the read was sent.
        :param now: loop time.
        """
        self.update(now)
        if not self._runs_at_least(number):
            return
        self._table_contact_at = sent_at
        if now - sent_at <= self._times.isolation_s:
            self._stopped = False

    def record_peer_confirmation(self, number, now):
        """Record that a serving peer knows no revision newer than this one.

        Contact with one peer resumes a stopped daemon only if at least half of the
        members then confirm its revision again.
        """
        self.update(now)
        if self._stopped and self._runs_at_least(number) and self._has_quorum(now):
            self._stopped = not self._in_contact(now)

    def _runs_at_least(self, number):
        current = self._revision
        if current is None or current.number < number:
            return False
        return current.includes(self._member)

    def _in_contact(self, now):
        table_contact_at = self._table_contact_at
        if (
            table_contact_at is not None
            and now - table_contact_at <= self._times.isolation_s
        ):
            return True
        return self._has_quorum(now)

    def _has_quorum(self, now):
        if self._revision is None or not self._revision.includes(self._member):
            return False
        members = self._revision.members.values()
        max_age_s = self._times.isolation_s
        confirming_count = 1 + sum(
            self._contacts.confirms_revision(
                member, self._revision.number, now, max_age_s
            )
            for member in members
            if member.name != self._member.name
        )
        return 2 * confirming_count >= len(members)
