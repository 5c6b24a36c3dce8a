"""Load balancing: choose a target for a request. Pure functions."""

__all__ = ["choose_group", "choose_target"]

MAX_QUEUED_FRACTION = 0.2
"""Requests that may queue at a group, as a fraction of its slots: behind a longer queue
a request would miss its objective. Late requests only take free slots."""
SAMPLE_SIZE = 2
"""Number of random candidates that are compared. Counts of other daemons are some
tenths of a second old, so all daemons would choose the least loaded of all at once."""


def choose_group(candidates, tried_ids, rng, sample_size=SAMPLE_SIZE, is_late=False):
    """Return the least loaded of some sampled candidates, ``None`` if all are full.

    Under overload, as in a long burst or when callers retry after an outage, capacity
    goes first to the requests that can still meet their objective.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that this request must not be sent to again.
    :param rng: :class:`random.Random`
    :param sample_size: number of candidates that are compared.
    :param is_late: whether the request will miss its objective at any group.
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
    """Return the least loaded candidate of a service without groups, or ``None``.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that this request must not be sent to again.
    :param data_centre: the daemon's own; targets in it are preferred at equal load.
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
