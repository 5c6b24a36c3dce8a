"""Steps for evacuated data centres."""

import asyncio
import random
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.engine_reassignment import GroupBalancer
from cowslipcourse.entry.evacuations import Evacuations
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import TargetWithheld
from cowslipcourse.group_plans import DomainPlan, PlannedGroup, choose_reassignments
from cowslipcourse.load_balancing.target_selection import choose_target
from cowslipcourse.peer_protocol import PeerState, decode_state
from cowslipcourse.peer_protocol.compression import unpack
from cowslipcourse.platform.evacuations import apply_evacuation_rows
from cowslipcourse.ports import RowChanges, StoredRow, TargetEntry, pack_version
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.routes import EngineModel
from features.support.daemon_network import NetworkShape
from features.support.evacuation_runs import EvacuationScenario, run_scenario
from features.support.knowledge import FlakyStore, make_replica
from features.support.limiter_peers import RecordingPeers
from features.support.log_records import recorded_logs

TWO_HALLS = (
    (0.0, "hall-0", True),
    (0.0, "hall-1", True),
    (6.5, "hall-1", False),
)
FLAPPING = ((0.0, "hall-0", True), (0.4, "hall-0", False), (0.8, "hall-0", True))


def _run(context, halls, each, loss_rate=0.0, **more):
    shape = NetworkShape(halls, each, loss_rate=loss_rate)
    scenario = EvacuationScenario(shape, **more)
    context.late_sends, context.unused = run_scenario(scenario)


@when(
    "hall-0 is evacuated for 6.5 s at {halls:d} data centres of {each:d} daemons, with "
    'the store "{fault}"'
)
def step_store_fault(context, halls, each, fault):
    _run(context, halls, each, fault=fault)


@when(
    "hall-0 is evacuated for 6.5 s at {halls:d} data centres of {each:d} daemons, with "
    'the store ""'
)
def step_no_fault(context, halls, each):
    _run(context, halls, each)


@when(
    "hall-0 is evacuated for 6.5 s at {halls:d} data centres of {each:d} daemons that "
    "lose {rate:g} of their datagrams"
)
def step_loss(context, halls, each, rate):
    _run(context, halls, each, rate)


@when(
    "hall-0 is evacuated for 6.5 s at {halls:d} data centres of {each:d} daemons, of "
    "which {starting:d} start meanwhile"
)
def step_starting(context, halls, each, starting):
    _run(context, halls, each, starting=starting)


@when(
    "hall-0 and hall-1 are evacuated at {halls:d} data centres of {each:d} daemons, "
    "and one of them is taken back"
)
def step_two_halls(context, halls, each):
    _run(context, halls, each, writes=TWO_HALLS)


@when(
    "hall-0 is evacuated, taken back and evacuated again at {halls:d} data centres of "
    "{each:d} daemons"
)
def step_flapping(context, halls, each):
    _run(context, halls, each, writes=FLAPPING)


@when(
    "hall-0 is evacuated at {halls:d} data centres of {each:d} daemons that do not "
    "tell each other"
)
def step_not_spread(context, halls, each):
    _run(context, halls, each, is_spread=False)


@then("no request is sent there later than 5 s after that")
def step_no_late_sends(context):
    assert not context.late_sends, (len(context.late_sends), context.late_sends[:3])


@then("some requests are sent there later than 5 s after that")
def step_some_late_sends(context):
    assert context.late_sends


@then("all daemons use it within 3 s after it is taken back")
def step_all_used(context):
    assert not context.unused, (len(context.unused), context.unused[:3])


# Rows.


def _row(key, version=2, deleted=False, value=b"{}"):
    return StoredRow(key, b"" if deleted else value, version, deleted)


@when('the operators\' rows are "{keys}"')
def step_rows(context, keys):
    rows = [_row(key) for key in keys.split()]
    context.evacuated = apply_evacuation_rows(rows)


