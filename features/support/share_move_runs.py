"""Runs of coordinators that move engines between models by observed work."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.model_shares import SHARES_TABLE
from cowslipcourse.entry.plan_table import GROUPS_TABLE
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.group_plans import decode_plan
from cowslipcourse.routes import CallerLimits, RouteTable
from features.support.coordinator_runs import CoordinatorContext, update_target_list
from features.support.engine_world import MODELS, SERVICE, STALL_S, route_table

__all__ = ["FORMATION_S", "MoveSite", "ShareMoveRun"]

SLOTS = 13
LIGHT_LOADS = {"large": 3, "small": 4}
HEAVY_LOADS = {"large": 3, "small": 13}
SAMPLE_INTERVAL_S = 0.2
FORMATION_S = 10.0
"""Time in which the first groups form if loads take no time."""
TAKEOVER_S = 1.0


class MoveSite(NamedTuple):
    """Engines and models of a run.

    :param domain_count: number of domains.
    :param engines_per_domain: engines in each.
    :param models: :class:`~cowslipcourse.routes.EngineModel` tuple.
    """

    domain_count: int = 6
    engines_per_domain: int = 8
    models: tuple = MODELS

    @property
    def table(self):
        """The configuration, a :class:`~cowslipcourse.routes.RouteTable`."""
        table = route_table()
        spec = table.services[SERVICE]._replace(models=self.models)
        return RouteTable(1, (), (spec,), CallerLimits())


class _CountingWorld(World):
    """Counts the calls of the store by table."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.tables = []

    async def read_table(self, table):
        self.tables.append(table)
        return await super().read_table(table)

    async def write(self, row_write):
        self.tables.append(row_write.table)
        return await super().write(row_write)


class ShareMoveRun:
    """One run.

    :param shares: see :class:`~cowslipcourse.entry.settings.ControlSettings`
    :param quiet_s: seconds of light work before a model's groups are full.
    :param loads_take_time: see :class:`~cowslipcourse.emulator.World`
    :param site: :class:`MoveSite`; its defaults if omitted.
    """

    def __init__(self, shares, quiet_s=FORMATION_S, loads_take_time=False, site=None):
        self._site = site or MoveSite()
        self._loads_take_time = loads_take_time
        self._settings = ControlSettings(stall_s=STALL_S, shares=shares)
        self._quiet_s = quiet_s
        self._active = 0
        self._coordinators = []
        self.samples = []
        self.moving_counts = []

    async def run(self, duration_s, has_takeover=False):
        """Run until the groups of small have been full for some seconds."""
        no_faults = Faults(0, 0, 0, 0, 0)
        self.world = _CountingWorld(
            random.Random(1),
            no_faults,
            self._site.models,
            remembers_models=True,
            loads_take_time=self._loads_take_time,
        )
        for number in range(self._site.domain_count):
            for _ in range(self._site.engines_per_domain):
                self.world.add_engine(f"d{number + 1}")
        self._started_at = asyncio.get_running_loop().time()
        coroutines = [self.world.run(), self._observe()]
        for number in range(2):
            coroutines += self._coordinator_coroutines(number)
        if has_takeover:
            coroutines.append(self._take_over())
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        await asyncio.sleep(self._quiet_s + duration_s)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def _coordinator_coroutines(self, number):
        context = CoordinatorContext()
        context.table = self._site.table
        coordinator = Coordinator(
            context,
            self.world,
            self.world,
            self._settings,
            SingleCoordinatorScope(lambda: self._active == number),
            lambda update: None,
        )
        self._coordinators.append(context)
        return [
            coordinator.run(),
            coordinator.shares.run(),
            update_target_list(self.world, coordinator, context),
        ]

    async def _observe(self):
        """Set the requests in flight, and record the groups."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            elapsed_s = now - self._started_at
            loads = LIGHT_LOADS if elapsed_s < self._quiet_s else HEAVY_LOADS
            for context in self._coordinators:
                context.fleet.set_peers_in_flight(
                    {
                        head.entry.id: load
                        for model, load in loads.items()
                        for head in self._heads(context, model, now)
                    }
                )
            active = self._coordinators[self._active]
            counts = {model: len(self._heads(active, model, now)) for model in loads}
            self.samples.append((elapsed_s - self._quiet_s, counts))
            self.moving_counts.append(len(self._moving_groups()))

    def _heads(self, context, model, now):
        return context.fleet.group_candidates(SERVICE, model, SLOTS, now)

    def _moving_groups(self):
        """Return the groups that are being given up for another model."""
        plans = [
            decode_plan(key, row.value, row.version)
            for (table, key), row in self.world._rows.items()
            if table == GROUPS_TABLE
        ]
        return [group for plan in plans for group in plan.groups if group.successor]

    async def _take_over(self):
        """Let the coordinator die as a group is given up; another one follows."""
        while not self._moving_groups():
            await asyncio.sleep(SAMPLE_INTERVAL_S / 2)
        self._active = -1
        await asyncio.sleep(TAKEOVER_S)
        self._active = 1

    @property
    def has_used_shares(self):
        """Whether the rows of shares were read or written."""
        return SHARES_TABLE in self.world.tables

    def idle_engines(self):
        """Return the ids of engines in no group."""
        return [e.id for e in self.world.engines.values() if e.membership is None]
