"""Steps for outages of the table, of controllers and of a domain."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import VirtualTimeLoop
from features.support.group_runs import fixed_secrets, vm_specs
from features.support.small_site import InProcessSite, base_changes

POLL_INTERVAL_S = 0.25


def run_in_scenario_loop(context, coroutine):
    """Run a coroutine in the scenario's loop of virtual time."""
    return context.runner.run(coroutine)


@given("an in-process site in virtual time with {group_count:d} groups granted")
def step_in_process_site(context, group_count):
    context.resources.enter_context(fixed_secrets(1))
    random.seed(1)
    runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.runner = context.resources.enter_context(runner)

    async def start():
        site = InProcessSite(1, vm_specs(True), ("c1", "c2", "c3"), ("g1",))
        site.repair["loads_at_once"] = 4
        await site.start()
        await site.edit("c1", *base_changes(2, group_count))
        context.view = site.gateways["g1"].view
        await site.wait_until(lambda: granted_group_count(context) == group_count)
        return site

    context.in_process_site = run_in_scenario_loop(context, start())


def granted_group_count(context):
    """Return the number of groups to which the gateway may send requests."""
    return len(context.view.group_grants(["grp"]))


async def _crash_shard_holders(site):
    for name, controller in list(site.controllers.items()):
        if controller.shard_manager.workers and len(site.controllers) > 1:
            await controller.stop()
            del site.controllers[name]


@when("the table goes down permanently and the holder of each shard crashes")
def step_outage(context):
    async def outage():
        context.in_process_site.world.table.faults["down"] = True
        await asyncio.sleep(10.0)
        await _crash_shard_holders(context.in_process_site)

    run_in_scenario_loop(context, outage())


@when("the holder of each shard crashes")
def step_holders_crash(context):
    run_in_scenario_loop(context, _crash_shard_holders(context.in_process_site))


@then("all groups stay granted for {seconds:d} s, with gaps of at most {gap_s:d} s")
def step_groups_stay_granted(context, seconds, gap_s):
    async def measure_longest_gap():
        end_at, current_gap_s, longest_gap_s = now() + seconds, 0.0, 0.0
        while now() < end_at:
            await asyncio.sleep(POLL_INTERVAL_S)
            current_gap_s = (
                0.0
                if granted_group_count(context) == 4
                else current_gap_s + POLL_INTERVAL_S
            )
            longest_gap_s = max(longest_gap_s, current_gap_s)
        return longest_gap_s

    longest_gap_s = run_in_scenario_loop(context, measure_longest_gap())
    assert longest_gap_s <= gap_s, f"not all groups granted for {longest_gap_s} s"


@then("a group with a dead member is withdrawn within {limit_s:d} seconds")
def step_member_dies(context, limit_s):
    async def fail_member():
        spec = context.view.group_grants(["grp"])[0].report.spec
        context.in_process_site.world.targets[spec.vm_names[1]].faults["dead"] = True
        await asyncio.sleep(limit_s)
        return [
            g.report.spec.group for g in context.view.group_grants(["grp"])
        ], spec.group

    groups, lost_group = run_in_scenario_loop(context, fail_member())
    assert lost_group not in groups
    assert groups


@when("all targets of domain {domain} are down for {seconds:d} seconds")
def step_domain_fails(context, domain, seconds):
    async def fail_domain():
        world = context.in_process_site.world
        vm_names = [n for n, t in world.targets.items() if t.vm["domain"] == domain]
        for name in vm_names:
            world.targets[name].faults["dead"] = True
        await asyncio.sleep(seconds)
        world.weights.max_concurrent_loads = 0
        for name in vm_names:
            world.change_vm(name, "restart")

    run_in_scenario_loop(context, fail_domain())


@then("{group_count:d} groups are granted again")
def step_groups_granted_again(context, group_count):
    run_in_scenario_loop(
        context,
        context.in_process_site.wait_until(
            lambda: granted_group_count(context) == group_count
        ),
    )


@then("no more than {max_loads:d} loads ran concurrently")
def step_concurrent_loads(context, max_loads):
    assert context.in_process_site.world.weights.max_concurrent_loads <= max_loads