@when('a row asks to evacuate x with the content "{content}"')
def step_content(context, content):
    row = _row("evacuate/x", value=content.encode())
    context.evacuated = apply_evacuation_rows([row])


@when("a row names a data centre of {length:d} characters")
def step_long_name(context, length):
    with recorded_logs("cowslipcourse") as context.records:
        context.evacuated = apply_evacuation_rows([_row("evacuate/" + "x" * length)])


@then('the evacuated data centres are "{names}"')
def step_evacuated(context, names):
    assert context.evacuated == frozenset(names.split()), context.evacuated


@then("no data centre is evacuated")
def step_none_evacuated(context):
    assert context.evacuated == frozenset(), context.evacuated


# A replica.


@given('a replica that has read the rows "{keys}"')
def step_replica(context, keys):
    context.replica, _, context.listener = make_replica(FlakyStore())
    _apply_snapshot(context, keys.split(), 10)


def _apply_snapshot(context, keys, version, delay_s=0.0):
    async def apply():
        await asyncio.sleep(delay_s)
        rows = tuple(_row(key) for key in keys)
        context.replica._on_operator_snapshot(RowChanges(rows, version))

    run_in_virtual_time(apply())
    context.evacuated = context.replica.evacuations.data_centres


@when('it reads the rows "{keys}" at version {version:d}')
def step_snapshot(context, keys, version):
    _apply_snapshot(context, keys.split(), version)


@when("it reads no rows at version {version:d}")
def step_empty_snapshot(context, version):
    _apply_snapshot(context, (), version)


@when("it reads no rows at version {version:d} of the next era")
def step_next_era(context, version):
    _apply_snapshot(context, (), pack_version(1, version))


@when('{delay_s:g} s later it reads "{keys}" at version {version:d} of the next era')
def step_later_in_next_era(context, delay_s, keys, version):
    rows = [key for key in keys.split() if key != "nothing"]
    _apply_snapshot(context, rows, pack_version(1, version), delay_s)


@when('the feed brings "{key}" as {what} at version {version:d} of the next era')
def step_feed_in_next_era(context, key, what, version):
    step_feed(context, key, what, pack_version(1, version))


@when('the feed brings "{key}" as {what} at version {version:d}')
def step_feed(context, key, what, version):
    async def apply():
        row = _row(key, version, what == "deleted")
        context.replica._on_operator_changes(RowChanges((row,), version))

    run_in_virtual_time(apply())
    context.evacuated = context.replica.evacuations.data_centres


@when("a reader that starts reads its state")
def step_reader(context):
    context.replica._configuration_content = b'{"version":7,"routes":[],"services":[]}'
    context.replica.configuration_version = 7
    context.reader, _, listener = make_replica(FlakyStore())
    evacuations = context.reader.evacuations
    evacuated_then = []
    listener.apply_configuration = lambda table: evacuated_then.append(
        evacuations.data_centres
    )

    async def read():
        state = decode_state(context.replica.encoded_state(0, 0, 0))
        context.reader._apply_peer_state(state)

    run_in_virtual_time(read())
    (context.evacuated,) = evacuated_then


@then("a reader of the previous build gets the array that it knows")
def step_previous_build(context):
    known_length = len(PeerState._fields) - 1
    lengths = [
        len(msgspec.msgpack.decode(unpack(context.replica.encoded_state(0, 0, asked))))
        for asked in (None, 0)
    ]
    assert lengths == [known_length, known_length + 1], lengths


# Use.


def _targets(count):
    return [
        TargetEntry(f"t{hall}-{number}", "s", "10.0.0.1:1", f"hall-{hall}", 6)
        for hall in range(2)
        for number in range(count)
    ]


@given("{count:d} targets in each of hall-0 and hall-1, of which hall-0 is evacuated")
def step_targets(context, count):
    context.evacuations = Evacuations(random.Random(1))
    context.fleet = FleetView(context.evacuations)
    context.fleet.apply(_targets(count), ())
    limiter = RateLimiter(RecordingPeers(), None, random.Random(1))
    context.conditions = TargetConditions(limiter, context.fleet)


