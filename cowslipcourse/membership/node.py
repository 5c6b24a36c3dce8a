"""State machine of one daemon's membership, without sockets, tasks or a clock.

:class:`~cowslipcourse.daemon.Agent` runs it over the network; tests run many of them
over a simulated network.
"""

from cowslipcourse.membership.acceptance import AcceptanceRule
from cowslipcourse.membership.contacts import Contact, Contacts
from cowslipcourse.membership.messages import Heartbeat, HeartbeatAnswer
from cowslipcourse.membership.records import RecordStore
from cowslipcourse.membership.serving import ServingRule

__all__ = ["MembershipNode"]


class MembershipNode:
    """Membership state and rules of one incarnation of a daemon.

    :param member: this daemon, :class:`~cowslipcourse.membership.Member`.
    :param times: :class:`~cowslipcourse.membership.MembershipTimes`
    :param record_keep_s: seconds after which a record that has not been renewed is
        dropped.
    """

    def __init__(self, member, times, record_keep_s=30.0):
        self._member = member
        self._times = times
        self._contacts = Contacts(2 * times.eviction_s)
        self._serving_rule = ServingRule(member, times, self._contacts)
        self._acceptance_rule = AcceptanceRule(times, self._contacts)
        self._records = RecordStore(record_keep_s)
        self._record_positions = {}

    @property
    def member(self):
        """This daemon, :class:`~cowslipcourse.membership.Member`."""
        return self._member

    @property
    def times(self):
        """:class:`~cowslipcourse.membership.MembershipTimes`"""
        return self._times

    @property
    def contacts(self):
        """:class:`~cowslipcourse.membership.Contacts`"""
        return self._contacts

    @property
    def records(self):
        """:class:`~cowslipcourse.membership.RecordStore`"""
        return self._records

    @property
    def revision(self):
        """The revision that this daemon runs, or ``None``."""
        return self._serving_rule.revision

    @property
    def revision_number(self):
        """Number of the revision that this daemon runs; 0 if it runs none."""
        return self.revision.number if self.revision else 0

    @property
    def peers(self):
        """The other members."""
        members = self.revision.members.values() if self.revision else ()
        return [member for member in members if member.name != self._member.name]

    @property
    def is_listed(self):
        """Whether the revision that this daemon runs lists this incarnation."""
        return self.revision is not None and self.revision.includes(self._member)

    def may_serve(self, now):
        """Return whether this daemon may accept new work."""
        return self._serving_rule.update(now)

    def silent_members(self, now):
        """Return the names of members that have not answered for ``eviction_s``."""
        return self._contacts.silent_members(self.peers, now, self._times.eviction_s)

    def silent_to_majority(self, now):
        """Return names of silent members that most responsive ones cannot reach either.

        This daemon counts as one of the responsive members.
        """
        own_silent = self.silent_members(now)
        silent_at_peers = [
            contact.silent
            for name in (self.revision.members if self.revision else ())
            if name not in own_silent
            and (contact := self._contacts.get(name)) is not None
            and now - contact.sent_at <= self._times.isolation_s
        ]
        voter_count = len(silent_at_peers) + 1
        return frozenset(
            name
            for name in own_silent
            if 2 * (1 + sum(name in silent for silent in silent_at_peers)) > voter_count
        )

    def members_behind(self):
        """Return the names of members not known to run the newest revision."""
        return (
            self._acceptance_rule.members_behind(self.revision) if self.revision else []
        )

    def newest_accepted(self, last_accepted, now):
        """Return the number of the newest accepted revision.

        :param last_accepted: number of the last revision known to be accepted.
        """
        if not self.may_serve(now):
            return last_accepted
        return self._acceptance_rule.newest_accepted(self.revision, last_accepted, now)

    def build_heartbeat(self, member, now):
        """Return the :class:`Heartbeat` to send to a member."""
        incarnation, position = self._record_positions.get(member.name, ("", 0))
        revision = self.revision
        return Heartbeat(
            name=self._member.name,
            incarnation=self._member.incarnation,
            revision=self.revision_number,
            configuration_number=revision.configuration_number if revision else 0,
            position_incarnation=incarnation,
            position=position,
            silent=self.silent_members(now),
        )

    def answer(self, heartbeat, now):
        """Return the :class:`HeartbeatAnswer`; the sender need not be a member."""
        may_serve = self.may_serve(now)
        revision = self.revision
        newer_revision = None
        if revision is not None and heartbeat.revision < revision.number:
            newer_revision = revision
            if heartbeat.configuration_number == revision.configuration_number:
                newer_revision = revision._replace(configuration=None)
        is_same_incarnation = heartbeat.position_incarnation == self._member.incarnation
        position = heartbeat.position if is_same_incarnation else 0
        origins = {self._member.name, *heartbeat.silent}
        records = tuple(
            record._replace(observed_at=now - record.observed_at)
            for record in self._records.since(position)
            if record.origin in origins
        )
        return HeartbeatAnswer(
            incarnation=self._member.incarnation,
            revision=self.revision_number,
            stopped=not may_serve,
            position=self._records.position,
            silent=self.silent_members(now),
            newer_revision=newer_revision,
            records=records,
        )

    def handle_heartbeat_answer(self, member, answer, sent_at, now):
        """Apply the answer to a heartbeat.

        :param member: member that the heartbeat was sent to.
        :param answer: :class:`HeartbeatAnswer`
        :param sent_at: loop time just before the heartbeat was sent.
        :returns: records that were new to this daemon; ``None`` if another incarnation
            answered.
        """
        # After a pause of the process, lost contact is detected before this answer
        # counts.
        self.may_serve(now)
        if answer.incarnation != member.incarnation:
            return None
        if answer.newer_revision is not None:
            self.apply(self._with_configuration(answer.newer_revision), now)
        contact = Contact(
            sent_at, answer.incarnation, answer.revision, answer.stopped, answer.silent
        )
        self._contacts.record_answer(member.name, contact, now)
        if not answer.stopped:
            self._serving_rule.record_peer_confirmation(answer.revision, now)
        self._record_positions[member.name] = (answer.incarnation, answer.position)
        new_records = []
        for record in answer.records:
            # Counting from before the heartbeat was sent never understates the age.
            local_record = record._replace(observed_at=sent_at - record.observed_at)
            if self._records.apply(local_record):
                new_records.append(local_record)
        return new_records

    def handle_table_revision(self, revision, sent_at, now):
        """Apply the newest revision read from the table.

        :param revision: :class:`~cowslipcourse.membership.Revision`
        :param sent_at: loop time just before the read was sent.
        """
        self.may_serve(now)
        self.apply(revision, now)
        self._serving_rule.record_table_confirmation(revision.number, sent_at, now)

    def apply(self, revision, now):
        """Switch to a revision if it is newer; return whether it was.

        :param revision: :class:`~cowslipcourse.membership.Revision` or ``None``.
        """
        if revision is None or not self._serving_rule.apply(revision, now):
            return False
        self._contacts.record_revision(self._member.incarnation, revision.number, now)
        return True

    def _with_configuration(self, revision):
        """Return a peer's revision with its configuration, or ``None`` if unknown."""
        if revision.configuration is not None:
            return revision
        current = self.revision
        if (
            current is None
            or current.configuration_number != revision.configuration_number
        ):
            return None
        return revision._replace(configuration=current.configuration)
