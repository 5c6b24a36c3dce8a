"""Steps for the exchange of speeds between daemons."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from pydantic import ValidationError

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.prometheus_metrics import EntryMetrics
from cowslipcourse.entry.settings import BalancingSettings
from cowslipcourse.entry.speed_exchange import SpeedExchange
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.target_placing import TargetPlacing
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.load_balancing import RequestSize
from cowslipcourse.load_balancing.expected_time import ExpectedTimes
from cowslipcourse.peer_protocol import SpeedReport, decode, encode
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import RouteTable
from features.support.log_records import recorded_logs
from features.support.placing_runs import GROUPS

MESSAGE_DELAY_S = 0.01
EXPECTED = ExpectedTimes(0.05, 0.05, 1.0, True)
ACTIVE = BalancingSettings(cost="expected-time")
ENTRIES = [
    TargetEntry(
        f"t{number:02}",
        "llm",
        "a:1",
        "x",
        13,
        domain="d",
        membership=GroupMembership(f"g{number}", 1, 0, GroupState.OPEN, "large"),
    )
    for number in range(40)
]


def _placing(settings, count=12):
    fleet = FleetView()
    fleet.apply(ENTRIES[:count], ())
    placing = TargetPlacing(settings, fleet, TargetConditions(None, fleet), "x")
    placing.table = RouteTable(1, (), (GROUPS,), None)
    return placing


class _Peers:
    """Messages of one daemon; the first of each data centre is its reporter."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def _local(self):
        return [n for n in self._world.daemons if n[0] == self._name[0]]

    def reporter_addresses(self):
        first = min(self._local())
        return [] if first == self._name else [first]

    def local_repeat_addresses(self):
        return self._local() if min(self._local()) == self._name else []

    def repeat_addresses(self):
        if not self.local_repeat_addresses():
            return []
        others = {n[0]: n for n in sorted(self._world.daemons, reverse=True)}
        others.pop(self._name[0])
        return self._local() + list(others.values())

    def send(self, message, addresses):
        self._world.deliver(self._name, message, addresses)


class _World:
    """Daemons that exchange speeds."""

    def __init__(self, inactive=(), loss=0.0):
        self.daemons = {}
        self.sent = []
        self._loss = loss
        self._rng = random.Random(3)
        for name in ("a1", "a2", "a3", "b1", "b2"):
            placing = _placing(BalancingSettings() if name in inactive else ACTIVE)
            placing.update(0.0)
            exchange = SpeedExchange(name, name[0], _Peers(self, name), placing)
            self.daemons[name] = SimpleNamespace(placing=placing, exchange=exchange)

    def start(self):
        for daemon in self.daemons.values():
            daemon.task = asyncio.create_task(daemon.exchange.run())

    def lose(self, name):
        self.daemons.pop(name).task.cancel()

    def deliver(self, sender, message, addresses):
        content = encode(message)
        for address in addresses:
            if address == sender:
                continue
            self.sent.append(sender)
            if self._rng.random() >= self._loss:
                loop = asyncio.get_running_loop()
                loop.call_later(MESSAGE_DELAY_S, self._receive, address, content)

    def _receive(self, address, content):
        if address in self.daemons:
            self.daemons[address].exchange.handle_message(decode(content))

    def observe_slow(self, name, entries):
        now = asyncio.get_running_loop().time()
        speeds = self.daemons[name].placing.speeds
        for entry in entries:
            request = speeds.start(entry, "p", EXPECTED, 0, now)
            speeds.observe_relative(request, 4.0, now)
            request.end(now)

    def slow_at(self, name):
        now = asyncio.get_running_loop().time()
        return set(self.daemons[name].placing.speeds.slow_ids(now))


def _run(context, seconds, observed=1, is_repeated=False, then=None):
    """Run the daemons and keep what each takes for slow in the end."""

    async def run():
        world = _World(context.inactive, context.loss)
        world.start()
        if observed:
            world.observe_slow("a3", ENTRIES[:observed])
        for _ in range(round(seconds / 0.5)):
            if is_repeated:
                world.observe_slow("a3", ENTRIES[:observed])
            await asyncio.sleep(0.5)
        if then is not None:
            await then(world)
        context.world = world
        context.slow = {name: world.slow_at(name) for name in world.daemons}

    with recorded_logs("cowslipcourse.entry.speed_exchange") as records:
        run_in_virtual_time(run())
    context.records = records


@given("daemons a1, a2 and a3 in one data centre and b1 and b2 in another")
def step_daemons(context):
    context.inactive, context.loss = (), 0.0
    context.arguments = {}


@given("a2 compares requests in flight")
def step_inactive(context):
    context.inactive = ("a2",)


@given("half of all messages are lost")
def step_loss(context):
    context.loss = 0.5


@when("a3 observes a slow target")
def step_observes(context):
    context.arguments = {"observed": 1}


@when("a3 observes a slow target again and again")
def step_observes_again(context):
    context.arguments = {"observed": 1, "is_repeated": True}


@when("a3 observes that all 12 targets are slow")
def step_observes_all(context):
    context.arguments = {"observed": 12, "is_repeated": True}


@then("after {seconds:g} s all daemons take it for slow")
def step_all_know(context, seconds):
    _run(context, seconds, **context.arguments)
    assert all(slow == {"t00"} for slow in context.slow.values()), context.slow


