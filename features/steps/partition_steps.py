"""Steps for daemons whose links to the targets are cut, over real sockets."""

import asyncio
import collections
import itertools

import aiohttp
from behave import given, then, when

from features.steps.platform_steps import start_platform
from features.support.partitioned_site import Cut, PartitionedSite
from features.support.platform_site import HOST, KEY, stream_events

GRACE_S = 3.0
"""Time from the start of a partition for which its effects are allowed."""
CALL_INTERVAL_S = 0.25
SOUND_S = 2.0
"""Time with sound links before each partition."""
KINDS = ("draft", "book", "look")
TIME_BUDGETS_S = {"draft": 8.0, "book": 2.5, "look": 2.5}
SILENCE_S = 1.0
SILENCE_CYCLE_S = 3.0
WATCH_INTERVAL_S = 0.02
_request_numbers = itertools.count(1)


@given("a platform with eight daemons in three data centres, whose groups serve")
def step_partitioned_platform(context):
    start_platform(context, PartitionedSite())


async def _call(site, session, name, kind):
    """Send a request once and return whether it was served."""
    request = f"r{next(_request_numbers)}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request,
        "X-Model": "large",
        "X-Time-Budget-Ms": str(int(TIME_BUDGETS_S[kind] * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    url = f"http://{site.front_addresses[name]}/{kind}/{request}"
    expected = b"".join(stream_events(request)) if kind == "draft" else b"done"
    try:
        async with asyncio.timeout(TIME_BUDGETS_S[kind]):
            async with session.post(url, headers=headers) as response:
                body = await response.read()
                return response.status == 200 and body == expected
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _load(site, results, until):
    """Send each kind of request to each daemon at a steady rate."""
    loop = asyncio.get_running_loop()
    started = loop.time()

    async def call(session, name, kind):
        sent_at = loop.time() - started
        results.append((name, kind, sent_at, await _call(site, session, name, kind)))

    tasks = []
    async with aiohttp.ClientSession() as session:
        while loop.time() - started < until:
            for name in site.front_addresses:
                for kind in KINDS:
                    tasks.append(asyncio.create_task(call(session, name, kind)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*tasks)


@when("links to all targets are cut for {cut_s:d} s each time, under a steady load")
def step_partitions(context, cut_s):
    context.partitions = []
    for row in context.table:
        names, results = row["daemons"].split(", "), []
        context.partitions.append((names, results))
        context.runner.run(
            _play_partition(context.platform, names, Cut(row["links"]), cut_s, results)
        )


async def _play_partition(site, names, how, cut_s, results):
    await _load(site, [], SOUND_S)
    site.cut(names, how)
    await _load(site, results, cut_s)
    site.heal()


def _served_shares(names, results):
    """Return the served share of late first attempts, at cut and at other daemons."""
    served, sent = collections.Counter(), collections.Counter()
    for name, _, sent_at, is_served in results:
        if sent_at >= GRACE_S:
            sent[name in names] += 1
            served[name in names] += is_served
    return served[True] / sent[True], served[False] / sent[False]


@then(
    "from 3 s after the start of each partition first attempts at these daemons are "
    "served at least {ratio:g} times as often as at the others"
)
def step_served_alike(context, ratio):
    shares = [_served_shares(*partition) for partition in context.partitions]
    assert all(others > 0.9 for _, others in shares), shares
    assert all(cut >= ratio * others for cut, others in shares), shares


@when("a third of the targets fall silent for 1 s three times, under a steady load")
def step_silent_targets(context):
    site = context.platform
    context.lost = set()

    async def play():
        load = asyncio.create_task(_load(site, [], 3 * SILENCE_CYCLE_S))
        for _ in range(3):
            site.silence(3)
            await _watch_links(site, SILENCE_S, context.lost)
            site.heal()
            await _watch_links(site, SILENCE_CYCLE_S - SILENCE_S, context.lost)
        await load

    context.runner.run(play())


async def _watch_links(site, duration_s, lost):
    """Collect the names of the daemons that believe to have lost their links."""
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    while loop.time() < end:
        lost |= {
            name
            for name, daemon in site.daemons.items()
            if not daemon._context.reachability.is_reachable
        }
        await asyncio.sleep(WATCH_INTERVAL_S)


@then("all daemons know that they reach targets, and relay nothing")
def step_links_known(context):
    assert not context.lost, context.lost


@then("no booking is executed twice")
def step_no_double(context):
    bookings = [e for e in context.platform.executions if e.path.startswith("/book/")]
    counts = collections.Counter(each.attempt_id for each in bookings)
    assert not [key for key, count in counts.items() if count > 1]
