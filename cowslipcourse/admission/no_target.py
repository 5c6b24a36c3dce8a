"""What follows if no target can be chosen for a request."""

from cowslipcourse.admission.failure_attribution import (
    LossCause,
    TargetChoice,
    no_target_cause,
)

__all__ = ["all_withheld_until", "no_target_choice"]

RETRY_SPREAD_FACTOR = 1.5
"""Callers return at up to this multiple of the time until a target may accept them, so
that they do not return all at once."""


def all_withheld_until(conditions, candidates, tried_ids, now):
    """Return the loop time at which the first withheld target may accept a request.

    :param conditions: tells which candidates accept requests now; a
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
    :param tried_ids: ids of targets that the request was sent to already.
    :param now: loop time.
    :returns: ``None`` unless all targets that remain are withheld.
    """
    untried = [c for c in candidates if c.entry.id not in tried_ids]
    if not untried or conditions.usable(untried, now):
        return None
    return conditions.usable_at(untried)


def no_target_choice(conditions, rng, candidates, tried_ids, now):
    """Return the :class:`TargetChoice` of a request for which there is no target.

    See :func:`all_withheld_until` for the parameters.
    """
    usable_at = all_withheld_until(conditions, candidates, tried_ids, now)
    if usable_at is None:
        return TargetChoice(None, no_target_cause(candidates, tried_ids))
    spread_factor = rng.uniform(1.0, RETRY_SPREAD_FACTOR)
    retry_after_s = (usable_at - now) * spread_factor
    return TargetChoice(None, LossCause.TARGETS_WITHHELD, retry_after_s)
