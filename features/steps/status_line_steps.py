"""Steps for answers whose status is none, or rules out a body."""

import asyncio
import json
from types import SimpleNamespace

import aiohttp
from behave import given, then, when

from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.entry.caller_app import FrontApp
from cowslipcourse.exceptions import TargetError
from cowslipcourse.http_client import HttpClient
from cowslipcourse.settings import TargetSettings
from features.steps.platform_steps import (
    POLL_INTERVAL_S,
    WAIT_TIMEOUT_S,
    _run_in_loop,
)
from features.support.cut_answers import request
from features.support.cut_targets import KEPT_PATH, KINDS
from features.support.scripted_server import ScriptedServer

CLIENT_TIMEOUT_S = 2.0
SOUND_BODY = b"hello"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + SOUND_BODY
ASKED_KINDS = (
    "streams",
    "streams that may not be resumed",
    "idempotent answers",
    "other answers",
)


@given("an answer with status {status:d} on a connection that is kept")
def step_server(context, status):
    head = b"HTTP/1.1 %03d X\r\nContent-Length: 5\r\nX-Attempt: a1\r\n\r\n" % status
    context.reply = head if status in (204, 304) else head + SOUND_BODY


@given("an answer with status {status:d} and then a sound one")
def step_interim_server(context, status):
    context.reply = b"HTTP/1.1 %d X\r\n\r\n" % status + SOUND


async def _read(context, call):
    """Store the answer to a call at the server, or its error, and how long it took."""
    loop = asyncio.get_running_loop()
    server = ScriptedServer(context.reply)
    began_at = loop.time()
    async with server.running():
        try:
            context.answer = await call(server.address)
        except TargetError as error:
            context.answer = error
    context.took_s = loop.time() - began_at


@when("a client reads an answer with that status")
def step_read(context):
    async def run():
        client = HttpClient()
        await _read(context, lambda to: client.get(to, "/rows", CLIENT_TIMEOUT_S))
        client.close()

    asyncio.run(run())


@when("a gateway calls a service that answers with that status")
def step_gateway_call(context):
    async def run():
        client = HttpTargetClient(TargetSettings())
        await _read(context, lambda to: client.call(f"http://{to}", "book", "a1", b""))
        await client.close()

    asyncio.run(run())


@then("it has failed as {code} within {limit_s:f} s")
def step_failed(context, code, limit_s):
    assert getattr(context.answer, "code", None) == code, context.answer
    assert context.took_s <= limit_s, context.took_s


@then("it has the sound answer")
def step_sound(context):
    assert context.answer.head.status == 200, context.answer
    assert context.answer.content == SOUND_BODY, context.answer


@then("it has an empty answer without a length")
def step_empty(context):
    head, content = context.answer
    assert head.get(b"content-length") is None and not content, context.answer


async def _ask(site, kind):
    """Return status, body and seconds of an answer, once a daemon knows the target."""
    loop = asyncio.get_running_loop()
    front = site.asked_addresses[0]
    async with aiohttp.ClientSession() as session:
        for number in range(int(WAIT_TIMEOUT_S / POLL_INTERVAL_S)):
            began_at = loop.time()
            segment = f"{KEPT_PATH}-{number}"
            status, body, _ = await request(session, site, front, kind, segment)
            if site.has_arrived(segment):
                return status, body, loop.time() - began_at
            await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"daemons do not know the target: {status}")


@when("callers ask for all kinds of answers, whose status is {status:d}")
def step_ask_all(context, status):
    async def run():
        site = context.platform
        context.exchanges = []
        for name in ASKED_KINDS:
            kind = KINDS[name]._replace(status=b"%03d X" % status)
            await site.start_target(kind)
            context.exchanges.append((name, *await _ask(site, kind)))

    _run_in_loop(context, run())


def _check_unknown(status, body):
    assert status == 502 and json.loads(body)["outcome"] == "unknown", (status, body)


@then("each is told within {limit_s:f} s that the outcome is unknown")
def step_all_told(context, limit_s):
    assert len(context.exchanges) == len(ASKED_KINDS)
    for name, status, body, took_s in context.exchanges:
        assert took_s <= limit_s, (name, took_s)
        _check_unknown(status, body)


@then("no daemon has logged a crash")
def step_no_crash(context):
    for name, log in context.platform.logs().items():
        assert "request-crashed" not in log, name


class _FailingApp(FrontApp):
    async def _serve(self, scope, receive, responder, result):
        raise KeyError("unknown")


@given("a daemon that fails in an unknown way as it forwards")
def step_failing(context):
    metrics = SimpleNamespace(
        observe_request=lambda *_: None, count_cause=lambda *_: None
    )
    stop = SimpleNamespace(has_begun=False)
    context.app = _FailingApp(SimpleNamespace(stop=stop), None, metrics)


@when("a caller sends a request to the failing daemon")
def step_call_failing(context):
    context.messages = []

    async def send(message):
        context.messages.append(message)

    async def run():
        scope = {"type": "http", "path": "/a", "headers": [], "method": "POST"}
        await context.app(scope, None, send)

    asyncio.run(run())


@then("the caller is told that the outcome is unknown")
def step_told(context):
    start, body = context.messages
    _check_unknown(start["status"], body["body"])
