"""Steps for requests that arrive while a daemon stops."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.caller_app import FrontApp
from cowslipcourse.entry.graceful_stop import GracefulStop
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
    def __init__(self, is_resumable):
        route = ROUTE._replace(is_resumable=is_resumable)
        self.table = RouteTable(1, (route,), (), CallerLimits())
        self.stop = GracefulStop()


class _Forwarder:
    """Answers after a set time."""

    def __init__(self):
        self.answer_time_s = 0.0

    async def forward(self, call, responder):
        await asyncio.sleep(self.answer_time_s)
        await responder.start(200, [])
        await responder.finish(b"done")


async def _send_request(app, budget_s=None, has_body=True):
    starts = []
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/a/x",
        "raw_path": b"/a/x",
        "query_string": b"",
        "headers": [(b"host", b"h"), (b"x-attempt-id", b"1")],
    }
    if budget_s is not None:
        budget_ms = str(int(budget_s * 1000)).encode()
        scope["headers"].append((b"x-time-budget-ms", budget_ms))
    messages = [{"type": "http.request", "body": b"", "more_body": not has_body}]

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
    context.cached_s = 0.0
    context.is_resumable = False
    context.longest_s = None if longest_s == "unknown" else float(longest_s)


def _run_daemon(context, remaining_s, budget_s=None, has_body=True):
    async def run():
        forwarder, daemon_context = _Forwarder(), _Context(context.is_resumable)
        app = FrontApp(daemon_context, forwarder, EntryMetrics())
        if context.longest_s is not None:
            for fraction in (0.3, 1.0, 0.5):
                forwarder.answer_time_s = fraction * context.longest_s
                await _send_request(app)
        forwarder.answer_time_s = 0.0
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(_send_request(app, budget_s, has_body))
        if has_body and remaining_s is not None:
            now = loop.time()
            daemon_context.stop.begin(now + remaining_s, now + context.cached_s)
        elif remaining_s is not None:
            ends_at = loop.time() + remaining_s
            loop.call_later(0.5, daemon_context.stop.begin, ends_at, 0.0)
        context.response = await sending

    run_in_virtual_time(run())


@when(
    "it stops, with {remaining_s:f} s left, and a stream with a budget of {budget_s:f} "
    "s comes"
)
def step_stream_while_stopping(context, remaining_s, budget_s):
    _run_daemon(context, remaining_s, budget_s)


@when(
    "it stops, with {remaining_s:f} s left, while the body of a request is on its way"
)
def step_body_while_stopping(context, remaining_s):
    _run_daemon(context, remaining_s, has_body=False)


@given("callers that may have its address for {cached_s:f} s more")
def step_cached(context, cached_s):
    context.cached_s = cached_s


@given("streams that {may} be resumed")
def step_resumable(context, may):
    context.is_resumable = may == "may"


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
