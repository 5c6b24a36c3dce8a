"""Expected times of requests at targets: what a daemon observes, is told and tells."""

import asyncio
from contextlib import contextmanager

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.load_balancing.expected_time import ExpectedTime
from cowslipcourse.load_balancing.stated_loads import StatedLoads
from cowslipcourse.load_balancing.target_speeds import TargetSpeeds, UnobservedRequest
from cowslipcourse.load_balancing.told_speeds import ToldSpeeds
from cowslipcourse.ports import GroupState
from cowslipcourse.routes import ServiceSpec

__all__ = ["EXPECTED_TIME", "TargetPlacing"]

EXPECTED_TIME = "expected-time"
MAX_LOGGED = 10
"""Targets with a log line of their own in a second."""

log = get_logger(__name__)


class TargetPlacing:
    """Compares targets by expected time, if the settings say so.

    :param settings: :class:`~cowslipcourse.entry.settings.BalancingSettings`
    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param conditions:
        :class:`~cowslipcourse.entry.target_conditions.TargetConditions`
    :param data_centre: the daemon's own.
    """

    def __init__(self, settings, fleet, conditions, data_centre):
        self._fleet = fleet
        self._conditions = conditions
        self._stated_loads = StatedLoads()
        self._slow_ids = frozenset()
        self.target_count = 0
        """Number of plain targets and heads that serve, as of the last update."""
        self.table = None
        self.told = ToldSpeeds()
        self.speeds = TargetSpeeds(self.told)
        self._expected_time = ExpectedTime(
            self.speeds, self._stated_loads, self._service_spec, data_centre
        )
        self.apply_settings(settings)

    @property
    def is_active(self):
        """Whether targets are compared by expected time."""
        return self._settings.cost == EXPECTED_TIME

    @property
    def cost(self):
        """The :class:`~cowslipcourse.load_balancing.CandidateCost`, or ``None``."""
        return self._expected_time if self.is_active else None

    def apply_settings(self, settings):
        """Apply changed settings."""
        self._settings = settings
        self._conditions.stated_loads = self._stated_loads if self.is_active else None

    def _service_spec(self, name):
        spec = None if self.table is None else self.table.services.get(name)
        return ServiceSpec(name) if spec is None else spec

    @contextmanager
    def observing(self, call, entry):
        """Observe a request that has just been sent, until the context ends.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        """
        loop = asyncio.get_running_loop()
        request = self._start(call, entry, loop.time())
        try:
            yield request
        finally:
            request.end(loop.time())

    def _start(self, call, entry, now):
        if not self.is_active:
            return UnobservedRequest()
        size = call.caller_headers.size
        spec = self._service_spec(entry.service)
        slots = spec.slots if spec.models else entry.slots
        others = max(0, self._fleet.load(entry.id) - 1)
        expected = self._expected_time.times(Candidate(entry, others, slots), size, now)
        model = "" if entry.membership is None else entry.membership.model
        peers = entry.service, model
        return self.speeds.start(entry, peers, expected, sum(size), now)

    def update(self, now):
        """Forget targets that are gone, and log which have become slow or normal.

        :param now: loop time.
        """
        entries = self._fleet.entries
        self.target_count = sum(map(_serves, entries.values()))
        self.speeds.retain(entries.values(), now)
        self._stated_loads.retain(entries.values())
        slow_ids = frozenset(self.speeds.slow_ids(now)) if self.is_active else ()
        changed = sorted(set(slow_ids) ^ set(self._slow_ids))
        for target in changed[:MAX_LOGGED]:
            entry = entries.get(target)
            if entry is not None:
                log.info(
                    "target-slow" if target in slow_ids else "target-normal",
                    target=target,
                    service=entry.service,
                    speed=round(self.speeds.factor(entry, now), 2),
                    own=target in self.speeds.slow_factors(now),
                )
        self._slow_ids = slow_ids

    def slow_counts(self):
        """Return the number of slow targets, by service."""
        counts = {}
        for target in self._slow_ids:
            entry = self._fleet.entries.get(target)
            if entry is not None:
                counts[entry.service] = counts.get(entry.service, 0) + 1
        return counts


def _serves(entry):
    if not entry.domain:
        return True
    membership = entry.membership
    return (
        membership is not None
        and membership.rank == 0
        and membership.state is GroupState.OPEN
    )
