"""Steps for the HTTP client of the store and of engines."""

import asyncio

from behave import given, then, when

from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.entry.settings import ControlSettings, StoreSettings
from cowslipcourse.exceptions import CowslipError
from cowslipcourse.platform import HttpEngineControl, HttpRowStore
from cowslipcourse.ports import (
    EngineOrder,
    GenerateRequest,
    Order,
    OrderKind,
    OrderOperation,
    RowWrite,
    TargetEntry,
)
from cowslipcourse.settings import TargetSettings
from features.support.scripted_server import FAILURES, ScriptedServer

TIMEOUT_S = 0.2
WRITE = RowWrite("t", "a", b"1")
ORDER = EngineOrder(OrderOperation.LEAVE, 1)
TIMES = {"once": 1, "twice": 2}
PATHS = {
    "store write": "/rows-tx",
    "store read": "/rows-feed",
    "order": "/order",
    "report": "/report",
}


def _clients(address):
    store = HttpRowStore(StoreSettings(address=address, timeout_s=TIMEOUT_S))
    control = HttpEngineControl(
        ControlSettings(report_timeout_s=TIMEOUT_S, order_timeout_s=TIMEOUT_S)
    )
    return store, control


async def _outcome(awaited):
    try:
        await awaited
    except CowslipError as error:
        return error.code
    return "a result"


async def _gateway_call(client, url, call):
    if call == "order":
        await client.order(url, Order(OrderKind.UNLOAD, 1, "g", 1))
    elif call == "service call":
        await client.call(url, "book", "a1", b"{}")
    else:
        request = GenerateRequest("r1", "a1", "g", 1, 0, 0, b"{}")
        async for _ in client.generate(url, request, lambda: True):
            pass


@given("a server that closes kept connections on the second request")
def step_closing_server(context):
    context.server = ScriptedServer(closes_second=True)


@given("a server that {failure}")
def step_failing_server(context, failure):
    context.server = None
    if failure != "does not listen":
        context.server = ScriptedServer(*FAILURES[failure])


@when("a client makes two calls: first a read, then a {call}")
def step_two_calls(context, call):
    async def run():
        store, control = _clients(context.server.address)
        entry = TargetEntry("e1", "s", context.server.address, "n", 1, domain="d")
        calls = {
            "store write": lambda: store.write(WRITE),
            "store read": lambda: store.wait_for_changes("t", 0, 0.0),
            "order": lambda: control.order(entry, ORDER),
            "report": lambda: control.probe(entry, ""),
        }
        async with context.server.running():
            if call.startswith("store"):
                await store.read_table("t")
            else:
                await control.probe(entry, "")
            context.server.requests.clear()
            context.outcome = await _outcome(calls[call]())
            context.expected_path = PATHS[call]
            await store.close()
            await control.close()

    asyncio.run(run())


@then("the server received the second call {times}")
def step_times(context, times):
    assert context.server.requests == [context.expected_path] * TIMES[times], (
        context.server.requests
    )


@then("the outcome of the second call is {outcome}")
def step_second_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@when("a gateway makes the {call} twice")
def step_gateway_calls(context, call):
    async def run():
        client = HttpTargetClient(TargetSettings())
        url = f"http://{context.server.address}"
        async with context.server.running():
            for _ in range(2):
                context.outcome = await _outcome(_gateway_call(client, url, call))
            await client.close()

    asyncio.run(run())


@then("the server received 2 requests and the second call failed")
def step_gateway_times(context):
    assert len(context.server.requests) == 2, context.server.requests
    assert context.outcome == "target-unreachable", context.outcome


def _run_store_call(context, call):
    async def run():
        server = context.server or ScriptedServer()
        store, _ = _clients(server.address)
        if context.server is None:
            context.outcome = await _outcome(call(store))
            return
        async with server.running():
            context.outcome = await _outcome(call(store))
            await store.close()

    asyncio.run(run())


@when("a client writes a row")
def step_write(context):
    _run_store_call(context, lambda store: store.write(WRITE))


@when("a client reads a table")
def step_read(context):
    _run_store_call(context, lambda store: store.read_table("t"))


@then("the outcome of the call is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
