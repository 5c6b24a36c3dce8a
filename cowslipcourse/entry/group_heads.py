"""Heads of engine groups that serve a model, from the target list and group updates.

The target list is up to a second stale. A coordinator's group update takes precedence:
a group that was given up or formed again gets no more requests at its former head, and
a head that was ordered to open is used as soon as it serves. From the list alone, with
an engine lost every 3 s, requests went to heads of abandoned groups for 2.5 s, and each
of them lost 0.4 to 1.1 s.
"""

from typing import NamedTuple

from cowslipcourse.ports import UNKNOWN_INCARNATION, GroupMembership, GroupState

__all__ = ["GroupHeads"]

OPENED_VALID_S = 10.0
"""Time for which an opened head is used that the list does not show as open yet: longer
than usual outages of the store. A head that ends is dropped with its list entry."""
MAX_REMEMBERED_GROUPS = 10_000
"""Limit on groups whose lowest valid epoch is kept, about 1 MB. Names of groups are not
reused, so entries would accumulate."""
_ENDED_STATES = (GroupState.CLOSING, GroupState.BROKEN)


class _OpenedGroup(NamedTuple):
    group: str
    epoch: int
    model: str
    incarnation: int
    serves_at: float


class GroupHeads:
    """Tracks the heads of groups from list entries and group updates."""

    def __init__(self):
        self._possible_heads = ()
        self._newest_epochs = {}
        self._leaving_groups = frozenset()
        self._min_epochs = {}
        self._opened_groups = {}

    def update_entries(self, entries):
        """Replace the list entries.

        :param entries: iterable of :class:`~cowslipcourse.ports.TargetEntry`
        """
        grouped = [entry for entry in entries if entry.membership is not None]
        self._newest_epochs = {}
        for entry in grouped:
            membership = entry.membership
            previous = self._newest_epochs.get(membership.group, 0)
            self._newest_epochs[membership.group] = max(previous, membership.epoch)
        self._leaving_groups = frozenset(
            (entry.membership.group, entry.membership.epoch)
            for entry in grouped
            if entry.is_leaving
        )
        self._possible_heads = tuple(
            entry
            for entry in entries
            if not entry.is_leaving
            and (_is_open_head(entry.membership) or entry.id in self._opened_groups)
        )

    def apply_group_update(self, update, entries, now):
        """Apply a :class:`~cowslipcourse.peer_protocol.GroupUpdate`.

        :param entries: all list entries.
        :param now: loop time.
        """
        previous = self._min_epochs.pop(update.group, 0)
        self._min_epochs[update.group] = max(previous, update.epoch)
        if len(self._min_epochs) > MAX_REMEMBERED_GROUPS:
            del self._min_epochs[next(iter(self._min_epochs))]
        head = update.opened
        if head is not None:
            self._opened_groups[head.engine] = _OpenedGroup(
                update.group,
                update.epoch,
                head.model,
                head.incarnation,
                now + head.serves_in_s,
            )
        self._opened_groups = {
            engine: opened
            for engine, opened in self._opened_groups.items()
            if now < opened.serves_at + OPENED_VALID_S
        }
        self.update_entries(entries)

    def opened_epoch(self, engine):
        """Return the epoch at which an engine was ordered to open, or 0."""
        opened = self._opened_groups.get(engine)
        return 0 if opened is None else opened.epoch

    def has_ended(self, listed, membership):
        """Whether a head is in a later group, or its group has broken.

        :param listed: list entry of the head.
        :param membership: its :class:`~cowslipcourse.ports.GroupMembership` before.
        """
        if self.opened_epoch(listed.id) > membership.epoch:
            return True
        newest = listed.membership
        if newest is None or newest.epoch < membership.epoch:
            return False
        return newest.epoch > membership.epoch or newest.state is GroupState.BROKEN

    def serving_heads(self, service, model, now):
        """Return the entries of heads that serve a model, with their open groups."""
        heads = []
        for entry in self._possible_heads:
            membership = self._membership(entry, now)
            if (
                entry.service == service
                and _is_open_head(membership)
                and membership.model == model
                and self._is_current(membership)
            ):
                heads.append(entry._replace(membership=membership))
        return heads

    def _membership(self, entry, now):
        """Return the group membership from the list, or from a newer group update."""
        listed, opened = entry.membership, self._opened_groups.get(entry.id)
        if (
            opened is None
            or not opened.serves_at <= now < opened.serves_at + OPENED_VALID_S
        ):
            return listed
        if opened.incarnation not in (UNKNOWN_INCARNATION, entry.incarnation):
            return listed
        if listed is not None and _is_listed_newer(listed, opened):
            return listed
        return GroupMembership(
            opened.group, opened.epoch, 0, GroupState.OPEN, opened.model
        )

    def _is_current(self, membership):
        group, epoch = membership.group, membership.epoch
        min_epoch = self._min_epochs.get(group, 0)
        newest_epoch = self._newest_epochs.get(group, 0)
        return (
            epoch >= max(min_epoch, newest_epoch)
            and (group, epoch) not in self._leaving_groups
        )


def _is_open_head(membership):
    return (
        membership is not None
        and membership.rank == 0
        and membership.state is GroupState.OPEN
    )


def _is_listed_newer(listed, opened):
    """Whether the listed state is newer than the order to open.

    Epochs are store versions, so they are comparable across groups.
    """
    if listed.epoch != opened.epoch:
        return listed.epoch > opened.epoch
    return listed.state in _ENDED_STATES
