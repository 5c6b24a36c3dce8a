"""Choose a target for a request; pure decisions."""

__all__ = ["choose_group", "choose_target"]

QUEUE_ALLOWED = 1.0
"""Requests that may wait at a group, as a fraction of what it runs at once."""
SAMPLE = 2
"""Places that are compared. What other daemons have in flight is known some tenths of
a second late; the best of all would be every daemon's choice at once."""


NEAR_WORTH = 1
"""Requests that a group of the own data centre may have more than another one and is
chosen still. Streams between data centres are paid for by the byte and dearer than a
place in a batch, which slows the others by 1% or 2%."""


def choose_group(places, tried, data_centre, rng, sample=SAMPLE):
    """Return the place with the least load, or ``None`` if all are full.

    :param places: list of :class:`~cowslipcourse.entry.fleet.Place`
    :param tried: ids of targets that this request is not to be sent to again.
    :param data_centre: this daemon's own.
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

    def load(place):
        is_near = place.entry.data_centre == data_centre
        return place.in_flight - is_near * NEAR_WORTH, rng.random()

    return min(open_places, key=load)


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
