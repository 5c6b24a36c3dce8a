"""Steps for the spread of verdicts between daemons."""

from unittest import mock

from behave import given, then, when

from cowslipcourse.quarantine_runtime import Quarantine
from features.support.daemon_network import NetworkShape
from features.support.spread_runs import (
    SpreadScenario,
    simulate_relays,
    simulate_spread,
)


@given(
    "{data_centres:d} data centres of {daemons:d} daemons with {loss_percent:d} % "
    "datagram loss"
)
def step_network(context, data_centres, daemons, loss_percent):
    context.spread_scenario = SpreadScenario(
        NetworkShape(data_centres, daemons, loss_rate=loss_percent / 100)
    )
    context.repeat_verdicts = Quarantine._repeat_verdicts


@when("no daemon repeats its verdicts")
def step_no_repeats(context):
    context.repeat_verdicts = lambda self, now: None


@when("three of them each see one target crash under the same request")
def step_three_crashes(context):
    context.spread_scenario = context.spread_scenario._replace(target_exits=3)


@when("four of them each see one target crash under another request with one part")
def step_part_crashes(context):
    context.spread_scenario = context.spread_scenario._replace(
        target_exits=4, is_part=True
    )


@then("none refuses requests with the other part of these, which all daemons answer")
def step_sound_not_refused(context):
    assert not any(context.spread.refusing_sound)


@when("no target crashes under a request")
def step_no_crash(context):
    context.spread_scenario = context.spread_scenario._replace(target_exits=0)


@when("{isolated_count:d} daemons are isolated until {seconds:d} s after that")
def step_isolated(context, isolated_count, seconds):
    context.spread_scenario = context.spread_scenario._replace(
        isolated_daemons=isolated_count, isolation_s=float(seconds)
    )


def _simulate(context):
    with mock.patch.object(Quarantine, "_repeat_verdicts", context.repeat_verdicts):
        context.spread = simulate_spread(context.spread_scenario)


@then("all daemons refuse it 2.5 s later")
def step_all_refuse(context):
    _simulate(context)
    assert all(context.spread.refusing), context.spread.refusing.count(False)


@then("some daemons do not refuse it 2.5 s later")
def step_some_do_not(context):
    _simulate(context)
    assert not all(context.spread.refusing)


@then(
    "from then on no daemon sends more than {max_bytes_per_s:d} bytes per second for it"
)
def step_max_bytes(context, max_bytes_per_s):
    assert max(context.spread.repeat_bytes_per_s) <= max_bytes_per_s, (
        context.spread.repeat_bytes_per_s
    )


@when(
    "a reporter is to relay a verdict, a heartbeat, and another verdict that is to be "
    "relayed again"
)
def step_relay(context):
    context.relayed = simulate_relays(context.spread_scenario.shape)


@then(
    "all daemons of its data centre have the first verdict only, and the others have "
    "none"
)
def step_relayed(context):
    relayed, shape = context.relayed, context.spread_scenario.shape
    counts = sorted(relayed.first.values())
    others = [0] * (shape.data_centres - 1)
    assert counts == [*others, shape.daemons_per_data_centre], relayed
    assert not any(relayed.nested.values()), relayed
    assert not any(relayed.greeted.values()), relayed


@then("no daemon sends anything for quarantines")
def step_no_bytes(context):
    _simulate(context)
    assert not any(context.spread.spread_bytes + context.spread.repeat_bytes_per_s)
