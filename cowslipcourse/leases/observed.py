"""A taker's view of somebody else's lease."""

from typing import NamedTuple

from cowslipcourse.leases.held import LeaseTerms

__all__ = ["ObservedLease"]


class ObservedLease(NamedTuple):
    """What a process saw of a lease that it does not hold.

    A taker cannot know when the holder renewed, only that the row has not changed
    since the taker first read it. It therefore waits the whole term from then.

    :param row_versions: row versions that change with each holder and each renewal.
    :param unchanged_since: loop time of the answer that first showed ``row_versions``.
    :param terms: :class:`LeaseTerms`
    """

    row_versions: tuple[int, int]
    unchanged_since: float
    terms: LeaseTerms

    def observed(self, row_versions, now):
        """Return the view after another read.

        :param row_versions: row versions read.
        :param now: loop time after the read was answered.
        """
        if row_versions == self.row_versions:
            return self
        return ObservedLease(row_versions, now, self.terms)

    def may_acquire(self, now):
        """Return whether the lease has lapsed for certain."""
        waited = now - self.unchanged_since
        return waited > self.terms.term_s + self.terms.margin_s
