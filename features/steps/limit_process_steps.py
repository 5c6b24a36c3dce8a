"""Steps for real processes and targets that state rate limits."""

import asyncio
import itertools

import aiohttp
from behave import given, then, when

from features.steps.platform_steps import _all_ready, _call, _run_in_loop, _wait_until
from features.support.platform_site import PlatformSite

CALL_INTERVAL_S = 0.05
CALLER_COUNT = 6
RECOVERY_S = 3.0
OBSERVED_S = 6.0
MAX_LOG_LINES = 12
"""Lines of one daemon on two targets: each learns a limit and its end once, and again
if statements cross."""


@given("a platform with eight daemons, whose groups serve")
def step_eight_daemons(context):
    context.runner = asyncio.Runner()
    context.site = None
    context.platform = PlatformSite(daemon_count=8)

    def clean_up():
        context.runner.run(context.platform.stop())
        context.runner.close()

    context.resources.callback(clean_up)

    async def actions():
        await context.platform.start()
        await _wait_until(lambda: _all_ready(context.platform), "groups that serve")

    _run_in_loop(context, actions())


async def _call_forever(context, session, kind, numbers):
    site = context.platform
    fronts = list(site.front_addresses.values())
    while True:
        number = next(numbers)
        front = fronts[number % len(fronts)]
        status, _, _ = await _call(session, front, f"/{kind}/n{number}")
        context.statuses.append(status)
        await asyncio.sleep(CALL_INTERVAL_S)


@when(
    "the head of a group and a plain target state a limit of {limit:g} per s for "
    "{duration:d} s, under a steady load"
)
def step_limits(context, limit, duration):
    site = context.platform
    context.statuses = []

    async def actions():
        numbers = itertools.count(1)
        heads = [
            engine.id
            for engine in site.world.engines.values()
            if engine.is_open_head and engine.membership.model == "large"
        ]
        context.peers_by_target = {heads[0]: heads, "p1": ["p1", "p2"]}
        async with aiohttp.ClientSession() as session:
            callers = [
                asyncio.create_task(_call_forever(context, session, kind, numbers))
                for kind in ("draft", "look")
                for _ in range(CALLER_COUNT)
            ]
            await asyncio.sleep(1.0)
            site.rate_limits = dict.fromkeys(context.peers_by_target, limit)
            await asyncio.sleep(duration)
            site.rate_limits = dict.fromkeys(context.peers_by_target)
            await asyncio.sleep(RECOVERY_S)
            context.recovered_at = asyncio.get_running_loop().time()
            await asyncio.sleep(OBSERVED_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    async def run():
        await actions()
        context.figures = site.limit_oracle.figures()

    _run_in_loop(context, run())


@then("neither got more than its limit tolerates")
def step_no_excess(context):
    assert len(context.figures) == 2, context.figures
    assert all(figure.excess <= 1 for figure in context.figures), context.figures


@then("all requests were answered")
def step_all_answered(context):
    failed = [status for status in context.statuses if status != 200]
    assert not failed, failed


@then(
    "{delay:d} s after the limits had ended, both got at least {fraction:g} of an even "
    "share"
)
def step_recovered(context, delay, fraction):
    oracle = context.platform.limit_oracle
    for target, peers in context.peers_by_target.items():
        counts = {
            peer: oracle.arrivals_since(peer, context.recovered_at) for peer in peers
        }
        even_share = sum(counts.values()) / len(counts)
        assert counts[target] >= fraction * even_share, counts


@then("each daemon logged the limits and their ends a few times at most")
def step_few_lines(context):
    for name, text in context.platform.logs().items():
        lines = [line for line in text.splitlines() if "event=target-limit" in line]
        assert 4 <= len(lines) <= MAX_LOG_LINES, (name, lines)
