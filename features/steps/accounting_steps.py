"""Steps for the causes of lost requests, and for counts of groups."""

import asyncio
import logging
import tempfile
from pathlib import Path

from behave import given, then, when

from cowslipcourse.admission.failure_attribution import (
    StreamTimes,
    late_cause,
    no_target_cause,
)
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.group_counts import GroupCountMonitor
from cowslipcourse.entry.prometheus_metrics import EntryMetrics
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)
from measurements.class_account import count_causes, main, read_outcomes

SLOTS = 10
LOG_LINES = [
    "  1.2 f-1 time=2026-01-01T00:00:01 event=streamed request=a route=r late=None",
    "  1.9 f-2 time=2026-01-01T00:00:01 event=no-place request=b cause=no-group",
    "  2.0 f-2 time=2026-01-01T00:00:02 event=request-failed request=b route=r"
    ' error=no-target-available cause=no-group detail="x y"',
    "  2.1 f-1 time=2026-01-01T00:00:02 event=streamed request=c route=s"
    " late=late-pause",
    "  3.0 f-1 time=2026-01-01T00:00:03 event=caller-left request=d route=r",
]


def _entry(target, state=GroupState.OPEN):
    membership = GroupMembership(f"g-{target}", 3, 0, state, "small")
    return TargetEntry(
        target, "llm", f"{target}:1", "n", SLOTS, domain="d", membership=membership
    )


@given(
    "{group_count:d} groups that serve its model, of which {full:d} are full and "
    "{tried_count:d} were tried"
)
def step_candidates(context, group_count, full, tried_count):
    # The tried targets are the last ones.
    context.candidates = [
        Candidate(_entry(f"t{n}"), 2 * SLOTS if n < full else 0, SLOTS)
        for n in range(group_count)
    ]
    context.tried_ids = {f"t{n}" for n in range(group_count - tried_count, group_count)}


@then('a request that finds no target has the cause "{cause}"')
def step_no_target_cause(context, cause):
    assert no_target_cause(context.candidates, context.tried_ids) == cause


@given(
    "a route with an objective of {objective_s:f} s and a pause limit of "
    "{pause_limit_s:f} s"
)
def step_route(context, objective_s, pause_limit_s):
    context.route = Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        6.0,
        objective_s,
        pause_limit_s=pause_limit_s,
    )


@when(
    "a stream waits {slot_wait_s:f} s for a slot and takes {first_event_s:f} s to its "
    "first event with pauses of {pause_s:f} s and {attempts:d} attempts"
)
def step_stream_times(context, slot_wait_s, first_event_s, pause_s, attempts):
    times = StreamTimes(slot_wait_s, first_event_s, pause_s, attempts)
    context.cause = late_cause(context.route, times)


@then('the cause of its delay is "{cause}"')
def step_late_cause(context, cause):
    assert str(context.cause) == cause, context.cause


@given(
    "logs in which 4 requests end once each, with the causes served, no-group, "
    "late-pause and caller-gone"
)
def step_log_lines(context):
    context.lines = LOG_LINES


@then("the account has each of them once, by route and second")
def step_account_is_complete(context):
    outcomes, unfinished = read_outcomes(context.lines)
    assert not unfinished
    causes = count_causes(outcomes)
    assert causes["r"] == {"served": 1, "no-group": 1, "caller-gone": 1}, causes
    assert causes["s"] == {"late-pause": 1}, causes
    assert [outcome.second for outcome in outcomes] == [1, 2, 2, 3]


@then("a request that ends twice, or never, is reported")
def step_wrong_counts_reported(context):
    directory = Path(context.resources.enter_context(tempfile.TemporaryDirectory()))
    for name, lines, exit_code in (
        ("whole", LOG_LINES, 0),
        ("twice", [*LOG_LINES, LOG_LINES[0]], 1),
        ("never", LOG_LINES[:2], 1),
    ):
        log = directory / name
        log.write_text("\n".join(lines))
        assert main([str(log)]) == exit_code, name


def _spec():
    model = EngineModel("small", 2, 1.0, 0.6, 12.0, 1.0)
    return ServiceSpec("llm", models=(model,), slots=SLOTS)


@given("a daemon that sees 2 groups of a model")
def step_fleet(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("a"), _entry("b")], ())
    context.routes = RouteTable(1, (), (_spec(),), CallerLimits())


@when("both groups end, and one returns after {seconds:d} s")
def step_groups_end(context, seconds):
    context.seconds = seconds
    context.logged = []

    class RecordingHandler(logging.Handler):
        def emit(self, record):
            context.logged.append((record.getMessage(), record.fields))

    async def observe():
        monitor = GroupCountMonitor()
        monitor.count(context.routes, context.fleet)
        broken = [_entry(target, GroupState.BROKEN) for target in ("a", "b")]
        context.fleet.apply(broken, ())
        monitor.count(context.routes, context.fleet)
        await asyncio.sleep(seconds)
        context.fleet.apply([_entry("a")], ())
        context.counts = monitor.count(context.routes, context.fleet)

    handler = RecordingHandler()
    logger = logging.getLogger("cowslipcourse.entry.group_counts")
    logger.addHandler(handler)
    previous_level = logger.level
    logger.setLevel(logging.INFO)
    try:
        run_in_virtual_time(observe())
    finally:
        logger.removeHandler(handler)
        logger.setLevel(previous_level)


@then("the log says that the model is unserved, and served again after {seconds:d} s")
def step_transitions_logged(context, seconds):
    events = [event for event, _ in context.logged]
    assert events == ["model-unserved", "model-served"], context.logged
    assert context.logged[1][1]["seconds"] == seconds, context.logged


@then("the metrics contain the numbers of groups and engines")
def step_metrics_contain_counts(context):
    metrics = EntryMetrics()
    metrics.set_group_counts(context.counts)
    metrics.count_cause("r", "small", "no-group")
    text = metrics.render().decode()
    assert 'cowslip_groups{model="small"} 1.0' in text
    assert 'cowslip_engines{model="small",state="broken"} 1.0' in text
    account_sample = (
        'cowslip_account_total{cause="no-group",model="small",route="r"} 1.0'
    )
    assert account_sample in text, text
