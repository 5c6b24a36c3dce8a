"""Versions at which target entries changed, for incremental reads by peers."""

__all__ = ["ChangeHistory"]

MAX_REMEMBERED_GONE = 10_000
"""Removed entries that are remembered, about 1 MB: a site of 1,200 targets that loses
all of them eight times. A peer that missed more reads the whole list."""


class ChangeHistory:
    """Store version of the last change or removal of each entry.

    Changes before the first read of the list are unknown, and so are removals older
    than those that are remembered.
    """

    def __init__(self):
        self._complete_from_version = None
        self._changed_at_version = {}
        self._gone_at_version = {}

    def record(self, version, changed, gone):
        """Record the ids of entries that changed or were removed.

        :param version: store version up to which the list is complete.
        :param changed: ids of entries that changed.
        :param gone: ids of entries that were removed.
        """
        if self._complete_from_version is None:
            self._complete_from_version = version
        for target in changed:
            self._gone_at_version.pop(target, None)
            self._changed_at_version[target] = version
        for target in gone:
            self._changed_at_version.pop(target, None)
            self._gone_at_version.pop(target, None)
            self._gone_at_version[target] = version
        while len(self._gone_at_version) > MAX_REMEMBERED_GONE:
            oldest = next(iter(self._gone_at_version))
            self._complete_from_version = max(
                self._complete_from_version, self._gone_at_version.pop(oldest) + 1
            )

    def has_changed_since(self, target, version):
        """Whether a listed entry has changed after a store version."""
        return self._changed_at_version.get(target, 0) > version

    def changes_since(self, version):
        """Return ids of changed and of removed entries, or ``None`` if unknown.

        Changes at the version itself are included, because entries that were held back
        after an outage are removed without a newer version.
        """
        if self._complete_from_version is None or version < self._complete_from_version:
            return None
        changed = [
            target for target, at in self._changed_at_version.items() if at >= version
        ]
        gone = [target for target, at in self._gone_at_version.items() if at >= version]
        return changed, gone
