"""Steps for pauses that targets ask for."""

import asyncio
import random

from behave import then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.target_pauses import TargetPauses
from cowslipcourse.exceptions import MalformedHeader
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import decode_pause_s
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import TargetInstance
from features.support.limiter_peers import RecordingPeers
from features.support.log_records import recorded_logs

INSTANCE = TargetInstance("t1", 1)


def _entry(target):
    return TargetEntry(target, "s", "10.0.0.1:1", "x", 6, incarnation=1)


def _head(status, headers):
    pairs = [part.strip().partition(":") for part in headers.split(";")]
    return ResponseHead(
        status, tuple((n.encode(), value.strip().encode()) for n, _, value in pairs)
    )


@when('a response with status {status:d} has the headers "{headers}"')
def step_response(context, status, headers):
    try:
        context.pause_s = decode_pause_s(_head(status, headers))
    except MalformedHeader:
        context.pause_s = "nothing"


@then("it asks for {pause}")
def step_asks(context, pause):
    expected = {"no pause": None, "nothing": "nothing"}
    if pause not in expected:
        expected[pause] = float(pause.removesuffix(" s"))
    assert context.pause_s == expected[pause], context.pause_s


@when("a target asks for a pause of {pause:d} s")
def step_pause(context, pause):
    context.pauses = TargetPauses()
    context.pauses.record(INSTANCE, float(pause), 100.0)


@when(
    "a target asks for a pause of {first:d} s, and {delay:d} s later for one of "
    "{second:d} s"
)
def step_two_pauses(context, first, delay, second):
    step_pause(context, first)
    context.pauses.record(INSTANCE, float(second), 100.0 + delay)


@then("its pause ends after {pause:d} s")
def step_ends(context, pause):
    assert context.pauses.until(INSTANCE) == 100.0 + pause


@when("a target asks three times within a pause of {pause:d} s")
def step_asks_often(context, pause):
    context.heads = [(_entry("t1"), _head(503, f"retry-after: {pause}"))] * 3


@when('another target asks three times for a pause of "{value}"')
def step_malformed(context, value):
    context.heads += [(_entry("t2"), _head(503, f"retry-after: {value}"))] * 3

    async def observe():
        limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        conditions = TargetConditions(limiter)
        for entry, head in context.heads:
            conditions.observe(entry, head)
            await asyncio.sleep(0.1)

    with recorded_logs("cowslipcourse.entry") as context.records:
        run_in_virtual_time(observe())


@then("one line names the pause of the first target, and one the header of the second")
def step_lines(context):
    lines = [(r.getMessage(), r.fields["target"]) for r in context.records]
    assert lines == [("target-pause", "t1"), ("target-header-malformed", "t2")], lines
