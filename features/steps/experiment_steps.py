"""Steps over experiments that are kept as files."""

import logging
from pathlib import Path

from behave import given, then, when

from cowslipcourse.emulator.main import run_experiment
from cowslipcourse.emulator.site_file import ExperimentSettings
from cowslipcourse.settings_file import load_settings

EXPERIMENTS = Path(__file__).parents[2] / "measurements" / "experiments"


@given('the experiment "{name}"')
def step_experiment(context, name):
    path = EXPERIMENTS / f"{name}.toml"
    context.settings = load_settings(path, ExperimentSettings)


@when("it is played with seeds {first:d} to {last:d}")
def step_play(context, first, last):
    logging.disable(logging.CRITICAL)
    try:
        runs = run_experiment(context.settings, seeds=range(first, last + 1))
        context.runs = list(runs)
    finally:
        logging.disable(logging.NOTSET)


@then("each kind of request earns at least {least:f} of its worth")
def step_floor(context, least):
    for run in context.runs:
        short = {kind: c for kind, c in run["kinds"].items() if c < least}
        assert not short, (run["seed"], short)


@then(
    "each model has at least {least:d} groups when the traffic begins, on {engines:d} "
    "engines"
)
def step_first_groups(context, least, engines):
    site = context.settings.site
    assert len(site.domains) * site.engines_a_domain == engines
    for run in context.runs:
        assert min(run["first_groups"].values()) >= least, run
