"""Steps for bookings through gateways in virtual time."""

from unittest import mock

from behave import then, when

from cowslipcourse.admission import Priority
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import DaemonStopped, RequestError
from cowslipcourse.gateway.callers import Call
from features.steps.group_steps import violations_with
from features.support.booking_runs import BookingRun
from features.support.booking_variants import VARIANTS
from features.support.group_runs import fixed_secrets

MAX_VARIANT_SEEDS = 8
MIN_COMPLETED_PER_RUN = 10


def deterministic_run(seed):
    """Return one run, which depends on the seed alone."""
    run = BookingRun(seed)
    with fixed_secrets(seed):
        run.violations = run_in_virtual_time(run.run())
    return run


@when("{number:d} random booking runs are made from seed {first:d}")
def step_random_runs(context, number, first):
    context.runs = [deterministic_run(seed) for seed in range(first, first + number)]


@then("no booking ran twice")
def step_none_ran_twice(context):
    violations = violations_with(context, "ran twice")
    assert not violations, violations[:3]


@then('no booking that ran was reported as "not run"')
def step_no_false_not_run(context):
    violations = violations_with(context, "reported not run")
    assert not violations, violations[:3]


@then("every completed booking ran once and got the same answer each time")
def step_completed_once(context):
    violations = violations_with(context, "completed but", "different answers")
    assert not violations, violations[:3]
    completed_count = sum(
        run.outcome_counts.get("completed", 0) for run in context.runs
    )
    assert completed_count > MIN_COMPLETED_PER_RUN * len(context.runs), completed_count
    key_kinds = set().union(*(run.completed_key_kinds for run in context.runs))
    assert key_kinds == {"minted", "own", "none"}, key_kinds


@when("booking runs are made with {variant}")
def step_variant_runs(context, variant):
    context.runs = []
    for seed in range(MAX_VARIANT_SEEDS):
        with VARIANTS[variant]():
            context.runs.append(deterministic_run(seed))
        if context.runs[-1].violations:
            break


@when("the first attempt fails after it ran and the gateway then stops")
def step_stops_after_first_attempt(context):
    async def attempt_and_stop():
        gateway = context.in_process_site.gateways["g1"]
        await context.in_process_site.wait_until(
            lambda: gateway.view.service_grants("svc")
        )
        for name in ("s1", "s2"):
            context.in_process_site.world.targets[name].faults["drop_before_answer"] = 1
        serving_results = iter((True, False))

        def require_serving():
            if not next(serving_results):
                raise DaemonStopped("cut off")

        with mock.patch.object(gateway.agent, "require_serving", require_serving):
            call = Call("r", "crew", Priority.NORMAL, None, "", True)
            try:
                await gateway.requests.run(call, "svc", "look", b'{"n": 0}')
            except RequestError as error:
                return error.outcome
        return "completed"

    context.outcome = context.runner.run(attempt_and_stop())


@then('the caller gets the outcome "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
