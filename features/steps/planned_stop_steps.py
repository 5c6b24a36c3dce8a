"""Steps for requests on open connections to a daemon process that stops."""

import asyncio
import itertools
import signal
from typing import NamedTuple

import aiohttp
from behave import then, when

from features.support.platform_site import ENDLESS_PREFIX, HOST, KEY, USUAL_PREFIX

GRACE_S = 8.0
"""Default of the settings."""
USABLE_GRACE_S = 7.6
"""Part of the grace period that accepted requests may use at least."""
CACHED_S = 3.0
"""Time for which callers may use addresses that they got before SIGTERM."""
SHORT_BUDGET_S = 2.5
LONG_BUDGET_S = 8.0
SENT_AT_S = (-0.1, 0.1, 1.0, 2.0, 3.2, 3.6, 4.2, 4.8, 5.6, 6.4, 7.2)
"""Seconds after SIGTERM at which the connections are used."""
MAX_REFUSAL_S = 0.5
PATHS = (
    (f"/look/{USUAL_PREFIX}", SHORT_BUDGET_S),
    (f"/book/{USUAL_PREFIX}", SHORT_BUDGET_S),
    (f"/book/{ENDLESS_PREFIX}", LONG_BUDGET_S),
    (f"/draft/{USUAL_PREFIX}", LONG_BUDGET_S),
    (f"/draft/{ENDLESS_PREFIX}", LONG_BUDGET_S),
)
"""Paths with the time budgets of their callers."""
_attempt_numbers = itertools.count(1)


class _Answer(NamedTuple):
    """What a caller got.

    :param attempt_id: id of the attempt.
    :param path: path of the request.
    :param sent_s: seconds from SIGTERM to the request.
    :param took_s: seconds from the request to the end of the answer.
    :param status: HTTP status, or ``None`` without an answer.
    :param is_whole: whether the answer ended as HTTP says.
    :param headers: headers of the answer.
    :param body: body of the answer.
    """

    attempt_id: str
    path: str
    sent_s: float
    took_s: float
    status: int | None
    is_whole: bool
    headers: dict
    body: bytes


async def _send(session, front, path, budget_s, stopped_at):
    loop = asyncio.get_running_loop()
    attempt_id = f"stop{next(_attempt_numbers)}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Model": "large",
        "X-Time-Budget-Ms": str(int(budget_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    sent_at = loop.time()
    status, answer_headers, body, is_whole = None, {}, b"", False
    try:
        async with session.post(f"http://{front}{path}", headers=headers) as response:
            status, answer_headers = response.status, response.headers
            body = await response.read()
            is_whole = True
    except aiohttp.ClientError:
        # The daemon has closed the connection, which the checks judge.
        pass
    took_s = loop.time() - sent_at
    sent_s = sent_at - stopped_at
    return _Answer(
        attempt_id, path, sent_s, took_s, status, is_whole, answer_headers, body
    )


async def _use_connection(front, path, budget_s, stopped_at, sent_s):
    """Open a connection with a short request, and use it once more later."""
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30)
    async with aiohttp.ClientSession(connector=connector) as session:
        prefix = path.rpartition("/")[0]
        warm_up = await _send(session, front, f"{prefix}/x", budget_s, stopped_at)
        assert warm_up.status == 200, warm_up
        await asyncio.sleep(stopped_at + sent_s - loop.time())
        return await _send(session, front, path, budget_s, stopped_at)


async def _stop_under_requests(site):
    loop = asyncio.get_running_loop()
    stopped_at = loop.time() + 2.0
    front = site.front_addresses["a2"]
    process = site.processes["a2"]
    for after_s, number in ((0.0, "TERM"), (1.5, "HUP"), (2.5, "TERM")):
        loop.call_at(
            stopped_at + after_s, site.kill, "a2", signal.Signals["SIG" + number]
        )
    answers = await asyncio.gather(
        *(
            _use_connection(front, path, budget_s, stopped_at, sent_s)
            for path, budget_s in PATHS
            for sent_s in SENT_AT_S
        )
    )
    while process.poll() is None and loop.time() < stopped_at + GRACE_S + 2.0:
        await asyncio.sleep(0.02)
    return answers, loop.time() - stopped_at


@when("callers use open connections to a daemon that gets SIGTERM, SIGHUP and SIGTERM")
def step_stop(context):
    context.answers, context.ended_after_s = context.runner.run(
        _stop_under_requests(context.platform)
    )


def _executed_ids(site):
    return {each.attempt_id for each in site.executions} | set(site.stream_attempt_ids)


@then("every short request was answered as long as its deadline passed before the end")
def step_short_answered(context):
    for answer in context.answers:
        ends_s = answer.sent_s + SHORT_BUDGET_S
        has_short_budget = (answer.path, SHORT_BUDGET_S) in PATHS
        is_early_draft = answer.path == PATHS[3][0] and answer.sent_s < CACHED_S - 0.1
        if (has_short_budget and ends_s <= USABLE_GRACE_S) or is_early_draft:
            assert answer.status == 200, answer
            assert answer.is_whole, answer


@then("each refusal came at once, is true, and closes its connection")
def step_refusals(context):
    executed_ids = _executed_ids(context.platform)
    refused = [answer for answer in context.answers if answer.status == 503]
    assert refused
    for answer in refused:
        assert answer.took_s < MAX_REFUSAL_S, answer
        assert answer.attempt_id not in executed_ids, answer
        assert answer.headers["Connection"] == "close", answer
        assert "Retry-After" in answer.headers, answer


@then("what was running at the end got an error that says so")
def step_others(context):
    executed_ids = _executed_ids(context.platform)
    for answer in context.answers:
        if answer.status in (200, 503) and answer.is_whole:
            continue
        if answer.attempt_id not in executed_ids:
            # The daemon had gone, and has not read the request.
            assert answer.status is None, answer
            assert answer.sent_s > USABLE_GRACE_S - 1.0, answer
            continue
        if answer.path.startswith("/draft/"):
            # It can be resumed elsewhere.
            assert answer.sent_s < CACHED_S, answer
            assert answer.sent_s + answer.took_s > USABLE_GRACE_S, answer
            assert answer.status == 200, answer
        else:
            assert answer.sent_s < 0, answer
            assert answer.status == 502, answer
            assert answer.is_whole, answer
            assert b"stopped-while-running" in answer.body, answer


@then("the daemon has ended by itself within its grace period")
def step_ended(context):
    assert context.platform.processes["a2"].returncode == 0
    assert context.ended_after_s < GRACE_S, context.ended_after_s
