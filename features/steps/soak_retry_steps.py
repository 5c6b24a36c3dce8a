"""Steps for the checks of runs that use up a retry budget."""

from collections import Counter

from behave import given, then, when

from soak.retry_checks import (
    Arrival,
    Call,
    find_extended,
    find_overlong,
    find_untaken,
    find_widened,
    is_unproven,
)

REQUEST = "r1"
CALL = Call("a1", 10.0, 12.0, 2.5)
MAX_ATTEMPTS = 2
KILL_TIMES = {"at any time": 0.0, "during the call": 11.0, "after the call": 13.0}
KILLED_NAMES = {"its daemon": "a1", "another daemon": "a2"}


def _arrival(at, target, time_budget_s=1.0, has_run=True):
    return Arrival(at, REQUEST, target, time_budget_s, has_run)


@given(
    "a request that its caller sent {sent:d} times, and daemons took {taken:d} times"
)
def step_request(context, sent, taken):
    context.sent = Counter({REQUEST: sent})
    context.taken = Counter({REQUEST: taken})


@when("it arrives twice, and {killed} is killed {when}")
def step_arrives(context, killed, when):
    arrivals = {REQUEST: [_arrival(10.5, "t1"), _arrival(11.5, "t2")]}
    context.untaken = find_untaken(arrivals, context.taken, context.sent)
    name = KILLED_NAMES.get(killed)
    context.kills = [] if name is None else [(name, KILL_TIMES[when])]


@then("repeats without an explanation are reported: {reported}")
def step_reported(context, reported):
    is_reported = bool(context.untaken) and not is_unproven(CALL, context.kills)
    assert is_reported == (reported == "yes"), context.untaken


@when("it arrives at {count:d} targets, of which the first {refusing:d} refuse it")
def step_arrives_at(context, count, refusing):
    arrivals = [
        _arrival(10.5 + number, f"t{number}", has_run=number >= refusing)
        for number in range(count)
    ]
    context.widened = find_widened({REQUEST: arrivals}, context.sent, MAX_ATTEMPTS)


@then("it ran at too many targets: {reported}")
def step_widened(context, reported):
    assert bool(context.widened) == (reported == "yes"), context.widened


@when("it arrives with {first:g} s, and {after:g} s later with {second:g} s")
def step_arrives_with(context, first, after, second):
    context.arrivals = {
        REQUEST: [_arrival(10.0, "t1", first), _arrival(10.0 + after, "t2", second)]
    }


@then("more time than its caller waits: {overlong}; a later end: {extended}")
def step_time(context, overlong, extended):
    calls = {REQUEST: CALL}
    assert bool(find_overlong(context.arrivals, calls)) == (overlong == "yes")
    assert bool(find_extended(context.arrivals, calls)) == (extended == "yes")
