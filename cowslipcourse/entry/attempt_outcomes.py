"""Classify failed attempts by whether the request may have run. Pure functions."""

from cowslipcourse.exceptions import (
    AttemptSuperseded,
    IncompleteResponse,
    MalformedResponse,
    NoTargetAvailable,
    NotRelayed,
    TargetFailed,
    TargetRefused,
    TargetSilent,
    TargetUnreachable,
)

__all__ = [
    "NOT_EXECUTED_STATUSES",
    "final_error",
    "may_have_arrived",
    "may_have_run",
    "may_retry",
    "may_run_again",
]

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses that callers take as proof that a request has not run and will not run."""
RETRY_AFTER_S = 0.5
"""Retry-After if no target has a free slot: a fraction of the time of a group repair,
after which another group has free slots or the repaired one serves."""


def may_have_run(error):
    """Whether a request may have run although the attempt failed.

    :param error: :class:`~cowslipcourse.exceptions.TargetError`
    """
    if isinstance(error, TargetRefused):
        return False
    if isinstance(error, TargetUnreachable):
        return error.sent
    return isinstance(
        error,
        AttemptSuperseded | IncompleteResponse | MalformedResponse | TargetSilent,
    )


def may_have_arrived(error):
    """Whether a request may have arrived at a target although the attempt failed.

    :param error: :class:`~cowslipcourse.exceptions.TargetError`
    """
    if isinstance(error, TargetUnreachable):
        return error.sent
    return not isinstance(error, NotRelayed)


def may_run_again(route, possible_runs):
    """Whether a request may run once more.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param possible_runs: attempts in which it may have run or may be running.
    """
    return route.is_retryable and possible_runs < route.max_attempts


def may_retry(route, possible_runs, error):
    """Whether a request may be retried at another target.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param possible_runs: attempts in which it may have run, including the last one.
    :param error: error of the last attempt.
    """
    if not may_have_run(error):
        return True
    return may_run_again(route, possible_runs)


def final_error(possible_runs, cause="", retry_after_s=None):
    """Return the error for the caller after the last attempt.

    :param possible_runs: attempts in which the request may have run.
    :param cause: why there are no more attempts.
    :param retry_after_s: seconds until a target may accept the request, if known.
    """
    if possible_runs:
        return TargetFailed("no target sent a complete response", cause=cause)
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    return NoTargetAvailable("no target accepted the request", retry_after_s, cause)
