"""Steps for real processes and a request that crashes its targets."""

import asyncio
import time

import aiohttp
from behave import then, when

from features.steps.platform_steps import _all_ready, _call, _run_in_loop, _wait_until
from features.support.platform_site import (
    CRASH_PREFIX,
    CRASHING_PART,
    HOST,
    KEY,
    stream_events,
)

FINAL_WINDOW_S = 3.0
RESEND_INTERVAL_S = 0.5
PATHS = {
    "a stream that": f"/draft/{CRASH_PREFIX}x",
    "a booking that": f"/book/{CRASH_PREFIX}x",
    "ever new streams with a part that": "/draft/new-",
}
SHARED_PART = "5c1e"
"""First part of the prompts with the part that crashes targets, and of sound ones."""


async def _send_crashing_request(session, front, path, request_number):
    """Return the status, headers and duration in seconds of one attempt."""
    is_new = path.endswith("-")
    parts = f"{SHARED_PART}:40,{CRASHING_PART}:10," if is_new else ""
    path = f"{path}{request_number}" if is_new else path
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"e{request_number}",
        "X-Model": "small",
        "X-Time-Budget-Ms": "3000",
        "Authorization": f"Bearer {KEY}",
        "X-Prompt-Prefix": f"{parts}{request_number:x}:5",
    }
    began_at = time.monotonic()
    try:
        async with session.post(f"http://{front}{path}", headers=headers) as response:
            await response.read()
            return response.status, response.headers, time.monotonic() - began_at
    except aiohttp.ClientError:
        return None, {}, time.monotonic() - began_at


async def _send_to_all_daemons(context, session, path):
    fronts = context.platform.front_addresses.values()
    calls = []
    for front in fronts:
        context.request_number += 1
        calls.append(
            _send_crashing_request(session, front, path, context.request_number)
        )
    return await asyncio.gather(*calls)


@when(
    "{kind} crashes targets is sent to all daemons every 0.5 s for {seconds:d} s, "
    "beside other callers"
)
def step_sent_repeatedly(context, kind, seconds):
    site = context.platform
    context.request_number = 0
    context.path = PATHS[kind]
    context.other_results = []

    async def send_other_requests(session):
        request_number = 0
        fronts = list(site.front_addresses.values())
        while True:
            request_number += 1
            name = f"o{request_number}"
            front = fronts[request_number % len(fronts)]
            sent_at = asyncio.get_running_loop().time()
            try:
                status, body, _ = await _call(
                    session,
                    front,
                    f"/draft/{name}",
                    prompt_parts=f"{SHARED_PART}:40,{request_number:x}:5",
                )
            except aiohttp.ClientError:
                status, body = None, b""
            is_complete = status == 200 and body == b"".join(stream_events(name))
            context.other_results.append((sent_at, is_complete))

    async def send_requests():
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as session:
            caller_tasks = [
                asyncio.create_task(send_other_requests(session)) for _ in range(3)
            ]
            end_at = loop.time() + seconds
            while loop.time() < end_at:
                context.last_responses = await _send_to_all_daemons(
                    context, session, context.path
                )
                await asyncio.sleep(RESEND_INTERVAL_S)
            context.ended_at = loop.time()
            for task in caller_tasks:
                task.cancel()
            await asyncio.gather(*caller_tasks, return_exceptions=True)

    _run_in_loop(context, send_requests())


@then("its last callers learn within 0.5 s that it has not run, and when it is {rest}")
def step_refused_in_time(context, rest):
    for status, headers, seconds in context.last_responses:
        assert status == 503 and seconds < RESEND_INTERVAL_S, (status, seconds)
        assert float(headers["Retry-After"]) > 60, headers


@then("in the last 3 s all other callers got complete streams")
def step_others_complete(context):
    recent = [
        is_complete
        for sent_at, is_complete in context.other_results
        if sent_at > context.ended_at - FINAL_WINDOW_S
    ]
    assert recent and all(recent), (len(recent), recent.count(False))


@when("all daemons are killed and restarted")
def step_daemons_restart(context):
    site = context.platform

    async def send_requests():
        for name in list(site.processes):
            site.kill(name)
            site.processes[name].wait()
        for name in list(site.processes):
            site.start_daemon(name)
        await _wait_until(lambda: _all_ready(site), "daemons that serve")
        context.crashes_before = len(site.crashes)
        async with aiohttp.ClientSession() as session:
            context.last_responses = await _send_to_all_daemons(
                context, session, context.path
            )

    _run_in_loop(context, send_requests())


@then("all of them refuse it, and no target crashes")
def step_refused_by_all(context):
    assert [status for status, _, _ in context.last_responses] == [503] * 3, (
        context.last_responses
    )
    assert len(context.platform.crashes) == context.crashes_before
