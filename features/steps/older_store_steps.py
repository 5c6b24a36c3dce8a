"""Steps for a store that is restored from an older copy."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator import Faults, SingleCoordinatorScope, World
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.plan_table import GROUPS_TABLE, PlanTable
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.group_plans import decode_plan
from features.support.coordinator_runs import CoordinatorContext, update_target_list
from features.support.engine_world import MODELS, STALL_S

DOMAINS = ("d1", "d2")
ENGINES_PER_DOMAIN = 8
FORMATION_S = 8.0
COPY_AGE_S = 7.5
OBSERVATION_S = 10.0
NO_FAULTS = Faults(
    late_order_fraction=0,
    lost_order_fraction=0,
    unanswered_order_fraction=0,
    pause_fraction=0,
    store_failure_fraction=0,
)


@given("a coordinator with serving groups")
def step_coordinator(context):
    context.groups_before = set()


def _serving_groups(world):
    heads = [engine for engine in world.engines.values() if engine.is_open_head]
    return {(head.membership.group, head.membership.epoch) for head in heads}


async def _run_with_restore(context):
    world = World(random.Random(1), NO_FAULTS, MODELS)
    for domain in DOMAINS:
        for _ in range(ENGINES_PER_DOMAIN):
            world.add_engine(domain)
    coordinator_context = CoordinatorContext()
    settings = ControlSettings(stall_s=STALL_S)
    coordinator = Coordinator(
        coordinator_context,
        world,
        world,
        settings,
        SingleCoordinatorScope(lambda: True),
        lambda update: None,
    )
    coroutines = [
        world.run(),
        coordinator.run(),
        update_target_list(world, coordinator, coordinator_context),
    ]
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    await asyncio.sleep(FORMATION_S)
    context.groups_before = _serving_groups(world)
    world.restore_older_copy(COPY_AGE_S, 0.3)
    await asyncio.sleep(OBSERVATION_S)
    context.groups_after = _serving_groups(world)
    context.rows_after = (await _read_plans(world)).rows
    context.violations = world.violations
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _read_plans(world):
    await asyncio.sleep(0.5)
    return await world.read_table(GROUPS_TABLE)


@when("the store is restored from a copy older than their plans")
def step_restore(context):
    run_in_virtual_time(_run_with_restore(context))


@when(
    "the store is restored from a copy older than their plans, "
    "and lost rows are not written again"
)
def step_restore_without_rewrite(context):
    with mock.patch.object(
        PlanTable, "_restore_lost", lambda self, previous_plans: set()
    ):
        run_in_virtual_time(_run_with_restore(context))


@then("the same groups are serving 10 s later")
def step_same_groups(context):
    assert len(context.groups_before) >= len(DOMAINS), context.groups_before
    assert context.groups_after == context.groups_before, (
        context.groups_before,
        context.groups_after,
    )
    assert not context.violations, context.violations


@then("other groups are serving 10 s later")
def step_other_groups(context):
    assert context.groups_after != context.groups_before, context.groups_after


@then("the store contains their plans again")
def step_plans_stored(context):
    plans = [decode_plan(r.key, r.value, r.version) for r in context.rows_after]
    stored = {(group.name, group.epoch) for plan in plans for group in plan.groups}
    assert context.groups_after <= stored, (context.groups_after, stored)
