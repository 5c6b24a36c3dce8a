"""Steps over how verdicts spread between daemons."""

from unittest import mock

from behave import given, then, when

from cowslipcourse.quarantining import Quarantine
from features.support.daemon_network import NetworkShape
from features.support.spread_runs import SpreadScenario, simulate_spread


@given(
    "{places:d} data centres of {daemons:d} daemons, losing {lost:d} in 100 datagrams"
)
def step_network(context, places, daemons, lost):
    context.spread_scenario = SpreadScenario(
        NetworkShape(places, daemons, loss_rate=lost / 100)
    )
    context.repeat = Quarantine._repeat_verdicts


@when("nobody repeats what it has told")
def step_no_repeats(context):
    context.repeat = lambda self, now: None


@when("three of them see one target end each under the same request")
def step_ends(context):
    context.spread_scenario = context.spread_scenario._replace(target_exits=3)


@when("no target ends under a request")
def step_no_end(context):
    context.spread_scenario = context.spread_scenario._replace(target_exits=0)


@when("{number:d} daemons were cut off until {seconds:d} s after that")
def step_cut(context, number, seconds):
    context.spread_scenario = context.spread_scenario._replace(
        isolated_daemons=number, isolation_s=float(seconds)
    )


def _play(context):
    with mock.patch.object(Quarantine, "_repeat_verdicts", context.repeat):
        context.spread = simulate_spread(context.spread_scenario)


@then("all daemons refuse it 2.5 s later")
def step_all_refuse(context):
    _play(context)
    assert all(context.spread.refusing), context.spread.refusing.count(False)


@then("some daemons do not refuse it 2.5 s later")
def step_some_do_not(context):
    _play(context)
    assert not all(context.spread.refusing)


@then("no daemon sends more than {most:d} bytes a second for it from then on")
def step_bytes(context, most):
    assert max(context.spread.repeat_bytes_per_s) <= most, (
        context.spread.repeat_bytes_per_s
    )


@then("nothing is sent for quarantines")
def step_nothing(context):
    _play(context)
    assert not any(context.spread.spread_bytes + context.spread.repeat_bytes_per_s)
