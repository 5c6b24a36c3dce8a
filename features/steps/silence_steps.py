"""Steps for streams at silent targets."""

import math

from behave import given, then, when

from cowslipcourse.admission.urgency import overdue_after_s
from features.support.log_records import recorded_logs
from features.support.scripted_streams import EVENT_COUNT, HostScript, TargetScript
from features.support.silence_fuzz import silence_violations
from features.support.silent_targets import Stop, stream_at_targets
from features.support.stream_lists import stream_route

SCRIPTS = {
    "sound": TargetScript(),
    "paused": TargetScript(silences=((0.5, 1.2),)),
    "paused later": TargetScript(silences=((1.2, 1.2),)),
    "paused too": TargetScript(silences=((0.5, 1.5),)),
    "paused before its first event": TargetScript(silences=((0.0, 1.6),)),
    "slow to begin": TargetScript(first_event_s=1.5),
    "full": TargetScript(status=503),
    "failing": TargetScript(status=500),
    "full for 2 s": TargetScript(is_full_for_s=2.0),
    "slow": TargetScript(event_interval_s=0.3),
    "paused for 1.0 s at 0.7 s": TargetScript(silences=((0.7, 1.0),)),
    "paused for 1.0 s at 0.1 s": TargetScript(silences=((0.1, 1.0),)),
    "lost at 0.7 s": TargetScript(ends_at_s=0.7),
    "paused for 3.0 s": TargetScript(silences=((0.5, 3.0),)),
    "paused and no other": TargetScript(silences=((0.5, 1.2),)),
    "lost": TargetScript(ends_at_s=0.5),
    "lost too": TargetScript(ends_at_s=1.0),
    "endless": TargetScript(silences=((0.5, 60.0),)),
    "silent to it": TargetScript(silences=((0.0, 60.0),), serves_others=True),
    "silent to it after some events": TargetScript(
        silences=((0.5, 60.0),), serves_others=True
    ),
    "preempting it for 1.5 s": TargetScript(silences=((0.5, 1.5),), serves_others=True),
    "preempting it for 2.5 s": TargetScript(silences=((0.5, 2.5),), serves_others=True),
    "queueing it for 2.5 s": TargetScript(
        first_event_s=2.5, serves_others=True, queue_from_s=0.1
    ),
    "serving others too": TargetScript(serves_others=True),
}

HOSTS = {
    "accepts connections": HostScript(),
    "refuses connections": HostScript(error=ConnectionRefusedError()),
    "resets connections": HostScript(error=ConnectionResetError()),
    "does not answer": HostScript(error=TimeoutError()),
    "does not answer two connections": HostScript(error=TimeoutError(), failures=2),
    "does not answer, like all the others": HostScript(
        error=TimeoutError(), has_own_links=False
    ),
}


@given(
    "a {kind} stream that may be sent to {attempts:d} targets, with a retry budget: "
    "{budget}"
)
def step_stream(context, kind, attempts, budget):
    context.options = {
        "is_resumable": kind == "resumable",
        "max_attempts": attempts,
        "has_retry_budget": budget == "yes",
    }


@given("targets that are {targets}")
def step_targets(context, targets):
    context.scripts = [SCRIPTS[name] for name in targets.split(", ")]


@given("the list has {change} of the first one from {at_s:f} s on")
def step_listed(context, change, at_s):
    first = context.scripts[0]._replace(listed=((at_s, change),))
    context.scripts[0] = first


@given("a list that still had {change} of the first one")
def step_listed_before(context, change):
    context.options["listed_before"] = change


@given("suspicions of the targets {numbers}")
def step_suspicions(context, numbers):
    context.options["suspected"] = [int(number) for number in numbers.split(", ")]


@given("then {change} of it from {at_s:f} s on")
def step_listed_then(context, change, at_s):
    first = context.scripts[0]
    listed = (*first.listed, (at_s, change))
    context.scripts[0] = first._replace(listed=listed)


@given("its host {behaviour}")
def step_host(context, behaviour):
    context.options["host"] = HOSTS[behaviour]


