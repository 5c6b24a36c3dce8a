"""State that daemons spread to each other, newest first to win.

A record carries a fencing token and a sequence number, so that a relay can pass
it on without agreement: whoever holds a newer one ignores it.
"""

from typing import NamedTuple

__all__ = ["Record", "RecordStore"]


class Record(NamedTuple):
    """One piece of spread state.

    :param key: for example ``group/d1/g7``.
    :param fence: fencing token under which it was written.
    :param sequence: grows with each write under the same token.
    :param value: encoded value.
    :param observed_at: local loop time from which its age counts.
    :param origin: daemon that wrote it.
    """

    key: str
    fence: int
    sequence: int
    value: bytes
    observed_at: float
    origin: str


class RecordStore:
    """Newest record by key, with a local log position for incremental reads.

    :param keep_s: seconds after which a record that is not renewed is dropped.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._records = {}
        self._positions = {}
        self._position = 0

    @property
    def position(self):
        """Position of the last change."""
        return self._position

    def __len__(self):
        return len(self._records)

    def apply(self, record):
        """Take a record in if it is newer than the one held.

        :returns: whether it was newer.
        """
        held = self._records.get(record.key)
        newer = (record.fence, record.sequence)
        if held is not None and newer <= (held.fence, held.sequence):
            return False
        self._position += 1
        self._records[record.key] = record
        self._positions.pop(record.key, None)
        self._positions[record.key] = self._position
        return True

    def get(self, key):
        """Return the newest record of a key, or ``None``."""
        return self._records.get(key)

    def with_prefix(self, prefix):
        """Return the records whose key starts with a prefix."""
        return [r for key, r in self._records.items() if key.startswith(prefix)]

    def since(self, position):
        """Return records changed after a position, newest change first.

        :param position: a value of :attr:`position`; 0 for everything.
        """
        changed = []
        for key in reversed(self._positions):
            if self._positions[key] <= position:
                break
            changed.append(self._records[key])
        return changed

    def drop_expired(self, now):
        """Drop records that were not renewed for a long time."""
        for key, record in list(self._records.items()):
            if now - record.observed_at > self._keep_s:
                del self._records[key]
                del self._positions[key]
