"""The targets as this daemon sees them, and what it has in flight at them."""

from typing import NamedTuple

from cowslipcourse.entry.heads import GroupHeads

__all__ = ["Candidate", "FleetView"]

MIN_SUSPICION_S = 1.0
"""A repair takes 2.5 s and changes the group, which ends a suspicion before that."""
MAX_SUSPICION_S = 8.0
SUSPICION_RESET_S = 4.0
"""Time without a new suspicion after which the next one is short again."""


class _Suspicion(NamedTuple):
    instance: tuple[int, int]
    expires_at: float
    duration_s: float


class Candidate(NamedTuple):
    """A target that can take a request now.

    :param entry: :class:`~cowslipcourse.ports.TargetEntry`
    :param in_flight: requests that all daemons have there.
    :param slots: requests that it runs at once.
    """

    entry: object
    in_flight: int
    slots: int


class FleetView:
    """Targets by id, with in-flight counts and suspicions.

    A silent target is not chosen for a while, unless its group changes. The time
    doubles with each suspicion: a slow target sends events again, but late ones.
    """

    def __init__(self):
        self._entries = {}
        self._in_flight = {}
        self._peers_in_flight = {}
        self._suspicions = {}
        self._heads = GroupHeads()
        self.version = 0

    @property
    def entries(self):
        """Entries by id."""
        return self._entries

    @property
    def in_flight(self):
        """This daemon's requests in flight by target id."""
        return self._in_flight

    def is_expected(self, entry):
        """Whether a target is listed in this life and is not about to leave."""
        listed = self._entries.get(entry.id)
        return (
            listed is not None
            and listed.incarnation == entry.incarnation
            and not listed.is_leaving
        )

    def apply(self, entries, removed_ids):
        """Take changed entries and ids that are gone."""
        for entry in entries:
            self._entries[entry.id] = entry
        for target in removed_ids:
            self._entries.pop(target, None)
        self._entries_changed()

    def _entries_changed(self):
        self.version += 1
        self._heads.update_entries(self._entries.values())

    def take_news(self, news, now):
        """Take in what a coordinator has decided about a group.

        :param news: :class:`~cowslipcourse.peers.GroupUpdate`
        """
        self._heads.take_news(news, self._entries.values(), now)

    def request_started(self, target):
        """Count a request that was sent to a target."""
        self._in_flight[target] = self._in_flight.get(target, 0) + 1

    def request_ended(self, target):
        """Count a request that is over."""
        left = self._in_flight[target] - 1
        if left:
            self._in_flight[target] = left
        else:
            del self._in_flight[target]

    def set_peers_in_flight(self, in_flight):
        """Take the other daemons' requests in flight by target id."""
        self._peers_in_flight = in_flight

    def suspect(self, target, now):
        """Do not choose a target for a while; return whether that is new."""
        if target in self.suspects(now):
            return False
        instance = self._instance(target)
        previous = self._suspicions.get(target)
        previous_s = (
            previous.duration_s if previous and previous.instance == instance else 0.0
        )
        duration_s = min(max(MIN_SUSPICION_S, 2 * previous_s), MAX_SUSPICION_S)
        self._suspicions[target] = _Suspicion(instance, now + duration_s, duration_s)
        return True

    def suspects(self, now):
        """Return the epochs of suspected targets by id."""
        for target, suspicion in list(self._suspicions.items()):
            is_forgotten = now >= suspicion.expires_at + SUSPICION_RESET_S
            if is_forgotten or suspicion.instance != self._instance(target):
                del self._suspicions[target]
        return {
            target: suspicion.instance[1]
            for target, suspicion in self._suspicions.items()
            if now < suspicion.expires_at
        }

    def _instance(self, target):
        """Return incarnation and epoch, in either of which a target begins anew."""
        entry = self._entries.get(target)
        if entry is None:
            return 0, 0
        listed = 0 if entry.membership is None else entry.membership.epoch
        return entry.incarnation, max(listed, self._heads.opened_epoch(target))

    def load(self, target):
        """Return the requests that all daemons have at a target."""
        return self._in_flight.get(target, 0) + self._peers_in_flight.get(target, 0)

    def service_candidates(self, service, now):
        """Return the :class:`Candidate` list of a plain service."""
        candidates = [
            Candidate(entry, self.load(entry.id), entry.slots)
            for entry in self._entries.values()
            if entry.service == service and not entry.is_leaving
        ]
        return self._without_suspects(candidates, now)

    def _without_suspects(self, candidates, now):
        """Return the places that are not suspected; all if there are no others."""
        suspects = self.suspects(now)
        return [
            candidate for candidate in candidates if candidate.entry.id not in suspects
        ] or candidates

    def group_candidates(self, service, model, slots, now):
        """Return the :class:`Candidate` list of a model: heads of its open groups."""
        candidates = [
            Candidate(entry, self.load(entry.id), slots)
            for entry in self._heads.serving_heads(service, model, now)
        ]
        return self._without_suspects(candidates, now)