@given(
    "a stream at targets that are {targets}, and a stop at {at_s:f} s with "
    "{grace_s:f} s"
)
def step_targets_and_stop(context, targets, at_s, grace_s):
    step_targets(context, targets)
    context.options = {"stop": Stop(at_s, grace_s)}


@then("the caller gets {outcome} by {ends_at_s:f} s after {count:d} targets")
def step_ends_as(context, outcome, ends_at_s, count):
    run = context.run
    assert (run.error or "whole") == outcome, run
    assert run.is_complete == (outcome == "whole"), run
    assert run.ended_after_s <= ends_at_s, run
    assert len(run.sent_to) == count, run
    assert not run.left_open, run


@when("the stream is forwarded")
def step_forward(context):
    context.run = stream_at_targets(context.scripts, **context.options)


@when(
    "the stream is forwarded, and a new configuration is in force {after_s:f} s later"
)
def step_forward_logged(context, after_s):
    with recorded_logs("cowslipcourse.entry") as context.records:
        context.run = stream_at_targets(
            context.scripts, new_configuration_after_s=after_s, **context.options
        )


@when(
    "the stream is forwarded, and a configuration {change} is in force {after_s:f} s "
    "later"
)
def step_forward_changed(context, change, after_s):
    context.run = stream_at_targets(
        context.scripts,
        new_configuration_after_s=after_s,
        new_configuration=change,
        **context.options,
    )


@then('a line "{event}" has {fields}')
def step_logged(context, event, fields):
    expected = dict(field.split("=") for field in fields.split())
    lines = [r.fields for r in context.records if r.getMessage() == event]
    found = [
        {name: str(line.get(name)) for name in expected}
        for line in lines
        if expected.keys() <= line.keys()
    ]
    assert expected in found, lines


@then("the stream is {outcome} and was sent to {count:d} targets")
def step_outcome(context, outcome, count):
    run = context.run
    result, _, time = outcome.partition(" in ")
    assert run.is_complete == (result == "whole"), run
    assert run.event_ids == list(range(1, len(run.event_ids) + 1)), run
    if run.is_complete:
        assert len(run.event_ids) == EVENT_COUNT, run
    if time:
        assert run.ended_after_s <= float(time.removesuffix(" s")), run
    assert len(run.sent_to) == count, run
    assert not run.left_open, run


@when(
    "a stream at a paused and a sound target is read with {send_s:f} s for each piece"
)
def step_slow_caller(context, send_s):
    scripts = [SCRIPTS["paused"], SCRIPTS["sound"]]
    context.run = stream_at_targets(scripts, caller_send_s=send_s)


@when("a stream at targets that are {targets} is read with {send_s:f} s for each piece")
def step_slow_caller_of(context, targets, send_s):
    step_targets(context, targets)
    context.run = stream_at_targets(context.scripts, caller_send_s=send_s)


@given(
    "a {kind} route with {attempts:d} attempts, an objective of {objective_s:f} s and "
    "a pause limit of {pause_s:f} s"
)
def step_route(context, kind, attempts, objective_s, pause_s):
    context.route = stream_route(kind == "resumable", attempts)._replace(
        objective_s=objective_s, pause_limit_s=pause_s
    )


@then("its streams are overdue after {seconds} s")
def step_overdue_after(context, seconds):
    assert math.isclose(overdue_after_s(context.route), float(seconds))


@then("no target was suspected")
def step_not_suspected(context):
    assert not context.run.suspected, context.run


@then("the stream was sent to {count:d} target")
def step_sent_to(context, count):
    assert len(context.run.sent_to) == count, context.run


@then("the caller has each event once, in order")
def step_in_order(context):
    assert context.run.is_complete, context.run
    assert context.run.event_ids == list(range(1, EVENT_COUNT + 1)), context.run


@when("streams of seeds {first:d} to {last:d} are sent to random targets")
def step_random(context, first, last):
    context.violations = {
        seed: violations
        for seed in range(first, last + 1)
        if (violations := silence_violations(seed))
    }


@then(
    "each event came once and in order, within the attempts, and no stream at a sound "
    "target was cut"
)
def step_no_violations(context):
    assert not context.violations, context.violations
