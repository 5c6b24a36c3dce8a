"""Steps for pauses that targets ask for."""

import asyncio
import logging
import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.target_pauses import TargetPauses
from cowslipcourse.entry.unary_forwarder import UnaryForwarder
from cowslipcourse.exceptions import MalformedHeader, TargetWithheld
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import decode_pause_s
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import TargetInstance
from features.support.limiter_peers import RecordingPeers
from features.support.log_records import recorded_logs
from features.support.pause_runs import pause_violations

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
        conditions = TargetConditions(limiter, FleetView())
        for entry, head in context.heads:
            conditions.observe(entry, head)
            await asyncio.sleep(0.1)

    with recorded_logs("cowslipcourse.entry") as context.records:
        run_in_virtual_time(observe())


@then("one line names the pause of the first target, and one the header of the second")
def step_lines(context):
    lines = [(r.getMessage(), r.fields["target"]) for r in context.records]
    assert lines == [("target-pause", "t1"), ("target-header-malformed", "t2")], lines


class _PausingTarget:
    """Conditions of one target, in virtual time."""

    def __init__(self):
        limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        self.conditions = TargetConditions(limiter, FleetView())
        self.entry = _entry("t1")

    async def may_send(self):
        """Send a request if the target accepts one now; return whether it was sent."""
        try:
            permit = await self.conditions.admit(self.entry)
            self.conditions.verify(self.entry, permit)
        except TargetWithheld:
            return False
        return True

    def pause(self, pause_s):
        self.conditions.observe(self.entry, _head(503, f"retry-after: {pause_s}"))

    def accept(self):
        self.conditions.observe(self.entry, ResponseHead(200, ()))


@given("a target whose pause of {pause:d} s has ended")
def step_ended_pause(context, pause):
    context.pause = pause


@when("a request is sent to it")
def step_trial(context):
    context.is_accepted = False


@when("a request is sent to it and accepted")
def step_accepted_trial(context):
    context.is_accepted = True


@then("no other one is sent within {trial:d} s, and one after that")
def step_one_at_a_time(context, trial):
    async def run():
        target = _PausingTarget()
        target.pause(context.pause)
        assert not await target.may_send()
        await asyncio.sleep(context.pause)
        sent_after = []
        for step in range(21):
            if await target.may_send():
                sent_after.append(step / 10)
            await asyncio.sleep(0.1)
        assert sent_after == [0.0, float(trial), 2.0 * trial], sent_after

    run_in_virtual_time(run())


@then("others are sent at once")
def step_others_at_once(context):
    async def run():
        target = _PausingTarget()
        target.pause(context.pause)
        await asyncio.sleep(context.pause)
        assert await target.may_send()
        target.accept()
        assert await target.may_send() and await target.may_send()

    run_in_virtual_time(run())


@given("a target that asks for a pause of {pause:d} s")
def step_pausing(context, pause):
    context.pause = pause


@when("it accepts another request {delay:d} s later")
def step_late_acceptance(context, delay):
    context.delay = delay


@then("it gets no request for {rest:d} s")
def step_still_paused(context, rest):
    async def run():
        target = _PausingTarget()
        target.pause(context.pause)
        await asyncio.sleep(context.delay)
        target.accept()
        for _ in range(10 * rest - 1):
            assert not await target.may_send()
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)
        assert await target.may_send()

    run_in_virtual_time(run())


@given("targets that ask for pauses of {first:d} s and {second:d} s")
def step_pausing_targets(context, first, second):
    context.pauses = first, second


@when("a request for them arrives")
def step_request_arrives(context):
    async def run():
        target = _PausingTarget()
        fleet = FleetView()
        for number, pause_s in enumerate(context.pauses):
            target.entry = _entry(f"t{number}")
            fleet.apply([target.entry], ())
            target.pause(pause_s)
        started_at = asyncio.get_running_loop().time()
        tools = SimpleNamespace(
            fleet=fleet,
            conditions=target.conditions,
            data_centre="x",
            rng=random.Random(1),
            placing=SimpleNamespace(cost=None),
        )
        context.choice = UnaryForwarder(tools)._choose("s", ())
        context.elapsed_s = asyncio.get_running_loop().time() - started_at

    run_in_virtual_time(run())


@then(
    "it is refused within {limit:g} s, and its caller is to return after {low:d} s to "
    "{high:d} s"
)
def step_refused_at_once(context, limit, low, high):
    assert context.choice.entry is None and context.elapsed_s <= limit
    assert low <= context.choice.retry_after_s <= high, context.choice


def _violations(first, last):
    logging.disable(logging.CRITICAL)
    try:
        seeds = range(first, last + 1)
        return [each for seed in seeds for each in pause_violations(seed)]
    finally:
        logging.disable(logging.NOTSET)


@when("random runs with pauses are made with seeds {first:d} to {last:d}")
def step_random_runs(context, first, last):
    context.violations = _violations(first, last)


@when(
    "random runs with pauses are made with seeds {first:d} to {last:d}, by daemons "
    "that keep none"
)
def step_random_runs_without(context, first, last):
    with mock.patch.object(TargetPauses, "record", lambda *arguments: False):
        context.violations = _violations(first, last)


@then("no run violates the bound")
def step_no_violations(context):
    assert not context.violations, context.violations[:5]


@then("some run violates the bound")
def step_violations(context):
    assert context.violations
