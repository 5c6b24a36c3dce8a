"""Steps for the retry budget of daemons that are real processes."""

import asyncio

from behave import given, then, when

from cowslipcourse.entry.settings import RetrySettings
from features.steps.platform_steps import start_platform
from features.support.breaking_site import RETRY_SETTINGS, BreakingSite, call_beside
from features.support.budget_oracle import worst_window
from features.support.partitioned_site import Cut, PartitionedSite

SOUND_S = 9.0
KILLS_AFTER_S = (2.0, 3.0)
BROKEN_AFTER_KILLS_S = 4.0
MAX_START_S = 20.0
POLL_INTERVAL_S = 0.1
CUT_DAEMONS = ("a1", "a2", "a4", "a5", "a7")
CUT_S = 3.0
PAUSE_BETWEEN_CUTS_S = 1.0


class _BreakingPartitionedSite(BreakingSite, PartitionedSite):
    """Targets that can fail all requests, behind links that can be cut."""


@given("a platform with four daemons as processes, which share a small retry budget")
def step_platform(context):
    start_platform(context, BreakingSite())


async def _kill_all(site):
    """Kill all daemons, and start them again."""
    for name in list(site.processes):
        site.kill(name)
    for name, process in list(site.processes.items()):
        await asyncio.to_thread(process.wait)
        site.start_daemon(name)


def _have_started(site, count):
    """Whether each daemon has logged that many starts."""
    return all(log.count("event=started") >= count for log in site.logs().values())


async def _wait_for_starts(site, count):
    """Wait until each daemon has logged that many starts, as a busy machine is slow."""
    async with asyncio.timeout(MAX_START_S):
        while not _have_started(site, count):
            await asyncio.sleep(POLL_INTERVAL_S)


async def _break_and_kill(site):
    await asyncio.sleep(SOUND_S)
    site.are_broken = True
    for count, after_s in enumerate(KILLS_AFTER_S, start=1):
        await asyncio.sleep(after_s)
        await _kill_all(site)
        await _wait_for_starts(site, count + 1)
    await asyncio.sleep(BROKEN_AFTER_KILLS_S)
    site.are_broken = False


@when("all targets fail all requests, and all daemons are killed twice meanwhile")
def step_broken(context):
    site = context.platform
    running = call_beside(site, _break_and_kill(site))
    context.sent_at = context.runner.run(running)


@then("requests were sent again by daemons of the first and of the last incarnation")
def step_sent_again(context):
    for name, log in context.platform.logs().items():
        incarnations = log.split("event=started")[1:]
        assert len(incarnations) == 1 + len(KILLS_AFTER_S), (name, len(incarnations))
        for incarnation in (incarnations[0], incarnations[-1]):
            assert "outcome=taken" in incarnation, name


@then("no window has more repeats at targets than all of them together are allowed")
def step_within_budget(context):
    arrivals = context.platform.arrived_at.values()
    repeats = sorted(at for times in arrivals for at in sorted(times)[1:])
    settings = RetrySettings(**RETRY_SETTINGS)
    window = worst_window(settings, context.sent_at, repeats)
    assert not window.is_violation, window


@given("a platform with eight daemons, which share a small retry budget")
def step_partitioned_platform(context):
    start_platform(context, _BreakingPartitionedSite(daemon_count=8))


async def _break_and_cut(site):
    await asyncio.sleep(SOUND_S)
    site.are_broken = True
    for how in (Cut.RESET, Cut.HANG, Cut.REFUSE_NEW):
        site.cut(CUT_DAEMONS, how)
        await asyncio.sleep(CUT_S)
        site.heal()
        await asyncio.sleep(PAUSE_BETWEEN_CUTS_S)
    site.are_broken = False


@when("all targets fail all requests, and five daemons are cut from them three times")
def step_broken_and_cut(context):
    site = context.platform
    running = call_beside(site, _break_and_cut(site))
    context.sent_at = context.runner.run(running)


@then("requests of daemons without links were relayed")
def step_relayed(context):
    for name in CUT_DAEMONS:
        counts = context.platform.daemons[name]._context.retry_counts
        assert any(outcome == "free" for _, outcome in counts), (name, counts)
