"""Steps for connections to targets that send given bytes."""

import asyncio

from behave import given, then, when

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import ConnectionPool, TargetConnection
from cowslipcourse.http_client import pool as pool_module
from features.support.scripted_target import (
    SCRIPTS,
    ScriptedTarget,
    run_script,
    send_request,
)
from harness.ports import free_ports


@given("a target that sends {name}")
def step_target(context, name):
    context.port = free_ports(1)[0]
    context.address = f"127.0.0.1:{context.port}"
    context.script = SCRIPTS[name]
    context.sends_stray_data = False


@given("no target listens")
def step_no_target(context):
    context.address = f"127.0.0.1:{free_ports(1)[0]}"
    context.script = None


@when("request a1 is sent to it")
def step_send(context):
    if context.script is not None:
        asyncio.run(run_script(context))


@when("the target sends more bytes")
def step_stray_data(context):
    context.sends_stray_data = True
    asyncio.run(run_script(context))


@then("the outcome is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("the connection is kept")
def step_kept(context):
    assert context.is_kept


@then("the connection is not kept")
def step_not_kept(context):
    assert not context.is_kept


@then(
    "the pool reuses the connection after {reused_age_s:f} s and not after "
    "{expired_age_s:f} s"
)
def step_pool_reuses(context, reused_age_s, expired_age_s):
    async def try_ages():
        target = ScriptedTarget(*context.script)
        server = await asyncio.start_server(target.serve, "127.0.0.1", context.port)
        is_reused = []
        async with server:
            for age_s in (reused_age_s, expired_age_s):
                pool = ConnectionPool(1.0)
                connection = await pool.acquire("key", context.address)
                await send_request(connection)
                pool.release("key", connection)
                connection.idle_since -= age_s
                acquired = await pool.acquire("key", context.address)
                is_reused.append(acquired is connection)
                acquired.abort()
            for writer in target.writers:
                writer.close()
        return is_reused

    assert asyncio.run(try_ages()) == [True, False]
    assert pool_module.KEEP_ALIVE_MARGIN_S > 0


@then("the error says that nothing was sent")
def step_not_sent(context):
    async def connect():
        await TargetConnection.connect(context.address, 1.0)

    try:
        asyncio.run(connect())
    except TargetUnreachable as error:
        assert not error.sent
    else:
        raise AssertionError("a connection was accepted")
