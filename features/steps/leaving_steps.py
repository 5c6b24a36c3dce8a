"""Steps for targets that state that they leave."""

import asyncio
import itertools
import logging
from unittest import mock

import aiohttp
from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import MalformedHeader
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.platform.backpressure import decode_is_leaving
from cowslipcourse.ports import TargetEntry
from features.steps.limit_process_steps import CALLER_COUNT, call_forever
from features.steps.platform_steps import _run_in_loop
from features.support.limit_runs import limit_settings, simulate_limits

ENTRY = TargetEntry("t1", "s", "10.0.0.1:1", "x", 6, incarnation=7)
LEAVING_HEADER = (b"server-leaving", b"1")
LOAD_S = 6.0
MEANINGS = {"stays": False, "leaves": True, "states nothing": None}


def _head(*values, status=200):
    return ResponseHead(status, tuple((LEAVING_HEADER[0], v) for v in values))


@when('a response has the leaving headers "{values}"')
def step_headers(context, values):
    parts = () if values == "none" else values.split(";")
    try:
        context.is_leaving = decode_is_leaving(_head(*(p.encode() for p in parts)))
    except MalformedHeader:
        context.is_leaving = None


@then("its target {meaning}")
def step_meaning(context, meaning):
    assert context.is_leaving is MEANINGS[meaning], context.is_leaving


# Emulated sites.


@given(
    "an emulated site where {count:d} heads state that they leave and stop {delay:d} s "
    "later"
)
def step_leaving_heads(context, count, delay):
    context.faults = [{"kind": "leave", "at_s": 2, "count": count, "for_s": delay}]


@when(
    "it is simulated for {seconds:d} s with seeds {first:d} to {last:d}, by daemons "
    "that ignore the statement"
)
def step_simulate_ignoring(context, seconds, first, last):
    settings = limit_settings(seconds, context.faults)
    logging.disable(logging.CRITICAL)
    try:
        with mock.patch.object(FleetView, "mark_leaving", lambda *arguments: False):
            context.results = [
                simulate_limits(settings, seed) for seed in range(first, last + 1)
            ]
    finally:
        logging.disable(logging.NOTSET)


def _latest_arrivals_s(results):
    """Return for each engine and daemon how long after the statement it last sent."""
    return [
        max(figure.arrivals) - min(at for at, _ in figure.pauses)
        for result in results
        for figure in result.departures
    ]


@then("no daemon sends them a request later than {delay:g} s after it was stated")
def step_no_late_requests(context, delay):
    latest_s = _latest_arrivals_s(context.results)
    assert latest_s and max(latest_s) <= delay, max(latest_s, default=None)


@then("some daemon sends them a request later than {delay:g} s after it was stated")
def step_late_requests(context, delay):
    assert max(_latest_arrivals_s(context.results)) > delay


# One daemon's view.


def _observe(context, head):
    async def observe():
        TargetConditions(context.limiter, context.fleet).observe(ENTRY, head)

    run_in_virtual_time(observe())


@given("a listed target")
def step_listed(context):
    context.limiter = mock.Mock()
    context.fleet = FleetView()
    context.fleet.apply([ENTRY], ())


@given("a listed target that states that it leaves")
def step_leaving(context):
    step_listed(context)
    _observe(context, _head(b"1"))


@when("a response with 421 states that the target leaves")
def step_misdirected(context):
    _observe(context, _head(b"1", status=421))


@when("the list shows it as ready again")
def step_ready_again(context):
    context.fleet.apply([ENTRY._replace(slots=7)], ())


@when("it restarts under its id")
def step_restarted(context):
    context.fleet.apply([ENTRY._replace(incarnation=8)], ())


@then("it is no candidate")
def step_no_candidate(context):
    assert context.fleet.service_candidates("s", 0.0) == []


@then("it is a candidate")
def step_candidate(context):
    (candidate,) = context.fleet.service_candidates("s", 0.0)
    assert candidate.entry.id == ENTRY.id


@then("its exit is expected")
def step_exit_expected(context):
    assert not context.fleet.is_expected(ENTRY)


# Real processes.


@when(
    "the head of a group and a plain target state that they leave, under a steady load"
)
def step_processes_leave(context):
    site = context.platform
    context.statuses, context.daemon_by_attempt = [], {}

    async def actions():
        numbers = itertools.count(1)
        head = next(
            engine.id
            for engine in site.world.engines.values()
            if engine.is_open_head and engine.membership.model == "large"
        )
        async with aiohttp.ClientSession() as session:
            callers = [
                asyncio.create_task(call_forever(context, session, kind, numbers))
                for kind in ("draft", "look")
                for _ in range(CALLER_COUNT)
            ]
            await asyncio.sleep(1.0)
            site.leaving |= {head, "p1"}
            await asyncio.sleep(LOAD_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    _run_in_loop(context, actions())


@then("no daemon sends them a request later than {delay:g} s after it was told")
def step_no_late_request_of_processes(context, delay):
    figures = context.platform.leaving_oracle.figures(context.daemon_by_attempt.get)
    assert len({figure.engine for figure in figures}) == 2, figures
    late = [
        figure
        for figure in figures
        if max(figure.arrivals) > min(at for at, _ in figure.pauses) + delay
    ]
    assert not late, late