@then("requests are sent to hall-1 only, and those chosen before are withheld")
def step_only_hall_1(context):
    async def send():
        chosen = context.fleet.entries["t0-0"]
        permit = await context.conditions.admit(chosen)
        context.evacuations.learn(5, ["hall-0"])
        candidates = context.fleet.service_candidates("s", 0.0)
        assert {c.entry.data_centre for c in candidates} == {"hall-1"}, candidates
        _assert_withheld(context.conditions.verify, chosen, permit)
        try:
            await context.conditions.admit(chosen)
        except TargetWithheld:
            return
        raise AssertionError("admitted")

    run_in_virtual_time(send())


def _assert_withheld(verify, entry, permit):
    try:
        verify(entry, permit)
    except TargetWithheld:
        return
    raise AssertionError("not withheld")


@then("when it is taken back, its share of the requests grows over 2 s")
def step_ramp(context):
    async def take_back():
        context.evacuations.learn(6, ["hall-0"])
        context.evacuations.learn(7, [])

    run_in_virtual_time(take_back())
    # The clock of a run in virtual time starts at 1000 s.
    context.shares = [_share(context, 1000.0 + at_s) for at_s in (0.1, 1.0, 2.0)]
    first, half, last = context.shares
    assert first < 0.12 and 0.4 < half < 0.6 and last == 1.0, context.shares


def _share(context, now, requests=1000):
    """Return the fraction of requests that go to idle targets of hall-0."""
    rng = random.Random(2)
    for number in range(2):
        context.fleet._in_flight[f"t1-{number}"] = 1
    chosen = [
        choose_target(context.fleet.service_candidates("s", now), (), "hall-1", rng)
        for _ in range(requests)
    ]
    return sum(c.entry.data_centre == "hall-0" for c in chosen) / requests


@then("when all data centres are evacuated, there is no candidate")
def step_all_evacuated(context):
    async def evacuate_all():
        context.evacuations.learn(9, ["hall-0", "hall-1"])

    run_in_virtual_time(evacuate_all())
    assert context.fleet.service_candidates("s", 0.0) == []


# Plans.


def _plan(domain, model, group_count):
    groups = tuple(
        PlannedGroup(f"{domain}-g{number}", model, 1, (f"{domain}-{number}",))
        for number in range(group_count)
    )
    return DomainPlan(domain, 1, groups)


@given("domains of 4 groups: one of model a in hall-0, two of model b in hall-1")
def step_plans(context):
    plans = [_plan("d0", "a", 4), _plan("d1", "b", 4), _plan("d2", "b", 4)]
    halls = {"d0": "hall-0", "d1": "hall-1", "d2": "hall-1"}
    context.evacuations = Evacuations()
    by_name = {name: SimpleNamespace(data_centre=hall) for name, hall in halls.items()}
    context.balancer = GroupBalancer(
        SimpleNamespace(fleet=FleetView(context.evacuations)),
        SimpleNamespace(by_name=by_name),
        SimpleNamespace(plans={plan.domain: plan for plan in plans}),
    )


@when("hall-0 is evacuated")
def step_evacuate_hall_0(context):
    async def evacuate():
        context.evacuations.learn(5, ["hall-0"])

    run_in_virtual_time(evacuate())


@then("{count:d} groups of b are reassigned to a")
def step_reassigned(context, count):
    models = [
        EngineModel(name, 1, share, 1.0, 1.0, 1.0)
        for name, share in (("a", 0.3), ("b", 0.7))
    ]
    chosen = choose_reassignments(
        context.balancer.usable_plans, models, lambda *_: True, lambda *_: 0
    )
    assert all(each.model == "a" and each.domain != "d0" for each in chosen), chosen
    assert sum(len(each.groups) for each in chosen) == count, chosen
