"""Paces moves of engines between models; pure decisions.

Engines that change over serve nothing for some seconds. If shares are changed although
no model has lost its groups, only a part of all engines changes over at a time.
"""

from collections import deque

__all__ = ["MovePacer"]

MAX_MOVING_FRACTION = 1 / 6
"""Fraction of all engines that may be between two models at once."""
MOVE_SETTLE_S = 2.0
"""Time from the end of a group until the groups that succeed it serve: a warm load and
the opening of the heads."""
PRESENCE_WINDOW_S = 20.0
"""Time for which engines that were in groups count as present recently."""


class MovePacer:
    """Follows the engines that are in groups, and those that change over.

    Coordinators that have read the same plans permit the same moves.
    """

    def __init__(self):
        self._moving_at = {}
        self._planned_counts = deque()

    @property
    def present_fraction(self):
        """Fraction of the engines planned recently that are in groups now."""
        highest = max((count for _, count in self._planned_counts), default=0)
        return self._planned_counts[-1][1] / highest if highest else 1.0

    def update(self, plans, now):
        """Take the current plans into account.

        :param plans: :class:`~cowslipcourse.group_plans.DomainPlan` by domain.
        :param now: loop time.
        """
        self._planned_counts.append((now, _planned_engine_count(plans)))
        while self._planned_counts[0][0] < now - PRESENCE_WINDOW_S:
            self._planned_counts.popleft()
        for domain, plan in plans.items():
            for group in plan.groups:
                if group.successor:
                    key = domain, group.name, len(group.members)
                    self._moving_at[key] = now
        self._moving_at = {
            key: at for key, at in self._moving_at.items() if now - at < MOVE_SETTLE_S
        }

    def permitted(self, reassignments, plans):
        """Return those of some reassignments that may begin now.

        :param reassignments: iterable of
            :class:`~cowslipcourse.group_plans.Reassignment` in the order of preference.
        :param plans: :class:`~cowslipcourse.group_plans.DomainPlan` by domain.
        """
        limit = MAX_MOVING_FRACTION * _planned_engine_count(plans)
        moving = sum(size for _, _, size in self._moving_at)
        permitted = []
        for reassignment in reassignments:
            engines = _engine_count(reassignment, plans)
            if moving and moving + engines > limit:
                break
            moving += engines
            permitted.append(reassignment)
        return permitted


def _planned_engine_count(plans):
    """Return the engines in groups that serve or are about to change over."""
    return sum(
        len(group.members)
        for plan in plans.values()
        for group in plan.groups
        if group.successor or not group.is_retired
    )


def _engine_count(reassignment, plans):
    groups = plans[reassignment.domain].groups
    return sum(len(g.members) for g in groups if g.name in reassignment.groups)
