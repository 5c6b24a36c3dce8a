"""Steps for streams that end with their connection."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.site_file import SiteSettings
from cowslipcourse.entry.attempts import AttemptSender
from cowslipcourse.entry.calls import Call
from cowslipcourse.entry.context import DaemonContext
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.forwarder import Forwarder
from cowslipcourse.entry.silence_detector import SilenceDetector
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.ports import TargetEntry
from cowslipcourse.quarantine import VerdictStore, fingerprint
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)
from features.support.daemon_parts import InOrder, daemon_settings
from features.support.limiter_peers import RecordingPeers
from features.support.saved_budgets import saved_budget
from features.support.scripted_target import RESPONSE_HEAD, ScriptedTarget
from harness.ports import free_ports

EVENTS = [b"id: %d\ndata: word\n\n" % number for number in range(1, 5)]
STREAM = b"".join(EVENTS)
CONTENTS = {
    "a whole stream": STREAM,
    "a stream that ends between events": EVENTS[0] + EVENTS[1],
    "a stream that ends inside an event": EVENTS[0] + EVENTS[1][:-5],
    "a stream that ends in its first event": EVENTS[0][:-5],
    "the head of a stream": b"",
}
SERVICE = "s"
ROUTE = Route(
    "r",
    "h",
    "/",
    RequestKind.STREAMING,
    ((SERVICE, 1.0),),
    5.0,
    1.0,
    1,
    2,
    is_resumable=True,
)
SITE = SiteSettings(domains={"d": "x"}, engines_a_domain=1, models=(), kinds=())
SETTLING_S = 0.1
PARTS = ("first", "second")
"""Shared parts of the prompt."""


class _Responder:
    """Collects the response to the caller."""

    def __init__(self):
        self.started = False
        self.body = b""
        self.is_finished = False

    async def start(self, status, headers):
        self.started = True

    async def send_chunk(self, content):
        self.body += content

    async def finish(self, body=b""):
        self.body += body
        self.is_finished = True


def _entry(number, port):
    return TargetEntry(f"t{number}", SERVICE, f"127.0.0.1:{port}", "x", 6)


def _call(now):
    return Call(
        id="a1",
        method="POST",
        path=b"/",
        headers=(),
        body=b"",
        fingerprint=fingerprint(None, b"/", b""),
        caller_headers=CallerHeaders(b"a1", prompt_parts=PARTS),
        route=ROUTE,
        workspace=None,
        arrived_at=now,
        deadline=now + 5,
    )


class _Daemon:
    """Forwards a stream to real connections.

    :param ports: ports of the targets, in the order in which they are asked.
    """

    def __init__(self, ports):
        fleet = FleetView()
        fleet.apply([_entry(n, port) for n, port in enumerate(ports, start=1)], ())
        limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        conditions = TargetConditions(limiter, fleet)
        settings = daemon_settings()
        network = MessageNetwork(SITE, random.Random(1))
        self.quarantine = Quarantine(
            network.peers_of("a"),
            TargetExitDetector(fleet.is_expected),
            VerdictStore(None, lambda: 0.0),
        )
        self.quarantine.load_part_evaluation(PartEvaluation)
        context = DaemonContext(
            settings,
            fleet,
            AttemptSender(fleet, conditions),
            saved_budget(settings.retries, [SERVICE]),
            SilenceDetector(fleet, None, lambda: None),
            conditions,
            self.quarantine,
            InOrder(),
        )
        services = (ServiceSpec(SERVICE),)
        context.table = RouteTable(1, (ROUTE,), services, CallerLimits())
        self._forwarder = Forwarder(context)

    async def forward(self):
        """Forward a stream and return the :class:`_Responder`."""
        responder = _Responder()
        call = _call(asyncio.get_running_loop().time())
        await self._forwarder.forward(call, responder)
        return responder


class _ExitingTarget(ScriptedTarget):
    """A scripted target that stops listening before it closes the connection."""

    server = None

    async def serve(self, reader, writer):
        self.server.close()
        await super().serve(reader, writer)


class _RunningTarget(ScriptedTarget):
    """A scripted target that goes on listening."""

    server = None


@given("a target that sends {content} without length or chunks, and {then_}")
def step_target(context, content, then_):
    context.content = RESPONSE_HEAD + b"\r\n" + CONTENTS[content]
    context.target_type = _ExitingTarget if "exits" in then_ else _RunningTarget


@given("a target that sends a whole stream")
def step_whole_target(context):
    length = b"Content-Length: %d\r\n\r\n" % len(STREAM)
    context.whole_content = RESPONSE_HEAD + length + STREAM


@when("a caller asks for the stream")
def step_ask(context):
    async def run():
        ports = free_ports(2)
        exiting = context.target_type(context.content, "close")
        whole = ScriptedTarget(context.whole_content, None)
        exiting.server = await asyncio.start_server(
            exiting.serve, "127.0.0.1", ports[0]
        )
        server = await asyncio.start_server(whole.serve, "127.0.0.1", ports[1])
        async with server:
            with mock.patch.object(PartEvaluation, "report_exit") as report_exit:
                context.responder = await _Daemon(ports).forward()
                await asyncio.sleep(SETTLING_S)
        context.asked_targets = 1 + bool(whole.writers)
        context.crash_count = report_exit.call_count
        for writer in whole.writers:
            writer.close()

    asyncio.run(run())


@then("it gets the whole stream from target {number:d}")
def step_whole_stream(context, number):
    assert context.responder.body == STREAM, context.responder.body
    assert context.responder.is_finished
    assert context.asked_targets == number, context.asked_targets


@then("a crash of the first target is recorded: {crash}")
def step_crash_recorded(context, crash):
    assert context.crash_count == (crash == "yes"), context.crash_count
