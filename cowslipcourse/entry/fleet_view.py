"""This daemon's view of the targets, with in-flight counts and suspicions."""

from typing import NamedTuple

from cowslipcourse.entry.evacuations import Evacuations
from cowslipcourse.entry.group_heads import GroupHeads
from cowslipcourse.entry.target_list import AddressHistory
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.ports import began_later

__all__ = ["FleetView"]

MAX_LEAVING_INSTANCES = 1000
"""Limit on remembered targets that have stated that they leave, about 100 KB."""
MIN_SUSPICION_S = 1.0
"""Duration of a first suspicion. A repair takes 2.5 s and changes the epoch of the
group, which clears the suspicion earlier."""
MAX_SUSPICION_S = 8.0
SUSPICION_RESET_S = 4.0
"""Time after the end of a suspicion until the next one starts at the minimum again."""


class _Suspicion(NamedTuple):
    instance: tuple[int, int]
    expires_at: float
    duration_s: float


class FleetView:
    """Targets by id, with in-flight counts and suspicions.

    A silent target is avoided until its suspicion expires or its group changes. The
    duration doubles with each suspicion, because a slow target resumes sending events,
    but late.

    :param evacuations: :class:`~cowslipcourse.entry.evacuations.Evacuations`
    """

    def __init__(self, evacuations=None):
        self.evacuations = evacuations or Evacuations()
        self._entries = {}
        self._in_flight = {}
        self._peers_in_flight = {}
        self._suspicions = {}
        self._leaving_instances = {}
        self._heads = GroupHeads()
        self._addresses = AddressHistory()
        self.version = 0
        """Number of changes of the list and of groups."""
        self.listeners = []
        """Objects that are told of ended requests and of changes, with the methods
        ``request_ended`` and ``room_changed``."""

    @property
    def entries(self):
        """Listed entries by target id."""
        return self._entries

    @property
    def in_flight(self):
        """This daemon's requests in flight by target id."""
        return self._in_flight

    def is_listed(self, entry):
        """Whether a target is listed with this incarnation."""
        listed = self._entries.get(entry.id)
        return listed is not None and listed.incarnation == entry.incarnation

    def is_expected(self, entry):
        """Whether a target is listed with this incarnation and is not leaving."""
        return self.is_listed(entry) and not self._entries[entry.id].is_leaving

    def apply(self, entries, removed_ids):
        """Apply changed entries and the ids of removed ones."""
        for entry in entries:
            self._entries[entry.id] = self._with_stated_leaving(entry)
            self._addresses.record(entry)
        for target in removed_ids:
            self._entries.pop(target, None)
        self._entries_changed()

    def _with_stated_leaving(self, entry):
        """Return an entry that is leaving if its target has stated so."""
        if (entry.id, entry.incarnation) in self._leaving_instances:
            return entry._replace(is_leaving=True)
        return entry

    def has_ended(self, entry):
        """Whether the incarnation or the group of an entry is known to have ended.

        A list may be older than the one that the entry was chosen from, so only what
        has begun later shows an end.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry` as it was chosen.
        """
        listed = self._entries.get(entry.id)
        if listed is None:
            return self._addresses.is_taken_over(entry)
        if began_later(listed.incarnation, entry.incarnation):
            return True
        if entry.membership is None:
            return False
        return self._heads.has_ended(listed, entry.membership)

    def mark_leaving(self, entry):
        """Treat a target as leaving, whatever its entry says.

        Some targets never change their entries before they stop.

        :returns: whether it was not known to leave.
        """
        if self.is_leaving(entry):
            return False
        self._leaving_instances[entry.id, entry.incarnation] = True
        if len(self._leaving_instances) > MAX_LEAVING_INSTANCES:
            del self._leaving_instances[next(iter(self._leaving_instances))]
        listed = self._entries.get(entry.id)
        if listed is not None:
            self.apply([listed], ())
        return True

    def is_leaving(self, entry):
        """Whether this incarnation of a target is known to leave."""
        if (entry.id, entry.incarnation) in self._leaving_instances:
            return True
        return self.is_listed(entry) and self._entries[entry.id].is_leaving

    def leaving_counts(self):
        """Return the number of listed targets that are leaving, by service."""
        counts = {}
        for entry in self._entries.values():
            if entry.is_leaving:
                counts[entry.service] = counts.get(entry.service, 0) + 1
        return counts

    def _entries_changed(self):
        self.version += 1
        self._heads.update_entries(self._entries.values())
        self.notify_room_changed()

    def notify_room_changed(self):
        """Tell the listeners that counts of peers, groups or targets have changed."""
        for listener in self.listeners:
            listener.room_changed()

    def apply_group_update(self, update, now):
        """Apply a coordinator's decision about a group before the list shows it.

        :param update: :class:`~cowslipcourse.peer_protocol.GroupUpdate`
        """
        self.version += 1
        self._heads.apply_group_update(update, self._entries.values(), now)
        self.notify_room_changed()

    def request_started(self, target):
        """Count a request as in flight at a target."""
        self._in_flight[target] = self._in_flight.get(target, 0) + 1

    def request_ended(self, target):
        """Remove a finished request from the in-flight count of a target."""
        remaining = self._in_flight[target] - 1
        if remaining:
            self._in_flight[target] = remaining
        else:
            del self._in_flight[target]
        for listener in self.listeners:
            listener.request_ended(target)

    def set_peers_in_flight(self, in_flight):
        """Set the in-flight counts of the other daemons, by target id."""
        self._peers_in_flight = in_flight

    def suspect(self, target, now):
        """Suspect a target; return whether it was not suspected already."""
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

    def clear_suspicions(self):
        """Forget all suspicions; they were about this daemon's own links."""
        self._suspicions.clear()

    def suspects(self, now):
        """Return the group epochs of the suspected targets by target id."""
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
        """Return incarnation and group epoch; a change of either clears suspicions."""
        entry = self._entries.get(target)
        if entry is None:
            return 0, 0
        listed = 0 if entry.membership is None else entry.membership.epoch
        return entry.incarnation, max(listed, self._heads.opened_epoch(target))

    def load(self, target):
        """Return the number of requests of all daemons in flight at a target."""
        return self._in_flight.get(target, 0) + self._peers_in_flight.get(target, 0)

    def service_candidates(self, service, now, tried_ids=frozenset()):
        """Return the :class:`Candidate` list of a service without engine groups.

        :param service: name of the service.
        :param now: loop time.
        :param tried_ids: ids of targets that the request is not sent to again.
        """
        candidates = [
            Candidate(entry, self.load(entry.id), entry.slots)
            for entry in self._entries.values()
            if entry.service == service and not entry.is_leaving
        ]
        return self._permitted(candidates, now, tried_ids)

    def _permitted(self, candidates, now, tried_ids):
        """Return the candidates that a request may be sent to."""
        permitted = self.evacuations.filter(candidates, now)
        return self._without_suspects(permitted, now, tried_ids)

    def _without_suspects(self, candidates, now, tried_ids):
        """Return the candidates that are not suspected, or all if none of them is left.

        A suspected target may only be paused, which is better than none.
        """
        suspects = self.suspects(now)
        trusted = [each for each in candidates if each.entry.id not in suspects]
        is_any_left = any(each.entry.id not in tried_ids for each in trusted)
        return trusted if is_any_left else candidates

    def group_candidates(self, service, model, slots, now, tried_ids=frozenset()):
        """Return a :class:`Candidate` for the head of each open group of a model.

        :param service: name of the service.
        :param model: name of the model.
        :param slots: requests that a group runs at once.
        :param now: loop time.
        :param tried_ids: ids of targets that the request is not sent to again.
        """
        candidates = [
            Candidate(entry, self.load(entry.id), slots)
            for entry in self._heads.serving_heads(service, model, now)
        ]
        return self._permitted(candidates, now, tried_ids)
