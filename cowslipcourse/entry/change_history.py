"""When entries of the list changed, so that a peer is told only what is new."""

__all__ = ["ChangeHistory"]

MAX_REMEMBERED_GONE = 10_000
"""Dropped entries that are remembered, about 1 MB: a site of 1,200 targets that loses
all of them eight times. Who missed more reads the whole list."""


class ChangeHistory:
    """Store versions of the last change of each entry.

    What changed before the list was first read is not known, nor which entries went
    before those that are remembered.
    """

    def __init__(self):
        self._complete_from_version = None
        self._changed_at_version = {}
        self._gone_at_version = {}

    def record(self, version, changed, gone):
        """Note ids of entries that changed or went.

        :param version: store version up to which the list is complete now.
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
        """Whether an entry that is listed has changed after a version."""
        return self._changed_at_version.get(target, 0) > version

    def changes_since(self, version):
        """Return ids that changed and ids that went, or ``None`` if that is not known.

        Changes at the version itself are among them: entries that were held back after
        an outage go without a newer version.
        """
        if self._complete_from_version is None or version < self._complete_from_version:
            return None
        changed = [
            target for target, at in self._changed_at_version.items() if at >= version
        ]
        gone = [target for target, at in self._gone_at_version.items() if at >= version]
        return changed, gone
