"""Steps over the account of what became of requests."""

import asyncio
import logging
import tempfile
from pathlib import Path

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry.accounting import StreamTimes, late_cause, no_target_cause
from cowslipcourse.entry.census import GroupCountMonitor
from cowslipcourse.entry.fleet import Candidate, FleetView
from cowslipcourse.entry.metrics import EntryMetrics
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)
from measurements.class_account import account, main, read_ends

SLOTS = 10
LINES = [
    "  1.2 f-1 time=2026-01-01T00:00:01 event=streamed request=a route=r late=None",
    "  1.9 f-2 time=2026-01-01T00:00:01 event=no-place request=b cause=no-group",
    "  2.0 f-2 time=2026-01-01T00:00:02 event=request-failed request=b route=r"
    ' error=no-target-available cause=no-group detail="x y"',
    "  2.1 f-1 time=2026-01-01T00:00:02 event=streamed request=c route=s"
    " late=late-pause",
    "  3.0 f-1 time=2026-01-01T00:00:03 event=caller-left request=d route=r",
]


def _entry(target, state=GroupState.OPEN):
    found = GroupMembership(f"g-{target}", 3, 0, state, "small")
    return TargetEntry(
        target, "llm", f"{target}:1", "n", SLOTS, domain="d", membership=found
    )


@given(
    "{number:d} groups that serve its model, of which {full:d} are full and {tried:d} "
    "were tried"
)
def step_places(context, number, full, tried):
    # Those that were tried come last.
    context.places = [
        Candidate(_entry(f"t{n}"), 2 * SLOTS if n < full else 0, SLOTS)
        for n in range(number)
    ]
    context.tried = {f"t{n}" for n in range(number - tried, number)}


@then('a request that finds no place is lost to "{cause}"')
def step_shortage(context, cause):
    assert no_target_cause(context.places, context.tried) == cause


@given("a route with an objective of {objective:f} s and pauses of {pause:f} s")
def step_route(context, objective, pause):
    context.route = Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        (("llm", 1.0),),
        6.0,
        objective,
        pause_limit_s=pause,
    )


@when(
    "a stream waits {place:f} s for a place and takes {first:f} s to its first event "
    "with pauses of {pause:f} s and {attempts:d} attempts"
)
def step_stream(context, place, first, pause, attempts):
    times = StreamTimes(place, first, pause, attempts)
    context.cause = late_cause(context.route, times)


@then('it is lost to "{cause}"')
def step_late(context, cause):
    assert str(context.cause) == cause, context.cause


@given(
    "logs in which 4 requests end once each, for the causes served, no-group, "
    "late-pause and caller-gone"
)
def step_logs(context):
    context.lines = LINES


@then("the account has each of them once, by route and second")
def step_account(context):
    ends, without = read_ends(context.lines)
    assert not without
    found = account(ends)
    assert found["r"] == {"served": 1, "no-group": 1, "caller-gone": 1}, found
    assert found["s"] == {"late-pause": 1}, found
    assert [end.second for end in ends] == [1, 2, 2, 3]


@then("a request that ends twice, or never, is told")
def step_told(context):
    folder = Path(context.resources.enter_context(tempfile.TemporaryDirectory()))
    for name, lines, code in (
        ("whole", LINES, 0),
        ("twice", [*LINES, LINES[0]], 1),
        ("never", LINES[:2], 1),
    ):
        log = folder / name
        log.write_text("\n".join(lines))
        assert main([str(log)]) == code, name


def _spec():
    model = EngineModel("small", 2, 1.0, 0.6, 12.0, 1.0)
    return ServiceSpec("llm", models=(model,), slots=SLOTS)


@given("a daemon that sees 2 groups of a model")
def step_sees(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("a"), _entry("b")], ())
    context.routes = RouteTable(1, (), (_spec(),), CallerLimits(), {})


@when("both groups end, and one comes back after {seconds:d} s")
def step_end(context, seconds):
    context.seconds = seconds
    context.said = []

    class Keep(logging.Handler):
        def emit(self, record):
            context.said.append((record.getMessage(), record.fields))

    async def look():
        watch = GroupCountMonitor()
        watch.count(context.routes, context.fleet)
        broken = [_entry(target, GroupState.BROKEN) for target in ("a", "b")]
        context.fleet.apply(broken, ())
        watch.count(context.routes, context.fleet)
        await asyncio.sleep(seconds)
        context.fleet.apply([_entry("a")], ())
        context.census = watch.count(context.routes, context.fleet)

    handler = Keep()
    logger = logging.getLogger("cowslipcourse.entry.census")
    logger.addHandler(handler)
    before = logger.level
    logger.setLevel(logging.INFO)
    try:
        run_paused(look())
    finally:
        logger.removeHandler(handler)
        logger.setLevel(before)


@then("the log says that the model is unserved, and served again after {seconds:d} s")
def step_said(context, seconds):
    events = [event for event, _ in context.said]
    assert events == ["model-unserved", "model-served"], context.said
    assert context.said[1][1]["seconds"] == seconds, context.said


@then("the numbers of groups and engines are on the metrics address")
def step_metrics(context):
    metrics = EntryMetrics()
    metrics.set_group_counts(context.census)
    metrics.count_cause("r", "small", "no-group")
    text = metrics.render().decode()
    assert 'cowslip_groups{model="small"} 1.0' in text
    assert 'cowslip_engines{model="small",state="broken"} 1.0' in text
    counted = 'cowslip_account_total{cause="no-group",model="small",route="r"} 1.0'
    assert counted in text, text
