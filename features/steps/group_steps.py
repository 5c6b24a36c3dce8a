"""Steps for groups of an in-process site under random faults."""

import asyncio

from behave import then, when

from cowslipcourse.admission import Priority
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import RequestError
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from features.support.group_runs import fixed_secrets, group_run
from features.support.group_variants import VARIANTS
from harness.callers import chat_body

MIN_REQUESTS_PER_RUN = 100


def deterministic_run(seed):
    """Return the result of one run, which depends on the seed alone."""
    with fixed_secrets(seed):
        return run_in_virtual_time(group_run(seed))


def violations_with(context, *phrases):
    """Return the violations of all runs that contain one of the phrases."""
    return [
        (run.seed, violation)
        for run in context.runs
        for violation in run.violations
        if any(phrase in str(violation) for phrase in phrases)
    ]


@when("{number:d} random group runs are made from seed {first:d}")
def step_random_runs(context, number, first):
    context.runs = [deterministic_run(seed) for seed in range(first, first + number)]


@then("no request was served without all members of its group")
def step_no_incomplete_group(context):
    violations = violations_with(context, "without all members")
    assert not violations, violations[:3]
    started_count = sum(run.started_count for run in context.runs)
    assert started_count > MIN_REQUESTS_PER_RUN * len(context.runs), started_count


@then("no VM belonged to two groups")
def step_no_shared_vm(context):
    violations = violations_with(context, "two groups", "without its claim")
    assert not violations, violations[:3]


@then("no leaving VM got new work after {limit_s:d} seconds")
def step_no_new_work_on_leaving_vm(context, limit_s):
    violations = violations_with(context, "leaving")
    assert not violations, violations[:3]
    assert max(run.max_new_work_delay_s for run in context.runs) <= limit_s


@then("every answer was complete and belonged to its request")
def step_answers_complete(context):
    violations = violations_with(context, "answer", "not run")
    assert not violations, violations[:3]


@then("every site served all possible groups again")
def step_recovered(context):
    assert all(run.has_recovered for run in context.runs), [
        run.seed for run in context.runs if not run.has_recovered
    ]


@when("group runs are made with {variant} at seeds {seeds}")
def step_runs_with_variant(context, variant, seeds):
    context.runs = []
    for seed in seeds.split(","):
        with VARIANTS[variant]():
            context.runs.append(deterministic_run(int(seed)))


@then("a violation was found")
def step_violation(context):
    assert any(run.violations for run in context.runs)


@when("the gateway is paused between grant check and send while a member dies, {check}")
def step_paused_before_send(context, check):
    async def pause_gateway():
        site, gateway = context.in_process_site, context.in_process_site.gateways["g1"]
        site.world.leaders_detect_loss = False
        gateway.gate.shut()
        call = Call("r", "crew", Priority.NORMAL, None, "", False)
        generation = Generation(call, chat_body("x", "m", 4), ["grp"], gateway.context)
        collection = asyncio.create_task(_collect_chunks(generation))
        await asyncio.sleep(0.1)
        spec = gateway.view.groups[generation.attempted_groups[0]].report.spec
        # Without spares the group is not repaired, and its leader serves alone.
        members = {vm for g in gateway.view.groups.values() for vm in g.report.spec[8]}
        in_groups = {member.vm for member in members}
        for name in {*site.world.targets} - in_groups | {spec.vm_names[1]}:
            site.world.targets[name].faults["dead"] = True
        await asyncio.sleep(10.0)
        gateway.gate.open()
        return await collection

    if check == "with a check after the send":
        context.chunks = context.runner.run(pause_gateway())
    else:
        with VARIANTS["no check after the send"]():
            context.chunks = context.runner.run(pause_gateway())


async def _collect_chunks(generation):
    chunks = []
    try:
        async for chunk in generation.chunks():
            chunks.append(chunk)
    except RequestError:
        return chunks
    return chunks


@then("the group's answer is {result}")
def step_answer_used(context, result):
    assert bool(context.chunks) == (result == "used"), context.chunks
