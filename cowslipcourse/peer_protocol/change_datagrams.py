"""Splitting of target list changes into datagrams of bounded size."""

from cowslipcourse.peer_protocol.messages import TargetChanges

__all__ = ["split_changes"]

MAX_DATAGRAM_ENTRIES = 64
"""Entries in one datagram: 64 of 300 bytes are 20 KB, or 2 to 4 KB packed. When a site
starts, hundreds change within a quarter of a second."""


def split_changes(changes, versions):
    """Split :class:`TargetChanges` into a list of consecutive ones.

    Each but the last ends with the store version of its last entry, so a reader that
    has applied the first ones has all changes up to that version. Entries of one
    version stay together.

    :param changes: :class:`TargetChanges`
    :param versions: store version of each entry's change, by target id.
    """
    if len(versions) <= MAX_DATAGRAM_ENTRIES:
        return [changes]
    parts, base_version = [], changes.base_version
    for ids in _batches(versions):
        version = versions[ids[-1]]
        changed = {
            target: changes.changed[target]
            for target in ids
            if target in changes.changed
        }
        gone = tuple(target for target in ids if target in changes.gone)
        parts.append(TargetChanges(base_version, version, changed, gone))
        base_version = version
    parts[-1] = parts[-1]._replace(version=changes.version)
    return parts


def _batches(versions):
    """Yield lists of target ids in order of version, each version in one list."""
    ordered_ids = sorted(versions, key=versions.get)
    batch = []
    for target in ordered_ids:
        is_new_version = batch and versions[target] != versions[batch[-1]]
        if is_new_version and len(batch) >= MAX_DATAGRAM_ENTRIES:
            yield batch
            batch = []
        batch.append(target)
    yield batch
