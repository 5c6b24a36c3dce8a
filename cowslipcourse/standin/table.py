"""Emulated table service with rate limits and faults."""

import asyncio

__all__ = ["StoreDown", "Table", "TokenBucket"]


class StoreDown(Exception):
    """The emulated store refuses a call."""


class TokenBucket:
    """Rate limit.

    :param per_s: calls allowed per second, which is also the size of a burst.
    """

    def __init__(self, per_s):
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at = None

    def take(self, now):
        """Take one token and return whether there was one."""
        if self._refilled_at is not None:
            refilled_tokens = (now - self._refilled_at) * self._per_s
            self._tokens = min(self._per_s, self._tokens + refilled_tokens)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Table:
    """Versioned rows with transactions.

    Fault knobs: ``down``, ``slow_s``, ``lose_replies`` (number of further
    commits whose reply is lost after they have taken effect), ``cut_off`` (names of
    daemons whose calls are refused).
    """

    def __init__(self, settings):
        self._rows = {}
        self._version = 0
        self._reads = TokenBucket(settings.reads_per_s)
        self._writes = TokenBucket(settings.writes_per_s)
        self.faults = {"down": False, "slow_s": 0.0, "lose_replies": 0, "cut_off": []}
        self.counts = {"reads": 0, "commits": 0, "throttled": 0, "conflicts": 0}

    async def admit(self, daemon, write):
        """Apply faults and rate limits to a call.

        :raises StoreDown: the call is refused without effect.
        """
        if self.faults["slow_s"]:
            await asyncio.sleep(self.faults["slow_s"])
        if self.faults["down"] or daemon in self.faults["cut_off"]:
            raise StoreDown("down")
        bucket = self._writes if write else self._reads
        self.counts["commits" if write else "reads"] += 1
        if not bucket.take(asyncio.get_running_loop().time()):
            self.counts["throttled"] += 1
            raise StoreDown("throttled")

    def consume_reply_loss(self):
        """Return whether to lose the reply of the current commit, and count it."""
        if self.faults["lose_replies"] <= 0:
            return False
        self.faults["lose_replies"] -= 1
        return True

    def read(self, key):
        """Return ``{key, value, version}`` or ``None``."""
        row = self._rows.get(key)
        return row and {"key": key, "value": row[0], "version": row[1]}

    def scan(self, prefix):
        """Return the rows whose key starts with the prefix."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self.read(key) for key in keys]

    def commit(self, conditions, writes):
        """Apply a transaction.

        :returns: ``(version, conflicting keys)``, one of them empty.
        """
        conflicts = [
            key
            for key, version in conditions.items()
            if self._rows.get(key, (None, 0))[1] != version
        ]
        if conflicts:
            self.counts["conflicts"] += 1
            return 0, conflicts
        self._version += 1
        for key, value in writes.items():
            if value is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = (value, self._version)
        return self._version, []
