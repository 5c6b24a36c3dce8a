"""Steps for real processes and targets that state limits or ask for pauses."""

import asyncio
import itertools

import aiohttp
from behave import given, then, when

from features.steps.platform_steps import _call, _run_in_loop, start_platform
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
    start_platform(context, PlatformSite(daemon_count=8))


async def call_forever(context, session, kind, numbers):
    """Call the daemons by turns, and record the status and daemon of each call."""
    site = context.platform
    fronts = list(site.front_addresses.values())
    while True:
        number = next(numbers)
        front = fronts[number % len(fronts)]
        status, _, attempt_id = await _call(session, front, f"/{kind}/n{number}")
        context.statuses.append(status)
        context.daemon_by_attempt[attempt_id] = front
        await asyncio.sleep(CALL_INTERVAL_S)


@when(
    "the head of a group and a plain target state a limit of {limit:g} per s for "
    "{duration:d} s, under a steady load"
)
def step_limits(context, limit, duration):
    _run_under_load(context, context.platform.rate_limits, limit, duration)

    async def collect():
        context.figures = context.platform.limit_oracle.figures()

    _run_in_loop(context, collect())


@when(
    "the head of a group and a plain target refuse all requests for {duration:d} s and "
    "ask for pauses of {pause:g} s, under a steady load"
)
def step_pauses(context, duration, pause):
    _run_under_load(context, context.platform.pauses, pause, duration)
    context.figures = context.platform.pause_oracle.figures(
        context.daemon_by_attempt.get
    )


def _run_under_load(context, setting_by_target, value, duration_s):
    """Set a value for a head and a plain target for a while, under a steady load."""
    site = context.platform
    context.statuses, context.daemon_by_attempt = [], {}

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
                asyncio.create_task(call_forever(context, session, kind, numbers))
                for kind in ("draft", "look")
                for _ in range(CALLER_COUNT)
            ]
            await asyncio.sleep(1.0)
            setting_by_target.update(dict.fromkeys(context.peers_by_target, value))
            await asyncio.sleep(duration_s)
            setting_by_target.update(dict.fromkeys(context.peers_by_target))
            await asyncio.sleep(max(value, RECOVERY_S))
            context.recovered_at = asyncio.get_running_loop().time()
            await asyncio.sleep(OBSERVED_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    _run_in_loop(context, actions())


@then("neither got more than its limit tolerates")
def step_no_excess(context):
    assert len(context.figures) == 2, context.figures
    assert all(figure.excess <= 1 for figure in context.figures), context.figures


@then("neither got more than {most:d} requests from a daemon within a pause")
def step_no_arrivals(context, most):
    engines = {figure.engine for figure in context.figures}
    assert len(engines) == 2, engines
    violations = [f for f in context.figures if f.most_arrivals > most]
    assert not violations, violations


@then("all requests were answered")
def step_all_answered(context):
    failed = [status for status in context.statuses if status != 200]
    assert not failed, failed


@then(
    "{delay:d} s after {what} had ended, both got at least {fraction:g} of an even "
    "share"
)
def step_recovered(context, delay, what, fraction):
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
