"""Steps for the decisions that the choice by expected time rests on."""

import random

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.settings import BalancingSettings
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.target_placing import TargetPlacing
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.load_balancing import Candidate, RequestSize
from cowslipcourse.load_balancing.expected_time import ExpectedTime, ExpectedTimes
from cowslipcourse.load_balancing.stated_loads import StatedLoads
from cowslipcourse.load_balancing.target_selection import choose_group, choose_target
from cowslipcourse.load_balancing.target_speeds import TargetSpeeds
from cowslipcourse.load_balancing.told_speeds import LocalReports, ToldSpeeds
from cowslipcourse.platform.headers import parse_caller_headers
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from features.support.log_records import recorded_logs
from features.support.placing_runs import GROUPS

NOW = 50.0
SIZE = RequestSize(1000, 100)
EXPECTED = ExpectedTimes(0.05, 0.05, 1.0, True)


def _entry(target="t", epoch=3, incarnation=7):
    membership = GroupMembership("g", epoch, 0, GroupState.OPEN, "large")
    return TargetEntry(
        target, "llm", "a:1", "x", 13, membership=membership, incarnation=incarnation
    )


def _cost(speeds, spec=GROUPS):
    return ExpectedTime(speeds, StatedLoads(), lambda service: spec, "x")


def _chosen_by_in_flight(candidates, rng):
    """The choice by requests in flight, as it is without a cost."""
    available = [c for c in candidates if c.in_flight < c.slots * 1.2]
    if not available:
        return None
    if len(available) > 2:
        available = rng.sample(available, 2)
    return min(available, key=lambda c: (c.in_flight, rng.random()))


def _chosen_plain(candidates, rng):
    return min(
        candidates,
        key=lambda c: (
            c.in_flight / max(c.slots, 1),
            c.entry.data_centre != "x",
            rng.random(),
        ),
    )


@when("{count:d} random choices are made without a cost")
def step_choices(context, count):
    context.differing = 0
    cases = random.Random(5)
    for seed in range(count):
        candidates = [
            Candidate(_entry(f"t{number}"), cases.randint(0, 17), 13)
            for number in range(cases.randint(1, 6))
        ]
        rngs = random.Random(seed), random.Random(seed)
        chosen = (
            choose_group(candidates, (), rngs[0]),
            choose_target(candidates, (), "x", rngs[0]),
        )
        expected = (
            _chosen_by_in_flight(candidates, rngs[1]),
            _chosen_plain(candidates, rngs[1]),
        )
        is_same = chosen == expected and rngs[0].random() == rngs[1].random()
        context.differing += not is_same


@then("they and the random numbers used are those of the choice by requests in flight")
def step_same_choices(context):
    assert context.differing == 0, context.differing


def _cost_at(in_flight):
    cost = _cost(TargetSpeeds(ToldSpeeds()))
    return cost.cost(Candidate(_entry(), in_flight, 13), SIZE, NOW)


@then("a request costs more at a target with {more:d} than with {fewer:d} in flight")
def step_costs_more(context, more, fewer):
    assert _cost_at(more) > _cost_at(fewer)


@then(
    "a request costs at least {factor:f} times as much with {more:d} as with {fewer:d} "
    "in flight"
)
def step_costs_times(context, factor, more, fewer):
    assert _cost_at(more) >= factor * _cost_at(fewer), (_cost_at(more), _cost_at(fewer))


@given(
    "targets of {memory:d} tokens of memory, one of which has a request of {used:d} "
    "from here"
)
def step_memory(context, memory, used):
    context.used = used
    context.speeds = TargetSpeeds(ToldSpeeds())
    context.cost = _cost(context.speeds, GROUPS._replace(memory_tokens=memory))
    context.candidates = [Candidate(_entry(name), 1, 13) for name in ("full", "free")]
    context.speeds.start(_entry("full"), "p", EXPECTED, used, NOW)


def _choose_large(context, tokens, seed):
    size = RequestSize(tokens - 80, 80)
    rng = random.Random(seed)
    chosen = choose_group(
        context.candidates, (), rng, cost=context.cost, size=size, now=NOW
    )
    return chosen.entry.id


@then("{count:d} requests of {tokens:d} tokens all go to the other target")
def step_to_other(context, count, tokens):
    chosen = {_choose_large(context, tokens, seed) for seed in range(count)}
    assert chosen == {"free"}, chosen


@then("requests of {tokens:d} tokens are still placed if both have such a request")
def step_placed_anyway(context, tokens):
    context.speeds.start(_entry("free"), "p", EXPECTED, context.used, NOW)
    chosen = {_choose_large(context, tokens, seed) for seed in range(50)}
    assert chosen == {"free", "full"}, chosen


@given("a request that is expected to have its first event after {first_s:f} s")
def step_waiting_request(context, first_s):
    context.speeds = TargetSpeeds(ToldSpeeds())
    expected = EXPECTED._replace(first_event_s=first_s)
    context.speeds.start(_entry(), "p", expected, 0, NOW)


@then("the waiting request shows no slow target after {seconds:f} s")
def step_not_slow(context, seconds):
    assert not context.speeds.is_slow(_entry(), NOW + seconds)


