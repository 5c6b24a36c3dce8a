"""Runs of coordinators whose engines pause or end, in virtual time."""

import asyncio
import random
from typing import NamedTuple

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.ports import OrderOperation
from features.support.coordinator_runs import LIST_INTERVAL_S, CoordinatorContext
from features.support.engine_world import MODELS, STALL_S

__all__ = ["ENDING_ORDERS", "ObservedOrder", "PausedEngineSite", "pausing_run"]

DOMAINS = {"mixed": ("d1",), "divided": ("d1", "d2", "d3", "d4", "d5", "d6")}
"""Domains of a site whose domains serve all models, or one model each."""
ENGINES_PER_DOMAIN = 8
SETTLE_S = 10.0
"""Time in which the groups of a new site are formed and opened."""
SUSPICION_DELAY_S = 0.3
"""Silence of a group's streams after which daemons suspect its head."""
SUSPICION_INTERVAL_S = 0.25
CONNECTION_S = 0.003
CONNECTION_TIMEOUT_S = 0.4
SLOW_CONNECTION_S = 0.2
"""Longer than a report request may take."""
RUN_DURATION_S = 40.0
MAX_PAUSE_INTERVAL_S = 2.5
"""Longest time between the starts of two pauses in a domain."""
MIN_PAUSE_S = 0.4
MIN_ACTIVITY_S = 0.4
"""Shortest time between two pauses of a group, in which its engines report."""
MAX_LEADERSHIP_S = 6.0
"""Longest time without a change of the coordinator."""
ENDING_ORDERS = (OrderOperation.CLOSE, OrderOperation.LEAVE, OrderOperation.JOIN)
"""Orders that end the requests of a group, sent to any of its members."""
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

    A paused engine executes the orders that its host has received when it goes on.

    :param site: :class:`PausedEngineSite`
    """

    def __init__(self, site):
        self._site = site

    async def report(self, entry):
        if entry.id in self._site.silent_until:
            await asyncio.sleep(SETTINGS.report_timeout_s)
            raise TargetUnreachable("no answer to the report request", sent=True)
        return await self._site.world.report(entry)

    async def order(self, entry, order):
        now = asyncio.get_running_loop().time()
        self._site.orders.append(
            ObservedOrder(now, entry.id, order.operation, order.group, order.epoch)
        )
        silent_until = self._site.silent_until.get(entry.id)
        if silent_until is None:
            return await self._site.world.order(entry, order)
        if self._site.host_reaction == "accepts":
            self._site.start(self._order_at(silent_until, entry, order))
        await asyncio.sleep(SETTINGS.order_timeout_s)
        raise TargetUnreachable("no answer to the order", sent=True)

    async def _order_at(self, at, entry, order):
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        await self._site.world.order(entry, order)


class _HostReachability:
    """Implements ``Reachability`` for a daemon that reaches other targets.

    :param site: :class:`PausedEngineSite`
    """

    is_reachable = True

    def __init__(self, site):
        self._site = site
        self._count = 0

    def doubt(self):
        pass

    async def confirm(self):
        return True

    async def accepts_connections(self, address):
        is_silent = address in self._site.silent_addresses
        self._count += is_silent
        is_lost = is_silent and self._is_lost()
        is_ignored = is_lost or (is_silent and self._site.host_reaction == "ignores")
        await asyncio.sleep(self._duration_s(is_silent, is_ignored))
        return not is_silent or (not is_lost and self._site.host_reaction == "accepts")

    def _is_lost(self):
        """Whether the present connection to a silent engine's host is lost."""
        if self._site.failing_connections == "every third is lost":
            return self._count % 3 == 0
        return self._site.failing_connections == f"{self._count} is lost"

    def _duration_s(self, is_silent, is_ignored):
        if is_ignored:
            return CONNECTION_TIMEOUT_S
        is_slow = self._site.failing_connections == f"{self._count} takes 0.2 s"
        return SLOW_CONNECTION_S if is_silent and is_slow else CONNECTION_S


