"""Acceptance of revisions: a revision is accepted once no older one can be served.

A daemon serves an older revision only while at least half of the members of *that*
revision confirm it, by answering without knowing a newer one. A process never goes back
to an older revision. So once more than half of the members of an old revision have
moved past it, or are gone, and the last answer that they gave before has expired,
nobody can ever serve it again. A revision is accepted when that holds for every older
revision since the last accepted one.
"""

from cowslipcourse.membership.members import Revision

__all__ = ["AcceptanceRule"]

MAX_CANDIDATE_REVISIONS = 50
"""Revisions, counted back from the newest, that are considered for acceptance."""


class AcceptanceRule:
    """Decides which revisions are accepted.

    :param times: :class:`~cowslipcourse.membership.MembershipTimes`
    :param contacts: :class:`~cowslipcourse.membership.Contacts`
    """

    def __init__(self, times, contacts):
        self._times = times
        self._contacts = contacts

    def members_behind(self, revision):
        """Return the names of members not known to run a revision.

        :param revision: :class:`~cowslipcourse.membership.Revision`
        """
        number = revision.number
        return sorted(
            member.name
            for member in revision.members.values()
            if self._contacts.moved_past_at(member.incarnation, number - 1) is None
        )

    def newest_accepted(self, revision: Revision, last_accepted, now):
        """Return the number of the newest revision before which none can be served.

        A change of members while an edit waits does not restart its wait.

        :param revision: newest revision.
        :param last_accepted: number of the last accepted revision.
        :param now: loop time.
        """
        oldest = max(last_accepted, revision.number - MAX_CANDIDATE_REVISIONS)
        for number in range(revision.number, oldest, -1):
            if self._is_accepted(number, revision, last_accepted, now):
                return number
        return last_accepted

    def _is_accepted(self, number, revision, last_accepted, now):
        """Return whether no revision before the given number can be served."""
        next_first_numbers = [
            later_list.first_revision_number for later_list in revision.lists[1:]
        ]
        for member_list, next_first in zip(
            revision.lists, [*next_first_numbers, number], strict=True
        ):
            newest_with_list = min(next_first, number) - 1
            if newest_with_list < max(member_list.first_revision_number, last_accepted):
                continue
            if not self._cannot_be_served(
                member_list.identities, newest_with_list, revision, now
            ):
                return False
        return True

    def _cannot_be_served(self, identities, number, revision, now):
        """Return whether nobody can serve a revision with these members."""
        moved_past_times = [
            self._contacts.moved_past_at(incarnation, number)
            for incarnation, _ in identities.values()
        ]
        if all(since is not None for since in moved_past_times):
            return True
        moved_before = now - self._times.eviction_s
        moved_past_count = sum(
            self._has_moved_past(identity, number, revision, moved_before)
            for identity in identities.values()
        )
        return 2 * moved_past_count > len(identities)

    def _has_moved_past(self, identity, number, revision, moved_before):
        """Return whether an incarnation, by a time, had passed a revision or was gone.

        An incarnation is gone if another one answers at its address: two processes
        cannot both be reached there.

        :param moved_before: loop time.
        """
        incarnation, address = identity
        since = self._contacts.moved_past_at(incarnation, number)
        if since is not None and since <= moved_before:
            return True
        for member in revision.members.values():
            if member.peer_address != address or member.incarnation == incarnation:
                continue
            since = self._contacts.moved_past_at(member.incarnation, number)
            if since is not None and since <= moved_before:
                return True
        return False
