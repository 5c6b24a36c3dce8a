"""Steps for retries that arrive later than they were sent."""

import asyncio
import random
import shutil

from behave import given, then, when

from soak.retry_faults import RetryFault
from soak.retry_run import run_schedule
from soak.target_process import TargetMode

CALM_S = 6.0


@given("eight daemons and nine targets as processes")
def step_processes(context):
    context.rng = random.Random(1)


@when("all targets stand still for {seconds:d} s")
def step_stand_still(context, seconds):
    kind = "targets_stand_still"
    fault = RetryFault(CALM_S, kind, 1.0, float(seconds), TargetMode.SOUND)
    context.figures, site = asyncio.run(run_schedule([fault], context.rng))
    shutil.rmtree(site.folder)


@then("retries have arrived at the targets")
def step_retries_arrived(context):
    assert any(each.repeats for each in context.figures), context.figures


@then("no window has more repeats at a service than all daemons together are allowed")
def step_within_budget(context):
    for each in context.figures:
        assert not each.worst.is_violation, each
