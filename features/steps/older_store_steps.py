"""Steps over a store that comes back from an older copy."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator import Faults, WholeSite, World
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.plan_table import GROUPS_TABLE, PlanTable
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.groups import decode_plan
from features.support.coordinator_runs import ListedTools, bring_list
from features.support.engine_world import MODELS, STALL_S

DOMAINS = ("d1", "d2")
ENGINES = 8
FORMED_S = 8.0
COPY_AGE_S = 7.5
LATER_S = 10.0
NO_FAULTS = Faults(late=0, lost=0, unanswered=0, pause=0, store=0)


@given("a coordinator whose groups serve")
def step_coordinator(context):
    context.before = set()


def _serving(world):
    heads = [engine for engine in world.engines.values() if engine.is_open_head]
    return {(head.membership.group, head.membership.epoch) for head in heads}


async def _run(context):
    world = World(random.Random(1), NO_FAULTS, MODELS)
    for domain in DOMAINS:
        for _ in range(ENGINES):
            world.add_engine(domain)
    tools = ListedTools()
    settings = ControlSettings(stall_s=STALL_S)
    coordinator = Coordinator(
        tools, world, world, settings, WholeSite(lambda: True), lambda news: None
    )
    running = [world.run(), coordinator.run(), bring_list(world, coordinator, tools)]
    tasks = [asyncio.create_task(each) for each in running]
    await asyncio.sleep(FORMED_S)
    context.before = _serving(world)
    world.come_back_older(COPY_AGE_S, 0.3)
    await asyncio.sleep(LATER_S)
    context.after = _serving(world)
    context.rows_later = (await _read(world)).rows
    context.violations = world.violations
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _read(world):
    await asyncio.sleep(0.5)
    return await world.read_table(GROUPS_TABLE)


@when("the store comes back as it was before they were planned")
def step_comes_back(context):
    run_paused(_run(context))


@when(
    "the store comes back as it was before they were planned, "
    "and nothing is written again"
)
def step_comes_back_for_good(context):
    with mock.patch.object(PlanTable, "_restore_lost", lambda self, known: set()):
        run_paused(_run(context))


@then("the same groups serve 10 s later")
def step_same(context):
    assert len(context.before) >= len(DOMAINS), context.before
    assert context.after == context.before, (context.before, context.after)
    assert not context.violations, context.violations


@then("other groups serve 10 s later")
def step_other(context):
    assert context.after != context.before, context.after


@then("the store holds their plans again")
def step_plans(context):
    plans = [decode_plan(r.key, r.value, r.version) for r in context.rows_later]
    held = {(group.name, group.epoch) for plan in plans for group in plan.groups}
    assert context.after <= held, (context.after, held)
