"""Steps over connections to targets that send given bytes."""

import asyncio

from behave import given, then, when

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.exchange import ConnectionPool, TargetConnection
from cowslipcourse.exchange import pool as pool_module
from features.support.scripted_target import SCRIPTS, ScriptedTarget, exchange, play
from harness.ports import free_ports


@given("a target that sends {name}")
def step_target(context, name):
    context.port = free_ports(1)[0]
    context.address = f"127.0.0.1:{context.port}"
    context.script = SCRIPTS[name]
    context.extra = False


@given("no target listens")
def step_no_target(context):
    context.address = f"127.0.0.1:{free_ports(1)[0]}"
    context.script = None


@when("request a1 is sent to it")
def step_send(context):
    if context.script is not None:
        asyncio.run(play(context))


@when("the target sends more bytes")
def step_more(context):
    context.extra = True
    asyncio.run(play(context))


@then("the outcome is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("the connection is kept")
def step_kept(context):
    assert context.kept


@then("the connection is not kept")
def step_not_kept(context):
    assert not context.kept


@then("the pool uses the connection again after {soon:f} s and not after {late:f} s")
def step_pool(context, soon, late):
    async def ages():
        target = ScriptedTarget(*context.script)
        server = await asyncio.start_server(target.serve, "127.0.0.1", context.port)
        found = []
        async with server:
            for age_s in (soon, late):
                pool = ConnectionPool(1.0)
                connection = await pool.acquire("key", context.address)
                await exchange(connection)
                pool.release("key", connection)
                connection.idle_since -= age_s
                again = await pool.acquire("key", context.address)
                found.append(again is connection)
                again.abort()
            for writer in target.writers:
                writer.close()
        return found

    assert asyncio.run(ages()) == [True, False]
    assert pool_module.KEEP_ALIVE_MARGIN_S > 0


@then("it is known that nothing was sent")
def step_not_sent(context):
    async def connect():
        await TargetConnection.connect(context.address, 1.0)

    try:
        asyncio.run(connect())
    except TargetUnreachable as error:
        assert not error.sent
    else:
        raise AssertionError("somebody listens")
