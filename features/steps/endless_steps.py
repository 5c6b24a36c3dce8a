"""Steps for bytes that are no message and have no end."""

import asyncio
import itertools
import time
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.adapters.platform import HttpPlatformClient
from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.entry.silence_detector import MAX_EVENT_GAP_S, WatchedStream
from cowslipcourse.exceptions import CowslipError, MalformedResponse
from cowslipcourse.http_client import TargetConnection, TargetRequest
from cowslipcourse.http_framing import MAX_BODY_BYTES
from cowslipcourse.settings import PlatformSettings, TargetSettings
from cowslipcourse.streams import EventSplitter
from features.support.endless_server import (
    ANSWERS,
    ENDLESS,
    EndlessServer,
    send_endlessly,
)
from harness.ports import free_ports

MB = 1_000_000
TIMEOUT_S = 5.0
ATTEMPT_ID_HEADER = (b"x-attempt-id", b"a1")
REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
REQUESTS = {
    "header lines": (REQUEST_HEAD, b"X-Padding: " + b"y" * 100 + b"\r\n"),
    "one header name": (REQUEST_HEAD + b"X-", b"x" * 65536),
    "request target": (b"GET /", b"x" * 65536),
    "a chunk extension": (
        REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;",
        b"x" * 65536,
    ),
}


@given("an endless server that sends {what} without end")
def step_endless(context, what):
    context.make_server = lambda: EndlessServer(*ENDLESS[what])
    names_request = what == "responses to other requests"
    context.echoed_header = ATTEMPT_ID_HEADER if names_request else None


@given("a sound server that sends an answer with {what}")
def step_answer(context, what):
    content, context.body = ANSWERS[what]
    context.make_server = lambda: EndlessServer(content)
    context.echoed_header = None


@given("a slow server that sends {what}")
def step_slow(context, what):
    context.make_server = lambda: EndlessServer(*ENDLESS[what], is_slow=True)


async def _measure(context, call):
    """Make a call to the server; keep its outcome, its time and what was sent."""
    async with context.make_server() as server:
        context.error = context.result = None
        began_at = time.monotonic()
        try:
            context.result = await call(server.address)
        except CowslipError as error:
            context.error = error
        context.took_s = time.monotonic() - began_at
        context.sent_bytes = server.sent_bytes


@when("a client reads an answer from it")
def step_read(context):
    _read_answer(context, MAX_BODY_BYTES)


@when("a client that accepts {max_bytes} bytes reads an answer from it")
def step_read_bounded(context, max_bytes):
    _read_answer(context, int(max_bytes.replace(",", "")))


def _read_answer(context, max_bytes):
    async def call(address):
        connection = await TargetConnection.connect(address, 1.0)
        echoed_header = context.echoed_header
        request = TargetRequest("GET", b"/", (), b"", echoed_header, max_bytes)
        connection.send(request)
        async with asyncio.timeout(TIMEOUT_S):
            await connection.head()
            return await connection.read_all()

    asyncio.run(_measure(context, call))


@then("it fails as answer-too-large within 1 s")
def step_too_large(context):
    assert context.error is not None, len(context.result)
    assert context.error.code == "answer-too-large", repr(context.error)
    assert context.took_s < 1.0, context.took_s


@then("it fails within 1 s")
def step_fails(context):
    assert context.error is not None, len(context.result)
    assert context.took_s < 1.0, context.took_s


@then("the server could send no more than {limit:d} MB")
@then("the caller could send no more than {limit:d} MB")
def step_sent(context, limit):
    assert context.sent_bytes <= limit * MB, context.sent_bytes


@then("it gets the whole answer")
def step_whole(context):
    assert context.error is None, context.error
    assert context.result == context.body


@when("a client waits for an answer for 0.5 s")
def step_wait(context):
    async def call(address):
        connection = await TargetConnection.connect(address, 1.0)
        connection.send(TargetRequest("GET", b"/", (), b"", None))
        await asyncio.sleep(0.5)
        context.received_at = connection.last_received_at
        connection.abort()

    asyncio.run(_measure(context, call))


@then("its target has sent nothing that counts")
def step_nothing(context):
    assert context.received_at == 0.0, context.received_at


@given("a stream whose target sends parts of one event every 0.1 s")
def step_partial_event(context):
    connection = SimpleNamespace(last_received_at=0.0)
    attempt = SimpleNamespace(connection=connection, sent_at=0.0, entry=None)
    context.stream = WatchedStream(attempt, None, "r1")
    context.stream.has_events = True
    for tenth in range(16):
        connection.last_received_at = tenth * 0.1
        context.stream.note_partial_event(True, tenth * 0.1)


@then("after {after_s:f} s it does not count as silent")
def step_not_silent(context, after_s):
    assert after_s - context.stream.received_at <= MAX_EVENT_GAP_S


@then("after {after_s:f} s it counts as silent")
def step_silent(context, after_s):
    assert after_s - context.stream.received_at > MAX_EVENT_GAP_S


@given("bytes of an event without end in pieces of 4 KiB")
def step_event_pieces(context):
    context.pieces = itertools.repeat(b"data: " + b"x" * 4090)


@when("they are split into events")
def step_split(context):
    splitter, context.fed_bytes = EventSplitter(), 0
    began_at = time.monotonic()
    try:
        for piece in itertools.islice(context.pieces, 4096):
            context.fed_bytes += len(piece)
            assert not splitter.feed(piece)
        context.error = None
    except MalformedResponse as error:
        context.error = error
    context.took_s = time.monotonic() - began_at


@then("splitting fails after at most {limit:d} KiB, within 1 s")
def step_splitting_fails(context, limit):
    assert context.error is not None
    assert context.fed_bytes <= limit * 1024, context.fed_bytes
    assert context.took_s < 1.0, context.took_s


async def _gateway_call(name, address):
    targets = HttpTargetClient(TargetSettings())
    platform = HttpPlatformClient(PlatformSettings(url=f"http://{address}"), "g1")
    url = f"http://{address}"
    order = SimpleNamespace(_asdict=dict)
    calls = {
        "status request": lambda: targets.probe(url),
        "order": lambda: targets.order(url, order),
        "service call": lambda: targets.call(url, "look", "a1", b""),
        "store read": lambda: platform.list_vms(),
        "object read": lambda: platform.get("x"),
    }
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await calls[name]()
    finally:
        await targets.close()
        await platform.close()


@when("a gateway makes a {call} there")
def step_gateway(context, call):
    async def make_call(address):
        return await _gateway_call(call, address)

    asyncio.run(_measure(context, make_call))


@given("a web server")
def step_web_server(context):
    async def app(scope, receive, send):
        while (await receive()).get("more_body"):
            continue
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        await send({"type": "http.response.body", "body": b"done"})

    context.address = f"127.0.0.1:{free_ports(1)[0]}"
    context.server = lambda: WebServer(app, context.address)


@when("a caller sends {what} without end")
def step_caller(context, what):
    def count(size_bytes):
        context.sent_bytes += size_bytes

    async def call():
        server = context.server()
        await server.start()
        host, port = context.address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        context.sent_bytes, began_at = 0, time.monotonic()
        await send_endlessly(writer, *REQUESTS[what], count)
        context.took_s = time.monotonic() - began_at
        writer.close()
        await server.stop(0.1)

    asyncio.run(call())


@then("the server closes the connection within 1 s")
def step_closed(context):
    assert context.took_s < 1.0, context.took_s
