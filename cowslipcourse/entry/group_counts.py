"""Count serving groups by model, and engines by model and group state."""

import asyncio
from collections import Counter
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger

__all__ = ["GroupCountMonitor", "GroupCounts"]

UNASSIGNED = "free"
"""Metric label for the state of an engine that is in no group."""

log = get_logger(__name__)


class GroupCounts(NamedTuple):
    """Numbers of groups and engines of all services with models.

    :param groups_by_model: groups that accept requests, by model.
    :param engines_by_state: listed engines by model and state of their group.
    """

    groups_by_model: dict[str, int]
    engines_by_state: dict[tuple[str, str], int]


class GroupCountMonitor:
    """Counts groups and engines; logs when a model becomes unserved or served."""

    def __init__(self):
        self._last_counts = {}
        self._unserved_since = {}

    def count(self, table, fleet):
        """Return the current :class:`GroupCounts`.

        :param table: :class:`~cowslipcourse.routes.RouteTable` or ``None``.
        :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
        """
        if table is None:
            return GroupCounts({}, {})
        now = asyncio.get_running_loop().time()
        groups = {}
        for spec in table.services.values():
            for model in spec.models:
                candidates = fleet.group_candidates(
                    spec.name, model.name, spec.slots, now
                )
                groups[model.name] = len(candidates)
        engines = Counter(
            _model_and_state(entry) for entry in fleet.entries.values() if entry.domain
        )
        self._log_transitions(groups, engines, now)
        return GroupCounts(groups, engines)

    def _log_transitions(self, groups, engines, now):
        """Log models that have lost their last group or regained one."""
        for model, group_count in groups.items():
            since = self._unserved_since.get(model)
            if not group_count and since is None and self._last_counts.get(model):
                self._unserved_since[model] = now
                log.warning(
                    "model-unserved", model=model, engines=_format_counts(engines)
                )
            elif group_count and since is not None:
                del self._unserved_since[model]
                seconds = round(now - since, 1)
                log.info(
                    "model-served", model=model, groups=group_count, seconds=seconds
                )
        self._last_counts = groups


def _model_and_state(entry):
    membership = entry.membership
    return (
        ("", UNASSIGNED)
        if membership is None
        else (membership.model, membership.state.value)
    )


def _format_counts(engines):
    """Return the counts as comma-separated ``model:state:count`` items."""
    return ",".join(f"{m}:{s}:{n}" for (m, s), n in sorted(engines.items()))
