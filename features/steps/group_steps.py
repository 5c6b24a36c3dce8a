"""Steps over groups in fake time."""

import asyncio

from behave import then, when

from cowslipcourse.admission import Priority
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.exceptions import RequestError
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from features.support.group_runs import fixed_secrets, group_run
from features.support.group_variants import VARIANTS
from harness.callers import chat_body

LEAST_REQUESTS = 100


def one_run(seed):
    """Make one run, the same every time."""
    with fixed_secrets(seed):
        return run_paused(group_run(seed))


def found(context, *words):
    """Return the violations of all runs that contain one of some words."""
    return [
        (run.seed, violation)
        for run in context.runs
        for violation in run.violations
        if any(word in str(violation) for word in words)
    ]


@when("{number:d} random group runs are made from seed {first:d}")
def step_runs(context, number, first):
    context.runs = [one_run(seed) for seed in range(first, first + number)]


@then("no request was served without all members of its group")
def step_whole(context):
    violations = found(context, "without all members")
    assert not violations, violations[:3]
    started = sum(run.started for run in context.runs)
    assert started > LEAST_REQUESTS * len(context.runs), started


@then("no VM belonged to two groups")
def step_one_group(context):
    violations = found(context, "two groups", "without its claim")
    assert not violations, violations[:3]


@then("no leaving VM got new work after {limit_s:d} seconds")
def step_leaving(context, limit_s):
    violations = found(context, "leaving")
    assert not violations, violations[:3]
    assert max(run.last_new_work_s for run in context.runs) <= limit_s


@then("every answer was complete and belonged to its request")
def step_answers(context):
    violations = found(context, "answer", "not run")
    assert not violations, violations[:3]


@then("every site served all possible groups again")
def step_settled(context):
    assert all(run.settled for run in context.runs), [
        run.seed for run in context.runs if not run.settled
    ]


@when("group runs are made with {variant} at seeds {seeds}")
def step_variant(context, variant, seeds):
    context.runs = []
    for seed in seeds.split(","):
        with VARIANTS[variant]():
            context.runs.append(one_run(int(seed)))


@then("a violation was found")
def step_violation(context):
    assert any(run.violations for run in context.runs)


@when("the gateway is paused there while a member dies, {check}")
def step_paused_send(context, check):
    async def scenario():
        site, gateway = context.in_process_site, context.in_process_site.gateways["g1"]
        site.world.leaders_notice = False
        gateway.gate.shut()
        call = Call("r", "crew", Priority.NORMAL, None, "", False)
        generation = Generation(call, chat_body("x", "m", 4), ["grp"], gateway.tools)
        running = asyncio.create_task(_collect(generation))
        await asyncio.sleep(0.1)
        spec = gateway.view.groups[generation.groups[0]].report.spec
        # Without a spare the group stays as it is, and its leader goes on alone.
        members = {vm for g in gateway.view.groups.values() for vm in g.report.spec[8]}
        taken = {member.vm for member in members}
        for name in {*site.world.targets} - taken | {spec.vm_names[1]}:
            site.world.targets[name].faults["dead"] = True
        await asyncio.sleep(10.0)
        gateway.gate.open()
        return await running

    if check == "with the check":
        context.pieces = context.runner.run(scenario())
    else:
        with VARIANTS["no check between the send and the answer"]():
            context.pieces = context.runner.run(scenario())


async def _collect(generation):
    pieces = []
    try:
        async for piece in generation.pieces():
            pieces.append(piece)
    except RequestError:
        return pieces
    return pieces


@then("the group's answer is {result}")
def step_answer_used(context, result):
    assert bool(context.pieces) == (result == "used"), context.pieces
