"""Packed versions of the platform's store.

The store may be restored from a copy that is some seconds old. That starts a new era,
in which it assigns some versions a second time. A packed version holds era and version
in one number, so that packed versions are unique and ordered by time.
"""

__all__ = ["era_of", "pack_version", "unpack_version"]

VERSION_BITS = 40
"""Bits of a version: enough for 1000 writes per second over 34 years."""
_VERSION_MASK = (1 << VERSION_BITS) - 1


def pack_version(era, version):
    """Pack an era and a version into one number.

    :param era: number of the store's era; 0 as long as it has stated none.
    :param version: version that the store assigned in that era.
    """
    return era << VERSION_BITS | version


def era_of(packed_version):
    """Return the era of a packed version."""
    return packed_version >> VERSION_BITS


def unpack_version(packed_version):
    """Return the store's own version, without the era."""
    return packed_version & _VERSION_MASK
