"""Steps over requests that end the targets which run them."""

import logging
import tomllib

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.emulator.crashes import COUNTED_ENDS
from cowslipcourse.emulator.site import play
from cowslipcourse.emulator.site_file import ExperimentSettings
from features.steps.emulator_steps import SITE

DAEMONS = 8
LATER_ALLOWED = 3


def _settings(seconds, faults, **site):
    tables = tomllib.loads('name = "quarantine"\n' + SITE)
    tables["site"] |= {"daemons": DAEMONS} | site
    tables |= {"seconds": seconds, "faults": faults}
    return ExperimentSettings.model_validate(tables)


def _play(settings, seed):
    logging.disable(logging.CRITICAL)
    try:
        return run_paused(play(settings, seed))
    finally:
        logging.disable(logging.NOTSET)


@given(
    "an emulated site at which one request that ends its targets comes at {count:d} "
    "daemons every {every:d} s"
)
def step_site(context, count, every):
    context.faults = [
        {
            "kind": "crash",
            "at_s": 1,
            "every_s": every,
            "until_s": 60,
            "count": count,
            "request": "query",
        }
    ]


@when(
    "it is played for {seconds:d} s with seed {seed:d}, with daemons that tell each "
    "other"
)
def step_play(context, seconds, seed):
    context.result = _play(_settings(seconds, context.faults), seed)


@then(
    "it reaches no more than {most:d} targets later than {seconds:d} s after the third "
    "end"
)
def step_bound(context, most, seconds):
    crashes = context.result.crashes
    assert crashes and all(each.ended >= COUNTED_ENDS for each in crashes), crashes
    assert all(each.later <= most for each in crashes), crashes
    assert not context.result.violations, context.result.violations
