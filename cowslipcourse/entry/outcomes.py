"""What a failed attempt says about whether a request has run; pure decisions."""

from cowslipcourse.exceptions import (
    AnswerBroken,
    MalformedAnswer,
    NoTargetAvailable,
    TargetFailed,
    TargetRefused,
    TargetSilent,
    TargetUnreachable,
)

__all__ = ["NOT_EXECUTED_STATUSES", "final_error", "may_have_run", "may_retry"]

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Callers read these as proof that a request has not run and never will."""
RETRY_AFTER_S = 0.5
"""When to come back if no target takes a request: a fraction of a group's repair,
after which another group has room or the repaired one serves."""


def may_have_run(error):
    """Whether a request may have run although the attempt failed.

    :param error: :class:`~cowslipcourse.exceptions.TargetError`
    """
    if isinstance(error, TargetRefused):
        return False
    if isinstance(error, TargetUnreachable):
        return error.sent
    return isinstance(error, AnswerBroken | MalformedAnswer | TargetSilent)


def may_retry(route, possible_runs, error):
    """Whether a request may be sent to another target.

    :param route: :class:`~cowslipcourse.routes.Route`
    :param runs: attempts in which it may have run, this one included.
    :param error: how the last attempt failed.
    """
    if not may_have_run(error):
        return True
    return route.is_retryable and possible_runs < route.max_attempts


def final_error(possible_runs, cause=""):
    """Return the error that the caller gets if there are no attempts left.

    :param runs: attempts in which the request may have run.
    :param cause: why there are none.
    """
    if possible_runs:
        return TargetFailed("no target gave a whole answer", cause=cause)
    return NoTargetAvailable("no target takes the request", RETRY_AFTER_S, cause)
