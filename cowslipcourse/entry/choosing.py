"""Choose a target for a request; pure decisions."""

__all__ = ["choose_group", "choose_target"]

MAX_QUEUED_FRACTION = 0.2
"""Requests that may wait at a group, as a fraction of what it runs at once: behind more
of them a request would be late. One that is late already takes a free place only."""
SAMPLE_SIZE = 2
"""Places that are compared. What other daemons have in flight is known some tenths of
a second late; the best of all would be every daemon's choice at once."""


def choose_group(candidates, tried_ids, rng, sample_size=SAMPLE_SIZE, is_late=False):
    """Return the place with the least load, or ``None`` if all are full.

    Load that this answers: more requests than groups run, in a lasting burst, or as
    callers of an outage come back. Those that can be on time find a place.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Candidate`
    :param tried: ids of targets that this request is not to be sent to again.
    :param rng: :class:`random.Random`
    :param sample: number of places that are compared.
    :param is_late: whether the request cannot be on time whichever group takes it.
    """
    capacity_factor = 1 if is_late else 1 + MAX_QUEUED_FRACTION
    available = [
        candidate
        for candidate in candidates
        if candidate.entry.id not in tried_ids
        and candidate.in_flight < candidate.slots * capacity_factor
    ]
    if not available:
        return None
    if len(available) > sample_size:
        available = rng.sample(available, sample_size)
    return min(available, key=lambda candidate: (candidate.in_flight, rng.random()))


def choose_target(candidates, tried_ids, data_centre, rng):
    """Return the least loaded place of a plain service, or ``None``.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Candidate`
    :param tried: ids of targets that this request is not to be sent to again.
    :param data_centre: this daemon's own; near targets are preferred at equal load.
    :param rng: :class:`random.Random`
    """
    untried = [
        candidate for candidate in candidates if candidate.entry.id not in tried_ids
    ]
    if not untried:
        return None
    return min(
        untried,
        key=lambda candidate: (
            candidate.in_flight / max(candidate.slots, 1),
            candidate.entry.data_centre != data_centre,
            rng.random(),
        ),
    )