@then("the waiting request shows a slow target after {seconds:f} s")
def step_is_slow(context, seconds):
    assert context.speeds.is_slow(_entry(), NOW + seconds)


@given("a target that was observed {factor:d} times slower")
def step_observed_slow(context, factor):
    context.speeds = TargetSpeeds(ToldSpeeds())
    request = context.speeds.start(_entry(), "p", EXPECTED, 0, NOW)
    context.speeds.observe_relative(request, factor, NOW)
    request.end(NOW)


@then("it is slow at once and not after {seconds:d} s")
def step_fades(context, seconds):
    assert context.speeds.is_slow(_entry(), NOW)
    assert not context.speeds.is_slow(_entry(), NOW + seconds)
    assert context.speeds.factor(_entry(), NOW + seconds) == 1.0


@then("the target has a normal speed in another epoch and incarnation")
def step_other_instance(context):
    assert context.speeds.factor(_entry(), NOW) > 2
    assert context.speeds.factor(_entry(epoch=4), NOW) == 1.0
    assert not context.speeds.is_slow(_entry(epoch=4), NOW)
    assert context.speeds.factor(_entry(incarnation=8), NOW) == 1.0


@when("it is no longer listed")
def step_unlisted(context):
    context.speeds.retain([_entry("other")], NOW)


@then("it has a normal speed")
def step_normal_speed(context):
    assert context.speeds.factor(_entry(), NOW) == 1.0


@given(
    "requests to {count:d} targets that all take {factor:d} times as long as declared"
)
def step_all_slower(context, count, factor):
    context.speeds = TargetSpeeds(ToldSpeeds())
    context.entries = [_entry(f"t{number}") for number in range(count)]
    for index in range(20 * count):
        now = NOW + 0.05 * index
        entry = context.entries[index % count]
        request = context.speeds.start(entry, "p", EXPECTED, 0, now)
        first_s = EXPECTED.first_event_s * factor
        request.record_events(1, now + first_s)
        request.end(now + first_s)
    context.ended_at = now


@then("no target is slow")
def step_none_slow(context):
    assert context.speeds.slow_ids(context.ended_at) == set()


@given("three daemons that tell factors {one:d}, {two:d} and {three:d} of a target")
def step_voices(context, one, two, three):
    reports = LocalReports()
    for daemon, factor in enumerate((one, two, three)):
        reports.record(daemon, {"t": factor}, 12, NOW)
    context.told = reports.summary(NOW)


@then("the factor that counts is {factor:d}")
def step_told_factor(context, factor):
    assert context.told == {"t": factor}, context.told


@when("a daemon tells a factor of {factor:d} of {count:d} targets")
def step_many_told(context, factor, count):
    context.told = ToldSpeeds()
    context.told.record("d", {f"t{n}": factor for n in range(count)}, NOW)


@then("{count:d} factors of {factor:d} count at once, and none after {seconds:d} s")
def step_bounded(context, count, factor, seconds):
    factors = [told.factor for told in context.told.merged(NOW).values()]
    assert factors == [factor] * count, factors
    assert not context.told.merged(NOW + seconds)


def _state_load(context, value, cost):
    async def run():
        fleet = FleetView()
        conditions = TargetConditions(_NoLimits(), fleet)
        TargetPlacing(BalancingSettings(cost=cost), fleet, conditions, "x")
        head = ResponseHead(
            200, tuple((b"x-server-load", v.encode()) for v in value.split(";"))
        )
        with recorded_logs("cowslipcourse.entry.target_conditions") as records:
            conditions.observe(_entry(), head)
            conditions.observe(_entry(), head)
        loads = conditions.stated_loads
        now = 1000.0
        context.stated = None if loads is None else loads.corrected(_entry(), 0, now)
        context.records = records

    run_in_virtual_time(run())


class _NoLimits:
    def observe(self, entry, limit_per_s):
        pass


@when('a target states the load "{value}"')
def step_state_load(context, value):
    _state_load(context, value, "expected-time")


@when('a target states the load ""')
def step_state_empty_load(context):
    _state_load(context, "", "expected-time")


@when('a target states the load "{value}" to a daemon that compares requests in flight')
def step_state_load_unused(context, value):
    _state_load(context, value, "in-flight")


@then("it is taken as {count:d} requests")
def step_load_taken(context, count):
    assert context.stated == count, context.stated
    assert not context.records


@then("it is ignored with one log line")
def step_load_ignored(context):
    assert context.stated == 0, context.stated
    messages = [record.getMessage() for record in context.records]
    assert messages == ["target-header-malformed"], messages


@then("nothing is logged")
def step_nothing_logged(context):
    assert context.stated is None and not context.records


@then('a request with the token usage "{value}" is taken for one of {tokens:d} tokens')
def step_usage(context, value, tokens):
    fields = parse_caller_headers(((b"x-token-usage", value.encode()),))
    assert sum(fields.size) == tokens, fields.size


@then('a request with the token usage "" is taken for one of {tokens:d} tokens')
def step_empty_usage(context, tokens):
    step_usage(context, "", tokens)
