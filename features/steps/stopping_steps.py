"""Steps over requests that come while a daemon stops."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry.front import FrontApp
from cowslipcourse.entry.metrics import EntryMetrics
from cowslipcourse.routes import CallerLimits, RequestKind, Route, RouteTable

ROUTE = Route(
    "draft",
    "h",
    "/a/",
    RequestKind.STREAMING,
    (("llm", 1.0),),
    8.0,
    0.5,
    is_public=True,
)


class _Tools:
    table = RouteTable(1, (ROUTE,), (), CallerLimits(), {})


class _Forwarder:
    """Answers at once, or after the time that it is told."""

    def __init__(self):
        self.takes_s = 0.0

    async def forward(self, call, responder):
        await asyncio.sleep(self.takes_s)
        await responder.start(200, [])
        await responder.finish(b"done")


async def _call(app):
    status = []
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/a/x",
        "raw_path": b"/a/x",
        "query_string": b"",
        "headers": [(b"host", b"h"), (b"x-attempt-id", b"1")],
    }
    messages = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive():
        if messages:
            return messages.pop()
        await asyncio.Event().wait()

    async def send(message):
        if message["type"] == "http.response.start":
            status.append(message)

    await app(scope, receive, send)
    return status[0]


@given("a daemon whose streams took up to {longest} s")
def step_daemon(context, longest):
    context.longest_s = None if longest == "unknown" else float(longest)


def _play(context, left_s):
    async def run():
        forwarder = _Forwarder()
        app = FrontApp(_Tools(), forwarder, EntryMetrics())
        if context.longest_s is not None:
            for share in (0.3, 1.0, 0.5):
                forwarder.takes_s = share * context.longest_s
                await _call(app)
        forwarder.takes_s = 0.0
        if left_s is not None:
            app.drain(asyncio.get_running_loop().time() + left_s)
        context.answer = await _call(app)

    run_paused(run())


@when("it stops, with {left:f} s left, and a stream comes")
def step_late(context, left):
    _play(context, left)


@when("a stream comes and nothing stops")
def step_calm(context):
    _play(context, None)


@then("the stream is {outcome}")
def step_outcome(context, outcome):
    headers = {name.lower() for name, _ in context.answer["headers"]}
    if outcome == "served":
        assert context.answer["status"] == 200, context.answer
    else:
        assert context.answer["status"] == 503, context.answer
        assert b"retry-after" in headers and b"connection" in headers, headers