@then("after {seconds:g} s all daemons but a2 take it for slow")
def step_all_but_one_know(context, seconds):
    _run(context, seconds, **context.arguments)
    assert context.slow.pop("a2") == set()
    assert all(slow == {"t00"} for slow in context.slow.values()), context.slow


@then("a2 has sent no message")
def step_silent(context):
    assert "a2" not in context.world.sent and "a1" in context.world.sent


@then("no message is sent in {seconds:g} s")
def step_no_message(context, seconds):
    _run(context, seconds, observed=0)
    assert not context.world.sent, context.world.sent


@when("a1, the reporter, is lost before a3 observes a slow target again and again")
def step_reporter_lost(context):
    context.arguments = {"observed": 0}


@then("{seconds:g} s later a2, b1 and b2 take it for slow")
def step_known_by_second_reporter(context, seconds):
    async def lose_and_observe(world):
        world.lose("a1")
        for _ in range(round(seconds / 0.5)):
            world.observe_slow("a3", ENTRIES[:1])
            await asyncio.sleep(0.5)

    _run(context, 1.0, then=lose_and_observe, **context.arguments)
    assert all(slow == {"t00"} for slow in context.slow.values()), context.slow


@when("its data centre is lost after {seconds:g} s")
def step_data_centre_lost(context, seconds):
    context.lost_after_s = seconds


@then("{seconds:g} s later b2 takes no target for slow")
def step_expired(context, seconds):
    async def lose(world):
        context.known_before = world.slow_at("b2")
        for name in ("a1", "a2", "a3"):
            world.lose(name)
        await asyncio.sleep(seconds)

    _run(context, context.lost_after_s, then=lose, **context.arguments)
    assert context.known_before == {"t00"}
    assert context.slow["b2"] == set(), context.slow


@then("after {seconds:g} s b2 takes no target for slow")
def step_not_believed(context, seconds):
    _run(context, seconds, **context.arguments)
    assert context.slow["b2"] == set(), context.slow


@then("a3 has sent no message, and one line says so")
def step_tells_nothing(context):
    assert "a3" not in context.world.sent
    lines = [record.getMessage() for record in context.records]
    assert lines == ["speeds-ignored"], lines


@then("a report with a factor of {percent:d} percent is unreadable")
def step_unreadable(context, percent):
    content = encode(SpeedReport("d", "x", False, {"t": percent}))
    try:
        decode(content)
    except MalformedResponse:
        return
    raise AssertionError("decoded")


@then("a report with a factor of {percent:d} percent counts as a factor of {factor:d}")
def step_large_factor(context, percent, factor):
    async def run():
        placing = _placing(ACTIVE)
        exchange = SpeedExchange("d", "x", None, placing)
        report = decode(encode(SpeedReport("e", "x", True, {"t00": percent})))
        exchange.handle_message(report)
        now = asyncio.get_running_loop().time()
        return placing.told.get("t00", now).factor

    assert run_in_virtual_time(run()) == factor


@then('the setting "{one}" is accepted, "{other}" too and "{wrong}" is not')
def step_settings(context, one, other, wrong):
    assert BalancingSettings(cost=one).cost == BalancingSettings().cost
    assert BalancingSettings(cost=other).cost == other
    try:
        BalancingSettings(cost=wrong)
    except ValidationError:
        return
    raise AssertionError("accepted")


@then("a daemon whose settings change compares by expected time from then on")
def step_settings_change(context):
    placing = _placing(BalancingSettings())
    assert placing.cost is None
    placing.apply_settings(ACTIVE)
    assert placing.cost is not None
    placing.apply_settings(BalancingSettings())
    assert placing.cost is None


@when("{count:d} targets turn slow in the view of a daemon")
def step_many_slow(context, count):
    placing = _placing(ACTIVE, count)
    for entry in ENTRIES[:count]:
        request = placing.speeds.start(entry, "p", EXPECTED, 0, 10.0)
        placing.speeds.observe_relative(request, 4.0, 10.0)
        request.end(10.0)
    with recorded_logs("cowslipcourse.entry.target_placing") as context.records:
        placing.update(10.0)
    metrics = EntryMetrics()
    metrics.set_slow_counts(placing.slow_counts())
    context.metrics_text = metrics.render().decode()


@then("{lines:d} lines say so, and the metric counts {count:d}")
def step_slow_lines(context, lines, count):
    assert [r.getMessage() for r in context.records] == ["target-slow"] * lines
    assert f'cowslip_slow_targets{{service="llm"}} {count}.0' in context.metrics_text


@when("a request to a normal target has its first event after {first_s:g} s")
def step_observed_request(context, first_s):
    headers = SimpleNamespace(size=RequestSize(1000, 80))
    call = SimpleNamespace(caller_headers=headers)

    async def run(settings):
        with _placing(settings).observing(call, ENTRIES[0]) as request:
            await asyncio.sleep(first_s)
            request.record_events(1, asyncio.get_running_loop().time())
        return request.log_fields()

    context.fields = run_in_virtual_time(run(ACTIVE))
    context.fields_when_off = run_in_virtual_time(run(BalancingSettings()))


@then("its line tells an expected time, {first_s:g} s and a speed of {speed:d}")
def step_log_fields(context, first_s, speed):
    fields = context.fields
    assert 0.02 < fields["expected_s"] < 0.1, fields
    assert fields["took_s"] == first_s and fields["speed"] == speed, fields
    assert context.fields_when_off == {}
