"""The newest rate limit that each target has stated."""

from typing import NamedTuple

__all__ = ["KnownLimit", "KnownLimits", "RateLimitStatement", "TargetInstance"]

ENDED_RETENTION_S = 10.0
"""Time for which the end of a limit is remembered, so that older statements do not
restore the limit: longer than a daemon may be isolated unnoticed."""
SIGNIFICANT_CHANGE = 0.1
"""Relative change of a limit that is reported. A target may adjust its limit with each
response."""


class TargetInstance(NamedTuple):
    """One incarnation of a target; a restarted target has stated nothing yet.

    :param id: id of the target.
    :param incarnation: see :class:`~cowslipcourse.ports.TargetEntry`.
    """

    id: str
    incarnation: int


class RateLimitStatement(NamedTuple):
    """What one response of a target states about its rate limit.

    :param instance: :class:`TargetInstance`
    :param service: service of the target.
    :param limit_per_s: requests per second from all daemons together; ``None`` if the
        target states no limit.
    :param stated_at: loop time at which the response arrived.
    """

    instance: TargetInstance
    service: str
    limit_per_s: float | None
    stated_at: float


class KnownLimit(NamedTuple):
    """The newest statement of a target.

    :param statement: :class:`RateLimitStatement`
    :param reported_limit_per_s: limit at the last significant change.
    """

    statement: RateLimitStatement
    reported_limit_per_s: float | None


class KnownLimits:
    """Newest statement of each target that has, or recently had, a rate limit."""

    def __init__(self):
        self._limits = {}

    def get(self, instance):
        """Return the requests per second that a target accepts, or ``None``."""
        known = self._limits.get(instance)
        return None if known is None else known.statement.limit_per_s

    def newest(self, instance):
        """Return the newest :class:`RateLimitStatement` of a target, or ``None``."""
        known = self._limits.get(instance)
        return None if known is None else known.statement

    def reported(self, instance):
        """Return the limit of a target at its last significant change, or ``None``."""
        known = self._limits.get(instance)
        return None if known is None else known.reported_limit_per_s

    def instances(self):
        """Return the targets that have, or recently had, a limit, as a set."""
        return set(self._limits)

    def limited_counts(self):
        """Return the number of limited targets by service."""
        counts = {}
        for statement, _ in self._limits.values():
            if statement.limit_per_s is not None:
                counts[statement.service] = counts.get(statement.service, 0) + 1
        return counts

    def apply(self, statement):
        """Apply a statement; return whether the limit has changed significantly.

        A statement that is not newer than the known one changes nothing.

        :param statement: :class:`RateLimitStatement`
        """
        limit_per_s = statement.limit_per_s
        known = self._limits.get(statement.instance)
        if known is None and limit_per_s is None:
            return False
        if known is not None and statement.stated_at <= known.statement.stated_at:
            return False
        reported = None if known is None else known.reported_limit_per_s
        is_significant = _is_significant(reported, limit_per_s)
        if is_significant:
            reported = limit_per_s
        self._limits[statement.instance] = KnownLimit(statement, reported)
        return is_significant

    def retain(self, instances, now):
        """Drop the limits of unlisted targets, and ends that are long past.

        :param instances: collection of the listed :class:`TargetInstance`.
        :param now: loop time.
        """
        self._limits = {
            instance: known
            for instance, known in self._limits.items()
            if instance in instances
            and (
                known.statement.limit_per_s is not None
                or now - known.statement.stated_at < ENDED_RETENTION_S
            )
        }


def _is_significant(reported_limit_per_s, limit_per_s):
    if reported_limit_per_s is None or limit_per_s is None:
        return reported_limit_per_s is not limit_per_s
    change_per_s = abs(limit_per_s - reported_limit_per_s)
    return change_per_s > SIGNIFICANT_CHANGE * reported_limit_per_s
