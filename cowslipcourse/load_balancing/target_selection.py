"""Load balancing: choose a target for a request. Pure functions."""

from cowslipcourse.load_balancing.candidates import RequestSize

__all__ = ["choose_group", "choose_target"]

MAX_QUEUED_FRACTION = 0.2
"""Requests that may queue at a group, as a fraction of its slots: behind a longer queue
a request would miss its objective. Late requests only take free slots."""
SAMPLE_SIZE = 2
"""Number of random candidates that are compared. Counts of other daemons are some
tenths of a second old, so all daemons would choose the least loaded of all at once."""
TRIAL_FRACTION = 0.02
"""Fraction of the requests that are sent to slow targets although others have room,
so that a recovery is seen."""
MIN_NORMAL_FRACTION = 0.3
"""Fraction of candidates that must be of normal speed for slow ones to be avoided: a
few could not take all requests."""
NO_SIZE = RequestSize()
CLEAR_DIFFERENCE = 0.8
"""Relative difference of two costs from which the cheaper one is always chosen."""


def choose_group(
    candidates,
    tried_ids,
    rng,
    sample_size=SAMPLE_SIZE,
    is_late=False,
    cost=None,
    size=NO_SIZE,
    now=0.0,
):
    """Return the least loaded of some sampled candidates, ``None`` if all are full.

    Under overload, as in a long burst or when callers retry after an outage, capacity
    goes first to the requests that can still meet their objective.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that this request must not be sent to again.
    :param rng: :class:`random.Random`
    :param sample_size: number of candidates that are compared.
    :param is_late: whether the request will miss its objective at any group.
    :param cost: :class:`~cowslipcourse.load_balancing.CandidateCost` that is compared
        instead of the requests in flight, or ``None``.
    :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
    :param now: loop time.
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
    if cost is not None:
        return _cheapest(available, rng, cost, size, now)
    if len(available) > sample_size:
        available = rng.sample(available, sample_size)
    return min(available, key=lambda candidate: (candidate.in_flight, rng.random()))


def choose_target(
    candidates, tried_ids, data_centre, rng, cost=None, size=NO_SIZE, now=0.0
):
    """Return the least loaded candidate of a service without groups, or ``None``.

    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that this request must not be sent to again.
    :param data_centre: the daemon's own; targets in it are preferred at equal load.
    :param rng: :class:`random.Random`
    :param cost: see :func:`choose_group`.
    :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
    :param now: loop time.
    """
    untried = [
        candidate for candidate in candidates if candidate.entry.id not in tried_ids
    ]
    if not untried:
        return None
    if cost is not None:
        return _cheapest(untried, rng, cost, size, now)
    return min(
        untried,
        key=lambda candidate: (
            candidate.in_flight / max(candidate.slots, 1),
            candidate.entry.data_centre != data_centre,
            rng.random(),
        ),
    )


def _cheapest(candidates, rng, cost, size, now):
    """Return the cheapest of some sampled candidates that have memory for a request."""
    fitting = [each for each in candidates if cost.fits(each, size)] or candidates
    available = _without_slow(fitting, rng, cost, now)
    sampled = rng.sample(available, min(SAMPLE_SIZE, len(available)))
    costs = [cost.cost(each, size, now) for each in sampled]
    cheapest = costs.index(min(costs))
    if rng.random() < _chance_of_other(costs):
        cheapest = 1 - cheapest
    return sampled[cheapest]


def _without_slow(candidates, rng, cost, now):
    """Return the candidates of normal speed, or for a trial the slow ones.

    All are returned if too few are normal, or if these have no room.
    """
    normal = [each for each in candidates if not cost.is_slow(each, now)]
    if not MIN_NORMAL_FRACTION * len(candidates) <= len(normal) < len(candidates):
        return candidates
    if rng.random() < TRIAL_FRACTION:
        return [each for each in candidates if each not in normal]
    return [each for each in normal if _has_room(each)] or candidates


def _has_room(candidate):
    return candidate.in_flight < candidate.slots * (1 + MAX_QUEUED_FRACTION)


def _chance_of_other(costs):
    """Return the probability with which the dearer of two candidates is chosen.

    Other daemons see the same old counts. If all of them chose the cheaper one at a
    small difference, it would be the dearer one before the next counts arrive.
    """
    if len(costs) < 2:
        return 0.0
    difference = max(costs) / min(costs) - 1
    return 0.5 * max(0.0, 1 - difference / CLEAR_DIFFERENCE)
