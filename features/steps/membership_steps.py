"""Steps over membership nodes in fake time."""

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from features.support.membership_runs import MembershipMachine, random_run, settle
from features.support.membership_variants import VARIANTS

MACHINE_EXAMPLES = 60
MACHINE_STEPS = 30
MOST_VARIANT_SEEDS = 60


@when("{number:d} random runs of {size:d} daemons are made from seed {first:d}")
def step_runs(context, number, size, first):
    context.runs = {s: random_run(s, size) for s in range(first, first + number)}


@then("nobody ever served an older revision than the accepted one")
def step_no_violation(context):
    found = {s: f.violations[0] for s, f in context.runs.items() if f.violations}
    assert not found, f"violations by seed: {found}"
    accepted = sum(fleet.accepted_count for fleet in context.runs.values())
    assert accepted > 5 * len(context.runs), f"only {accepted} were accepted"


@then("every fleet settled on its newest revision, accepted and served by all")
def step_settled(context):
    for seed, fleet in context.runs.items():
        settle(fleet)
        assert not fleet.violations, (seed, fleet.violations[0])
        assert len(fleet.serving()) == len(fleet.names), (seed, fleet.serving())
        assert fleet.accepted == fleet.head.number, (seed, fleet.accepted)


@then("no sequence of faults makes a daemon serve an older revision")
def step_machine(context):
    run_state_machine_as_test(
        MembershipMachine,
        settings=settings(
            max_examples=MACHINE_EXAMPLES,
            stateful_step_count=MACHINE_STEPS,
            deadline=None,
            database=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


@when("runs are made with {variant}")
def step_variant_runs(context, variant):
    context.violations = []
    for seed in range(MOST_VARIANT_SEEDS):
        fleet = random_run(seed, adjust=VARIANTS[variant])
        if fleet.violations:
            context.violations = fleet.violations
            break


@then("some daemon served an older revision than the accepted one")
def step_some_violation(context):
    assert context.violations
