"""Steps over the era that the store's answers tell."""

import asyncio

from behave import given, then, when

from cowslipcourse.adapters.web import WebServer
from cowslipcourse.entry.settings import StoreSettings
from cowslipcourse.exceptions import StoreError
from cowslipcourse.platform.store import HttpRowStore
from cowslipcourse.ports import RowWrite
from features.support.platform_store import Store
from harness.ports import free_ports

TABLE = "t"
WAIT_S = 0.1


def _era(text):
    return None if text == "nothing" else text


@given("a store over HTTP that says {first}")
def step_store(context, first):
    context.rows = Store()
    context.rows.era = _era(first)
    context.rows.put(TABLE, "a", b"1")
    context.found = []


def _play(context, act):
    """Let a client act on the store; note what each act returned or raised."""

    async def run():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = WebServer(context.rows.app(), address)
        await server.start()
        context.client = HttpRowStore(StoreSettings(address=address))
        try:
            await act(context.client)
        finally:
            await context.client.close()
            await server.stop(0.1)

    asyncio.run(run())


async def _note(context, awaited):
    try:
        context.found.append(await awaited)
    except StoreError as error:
        context.found.append(error)


@when("a table is read, the store says {after}, and it is read again")
def step_read_twice(context, after):
    async def act(client):
        await _note(context, client.read_table(TABLE))
        context.rows.era = _era(after)
        await _note(context, client.read_table(TABLE))

    _play(context, act)


@then("the second reading is {result}")
def step_second(context, result):
    first, second = context.found
    if result == "refused as unavailable":
        assert second.code == "store-unavailable", second
    elif result == "further on":
        assert second.version > first.version, context.found
        assert second.rows[0].version > first.rows[0].version, context.found
    else:
        assert second == first, context.found


def _come_back(rows, copy):
    """Come back from a copy, and reach the version that was known."""
    version = rows.version
    rows.come_back(copy)
    while rows.version < version:
        rows.put(TABLE, "other", b"3")


@when("a table is read, and the store comes back older and reaches that version again")
def step_reaches(context):
    context.rows.era = 1
    copy = context.rows.copy()
    context.rows.put(TABLE, "b", b"2")

    async def act(client):
        read = await client.read_table(TABLE)
        _come_back(context.rows, copy)
        await _note(context, client.wait_for_changes(TABLE, read.version, WAIT_S))

    _play(context, act)


@then("changes after what was read are refused as dropped history")
def step_dropped(context):
    assert context.found[0].code == "history-dropped", context.found


@when(
    "a row is written, and the store comes back older and gives out its version again"
)
def step_written(context):
    context.rows.era = 1
    copy = context.rows.copy()

    async def act(client):
        version = await client.write(RowWrite(TABLE, "b", b"2"))
        context.rows.come_back(copy)
        context.rows.put(TABLE, "b", b"by another")
        for _ in range(2):
            write = RowWrite(TABLE, "b", b"4", version)
            await _note(context, client.write(write))

    context.act = act


@when("the row is replaced under the condition of its version")
def step_replaced(context):
    _play(context, context.act)


@then("the writer is told that it may not have been written")
def step_told(context):
    assert context.found[0].code == "reply-lost", context.found


@when("it is replaced under that condition once more")
def step_once_more(context):
    assert len(context.found) == 2, context.found


@then("the condition has failed")
def step_failed(context):
    assert context.found[1].code == "condition-failed", context.found