class PausedEngineSite:
    """Domains of engines, their coordinators, and groups that serve requests.

    :param kind: key of :data:`DOMAINS`
    :param coordinator_count: number of coordinators; the first one coordinates.
    :param seed: seed of the random choices of the emulated engines.
    """

    def __init__(self, kind, coordinator_count=1, seed=1):
        self.world = World(random.Random(seed), ORDERLY, MODELS, remembers_models=True)
        for domain in DOMAINS[kind]:
            for _ in range(ENGINES_PER_DOMAIN):
                self.world.add_engine(domain, tuple(model.name for model in MODELS))
        self.host_reaction = "accepts"
        self.failing_connections = ""
        """Which connections to hosts of silent engines fail; empty for none."""
        self.orders = []
        self.updates = []
        self.coordinating = 0
        self.silent_until = {}
        self._unlisted_ids = set()
        self._tasks = set()
        self._coordinators = [
            self._coordinator(number) for number in range(coordinator_count)
        ]

    @property
    def silent_addresses(self):
        """Addresses of the engines that do not answer."""
        engines = self.world.engines
        return {engines[i].address for i in self.silent_until if i in engines}

    def _coordinator(self, number):
        context = CoordinatorContext()
        context.reachability = _HostReachability(self)
        coordinator = Coordinator(
            context,
            self.world,
            _ObservedControl(self),
            SETTINGS,
            SingleCoordinatorScope(lambda: self.coordinating == number),
            self.updates.append,
        )
        self.start(coordinator.run())
        self.start(self._update_target_list(coordinator, context.fleet))
        return coordinator

    async def _update_target_list(self, coordinator, fleet):
        """Apply the current target list to a coordinator at a fixed interval."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S)
            entries = [
                e for e in self.world.entries() if e.id not in self._unlisted_ids
            ]
            coordinator.domains.update_entries(entries)
            coordinator.domains.mark_unlisted(self._unlisted_ids)
            fleet.apply(entries, self._unlisted_ids)

    def unlist(self, engine_ids):
        """Remove the entries of engines that go on working."""
        self._unlisted_ids.update(engine_ids)

    def start(self, coroutine):
        """Run a coroutine until the site stops."""
        self._tasks.add(asyncio.create_task(coroutine))

    async def settle(self):
        """Wait until the groups serve."""
        self.start(self.world.run())
        await asyncio.sleep(SETTLE_S)

    async def stop(self):
        """End all tasks, and raise what any of them raised."""
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            is_cancelled = isinstance(result, asyncio.CancelledError)
            if isinstance(result, BaseException) and not is_cancelled:
                raise result

    def serving_ids(self):
        """Return the ids of the engines whose groups are open."""
        heads = [e for e in self.world.engines.values() if e.is_open_head]
        return {member for head in heads for member in head.members}

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
        self.silent_until.update(dict.fromkeys(engine_ids, ends_at))
        await asyncio.sleep(SUSPICION_DELAY_S)
        while loop.time() < ends_at:
            for coordinator in self._coordinators:
                coordinator.investigate(head, epoch)
            await asyncio.sleep(min(SUSPICION_INTERVAL_S, ends_at - loop.time()))
        for engine_id in engine_ids:
            del self.silent_until[engine_id]


async def _pause_engines(site, domain, rng, max_pause_s):
    """Pause some engines of random open groups of a domain, forever."""
    resting = set()
    while True:
        await asyncio.sleep(rng.uniform(0.1, MAX_PAUSE_INTERVAL_S))
        heads = [
            engine
            for engine in site.world.engines.values()
            if engine.domain == domain
            and engine.is_open_head
            and resting.isdisjoint(engine.members)
        ]
        if not heads:
            continue
        head = rng.choice(heads)
        count = rng.choice((1, 1, 2, len(head.members)))
        paused_ids = rng.sample(head.members, count)
        pause_s = rng.uniform(MIN_PAUSE_S, max_pause_s)
        site.start(_pause_group(site, paused_ids, head, pause_s, resting))


async def _pause_group(site, paused_ids, head, pause_s, resting):
    """Pause engines of a group, which rests afterwards."""
    members = set(head.members)
    resting |= members
    await site.silence(paused_ids, head.id, pause_s)
    await asyncio.sleep(MIN_ACTIVITY_S)
    resting -= members


async def _change_coordinators(site, rng, coordinator_count):
    """Let a random coordinator, or none, coordinate, forever."""
    while True:
        await asyncio.sleep(rng.uniform(1.0, MAX_LEADERSHIP_S))
        site.coordinating = rng.choice((None, *range(coordinator_count)))


async def pausing_run(seed, kind, max_pause_s):
    """Make a run in which engines pause at random while coordinators change.

    :param seed: seed of all random choices.
    :param kind: key of :data:`DOMAINS`
    :param max_pause_s: longest pause. If a stalled group would survive it, orders that
        end the requests of a group are violations.
    :returns: list of violations.
    """
    rng = random.Random(f"pauses {seed}")
    coordinator_count = 2
    site = PausedEngineSite(kind, coordinator_count, seed)
    await site.settle()
    serving_ids = site.serving_ids()
    site.orders.clear()
    site.updates.clear()
    for domain in DOMAINS[kind]:
        site.start(_pause_engines(site, domain, rng, max_pause_s))
    site.start(_change_coordinators(site, rng, coordinator_count))
    await asyncio.sleep(RUN_DURATION_S)
    await site.stop()
    violations = list(site.world.violations)
    if max_pause_s < STALL_S:
        violations += [
            order
            for order in site.orders
            if order.engine in serving_ids and order.operation in ENDING_ORDERS
        ]
        violations += [update for update in site.updates if update.opened is None]
    return violations
