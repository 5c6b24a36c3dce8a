"""Steps for the checks of runs that use up a retry budget."""

from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from soak.retry_callers import Call
from soak.retry_run import find_untaken, is_unproven

REQUEST = "r1"
CALL = Call("a1", 10.0, 12.0)
KILL_TIMES = {"at any time": 0.0, "during the call": 11.0, "after the call": 13.0}
KILLED_NAMES = {"its daemon": "a1", "another daemon": "a2"}


@given(
    "a request that its caller sent {sent:d} times, and daemons took {taken:d} times"
)
def step_request(context, sent, taken):
    context.callers = SimpleNamespace(send_counts=Counter({REQUEST: sent}))
    context.taken = Counter({REQUEST: taken})


@when("it arrives twice, and {killed} is killed {when}")
def step_arrives(context, killed, when):
    context.untaken = find_untaken(
        {REQUEST: [10.5, 11.5]}, context.taken, context.callers
    )
    name = KILLED_NAMES.get(killed)
    context.kills = [] if name is None else [(name, KILL_TIMES[when])]


@then("repeats without an explanation are reported: {reported}")
def step_reported(context, reported):
    is_reported = bool(context.untaken) and not is_unproven(CALL, context.kills)
    assert is_reported == (reported == "yes"), context.untaken
