"""A lease of another process, as a process that may acquire it sees it."""

from typing import NamedTuple

from cowslipcourse.leases.held import LeaseTerms

__all__ = ["ObservedLease"]


class ObservedLease(NamedTuple):
    """What a process has read of a lease that it does not hold.

    A reader cannot know when the holder renewed, only that the row has not changed
    since it was first read. It therefore waits for the whole term from then on.

    :param row_versions: row versions that change with each holder and each renewal.
    :param unchanged_since: loop time of the answer that first showed ``row_versions``.
    :param terms: :class:`LeaseTerms`
    """

    row_versions: tuple[int, int]
    unchanged_since: float
    terms: LeaseTerms

    def observed(self, row_versions, now):
        """Return the observation updated by another read.

        :param row_versions: row versions read.
        :param now: loop time after the read was answered.
        """
        if row_versions == self.row_versions:
            return self
        return ObservedLease(row_versions, now, self.terms)

    def may_acquire(self, now):
        """Return whether the lease has expired for certain."""
        waited_s = now - self.unchanged_since
        return waited_s > self.terms.term_s + self.terms.margin_s
