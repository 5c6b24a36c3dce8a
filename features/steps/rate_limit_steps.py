"""Steps for rate limits that targets state."""

import asyncio
import logging
import random

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import MalformedHeader
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import decode_rate_limit
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import KnownLimits, RateLimitStatement, TargetInstance
from features.support.limiter_peers import RecordingPeers
from features.support.log_records import recorded_logs

INSTANCE = TargetInstance("t1", 7)
ENTRY = TargetEntry("t1", "roster", "10.0.0.1:1", "x", 6, incarnation=7)


def _head(*values, status=200):
    return ResponseHead(status, tuple((b"server-limit", v) for v in values))


class _Conditions:
    """Conditions of one listed target, observed in virtual time."""

    def __init__(self):
        self.limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
        self.conditions = TargetConditions(self.limiter, FleetView())
        self.records = []

    def observe(self, *heads, entry=ENTRY):
        with recorded_logs("cowslipcourse") as records:
            run_in_virtual_time(self._observe(heads, entry))
        self.records += records

    async def _observe(self, heads, entry):
        for head in heads:
            await asyncio.sleep(0.1)
            self.conditions.observe(entry, head)

    def limit_per_s(self, instance=INSTANCE):
        return self.limiter.limit_per_s(instance)


@when('a response has the rate limit headers "{values}"')
def step_headers(context, values):
    parts = () if not values else values.split(";")
    encoded = [b"" if part == "empty" else part.encode() for part in parts]
    try:
        context.limit_per_s = decode_rate_limit(_head(*encoded))
    except MalformedHeader:
        context.limit_per_s = "nothing"


@when('a response has the rate limit headers ""')
def step_no_header(context):
    step_headers(context, "")


@then("it states {meaning}")
def step_meaning(context, meaning):
    stated = context.limit_per_s
    if meaning == "nothing":
        assert stated == "nothing", stated
    elif meaning == "no limit":
        assert stated is None, stated
    else:
        assert stated == float(meaning.removesuffix(" per s")), stated


@given("a target that states a limit of {limit:g} per s")
def step_limited_target(context, limit):
    context.observed = _Conditions()
    context.observed.observe(_head(f"{limit:g}".encode()))


@when("it responds three times with a malformed limit")
def step_malformed(context):
    context.observed.observe(*[_head(b"much")] * 3)


@then("its limit is still {limit:g} per s")
def step_limit_unchanged(context, limit):
    assert context.observed.limit_per_s() == limit


@then("one warning names it")
def step_one_warning(context):
    records = context.observed.records
    warnings = [r for r in records if r.levelno == logging.WARNING]
    assert [r.fields["target"] for r in warnings] == [ENTRY.id], warnings


@when("a target at a reused address answers 421 with a limit of {limit:g} per s")
def step_misdirected(context, limit):
    context.observed = _Conditions()
    context.observed.observe(_head(f"{limit:g}".encode(), status=421))


@then("no limit is known")
def step_no_limit(context):
    assert context.observed.limit_per_s() is None


@then("no limit is known for its next incarnation")
def step_no_limit_of_new(context):
    assert context.observed.limit_per_s(TargetInstance("t1", 8)) is None


@given("a limit of {limit:g} per s stated at {at:g} s")
def step_known_limit(context, limit, at):
    context.limits = KnownLimits()
    assert context.limits.apply(RateLimitStatement(INSTANCE, "s", limit, at))


@then("the statement of {limit:g} per s at {at:g} s changes nothing")
def step_older_statement(context, limit, at):
    before = context.limits.get(INSTANCE)
    assert not context.limits.apply(RateLimitStatement(INSTANCE, "s", limit, at))
    assert context.limits.get(INSTANCE) == before


@then("the statement of no limit at {at:g} s ends the limit")
def step_end_statement(context, at):
    assert context.limits.apply(RateLimitStatement(INSTANCE, "s", None, at))
    assert context.limits.get(INSTANCE) is None


@when("it adjusts its limit in {count:d} responses by 1 % each")
def step_small_changes(context, count):
    heads = [_head(f"{2 * (1 + n / 100):g}".encode()) for n in range(1, count + 1)]
    context.observed.observe(*heads)


@then("its limit is {percent:d} % higher")
def step_limit_higher(context, percent):
    assert abs(context.observed.limit_per_s() - 2 * (1 + percent / 100)) < 1e-9


@then("{count:d} lines were logged at most")
def step_few_lines(context, count):
    records = context.observed.records
    lines = [r for r in records if r.getMessage() == "target-limit"]
    # One line more says that the limit began.
    assert len(lines) <= count + 1, len(lines)


@when("it disappears from the list")
def step_unlisted(context):
    run_in_virtual_time(_retain(context.observed.conditions))


async def _retain(conditions):
    conditions.retain(())
