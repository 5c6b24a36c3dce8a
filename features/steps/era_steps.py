"""Steps for the era that the store reports in its responses."""

import asyncio

from behave import given, then, when

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.entry.settings import StoreSettings
from cowslipcourse.exceptions import StoreError
from cowslipcourse.platform.store import HttpRowStore
from cowslipcourse.ports import RowWrite
from features.support.platform_store import Store
from harness.ports import free_ports

TABLE = "t"
CHANGE_WAIT_S = 0.1


def _parse_era(text):
    return None if text == "nothing" else text


@given("a store over HTTP that reports era {first}")
def step_store(context, first):
    context.rows = Store()
    context.rows.era = _parse_era(first)
    context.rows.put(TABLE, "a", b"1")
    context.outcomes = []


def _run_client(context, use_client):
    """Serve the store and run a coroutine function with a client of it."""

    async def run():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = WebServer(context.rows.app(), address)
        await server.start()
        context.client = HttpRowStore(StoreSettings(address=address))
        try:
            await use_client(context.client)
        finally:
            await context.client.close()
            await server.stop(0.1)

    asyncio.run(run())


async def _record_outcome(context, awaited):
    try:
        context.outcomes.append(await awaited)
    except StoreError as error:
        context.outcomes.append(error)


@when("a table is read, the store reports era {next_era}, and it is read again")
def step_read_twice(context, next_era):
    async def use_client(client):
        await _record_outcome(context, client.read_table(TABLE))
        context.rows.era = _parse_era(next_era)
        await _record_outcome(context, client.read_table(TABLE))

    _run_client(context, use_client)


@then("the second snapshot is {result}")
def step_second_snapshot(context, result):
    first, second = context.outcomes
    if result == "refused as unavailable":
        assert second.code == "store-unavailable", second
    elif result == "newer":
        assert second.version > first.version, context.outcomes
        assert second.rows[0].version > first.rows[0].version, context.outcomes
    else:
        assert second == first, context.outcomes


def _restore(rows, copy):
    """Restore rows from a copy and write until the version before is reached again."""
    version = rows.version
    rows.restore(copy)
    while rows.version < version:
        rows.put(TABLE, "other", b"3")


@when("a table is read, and the store is restored and reaches that version again")
def step_version_reached_again(context):
    context.rows.era = 1
    copy = context.rows.copy()
    context.rows.put(TABLE, "b", b"2")

    async def use_client(client):
        snapshot = await client.read_table(TABLE)
        _restore(context.rows, copy)
        await _record_outcome(
            context, client.wait_for_changes(TABLE, snapshot.version, CHANGE_WAIT_S)
        )

    _run_client(context, use_client)


@then("changes after the snapshot are refused as dropped history")
def step_history_dropped(context):
    assert context.outcomes[0].code == "history-dropped", context.outcomes


@when("a row is written, and the store is restored and assigns its version again")
def step_version_assigned_again(context):
    context.rows.era = 1
    copy = context.rows.copy()

    async def use_client(client):
        version = await client.write(RowWrite(TABLE, "b", b"2"))
        context.rows.restore(copy)
        context.rows.put(TABLE, "b", b"by another")
        for _ in range(2):
            write = RowWrite(TABLE, "b", b"4", version)
            await _record_outcome(context, client.write(write))

    context.use_client = use_client


@when("the row is replaced on condition of its version")
def step_replaced(context):
    _run_client(context, context.use_client)


@then("the writer is told that the outcome is unknown")
def step_outcome_unknown(context):
    assert context.outcomes[0].code == "reply-lost", context.outcomes


@when("it is replaced on that condition once more")
def step_replaced_again(context):
    assert len(context.outcomes) == 2, context.outcomes


@then("the condition has failed")
def step_condition_failed(context):
    assert context.outcomes[1].code == "condition-failed", context.outcomes
