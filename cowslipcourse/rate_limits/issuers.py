"""Which daemon issues the permits of a rate-limited target."""

from bisect import bisect_right

import xxhash

__all__ = ["IssuerDirectory"]

POINTS_PER_DAEMON = 8
"""Positions of a daemon on the hash ring; more spread the targets more evenly."""


class IssuerDirectory:
    """Assigns each target to a daemon by consistent hashing.

    All daemons compute the same assignment from the same list of daemons, and a daemon
    that joins or leaves changes it only for targets that it gets or had. The issuer is
    in the target's own data centre if a daemon there is alive: requests travel to that
    data centre anyway.

    :param daemons: mapping of data centres to collections of daemon addresses.
    """

    def __init__(self, daemons=None):
        self._daemons = daemons or {}
        self._rings = {name: _ring(each) for name, each in self._daemons.items()}
        all_daemons = set().union(*self._daemons.values())
        self._whole_ring = _ring(all_daemons)

    @property
    def daemons(self):
        """Daemon addresses by data centre."""
        return self._daemons

    def issuer(self, instance, data_centre):
        """Return the address of the issuer for a target, or ``None`` without daemons.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param data_centre: data centre of the target.
        """
        ring = self._rings.get(data_centre) or self._whole_ring
        if not ring:
            return None
        position = _position(f"{instance.id}/{instance.incarnation}")
        index = bisect_right(ring, (position, ""))
        return ring[index % len(ring)][1]


def _ring(daemons):
    return sorted(
        (_position(f"{daemon}#{number}"), daemon)
        for daemon in daemons
        for number in range(POINTS_PER_DAEMON)
    )


def _position(text):
    return xxhash.xxh3_64_intdigest(text.encode())
