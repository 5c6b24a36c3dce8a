"""Choose a target for a request; pure decisions."""

__all__ = ["choose_group", "choose_target"]

QUEUE_ALLOWED = 0.2
"""Requests that may wait at a group, as a fraction of what it runs at once: behind more
of them a request would be late. One that is late already takes a free place only."""
SAMPLE_SIZE = 2
"""Places that are compared. What other daemons have in flight is known some tenths of
a second late; the best of all would be every daemon's choice at once."""


def choose_group(places, tried, rng, sample=SAMPLE_SIZE, is_late=False):
    """Return the place with the least load, or ``None`` if all are full.

    Load that this answers: more requests than groups run, in a lasting burst, or as
    callers of an outage come back. Those that can be on time find a place.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Candidate`
    :param tried: ids of targets that this request is not to be sent to again.
    :param rng: :class:`random.Random`
    :param sample: number of places that are compared.
    :param is_late: whether the request cannot be on time whichever group takes it.
    """
    part = 1 if is_late else 1 + QUEUE_ALLOWED
    open_places = [
        place
        for place in places
        if place.entry.id not in tried and place.in_flight < place.slots * part
    ]
    if not open_places:
        return None
    if len(open_places) > sample:
        open_places = rng.sample(open_places, sample)
    return min(open_places, key=lambda place: (place.in_flight, rng.random()))


def choose_target(places, tried, data_centre, rng):
    """Return the least loaded place of a plain service, or ``None``.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Candidate`
    :param tried: ids of targets that this request is not to be sent to again.
    :param data_centre: this daemon's own; near targets are preferred at equal load.
    :param rng: :class:`random.Random`
    """
    fresh = [place for place in places if place.entry.id not in tried]
    if not fresh:
        return None
    return min(
        fresh,
        key=lambda place: (
            place.in_flight / max(place.slots, 1),
            place.entry.data_centre != data_centre,
            rng.random(),
        ),
    )
