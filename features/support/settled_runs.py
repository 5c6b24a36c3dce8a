"""Runs of competing coordinators with faults, followed by a time without faults."""

import asyncio
import random

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.settings import ControlSettings
from features.support.coordinator_runs import (
    CoordinatorContext,
    LeadershipBeliefs,
    UnreliableEngineControl,
    inject_engine_faults,
    restore_store,
    update_target_list_late,
)
from features.support.engine_world import MODELS, STALL_S

__all__ = ["idle_engines_after_faults"]

FAULTS_S = 20.0
CALM_S = 25.0
CLOSING_S = 2.0
"""Time after which a closing head has finished its requests."""
NO_FAULTS = Faults(
    late_order_fraction=0,
    lost_order_fraction=0,
    unanswered_order_fraction=0,
    pause_fraction=0,
    store_failure_fraction=0,
)


async def _finish_closing(world):
    closing_since = {}
    while True:
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        closing = {e for e in world.engines.values() if e.is_closing_head}
        closing_since = {e: closing_since.get(e, now) for e in closing}
        for engine, since in closing_since.items():
            if now - since >= CLOSING_S:
                engine.finish_closing()


def _idle_engines(world, domain):
    serving = set()
    for engine in world.engines.values():
        if engine.is_open_head and world.is_complete(engine):
            serving |= set(engine.members)
    return sum(
        engine.domain == domain and engine.id not in serving
        for engine in world.engines.values()
    )


async def _cancel(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def idle_engines_after_faults(seed, site):
    """Make one run; return how many engines of each domain serve in no group then.

    :param seed: seed of all random choices.
    :param site: :class:`~features.support.coordinator_runs.ContentionSite`
    """
    rng = random.Random(seed)
    world = World(rng, Faults(), MODELS)
    for domain in site.domains:
        for _ in range(site.engines_per_domain):
            world.add_engine(domain)
    beliefs = LeadershipBeliefs(rng, site.coordinator_count)
    faults = [beliefs.run(), inject_engine_faults(world, site, rng)]
    if site.has_restores:
        faults.append(restore_store(world, random.Random(f"restored {seed}")))
    coroutines = [world.run(), _finish_closing(world)]
    controls = []
    for number in range(site.coordinator_count):
        control = UnreliableEngineControl(world, rng)
        controls.append(control)
        faults.append(control.run_cuts())
        context = CoordinatorContext()
        coordinator = Coordinator(
            context,
            world,
            control,
            ControlSettings(stall_s=STALL_S),
            SingleCoordinatorScope(
                lambda number=number: beliefs.is_coordinator[number]
            ),
            lambda update: None,
        )
        coroutines.append(coordinator.run())
        coroutines.append(
            update_target_list_late(world, coordinator, context.fleet, rng, site)
        )
    fault_tasks = [asyncio.create_task(each) for each in faults]
    tasks = [asyncio.create_task(each) for each in coroutines]
    await asyncio.sleep(FAULTS_S)
    await _cancel(fault_tasks)
    world.faults = NO_FAULTS
    for control in controls:
        control.mend()
    for engine in world.engines.values():
        engine.is_unreachable = False
    beliefs.is_coordinator = [True] + [False] * (site.coordinator_count - 1)
    await asyncio.sleep(CALM_S)
    idle = {domain: _idle_engines(world, domain) for domain in site.domains}
    await _cancel(tasks)
    return idle
