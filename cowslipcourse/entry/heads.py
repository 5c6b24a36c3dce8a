"""Which engines take the requests of a model: heads of groups that serve, as known.

The list of targets says so, but up to a second late. What a coordinator tells directly
goes before it, in both directions: a group that is given up or formed anew gets nothing
more at its former head, and a head that was told to open is used once it serves. Where
an engine is lost every 3 s, requests had gone on for 2.5 s to heads of groups that had
been given up, 0.4 to 1.1 s lost for each (from the daemons' logs).
"""

from typing import NamedTuple

from cowslipcourse.ports import UNKNOWN_INCARNATION, GroupMembership, GroupState

__all__ = ["GroupHeads"]

OPENED_VALID_S = 10.0
"""Time for which a head is believed to serve that the list does not show yet: longer
than the store is usually away. If the head ends, its entry goes, and so does belief."""
MAX_REMEMBERED_GROUPS = 10_000
"""Groups whose least epoch is remembered, about 1 MB; names are not used again."""
_ENDED_STATES = (GroupState.CLOSING, GroupState.BROKEN)


class _OpenedGroup(NamedTuple):
    group: str
    epoch: int
    model: str
    incarnation: int
    serves_at: float


class GroupHeads:
    """Heads of groups, from the list's entries and from news."""

    def __init__(self):
        self._possible_heads = ()
        self._newest_epochs = {}
        self._leaving = frozenset()
        self._min_epochs = {}
        self._opened = {}

    def update_entries(self, entries):
        """Take in the whole list.

        :param entries: iterable of :class:`~cowslipcourse.ports.TargetEntry`
        """
        joined = [entry for entry in entries if entry.membership is not None]
        self._newest_epochs = {}
        for entry in joined:
            found = entry.membership
            previous = self._newest_epochs.get(found.group, 0)
            self._newest_epochs[found.group] = max(previous, found.epoch)
        self._leaving = frozenset(
            (entry.membership.group, entry.membership.epoch)
            for entry in joined
            if entry.is_leaving
        )
        self._possible_heads = tuple(
            entry
            for entry in entries
            if not entry.is_leaving
            and (_is_open_head(entry.membership) or entry.id in self._opened)
        )

    def take_news(self, news, entries, now):
        """Take in a :class:`~cowslipcourse.peers.GroupUpdate`.

        :param entries: the whole list.
        :param now: loop time.
        """
        previous = self._min_epochs.pop(news.group, 0)
        self._min_epochs[news.group] = max(previous, news.epoch)
        if len(self._min_epochs) > MAX_REMEMBERED_GROUPS:
            del self._min_epochs[next(iter(self._min_epochs))]
        head = news.opened
        if head is not None:
            self._opened[head.engine] = _OpenedGroup(
                news.group,
                news.epoch,
                head.model,
                head.incarnation,
                now + head.serves_in_s,
            )
        self._opened = {
            engine: opened
            for engine, opened in self._opened.items()
            if now < opened.serves_at + OPENED_VALID_S
        }
        self.update_entries(entries)

    def opened_epoch(self, engine):
        """Return the epoch at which an engine was told to open, 0 if it was not."""
        opened = self._opened.get(engine)
        return 0 if opened is None else opened.epoch

    def serving_heads(self, service, model, now):
        """Return the entries of heads that serve a model, each in its open group."""
        found = []
        for entry in self._possible_heads:
            membership = self._membership(entry, now)
            if (
                entry.service == service
                and _is_open_head(membership)
                and membership.model == model
                and self._is_current(membership)
            ):
                found.append(entry._replace(membership=membership))
        return found

    def _membership(self, entry, now):
        """Return the group of an engine by the list, or by news that is newer."""
        listed, opened = entry.membership, self._opened.get(entry.id)
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
            and (group, epoch) not in self._leaving
        )


def _is_open_head(membership):
    return (
        membership is not None
        and membership.rank == 0
        and membership.state is GroupState.OPEN
    )


def _is_listed_newer(listed, opened):
    """Whether the list tells of what came after a head was told to open.

    Epochs are versions of the store, so they can be compared between groups.
    """
    if listed.epoch != opened.epoch:
        return listed.epoch > opened.epoch
    return listed.state in _ENDED_STATES
