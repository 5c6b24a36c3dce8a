"""Records replicated between daemons; the newest record of a key wins.

A record carries a fencing token and a sequence number, so that any daemon can relay
it without coordination: a daemon that holds a newer one ignores it.
"""

from typing import NamedTuple

__all__ = ["Record", "RecordStore"]


class Record(NamedTuple):
    """A value replicated between daemons.

    :param key: key of the record, for example ``group/d1/g7``.
    :param fence: fencing token under which it was written.
    :param sequence: increases with each write under the same token.
    :param value: encoded value.
    :param observed_at: local loop time from which its age counts; in a heartbeat
        answer, its age in seconds.
    :param origin: name of the daemon that wrote it.
    """

    key: str
    fence: int
    sequence: int
    value: bytes
    observed_at: float
    origin: str


class RecordStore:
    """Newest record of each key, with a local position for incremental reads.

    :param retention_s: seconds after which a record that has not been renewed is
        dropped.
    """

    def __init__(self, retention_s):
        self._retention_s = retention_s
        self._records = {}
        self._position_by_key = {}
        self._position = 0

    @property
    def position(self):
        """Position of the last change, increased by each."""
        return self._position

    def __len__(self):
        return len(self._records)

    def apply(self, record):
        """Store a record if it is newer than the stored one of its key.

        :returns: whether it was newer.
        """
        current = self._records.get(record.key)
        version = (record.fence, record.sequence)
        if current is not None and version <= (current.fence, current.sequence):
            return False
        self._position += 1
        self._records[record.key] = record
        self._position_by_key.pop(record.key, None)
        self._position_by_key[record.key] = self._position
        return True

    def get(self, key):
        """Return the newest record of a key, or ``None``."""
        return self._records.get(key)

    def with_prefix(self, prefix):
        """Return the records whose key starts with a prefix."""
        return [r for key, r in self._records.items() if key.startswith(prefix)]

    def since(self, position):
        """Return records changed after a position, latest change first.

        :param position: a value of :attr:`position`; 0 for all records.
        """
        changed = []
        for key in reversed(self._position_by_key):
            if self._position_by_key[key] <= position:
                break
            changed.append(self._records[key])
        return changed

    def drop_expired(self, now):
        """Drop records that have not been renewed within the retention period."""
        for key, record in list(self._records.items()):
            if now - record.observed_at > self._retention_s:
                del self._records[key]
                del self._position_by_key[key]
