"""A daemon's part of the room while more is asked for than there are slots. No I/O.

All daemons see the same free slot for as long as counts are old, and would all fill it.
A slot that a request of this daemon has freed is its own to fill again, preferably at
the same group. Of the room that counts show, each daemon takes an equal part; where
they show too much in flight, each leaves an equal part of its freed slots empty.
"""

__all__ = ["MAX_KEPT_SLOTS", "RoomShare"]

SHARE_INTERVAL_S = 1.5
"""Time in which a daemon takes its part of the room once: longer than counts are old,
so that they show what was taken."""
TARGET_FILL = 1.0
"""Requests in flight, as a fraction of the slots, that daemons aim at together."""
MAX_KEPT_SLOTS = 2.0
"""Freed slots that are kept for later requests, if the room does not allow more; others
see and fill them meanwhile."""
MAX_OWED_SLOTS = 2.0
"""Slots that may be taken beyond this daemon's part."""


class RoomShare:
    """Slots that this daemon may fill."""

    def __init__(self):
        self._slots = 0.0
        self._slots_by_target = {}
        self._refilled_at = None

    def record_freed(self, target):
        """Record that a request of this daemon has ended at a target."""
        self._add(target, 1)

    def take(self, target):
        """Count a slot of a target as filled."""
        self._add(target, -1)

    def _add(self, target, slots):
        self._slots += slots
        kept = self._slots_by_target.get(target, 0.0)
        self._slots_by_target[target] = kept + slots

    def refill(self, candidates, daemon_count, now):
        """Add this daemon's part of the room of each candidate.

        :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
        :param daemon_count: number of daemons.
        :param now: loop time.
        """
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        fraction = min(elapsed_s / SHARE_INTERVAL_S, 1.0)
        parts = {
            c.entry.id: (c.slots * TARGET_FILL - c.in_flight) / daemon_count
            for c in candidates
        }
        part = sum(parts.values())
        self._slots = _bounded(self._slots + part * fraction, part)
        self._slots_by_target = {
            target: _bounded(
                self._slots_by_target.get(target, 0.0) + part * fraction, part
            )
            for target, part in parts.items()
        }

    def choose(self, candidates, min_slots, rng):
        """Return a candidate at which this daemon may fill a slot, or ``None``.

        :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
        :param min_slots: slots that this daemon must have in all.
        :param rng: :class:`random.Random`
        """
        if self._slots < min_slots or not candidates:
            return None
        weights = [
            max(0.0, self._slots_by_target.get(c.entry.id, 0.0)) for c in candidates
        ]
        if not sum(weights):
            return None
        return rng.choices(candidates, weights)[0]


def _bounded(slots, part):
    return max(-MAX_OWED_SLOTS, min(slots, max(part, MAX_KEPT_SLOTS)))
