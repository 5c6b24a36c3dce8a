"""Steps for odd rows in the tables of the store."""

import asyncio

import aiohttp
from behave import then, when

from features.steps.platform_steps import _call, _run_in_loop, _wait_until
from features.support.odd_rows import odd_rows

MIN_ROWS = 50
LATER_TARGET = "p9"


@when("another writer adds odd rows to the table {table}")
def step_odd_rows(context, table):
    rows = odd_rows()
    assert len(rows) >= MIN_ROWS

    async def put():
        for key, value in rows.items():
            context.platform.store.put(table, key, value)

    _run_in_loop(context, put())


@then("no daemon process ends within {seconds:d} s")
def step_none_ends(context, seconds):
    _run_in_loop(context, asyncio.sleep(seconds))
    for name, process in context.platform.processes.items():
        assert process.poll() is None, (name, process.poll())


async def _answers_of(site, count=20):
    """Return the targets that answered some requests at each daemon."""
    targets = set()
    async with aiohttp.ClientSession() as session:
        for front in site.front_addresses.values():
            for _ in range(count):
                await _call(session, front, "/look/x")
    targets.update(execution.target for execution in site.executions)
    site.executions.clear()
    return targets


@then("daemons use a target that joins later, and drop one that leaves")
def step_later_target(context):
    site = context.platform

    async def run():
        await site._add_plain_target(LATER_TARGET)

        async def is_used():
            return LATER_TARGET in await _answers_of(site)

        await _wait_until(is_used, "a later target that is used")
        site.store.drop("servers", "p1")

        async def is_dropped():
            return "p1" not in await _answers_of(site)

        await _wait_until(is_dropped, "a removed target that is dropped")

    _run_in_loop(context, run())


@then("a daemon that is killed and restarted serves again")
def step_restarted(context):
    site = context.platform
    site.kill("a1")
    site.processes["a1"].wait()
    site.start_daemon("a1")

    async def serves():
        async with aiohttp.ClientSession() as session:
            try:
                status, _, _ = await _call(
                    session, site.front_addresses["a1"], "/look/x"
                )
            except aiohttp.ClientError:
                return False
        return status == 200

    _run_in_loop(context, _wait_until(serves, "a restarted daemon that serves"))
