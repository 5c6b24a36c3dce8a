"""The platform's list of targets as known here: encoded and decoded entries.

The list may contain entries of other writers. An entry that cannot be decoded names no
target. If its target is known from an earlier valid entry, the target is treated as
leaving until a valid entry arrives: it gets no new requests, running ones may finish,
and its group is repaired by an engine that is ready for it, if there is one.
"""

from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.platform import decode_entry
from cowslipcourse.ports import UNKNOWN_INCARNATION, began_later

__all__ = ["AddressHistory", "EntryChanges", "TargetList"]

MAX_REMEMBERED_INCARNATIONS = 10_000
"""Targets whose newest incarnation is remembered after their removal, about 2 MB: a
late entry of an earlier incarnation must not restore them."""
MAX_REMEMBERED_TARGETS = 10_000
"""Targets, and addresses, whose order is remembered after their removal, about 3 MB."""

log = get_logger(__name__)


class EntryChanges(NamedTuple):
    """Changes of the list.

    :param entries: changed :class:`~cowslipcourse.ports.TargetEntry`.
    :param gone: ids of removed targets.
    """

    entries: tuple
    gone: tuple[str, ...]


class TargetList:
    """Encoded and decoded entries by target id; each content is decoded once."""

    def __init__(self):
        self._contents = {}
        self._entries = {}
        self._incarnations = {}
        self._unreadable = {}

    @property
    def contents(self):
        """Encoded entries by target id, valid or not."""
        return self._contents

    @property
    def entries(self):
        """Usable entries by target id."""
        return self._entries

    def replace(self, contents):
        """Replace the whole list and return the :class:`EntryChanges`."""
        gone = tuple(target for target in self._contents if target not in contents)
        return self.apply(contents, gone)

    def apply(self, changed, gone):
        """Apply changes and return the :class:`EntryChanges`.

        :param changed: encoded entries by target id.
        :param gone: ids of removed entries.
        """
        entries = [
            self._apply_entry(target, content) for target, content in changed.items()
        ]
        for target in gone:
            self._remove(target)
        return EntryChanges(tuple(e for e in entries if e is not None), tuple(gone))

    def _apply_entry(self, target, content):
        """Apply one entry; return the resulting change, or ``None``."""
        if self._contents.get(target) == content:
            return None
        newest_incarnation = self._incarnations.get(target, UNKNOWN_INCARNATION)
        try:
            entry = decode_entry(target, content)
            if entry.incarnation == UNKNOWN_INCARNATION != newest_incarnation:
                raise MalformedResponse("the entry no longer tells its incarnation")
        except MalformedResponse as error:
            self._contents[target] = content
            return self._mark_leaving(target, content, error)
        if entry.incarnation < newest_incarnation:
            log.info("entry-outdated", id=target, incarnation=entry.incarnation)
            return None
        self._contents[target] = content
        self._unreadable.pop(target, None)
        self._remember_incarnation(entry)
        self._entries[target] = entry
        return entry

    def _mark_leaving(self, target, content, error):
        if self._unreadable.get(target) != content:
            self._unreadable[target] = content
            log.warning("entry-unreadable", id=target, why=error)
        known_entry = self._entries.get(target)
        if known_entry is None or known_entry.is_leaving:
            return None
        self._entries[target] = known_entry._replace(is_leaving=True)
        return self._entries[target]

    def _remember_incarnation(self, entry):
        self._incarnations.pop(entry.id, None)
        self._incarnations[entry.id] = entry.incarnation
        if len(self._incarnations) > MAX_REMEMBERED_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]

    def _remove(self, target):
        self._unreadable.pop(target, None)
        self._entries.pop(target, None)
        self._contents.pop(target, None)


class _Occupant(NamedTuple):
    target: str
    incarnation: int


class AddressHistory:
    """Records the targets of each address in the order in which they were first listed.

    A list that is older than one before may show a target that has ended again; it is
    no new one.
    """

    def __init__(self):
        self._seen = {}
        self._latest = {}

    def record(self, entry):
        """Record a :class:`~cowslipcourse.ports.TargetEntry` of the list."""
        occupant = _Occupant(entry.id, entry.incarnation)
        key = occupant, entry.address
        if key in self._seen:
            return
        self._seen[key] = None
        _limit(self._seen)
        latest = self._latest.pop(entry.address, occupant)
        is_earlier = began_later(latest.incarnation, occupant.incarnation)
        self._latest[entry.address] = latest if is_earlier else occupant
        _limit(self._latest)

    def is_taken_over(self, entry):
        """Whether a target has begun at the address of an entry after it.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry` that was listed.
        """
        latest = self._latest.get(entry.address)
        if latest is None:
            return False
        is_other = latest.target != entry.id
        return is_other or began_later(latest.incarnation, entry.incarnation)


def _limit(mapping):
    if len(mapping) > MAX_REMEMBERED_TARGETS:
        del mapping[next(iter(mapping))]
