"""Runs of many daemons and targets that turn cold, over the daemons' own links."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import ColdTargets
from features.support.daemon_network import NetworkShape
from features.support.limit_network_runs import LimitScenario, LimitSimulation

__all__ = ["ColdRun", "simulate_cold_targets"]

WINDOW_S = 1.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
SENT_BEFORE_S = 0.01
"""Time for requests to arrive that were sent before the entry changed."""


class ColdRun(NamedTuple):
    """Results of a run.

    :param most: most requests of a cold target in one second.
    :param tolerated: requests that it tolerates in one second.
    :param used_fraction: requests of the cold targets, relative to their declared rate.
    """

    most: int
    tolerated: float
    used_fraction: float


class _ColdSimulation(LimitSimulation):
    """Targets are cold instead of limited; some daemons may ignore that."""

    def __init__(self, scenario, seed, is_bounded):
        super().__init__(scenario, seed)
        self._is_bounded = is_bounded
        self._cold_since = {}
        self._cold_targets = {}

    def _start_limiter(self, daemon):
        super()._start_limiter(daemon)
        if not self._is_bounded:
            return
        daemon.limiter_task.cancel()
        cold = ColdTargets(lambda service: self.scenario.limit_per_s)
        self._cold_targets[daemon] = cold
        rng = random.Random(self.rng.random())
        link = self.links[-1][1]
        daemon.rate_limiter = RateLimiter(link, self, rng, cold)
        daemon.rate_limiter.apply_entries(self.entries.values())
        self.conditions[daemon] = TargetConditions(daemon.rate_limiter, FleetView())
        daemon.limiter_task = asyncio.create_task(daemon.rate_limiter.run())

    def _set_limit(self, target, limit_per_s):
        if limit_per_s is None:
            return
        cold_s = self.scenario.limited_s
        target.entry = target.entry._replace(cold_left_s=cold_s)
        self.entries[target.entry.id] = target.entry
        now = asyncio.get_running_loop().time()
        self._cold_since[target] = now
        for cold in self._cold_targets.values():
            cold.apply([target.entry], now)

    def _result(self, limited, limited_until):
        most = used = 0
        for target, since in self._cold_since.items():
            until = since + self.scenario.limited_s
            arrivals = [
                at
                for at, arrived in self.arrivals
                if arrived is target and since + SENT_BEFORE_S < at < until
            ]
            used += len(arrivals)
            for first, at in enumerate(arrivals):
                count = sum(each < at + WINDOW_S for each in arrivals[first:])
                most = max(most, count)
        limit_per_s = self.scenario.limit_per_s
        allowed = limit_per_s * self.scenario.limited_s * len(self._cold_since)
        tolerated = TOLERATED_FACTOR * limit_per_s + TOLERATED_REQUESTS
        return ColdRun(most, tolerated, used / allowed)


def simulate_cold_targets(
    data_centres, each, rate_per_s, seed=1, is_bounded=True, loss_rate=0.0, **faults
):
    """Return the :class:`ColdRun` of two cold targets among six.

    :param each: daemons of each data centre.
    :param rate_per_s: requests per second that a cold target tolerates.
    :param is_bounded: whether daemons know of cold targets.
    :param faults: further fields of the ``LimitScenario``.
    """
    shape = NetworkShape(data_centres, each, loss_rate=loss_rate)
    demand_per_s = 6 * 4 * rate_per_s + 60
    fields = {"limited_s": 8.0, **faults}
    scenario = LimitScenario(shape, 6, 2, rate_per_s, demand_per_s, **fields)
    simulation = _ColdSimulation(scenario, seed, is_bounded)
    results = []

    async def simulate():
        results.append(await simulation.run())

    run_in_virtual_time(simulation.network.run(0.5, simulate))
    return results[0]
