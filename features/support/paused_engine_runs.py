"""Runs of coordinators whose engines pause or end, in virtual time."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.ports import OrderOperation
from features.support.coordinator_runs import CoordinatorContext, update_target_list
from features.support.engine_world import MODELS, STALL_S

__all__ = ["ObservedOrder", "PausedEngineSite"]

DOMAINS = {"mixed": ("d1",), "divided": ("d1", "d2", "d3", "d4", "d5", "d6")}
"""Domains of a site whose domains serve all models, or one model each."""
ENGINES_PER_DOMAIN = 8
SETTLE_S = 7.0
"""Time in which the groups of a new site are formed and opened."""
SUSPICION_DELAY_S = 0.3
"""Silence of a group's streams after which daemons suspect its head."""
SUSPICION_INTERVAL_S = 0.25
CONNECTION_S = 0.003
CONNECTION_TIMEOUT_S = 0.4
ORDERLY = Faults(0.0, 0.0, 0.0, 0.0, 0.0)
SETTINGS = ControlSettings(stall_s=STALL_S)


class ObservedOrder(NamedTuple):
    """An order that was sent to an engine.

    :param at: loop time at which it was sent.
    :param engine: id of the engine.
    :param operation: :class:`~cowslipcourse.ports.OrderOperation`
    :param group: name of the group.
    :param epoch: epoch of the group.
    """

    at: float
    engine: str
    operation: OrderOperation
    group: str
    epoch: int


class _ObservedControl:
    """Implements ``EngineControl`` for engines some of which do not answer.

    :param world: :class:`~cowslipcourse.emulator.World`
    :param silent_ids: ids of the engines that do not answer.
    :param orders: list to which all orders are added.
    """

    def __init__(self, world, silent_ids, orders):
        self._world = world
        self._silent_ids = silent_ids
        self._orders = orders

    async def report(self, entry):
        if entry.id in self._silent_ids:
            await asyncio.sleep(SETTINGS.report_timeout_s)
            raise TargetUnreachable("no answer to the report request", sent=True)
        return await self._world.report(entry)

    async def order(self, entry, order):
        now = asyncio.get_running_loop().time()
        self._orders.append(
            ObservedOrder(now, entry.id, order.operation, order.group, order.epoch)
        )
        if entry.id in self._silent_ids:
            await asyncio.sleep(SETTINGS.order_timeout_s)
            raise TargetUnreachable("no answer to the order", sent=True)
        return await self._world.order(entry, order)


class _HostReachability:
    """Implements ``Reachability`` for a daemon that reaches other targets.

    :param site: :class:`PausedEngineSite`
    """

    is_reachable = True

    def __init__(self, site):
        self._site = site

    def doubt(self):
        pass

    async def confirm(self):
        return True

    async def accepts_connections(self, address):
        is_silent = address in self._site.silent_addresses
        is_ignored = is_silent and self._site.host_reaction == "ignores"
        await asyncio.sleep(CONNECTION_TIMEOUT_S if is_ignored else CONNECTION_S)
        return not is_silent or self._site.host_reaction == "accepts"


class PausedEngineSite:
    """Domains of engines, their coordinators, and groups that serve requests.

    :param kind: key of :data:`DOMAINS`
    :param coordinator_count: number of coordinators; the first one coordinates.
    """

    def __init__(self, kind, coordinator_count=1):
        self.world = World(random.Random(1), ORDERLY, MODELS, remembers_models=True)
        for domain in DOMAINS[kind]:
            for _ in range(ENGINES_PER_DOMAIN):
                self.world.add_engine(domain, tuple(model.name for model in MODELS))
        self.host_reaction = "accepts"
        self.orders = []
        self.updates = []
        self.coordinating = 0
        self._silent_ids = set()
        self._tasks = []
        self._coordinators = [
            self._coordinator(number) for number in range(coordinator_count)
        ]

    @property
    def silent_addresses(self):
        """Addresses of the engines that do not answer."""
        engines = self.world.engines
        return {engines[i].address for i in self._silent_ids if i in engines}

    def _coordinator(self, number):
        context = CoordinatorContext()
        context.reachability = _HostReachability(self)
        coordinator = Coordinator(
            context,
            self.world,
            _ObservedControl(self.world, self._silent_ids, self.orders),
            SETTINGS,
            SingleCoordinatorScope(lambda: self.coordinating == number),
            self.updates.append,
        )
        self._tasks.append(asyncio.create_task(coordinator.run()))
        list_updates = update_target_list(self.world, coordinator, context)
        self._tasks.append(asyncio.create_task(list_updates))
        return coordinator

    async def start(self):
        """Wait until the groups serve."""
        self._tasks.append(asyncio.create_task(self.world.run()))
        await asyncio.sleep(SETTLE_S)

    async def stop(self):
        """End all tasks, and raise what any of them raised."""
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise result

    def open_head(self, model):
        """Return the engine that is the head of an open group of a model."""
        heads = [e for e in self.world.engines.values() if e.is_open_head]
        return next(e for e in heads if e.membership.model == model)

    async def silence(self, engine_ids, head, seconds):
        """Silence engines, while daemons suspect the head of their group.

        :param engine_ids: ids of the engines.
        :param head: id of the head of their group.
        :param seconds: duration of the silence.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        epoch = self.world.engines[head].membership.epoch
        self._silent_ids.update(engine_ids)
        await asyncio.sleep(SUSPICION_DELAY_S)
        while loop.time() < ends_at:
            for coordinator in self._coordinators:
                coordinator.investigate(head, epoch)
            await asyncio.sleep(min(SUSPICION_INTERVAL_S, ends_at - loop.time()))
        self._silent_ids.clear()
