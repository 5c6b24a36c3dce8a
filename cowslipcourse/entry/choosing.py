"""Choose a target for a request; pure decisions."""

__all__ = ["choose_group", "choose_target"]

QUEUE_ALLOWED = 1.0
"""Requests that may wait at a group, as a fraction of what it runs at once."""
SAMPLE = 2
"""Places that are compared. What other daemons have in flight is known some tenths of
a second late; the best of all would be every daemon's choice at once."""


def choose_group(places, tried, rng, sample=SAMPLE):
    """Return the place with the least load, or ``None`` if all are full.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Place`
    :param tried: ids of targets that this request is not to be sent to again.
    :param rng: :class:`random.Random`
    :param sample: number of places that are compared.
    """
    open_places = [
        place
        for place in places
        if place.entry.id not in tried
        and place.in_flight < place.slots * (1 + QUEUE_ALLOWED)
    ]
    if not open_places:
        return None
    if len(open_places) > sample:
        open_places = rng.sample(open_places, sample)
    return min(open_places, key=lambda place: (place.in_flight, rng.random()))


def choose_target(places, tried, data_centre, rng):
    """Return the least loaded place of a plain service, or ``None``.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Place`
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
