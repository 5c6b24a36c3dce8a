"""Steps for many streams at targets that are all silent."""

from behave import given, then, when

from features.support.silent_fleet import streams_at_silent_fleet
from features.support.stream_lists import PLACES

OBSERVED_AT_S = (1.0, 1.1, 3.0)


@given(
    "{count:d} targets with {places:d} places each that send nothing for {silent_s:g} s"
)
def step_silent_targets(context, count, places, silent_s):
    assert places == PLACES
    context.targets = {"target_count": count, "silent_s": silent_s}


@when("{count:d} streams arrive at once")
def step_arrive(context, count):
    context.run = streams_at_silent_fleet(
        stream_count=count, observed_at_s=OBSERVED_AT_S, **context.targets
    )


@when("{count:d} streams arrive at once and their callers leave after {leave_at_s:g} s")
def step_arrive_and_leave(context, count, leave_at_s):
    context.run = streams_at_silent_fleet(
        stream_count=count,
        observed_at_s=OBSERVED_AT_S,
        leave_at_s=leave_at_s,
        **context.targets,
    )


@when("{count:d} streams arrive at once and callers send up to {tries:d} requests")
def step_arrive_and_return(context, count, tries):
    context.run = streams_at_silent_fleet(
        stream_count=count, max_tries=tries, **context.targets
    )


@then(
    "after {at_s:g} s each target has at most {most:d} open connections and "
    "{pending:d} streams are not answered"
)
def step_held(context, at_s, most, pending):
    observation = context.run.observations[at_s]
    assert max(observation.open_by_target) <= most, observation
    assert observation.in_flight == sum(observation.open_by_target), observation
    assert observation.pending == pending, observation


@then("after {at_s:g} s each stream takes at most {most:d} bytes")
def step_memory(context, at_s, most):
    observation = context.run.observations[at_s]
    assert observation.bytes_per_stream <= most, observation


@then("after {at_s:g} s no request is in flight")
def step_none_in_flight(context, at_s):
    assert not context.run.observations[at_s].in_flight, context.run.observations


@then("targets are sought at most {most:d} times in each second after the first")
def step_looks(context, most):
    looks = context.run.looks
    assert all(count <= most for second, count in looks.items() if second), looks


@then(
    "{count:d} streams were refused within {within_s:g} s and told to return after at "
    "least {retry_after_s:g} s"
)
def step_refused(context, count, within_s, retry_after_s):
    refused = [caller for caller in context.run.callers if caller.refused_after_s]
    assert len(refused) == count, len(refused)
    assert all(max(caller.refused_after_s) <= within_s for caller in refused)
    assert all(min(caller.retry_after_s) >= retry_after_s for caller in refused)


@then("{count:d} streams are whole")
def step_whole(context, count):
    whole = sum(caller.is_whole for caller in context.run.callers)
    assert whole == count, whole
