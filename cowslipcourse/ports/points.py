"""Points in the history of the platform's store.

The store may come back from a copy that is some seconds old. It counts that as a new
era, in which it gives versions out again. A point is an era and a version in one
number: points are in the order in which they came to be, and none comes twice.
"""

__all__ = ["era_of", "pack_version", "unpack_version"]

ERA_SHIFT = 40
"""Bits of a version: a thousand writes a second for 34 years."""
_VERSIONS = (1 << ERA_SHIFT) - 1


def pack_version(era, version):
    """Return the point of a version.

    :param era: number of the store's era; 0 as long as it tells none.
    :param version: version that the store gave out in it.
    """
    return era << ERA_SHIFT | version


def era_of(point):
    """Return the era of a point."""
    return point >> ERA_SHIFT


def unpack_version(point):
    """Return the version that the store knows a point by."""
    return point & _VERSIONS
