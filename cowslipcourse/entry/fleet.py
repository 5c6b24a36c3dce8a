"""The targets as this daemon sees them, and what it has in flight at them."""

from typing import NamedTuple

from cowslipcourse.entry.heads import GroupHeads

__all__ = ["Candidate", "FleetView"]

FIRST_SUSPECT_S = 1.0
"""A repair takes 2.5 s and changes the group, which ends a suspicion before that."""
LONGEST_SUSPECT_S = 8.0
FORGET_SUSPECT_S = 4.0
"""Time without a new suspicion after which the next one is short again."""


class _Suspicion(NamedTuple):
    life: tuple[int, int]
    until: float
    length_s: float


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
        self._suspects = {}
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

    def apply(self, entries, gone):
        """Take changed entries and ids that are gone."""
        for entry in entries:
            self._entries[entry.id] = entry
        for target in gone:
            self._entries.pop(target, None)
        self._changed()

    def _changed(self):
        self.version += 1
        self._heads.see_entries(self._entries.values())

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
        life = self._life(target)
        known = self._suspects.get(target)
        last_s = known.length_s if known and known.life == life else 0.0
        length_s = min(max(FIRST_SUSPECT_S, 2 * last_s), LONGEST_SUSPECT_S)
        self._suspects[target] = _Suspicion(life, now + length_s, length_s)
        return True

    def suspects(self, now):
        """Return the epochs of suspected targets by id."""
        for target, suspicion in list(self._suspects.items()):
            is_old = now >= suspicion.until + FORGET_SUSPECT_S
            if is_old or suspicion.life != self._life(target):
                del self._suspects[target]
        return {
            target: suspicion.life[1]
            for target, suspicion in self._suspects.items()
            if now < suspicion.until
        }

    def _life(self, target):
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
        places = [
            Candidate(entry, self.load(entry.id), entry.slots)
            for entry in self._entries.values()
            if entry.service == service and not entry.is_leaving
        ]
        return self._trusted(places, now)

    def _trusted(self, places, now):
        """Return the places that are not suspected; all if there are no others."""
        suspects = self.suspects(now)
        return [p for p in places if p.entry.id not in suspects] or places

    def group_candidates(self, service, model, slots, now):
        """Return the :class:`Candidate` list of a model: heads of its open groups."""
        places = [
            Candidate(entry, self.load(entry.id), slots)
            for entry in self._heads.serving(service, model, now)
        ]
        return self._trusted(places, now)
