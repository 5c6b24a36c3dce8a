"""Steps for daemon processes and engines that exit under a part of prompts."""

from behave import given, then, when

from features.steps.platform_steps import (
    _all_ready,
    _run_in_loop,
    _serving_heads,
    _wait_until,
    start_platform,
)
from features.support.crash_form_runs import (
    CrashFormScenario,
    exceeded_bounds,
    make_site,
    play,
)
from features.support.crashing_site import Aftermath, CrashForm
from features.support.prompt_callers import MODEL

SERVING_GROUPS = 7


async def wait_for_model(site):
    """Wait until the daemons of a site are ready and groups of its model serve."""

    async def serves():
        heads = _serving_heads(site, MODEL)
        return len(heads) >= SERVING_GROUPS and await _all_ready(site)

    await _wait_until(serves, "groups of the model that serve")


@given(
    "a platform with {daemons:d} daemons, where an engine exits {form}, after which "
    "{aftermath}"
)
def step_platform(context, daemons, form, aftermath):
    context.scenario_settings = CrashFormScenario(
        CrashForm(form), daemons, Aftermath(aftermath)
    )
    site = make_site(context.scenario_settings)
    start_platform(context, site, wait_for_model)


@when(
    "prompts are sent for {seconds:d} s with seed {seed:d}, from {bad_from_s:d} s on "
    "also some with a bad part"
)
def step_prompts(context, seconds, seed, bad_from_s):
    async def send():
        context.run = await play(
            context.platform, context.scenario_settings.shape, seed, seconds, bad_from_s
        )

    _run_in_loop(context, send())


@then("the bound on requests with a bad part holds, and no sound part is convicted")
def step_bound(context):
    exceeded = exceeded_bounds(context.run, context.scenario_settings)
    assert not exceeded, (exceeded, context.run)
