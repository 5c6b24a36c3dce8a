"""The holder's view of a lease."""

from typing import NamedTuple

__all__ = ["HeldLease", "LeaseTerms"]


class LeaseTerms(NamedTuple):
    """How long a lease lasts.

    :param term_s: seconds that a renewal is worth.
    :param margin_s: seconds that the holder stops early and a taker waits longer,
        which covers clocks that run at different rates.
    """

    term_s: float
    margin_s: float


class HeldLease(NamedTuple):
    """A lease that this process took.

    :param shard: what is leased.
    :param fence: fencing token; grows with every holder.
    :param renewed_at: loop time just before the last successful renewal was sent.
    :param terms: :class:`LeaseTerms`
    """

    shard: str
    fence: int
    renewed_at: float
    terms: LeaseTerms

    @property
    def valid_until(self):
        """Loop time after which the holder must not act any more."""
        return self.renewed_at + self.terms.term_s - self.terms.margin_s

    def is_valid(self, now):
        """Return whether the holder may act.

        :param now: loop time, read after the last await before acting.
        """
        return now < self.valid_until

    def renewed(self, sent_at):
        """Return the lease after a renewal.

        :param sent_at: loop time just before the renewal was sent.
        """
        return self._replace(renewed_at=sent_at)
