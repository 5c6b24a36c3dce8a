"""Steps for membership nodes in virtual time."""

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from features.support.membership_runs import MembershipStateMachine, random_run, settle
from features.support.membership_variants import VARIANTS

STATE_MACHINE_EXAMPLES = 60
STATE_MACHINE_STEPS = 30
MAX_VARIANT_SEEDS = 60


@when(
    "{run_count:d} random membership runs of {daemon_count:d} daemons are made from "
    "seed {first:d}"
)
def step_random_runs(context, run_count, daemon_count, first):
    context.runs = {
        s: random_run(s, daemon_count) for s in range(first, first + run_count)
    }


@then("no daemon served an older revision than the accepted one")
def step_no_violation(context):
    first_violations = {
        s: f.violations[0] for s, f in context.runs.items() if f.violations
    }
    assert not first_violations, f"violations by seed: {first_violations}"
    acceptance_count = sum(fleet.acceptance_count for fleet in context.runs.values())
    assert acceptance_count > 5 * len(context.runs), (
        f"only {acceptance_count} revisions were accepted"
    )


@then("every fleet converged on its newest revision, accepted and served by all")
def step_converged(context):
    for seed, fleet in context.runs.items():
        settle(fleet)
        assert not fleet.violations, (seed, fleet.violations[0])
        assert len(fleet.serving()) == len(fleet.names), (seed, fleet.serving())
        assert fleet.accepted_number == fleet.head.number, (seed, fleet.accepted_number)


@then("no sequence of faults makes a daemon serve an older revision")
def step_state_machine(context):
    run_state_machine_as_test(
        MembershipStateMachine,
        settings=settings(
            max_examples=STATE_MACHINE_EXAMPLES,
            stateful_step_count=STATE_MACHINE_STEPS,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


@when("membership runs are made with {variant}")
def step_variant_runs(context, variant):
    context.violations = []
    for seed in range(MAX_VARIANT_SEEDS):
        fleet = random_run(seed, patch_node=VARIANTS[variant])
        if fleet.violations:
            context.violations = fleet.violations
            break


@then("some daemon served an older revision than the accepted one")
def step_violation_found(context):
    assert context.violations
