"""Steps over outages in fake time."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import PausedLoop
from features.support.group_runs import fixed_secrets, vm_specs
from features.support.small_site import InProcessSite, base_changes

LOOK_S = 0.25


def run(context, coroutine):
    """Run a coroutine in the scenario's paused loop."""
    return context.runner.run(coroutine)


@given("a small site in fake time with {number:d} groups granted")
def step_small_site(context, number):
    context.resources.enter_context(fixed_secrets(1))
    random.seed(1)
    runner = asyncio.Runner(loop_factory=PausedLoop)
    context.runner = context.resources.enter_context(runner)

    async def start():
        site = InProcessSite(1, vm_specs(True), ("c1", "c2", "c3"), ("g1",))
        site.repair["loads_at_once"] = 4
        await site.start()
        await site.edit("c1", *base_changes(2, number))
        context.view = site.gateways["g1"].view
        await site.wait_until(lambda: granted(context) == number)
        return site

    context.in_process_site = run(context, start())


def granted(context):
    """Return the number of groups that the gateway may send requests to."""
    return len(context.view.group_grants(["grp"]))


async def _crash_holders(site):
    for name, controller in list(site.controllers.items()):
        if controller.shard_manager.workers and len(site.controllers) > 1:
            await controller.stop()
            del site.controllers[name]


@when("the table goes down for good and the holder of each shard crashes")
def step_outage(context):
    async def outage():
        context.in_process_site.world.table.faults["down"] = True
        await asyncio.sleep(10.0)
        await _crash_holders(context.in_process_site)

    run(context, outage())


@when("the holder of each shard crashes")
def step_crash(context):
    run(context, _crash_holders(context.in_process_site))


@then("groups stay granted for {seconds:d} s, with gaps of {gap_s:d} s at most")
def step_granted(context, seconds, gap_s):
    async def watch():
        until, gap, longest = now() + seconds, 0.0, 0.0
        while now() < until:
            await asyncio.sleep(LOOK_S)
            gap = 0.0 if granted(context) == 4 else gap + LOOK_S
            longest = max(longest, gap)
        return longest

    longest = run(context, watch())
    assert longest <= gap_s, f"not all groups granted for {longest} s"


@then("a member that dies still takes its group out within {limit_s:d} seconds")
def step_dies(context, limit_s):
    async def die():
        spec = context.view.group_grants(["grp"])[0].report.spec
        context.in_process_site.world.targets[spec.vm_names[1]].faults["dead"] = True
        await asyncio.sleep(limit_s)
        return [
            g.report.spec.group for g in context.view.group_grants(["grp"])
        ], spec.group

    groups, gone = run(context, die())
    assert gone not in groups
    assert groups


@when("domain {domain} goes dark for {seconds:d} seconds and comes back")
def step_dark(context, domain, seconds):
    async def dark():
        world = context.in_process_site.world
        names = [n for n, t in world.targets.items() if t.vm["domain"] == domain]
        for name in names:
            world.targets[name].faults["dead"] = True
        await asyncio.sleep(seconds)
        world.weights.most_at_once = 0
        for name in names:
            world.change_vm(name, "restart")

    run(context, dark())


@then("{number:d} groups are granted again")
def step_again(context, number):
    run(context, context.in_process_site.wait_until(lambda: granted(context) == number))


@then("no more than {most:d} loads ran at once")
def step_loads(context, most):
    assert context.in_process_site.world.weights.most_at_once <= most
