"""Steps for coordinators that compete for the same engines."""

from behave import then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from features.support.coordinator_runs import SITES, VARIANTS, coordinator_run

MAX_SEEDS = 100
"""Runs within which a disabled mechanism must be detected; most show up in a few per
cent of all runs."""


@when(
    "{number:d} runs of competing coordinators are made from seed {first:d} on a "
    "{site} site"
)
def step_competing_runs(context, number, first, site):
    context.worlds = [
        run_in_virtual_time(coordinator_run(seed, SITES[site]))
        for seed in range(first, first + number)
    ]


@when(
    "competing coordinators run with {variant} on a {site} site, from seed {first:d} on"
)
def step_runs_with_variant(context, variant, site, first):
    context.worlds = []
    for seed in range(first, first + MAX_SEEDS):
        with VARIANTS[variant]():
            context.worlds.append(
                run_in_virtual_time(coordinator_run(seed, SITES[site]))
            )
        if context.worlds[-1].violations:
            return


@then("the oracle found no partial group and no engine in two groups")
def step_no_violation(context):
    violations = [world.violations[:1] for world in context.worlds if world.violations]
    assert not violations, violations


@then("groups served in every run")
def step_groups_served(context):
    assert all(world.served for world in context.worlds)


@then("the oracle found a partial group or an engine in two groups")
def step_violation_found(context):
    assert any(world.violations for world in context.worlds)
