"""Steps for requests that arrive while a daemon stops."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.caller_app import FrontApp
from cowslipcourse.entry.prometheus_metrics import EntryMetrics
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


class _Context:
    table = RouteTable(1, (ROUTE,), (), CallerLimits(), {})


class _Forwarder:
    """Answers after a set time."""

    def __init__(self):
        self.answer_time_s = 0.0

    async def forward(self, call, responder):
        await asyncio.sleep(self.answer_time_s)
        await responder.start(200, [])
        await responder.finish(b"done")


async def _send_request(app):
    starts = []
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
            starts.append(message)

    await app(scope, receive, send)
    return starts[0]


@given("a daemon whose streams took up to {longest_s} s")
def step_daemon(context, longest_s):
    context.longest_s = None if longest_s == "unknown" else float(longest_s)


def _run_daemon(context, remaining_s):
    async def run():
        forwarder = _Forwarder()
        app = FrontApp(_Context(), forwarder, EntryMetrics())
        if context.longest_s is not None:
            for fraction in (0.3, 1.0, 0.5):
                forwarder.answer_time_s = fraction * context.longest_s
                await _send_request(app)
        forwarder.answer_time_s = 0.0
        if remaining_s is not None:
            app.drain(asyncio.get_running_loop().time() + remaining_s)
        context.response = await _send_request(app)

    run_in_virtual_time(run())


@when("it stops, with {remaining_s:f} s left, and a stream comes")
def step_stream_while_stopping(context, remaining_s):
    _run_daemon(context, remaining_s)


@when("a stream comes to the running daemon")
def step_stream_while_running(context):
    _run_daemon(context, None)


@then("the stream is {outcome}")
def step_outcome(context, outcome):
    headers = {name.lower() for name, _ in context.response["headers"]}
    if outcome == "served":
        assert context.response["status"] == 200, context.response
    else:
        assert context.response["status"] == 503, context.response
        assert b"retry-after" in headers and b"connection" in headers, headers
