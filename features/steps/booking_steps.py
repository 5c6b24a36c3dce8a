"""Steps over bookings in fake time."""

from unittest import mock

from behave import then, when

from cowslipcourse.admission import Priority
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.exceptions import DaemonStopped, RequestError
from cowslipcourse.gateway.callers import Call
from features.steps.group_steps import violations_with
from features.support.booking_runs import BookingRun
from features.support.booking_variants import VARIANTS
from features.support.group_runs import fixed_secrets

MOST_VARIANT_SEEDS = 8
LEAST_COMPLETED = 10


def one_run(seed):
    """Make one run, the same every time."""
    run = BookingRun(seed)
    with fixed_secrets(seed):
        run.violations = run_paused(run.run())
    return run


@when("{number:d} booking runs are made from seed {first:d}")
def step_runs(context, number, first):
    context.runs = [one_run(seed) for seed in range(first, first + number)]


@then("no booking ran twice")
def step_once(context):
    violations = violations_with(context, "ran twice")
    assert not violations, violations[:3]


@then('no caller was told "not run" of a booking that ran')
def step_truth(context):
    violations = violations_with(context, "told not run")
    assert not violations, violations[:3]


@then("every completed booking ran once and was answered the same each time")
def step_completed(context):
    violations = violations_with(context, "completed but", "two answers")
    assert not violations, violations[:3]
    completed = sum(run.told.get("completed", 0) for run in context.runs)
    assert completed > LEAST_COMPLETED * len(context.runs), completed
    kinds = set().union(*(run.completed_kinds for run in context.runs))
    assert kinds == {"minted", "own", "none"}, kinds


@when("booking runs are made with {variant}")
def step_variant(context, variant):
    context.runs = []
    for seed in range(MOST_VARIANT_SEEDS):
        with VARIANTS[variant]():
            context.runs.append(one_run(seed))
        if context.runs[-1].violations:
            break


@when("the first attempt breaks off after it ran and the gateway then stops")
def step_stops_between(context):
    async def scenario():
        gateway = context.in_process_site.gateways["g1"]
        await context.in_process_site.wait_until(
            lambda: gateway.view.service_grants("svc")
        )
        for name in ("s1", "s2"):
            context.in_process_site.world.targets[name].faults["drop_before_answer"] = 1
        checks = iter((True, False))

        def require_serving():
            if not next(checks):
                raise DaemonStopped("cut off")

        with mock.patch.object(gateway.agent, "require_serving", require_serving):
            call = Call("r", "crew", Priority.NORMAL, None, "", True)
            try:
                await gateway.requests.run(call, "svc", "look", b'{"n": 0}')
            except RequestError as error:
                return error.outcome
        return "completed"

    context.outcome = context.runner.run(scenario())


@then('the caller is told "{outcome}"')
def step_told(context, outcome):
    assert context.outcome == outcome, context.outcome
