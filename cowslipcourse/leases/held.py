"""A lease as its holder sees it."""

from typing import NamedTuple

__all__ = ["HeldLease", "LeaseTerms"]


class LeaseTerms(NamedTuple):
    """Durations of a lease.

    :param term_s: seconds for which a renewal is valid.
    :param margin_s: seconds by which the holder stops early and an acquirer waits
        longer, which covers clocks that run at different rates.
    """

    term_s: float
    margin_s: float


class HeldLease(NamedTuple):
    """A lease that this process holds.

    :param shard: name of the leased shard.
    :param fence: fencing token; increases with every holder.
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
