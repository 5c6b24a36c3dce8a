"""Policies for broken groups.

:class:`CostPolicy` is the one in use. The others are baselines that
measurements compare it with.
"""

from typing import Protocol

from cowslipcourse.placement.absence import DEFAULT_ABSENCES
from cowslipcourse.placement.views import Replace, Wait

__all__ = ["CostPolicy", "RepairPolicy", "ReplaceAlways", "WaitAlways"]


class RepairPolicy(Protocol):
    """Decides what to do with broken groups."""

    def repair(self, view):
        """Return one decision for each broken group.

        :param view: :class:`~cowslipcourse.placement.RepairView`
        """


class WaitAlways:
    """Baseline: wait until every member has returned."""

    def repair(self, view):
        """Wait, unless a member can never return and a spare is free."""
        return _first_fit(view, only_unrecoverable=True)


class ReplaceAlways:
    """Baseline: take the first free VM at once."""

    def repair(self, view):
        """Replace as long as there are spares."""
        return _first_fit(view, only_unrecoverable=False)


def _first_fit(view, only_unrecoverable):
    spares = list(view.spares)
    decisions = []
    for group in view.broken:
        to_replace = [
            n
            for n in group.absent
            if n in group.unrecoverable or not only_unrecoverable
        ]
        if not to_replace or len(spares) < len(to_replace):
            decisions.append(Wait(group.group))
            continue
        decisions.append(Replace(group.group, {n: spares.pop(0) for n in to_replace}))
    return decisions


class CostPolicy:
    """Minimises the expected cost under the site's two weights.

    A waiting group costs its downtime and strands its healthy members until the absent
    ones are back and loaded. A group that takes spares costs the same while they load.
    Spares go first to the group with the largest gain under the weights. Two broken
    groups without spares can be merged into one complete group.

    That a spare from a complete free block strands the rest of that block is not
    counted: waiting strands the broken group's own members for as long.

    :param absences: :class:`~cowslipcourse.placement.AbsenceModel`
    :param min_gain_fraction: fraction of the waiting cost that a replacement must save.
    """

    def __init__(self, absences=DEFAULT_ABSENCES, min_gain_fraction=0.1):
        self._absences = absences
        self._min_gain_fraction = min_gain_fraction

    def repair(self, view):
        """Decide for each broken group, largest gain first."""
        spares = list(view.spares)
        decisions = {}
        for group in self._sorted_by_gain(view):
            if group.group in decisions:
                continue
            decision = self._decide(view, group, spares, decisions)
            if isinstance(decision, Replace):
                used = set(decision.replacements.values())
                spares = [name for name in spares if name not in used]
                if decision.donor:
                    decisions[decision.donor] = None
            decisions[group.group] = decision
        return [decision for decision in decisions.values() if decision is not None]

    def _sorted_by_gain(self, view):
        def gain_for_each_spare(group):
            saved_s = self._expected_wait_s(view, group) - view.load_s
            return saved_s * self._waiting_cost_per_s(view, group) / len(group.absent)

        return sorted(
            view.broken, key=lambda group: (-gain_for_each_spare(group), group.group)
        )

    def _expected_wait_s(self, view, group):
        longest_s = 0.0
        for name, absent_s in group.absent.items():
            if name in group.unrecoverable:
                return float("inf")
            return_s = self._absences.expected_return_s(absent_s, view.load_s)
            longest_s = max(longest_s, return_s)
        return longest_s

    def _decide(self, view, group, spares, decisions):
        if len(spares) < len(group.absent):
            merged = self._merge(view, group, spares, decisions)
            return merged or Wait(group.group)
        threshold_s = self._expected_wait_s(view, group) * (1 - self._min_gain_fraction)
        if threshold_s <= view.load_s or self._returns_soon(view, group, view.load_s):
            return Wait(group.group)
        return Replace(group.group, dict(zip(group.absent, spares, strict=False)))

    def _waiting_cost_per_s(self, view, group):
        accelerators = len(group.healthy) * view.accelerators_per_vm
        return view.weights.downtime + view.weights.stranded * accelerators

    def _returns_soon(self, view, group, replace_s):
        """Whether members return soon enough for a short wait before a replacement.

        A short wait costs its duration; it saves the replacement if the members return
        with their weights in that time.
        """
        if group.unrecoverable:
            return False
        rate = min(self._absences.return_rate(s) for s in group.absent.values())
        return rate * replace_s > 1.0

    def _merge(self, view, group, spares, decisions):
        """Complete this group with the healthy members of another broken group."""
        absent = list(group.absent)
        own_wait_s = self._expected_wait_s(view, group)
        for donor in view.broken:
            if donor.group == group.group or donor.group in decisions:
                continue
            donated_vms = [*spares, *donor.healthy][: len(absent)]
            if len(donated_vms) < len(absent) or len(donor.absent) < len(absent):
                continue
            saved_s = own_wait_s - view.load_s
            if saved_s <= self._min_gain_fraction * view.load_s:
                continue
            if self._returns_soon(view, group, view.load_s):
                continue
            if self._returns_soon(view, donor, view.load_s):
                continue
            return Replace(
                group.group, dict(zip(absent, donated_vms, strict=True)), donor.group
            )
        return None
