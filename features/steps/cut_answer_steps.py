"""Steps for targets that stop at a byte of their answer."""

import asyncio

import aiohttp
from behave import given, then, when

from features.steps.platform_steps import (
    POLL_INTERVAL_S,
    WAIT_TIMEOUT_S,
    _run_in_loop,
    _wait_until,
    start_platform,
)
from features.support.cut_answers import ask, ask_once, request
from features.support.cut_replies import WHOLE, cut_outcome, cut_replies
from features.support.cut_targets import (
    KEPT_PATH,
    KINDS,
    Cut,
    CutSite,
    RelayedCutSite,
    cuts,
    exits,
    make_answer,
)

CONCURRENT = 8


async def _wait_for_daemons(site):
    async def are_ready():
        async with aiohttp.ClientSession() as session:
            for front in site.front_addresses.values():
                try:
                    status, _, _ = await request(
                        session, site, front, KINDS["idempotent answers"], KEPT_PATH
                    )
                except (aiohttp.ClientError, OSError):
                    return False
                if status is None:
                    return False
        return True

    await _wait_until(are_ready, "daemons that answer")


async def _start_target(session, site, kind):
    """Start a target, and wait until all daemons send requests to it."""
    await site.start_target(kind)
    for number in range(int(WAIT_TIMEOUT_S / POLL_INTERVAL_S)):
        results = [
            await request(session, site, front, kind, f"{KEPT_PATH}-ready{number}")
            for front in site.asked_addresses
        ]
        if all(status is not None and status < 300 for status, _, _ in results):
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"daemons do not know the target: {results}")


@given("two daemons and a target that stops at a byte of its answer")
def step_cut_site(context):
    start_platform(context, CutSite(), _wait_for_daemons)


@given("daemons, the asked one of which relays, and a target that stops at a byte")
def step_relayed_cut_site(context):
    start_platform(context, RelayedCutSite(), _wait_for_daemons)
    context.platform.cut_links()


async def _ask_all(site, kind, planned):
    """Ask for all cuts at one target that goes on listening."""
    limit = asyncio.Semaphore(1 if kind.is_kept else CONCURRENT)
    fronts = site.asked_addresses
    async with aiohttp.ClientSession() as session:
        await _start_target(session, site, kind)

        async def ask_one(number, cut):
            async with limit:
                front = fronts[number % len(fronts)]
                return await ask(session, site, front, kind, cut)

        calls = (ask_one(number, cut) for number, cut in enumerate(planned))
        return await asyncio.gather(*calls)


async def _ask_exiting(site, kind, planned):
    """Ask for each cut at a target of its own."""
    fronts = site.asked_addresses
    exchanges = []
    async with aiohttp.ClientSession() as session:
        for number, cut in enumerate(planned):
            await _start_target(session, site, kind)
            front = fronts[number % len(fronts)]
            exchanges.append(await ask(session, site, front, kind, cut))
    return exchanges


@when("callers ask for {kind}, which it stops at each byte, and closes or resets")
def step_ask_all(context, kind):
    async def run():
        planned = cuts(KINDS[kind])
        context.exchanges = await _ask_all(context.platform, KINDS[kind], planned)

    _run_in_loop(context, run())


@when(
    "{count:d} streams that may not be resumed are cut after their first events, one "
    "after the other"
)
def step_ask_in_turn(context, count):
    kind = KINDS["streams that may not be resumed"]
    answer = make_answer(kind, "chunks", b"a000000")
    first_event_end = len(answer.head) + len(answer.pieces[0][0])
    planned = [
        Cut("chunks", first_event_end + number, is_reset=False, exits=False)
        for number in range(1, count + 1)
    ]

    async def run():
        site = context.platform
        async with aiohttp.ClientSession() as session:
            await _start_target(session, site, kind)
            context.exchanges = [
                await ask_once(session, site, site.asked_addresses[0], kind, cut)
                for cut in planned
            ]

    _run_in_loop(context, run())


@then("each has arrived at once")
def step_all_arrived(context):
    assert all(each.has_arrived for each in context.exchanges), context.exchanges


@when("callers ask for {kind} that end with their connection as the target exits")
def step_ask_exiting(context, kind):
    async def run():
        planned = exits(KINDS[kind])
        context.exchanges = await _ask_exiting(context.platform, KINDS[kind], planned)

    _run_in_loop(context, run())


@then("no caller takes a part of an answer for a whole one")
def step_none_short(context):
    short = [each for each in context.exchanges if each.is_short]
    assert not short, (len(short), len(context.exchanges), short[:3])


@then("whole answers arrive as they were sent")
def step_whole(context):
    whole = [each for each in context.exchanges if each.may_be_whole]
    wrong = [each for each in whole if not each.is_whole or each.body != each.sent_body]
    assert whole and not wrong, wrong[:3]


@then("no caller is told that a request has not run which may have")
def step_no_false_refusal(context):
    refused = [each for each in context.exchanges if each.is_false_refusal]
    assert not refused, (len(refused), refused[:3])
    lost = [each for each in context.exchanges if not each.has_arrived]
    assert not lost, (len(lost), lost[:3])


@when("the reply to a {call} is cut at each byte, by a close or a reset")
def step_cut_calls(context, call):
    async def run():
        context.outcomes = [
            (reply, cut_at, await cut_outcome(call, reply, cut_at, is_reset))
            for reply in cut_replies(call)
            for cut_at in range(len(reply) + 1)
            for is_reset in (False, True)
        ]

    asyncio.run(run())


@then("the client takes no part of a reply for a whole one")
def step_no_part(context):
    short = [
        (reply, cut_at, outcome)
        for reply, cut_at, outcome in context.outcomes
        if outcome == WHOLE and cut_at < len(reply)
    ]
    assert not short, short[:3]
    whole = [each for each in context.outcomes if each[1] == len(each[0])]
    assert any(outcome == WHOLE for _, _, outcome in whole), whole
