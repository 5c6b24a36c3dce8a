"""When a revision is in force everywhere."""

from typing import NamedTuple

__all__ = ["AcceptanceRule", "AcceptedList"]


class AcceptedList(NamedTuple):
    """The last accepted revision.

    :param number: its number.
    :param members: incarnation by daemon name at that revision.
    """

    number: int
    members: dict[str, str]


class AcceptanceRule:
    """Decides whether a revision may be called accepted.

    A cut-off daemon that still serves counts at least half of the members it knows.
    More than half of the members at the last accepted revision must have run the
    new one for the eviction time, so at least one of those that it counts has
    either told it or stopped counting.

    :param member: this daemon.
    :param times: :class:`~cowslipcourse.membership.MembershipTimes`
    :param contacts: :class:`~cowslipcourse.membership.Contacts`
    """

    def __init__(self, member, times, contacts):
        self._member = member
        self._times = times
        self._contacts = contacts

    def missing(self, revision):
        """Return the names of members not known to run a revision.

        :param revision: :class:`~cowslipcourse.membership.Revision`
        """
        return sorted(
            member.name
            for member in revision.members.values()
            if self._acked_at(member, revision.number) is None
        )

    def accepted(self, revision, last, own_since, now):
        """Return whether a revision is in force everywhere.

        :param revision: newest :class:`~cowslipcourse.membership.Revision`
        :param last: :class:`AcceptedList`
        :param own_since: loop time since when this daemon runs the revision.
        :param now: loop time.
        """
        if not revision.lists(self._member) or self.missing(revision):
            return False
        current = {name: item.incarnation for name, item in revision.members.items()}
        if current == last.members or not last.members:
            return True
        ripe_before = now - self._times.eviction_s
        groups = [last.members]
        if set(current.items()) - set(last.members.items()):
            groups.append(current)
        return all(
            self._majority(names, revision, own_since, ripe_before) for names in groups
        )

    def _acked_at(self, member, number):
        if member == self._member:
            return 0.0
        return self._contacts.acknowledged(member, number)

    def _majority(self, listed, revision, own_since, ripe_before):
        ripe = 0
        for name, incarnation in listed.items():
            member = revision.members.get(name)
            if member is None or member.incarnation != incarnation:
                continue
            if member == self._member:
                at = own_since
            else:
                at = self._contacts.acknowledged(member, revision.number)
            ripe += at is not None and at <= ripe_before
        return 2 * ripe > len(listed)
