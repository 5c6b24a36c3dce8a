"""Steps over duelling coordinators."""

from behave import then, when

from cowslipcourse.emulator.clock import run_paused
from features.support.coordinator_runs import SITES, VARIANTS, coordinator_run

MOST_SEEDS = 100
"""Runs until a missing mechanism must have been found out; most take a few per cent."""


@when("{number:d} duels are run from seed {first:d} on a {site} site")
def step_duels(context, number, first, site):
    context.worlds = [
        run_paused(coordinator_run(seed, SITES[site]))
        for seed in range(first, first + number)
    ]


@when("duels are run with {variant} on a {site} site, from seed {first:d} on")
def step_variant_duels(context, variant, site, first):
    context.worlds = []
    for seed in range(first, first + MOST_SEEDS):
        with VARIANTS[variant]():
            context.worlds.append(run_paused(coordinator_run(seed, SITES[site])))
        if context.worlds[-1].violations:
            return


@then("the oracle saw no partial group and no engine in two groups")
def step_no_violation(context):
    found = [world.violations[:1] for world in context.worlds if world.violations]
    assert not found, found


@then("groups served in every duel")
def step_served(context):
    assert all(world.served for world in context.worlds)


@then("the oracle saw a group that was partial or an engine in two groups")
def step_violation(context):
    assert any(world.violations for world in context.worlds)
