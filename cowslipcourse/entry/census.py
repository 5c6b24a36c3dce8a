"""How many groups serve each model, and what the engines are in."""

import asyncio
from collections import Counter
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger

__all__ = ["GroupCountMonitor", "GroupCounts"]

FREE = "free"
"""State of an engine that is in no group."""

log = get_logger(__name__)


class GroupCounts(NamedTuple):
    """Groups and engines of all services with models, as this daemon sees them.

    :param groups: number of groups that take requests, by model.
    :param engines: number of listed engines by model and state of their group.
    """

    groups: dict[str, int]
    engines: dict[tuple[str, str], int]


class GroupCountMonitor:
    """Counts groups and engines and logs when a model loses or regains its groups."""

    def __init__(self):
        self._known = {}
        self._unserved_since = {}

    def count(self, table, fleet):
        """Return the present :class:`GroupCounts`.

        :param table: :class:`~cowslipcourse.routes.RouteTable` or ``None``.
        :param fleet: :class:`~cowslipcourse.entry.fleet.FleetView`
        """
        if table is None:
            return GroupCounts({}, {})
        now = asyncio.get_running_loop().time()
        groups = {}
        for spec in table.services.values():
            for model in spec.models:
                places = fleet.group_candidates(spec.name, model.name, spec.slots, now)
                groups[model.name] = len(places)
        engines = Counter(
            _place_of(entry) for entry in fleet.entries.values() if entry.domain
        )
        self._note(groups, engines, now)
        return GroupCounts(groups, engines)

    def _note(self, groups, engines, now):
        """Log models that have lost their last group or have one again."""
        for model, number in groups.items():
            since = self._unserved_since.get(model)
            if not number and since is None and self._known.get(model):
                self._unserved_since[model] = now
                log.warning("model-unserved", model=model, engines=_told(engines))
            elif number and since is not None:
                del self._unserved_since[model]
                seconds = round(now - since, 1)
                log.info("model-served", model=model, groups=number, seconds=seconds)
        self._known = groups


def _place_of(entry):
    found = entry.membership
    return ("", FREE) if found is None else (found.model, found.state.value)


def _told(engines):
    """Return numbers by model and state as one text."""
    return ",".join(f"{m}:{s}:{n}" for (m, s), n in sorted(engines.items()))
