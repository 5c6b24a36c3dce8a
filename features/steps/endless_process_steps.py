"""Steps for daemon processes some of whose targets answer without end."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_platform
from features.support.endless_site import (
    EndlessSite,
    call_daemons,
    call_together,
    peak_memory_kb,
)

SOUND_S = 4.0
ENDLESS_S = 8.0
MAX_GROWTH_KB = 40_000
"""A few answers of the largest size at a time, each held twice."""
MIN_ENDLESS_REQUESTS = 20
DAEMON = "a1"
KNOWN_S = 1.0
"""Time for a daemon to know a new target."""


@given("a platform with two daemons as processes, which have served for some seconds")
def step_platform(context):
    site = EndlessSite()
    start_platform(context, site)
    answers = context.runner.run(call_daemons(site, SOUND_S))
    assert all(answer.is_whole for answer in answers), answers
    context.peaks_before = peak_memory_kb(site)


@when("targets whose answers have no end join, and half of the streams have no end")
def step_endless(context):
    site = context.platform

    async def call():
        await site.start_endless_targets()
        return await call_daemons(site, ENDLESS_S)

    context.answers = context.runner.run(call())
    assert site.endless_request_count >= MIN_ENDLESS_REQUESTS


@when(
    "a target whose answers have no end joins, and {count:d} requests at once come to "
    "a daemon, four times"
)
def step_together(context, count):
    site = context.platform

    async def call():
        await site.start_paced_target()
        await asyncio.sleep(KNOWN_S)
        context.answers = []
        for _ in range(4):
            context.answers += await call_together(site, DAEMON, count)

    context.runner.run(call())
    assert site.endless_request_count >= MIN_ENDLESS_REQUESTS


@then("its peak memory has grown by {limit:d} MB at most")
def step_growth(context, limit):
    grown_kb = peak_memory_kb(context.platform)[DAEMON] - context.peaks_before[DAEMON]
    assert grown_kb <= limit * 1024, grown_kb


@then("the peak memory of the daemons stays flat, and all of them run")
def step_memory(context):
    peaks = peak_memory_kb(context.platform)
    for name, peak_kb in peaks.items():
        grown_kb = peak_kb - context.peaks_before[name]
        assert grown_kb <= MAX_GROWTH_KB, (name, grown_kb)
    assert all(p.poll() is None for p in context.platform.processes.values())


@then("each answer with status 200 is whole, and others are failures of the daemons")
def step_truthful(context):
    for answer in context.answers:
        is_failure = answer.status in (None, 502, 503)
        assert answer.is_whole or is_failure, answer._replace(body=answer.body[:200])


@then(
    "at least {fraction:f} of the plain requests are served, each within {limit_s:f} s"
)
def step_served(context, fraction, limit_s):
    plain = [answer for answer in context.answers if answer.kind == "look"]
    whole = [answer for answer in plain if answer.is_whole]
    assert len(whole) >= fraction * len(plain), (len(whole), len(plain))
    slowest_s = max(answer.took_s for answer in whole)
    assert slowest_s <= limit_s, slowest_s


@then("the daemons log such answers as answer-too-large")
def step_logged(context):
    for name, log in context.platform.logs().items():
        assert "error=answer-too-large" in log, name
