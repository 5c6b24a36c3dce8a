"""Steps over real processes and a request that ends its targets."""

import asyncio
import time

import aiohttp
from behave import then, when

from features.steps.platform_steps import _all_ready, _call, _run_in_loop, _wait_until
from features.support.platform_site import CRASH_PREFIX, HOST, KEY, stream_events

CALM_S = 3.0
AGAIN_S = 0.5
PATHS = {"stream": f"/draft/{CRASH_PREFIX}x", "booking": f"/book/{CRASH_PREFIX}x"}


async def _ending_call(session, front, path, number):
    """Return status, headers and seconds of one call of the request."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"e{number}",
        "X-Model": "small",
        "X-Time-Budget-Ms": "3000",
        "Authorization": f"Bearer {KEY}",
    }
    began_at = time.monotonic()
    try:
        async with session.post(f"http://{front}{path}", headers=headers) as response:
            await response.read()
            return response.status, response.headers, time.monotonic() - began_at
    except aiohttp.ClientError:
        return None, {}, time.monotonic() - began_at


async def _at_all(context, session, path):
    fronts = context.platform.front_addresses.values()
    calls = []
    for front in fronts:
        context.number += 1
        calls.append(_ending_call(session, front, path, context.number))
    return await asyncio.gather(*calls)


@when(
    "a {kind} that ends its targets comes at all daemons every 0.5 s for {seconds:d} "
    "s, beside other callers"
)
def step_comes(context, kind, seconds):
    site = context.platform
    context.number = 0
    context.path = PATHS[kind]
    context.others = []

    async def others(session):
        number = 0
        fronts = list(site.front_addresses.values())
        while True:
            number += 1
            name = f"o{number}"
            front = fronts[number % len(fronts)]
            at = asyncio.get_running_loop().time()
            try:
                status, body, _ = await _call(session, front, f"/draft/{name}")
            except aiohttp.ClientError:
                status, body = None, b""
            is_whole = status == 200 and body == b"".join(stream_events(name))
            context.others.append((at, is_whole))

    async def act():
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as session:
            beside = [asyncio.create_task(others(session)) for _ in range(3)]
            until = loop.time() + seconds
            while loop.time() < until:
                context.last = await _at_all(context, session, context.path)
                await asyncio.sleep(AGAIN_S)
            context.ended_at = loop.time()
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)

    _run_in_loop(context, act())


@then(
    "its last callers are told within 0.5 s that it has not run, and when it is {when}"
)
def step_told(context, when):
    for status, headers, seconds in context.last:
        assert status == 503 and seconds < AGAIN_S, (status, seconds)
        assert float(headers["Retry-After"]) > 60, headers


@then("in the last 3 s all others got whole streams")
def step_others(context):
    late = [w for at, w in context.others if at > context.ended_at - CALM_S]
    assert late and all(late), (len(late), late.count(False))


@when("all daemons are killed and start again")
def step_start_again(context):
    site = context.platform

    async def act():
        for name in list(site.processes):
            site.kill(name)
            site.processes[name].wait()
        for name in list(site.processes):
            site.start_daemon(name)
        await _wait_until(lambda: _all_ready(site), "daemons that serve")
        context.ends_before = len(site.crashes)
        async with aiohttp.ClientSession() as session:
            context.last = await _at_all(context, session, context.path)

    _run_in_loop(context, act())


@then("it is refused by all of them, and no target ends")
def step_refused(context):
    assert [status for status, _, _ in context.last] == [503] * 3, context.last
    assert len(context.platform.crashes) == context.ends_before
