"""Steps for report requests to engines and the silence of engines."""

import asyncio
import math
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry import engine_calls
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.isolation_detector import IsolationDetector
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.group_plans import ObservedEngine
from cowslipcourse.ports import EngineReport, TargetEntry

ROUND_TRIP_S = 0.003
POLL_S = 0.02
SETTINGS = ControlSettings()


class _SlowEngineControl:
    """Engine control whose calls share a processor: half to send, half to read."""

    def __init__(self, call_s):
        self._call_s = call_s
        self._processor = asyncio.Lock()

    async def report(self, entry):
        try:
            async with asyncio.timeout(SETTINGS.report_timeout_s):
                await self._use_processor()
                await asyncio.sleep(ROUND_TRIP_S)
                await self._use_processor()
        except TimeoutError as error:
            raise TargetUnreachable(
                "no report in time: the processor is busy"
            ) from error
        return EngineReport(1, None, ())

    async def _use_processor(self):
        async with self._processor:
            await asyncio.sleep(self._call_s / 2)


class _UnansweredEngineControl:
    """Engine control without answers, in a process that pauses during each request."""

    def __init__(self, pause_s):
        self._pause_s = pause_s
        self.request_count = 0

    async def report(self, entry):
        self.request_count += 1
        await asyncio.sleep(SETTINGS.report_timeout_s + self._pause_s)
        raise TargetUnreachable("no answer to the report request")


def _engine(number):
    return ObservedEngine(TargetEntry(f"e{number}", "llm", "a:1", "dc", 13))


def _request_all_reports(context, make_control, seconds):
    async def run():
        reported = []
        context.control = make_control()
        engine_client = EngineClient(
            context.control,
            SETTINGS,
            lambda engine, report, requested_at: reported.append(engine.id),
            lambda: None,
            None,
        )
        for engine in context.engines:
            engine_client.request_report(engine)
        await asyncio.sleep(seconds)
        context.reported = reported

    run_in_virtual_time(run())


def _silent_ids(context):
    return [e.id for e in context.engines if e.silent_since is not None]


@given(
    "{number:d} healthy engines and a coordinator whose calls take {call_ms:d} ms of "
    "processor time each"
)
def step_healthy_engines(context, number, call_ms):
    context.engines = [_engine(index) for index in range(number)]
    context.call_s = call_ms / 1000


@when("it requests reports of all of them at once")
def step_request_all(context):
    _request_all_reports(context, lambda: _SlowEngineControl(context.call_s), 8)


@when(
    "it requests reports of all of them at once, with no limit on concurrent requests"
)
def step_request_all_unlimited(context):
    with mock.patch.object(engine_calls, "MAX_CONCURRENT_REPORTS", 10_000):
        _request_all_reports(context, lambda: _SlowEngineControl(context.call_s), 8)


@then("all have reported within 8 s and none is silent")
def step_all_reported(context):
    assert len(set(context.reported)) == len(context.engines), len(context.reported)
    assert not _silent_ids(context), len(_silent_ids(context))


@then("more than {number:d} seem silent")
def step_seem_silent(context, number):
    assert len(_silent_ids(context)) > number, len(_silent_ids(context))


class _LostLinks:
    """Implements ``Reachability`` for a daemon that reaches no targets."""

    is_reachable = False

    async def confirm(self):
        return False

    async def accepts_connections(self, address):
        return False


def _coordinator(context):
    """Return a coordinator that reaches no targets."""
    daemon_context = SimpleNamespace(reachability=_LostLinks(), fleet=FleetView())
    coordinator = Coordinator(
        daemon_context, None, _UnansweredEngineControl(0.0), SETTINGS, None, None
    )
    coordinator.domains = context.domains
    return coordinator


class _Domain:
    """A domain with its engines by id."""

    def __init__(self, engines):
        self.engines = {engine.id: engine for engine in engines}


class _Domains:
    """All domains by name."""

    def __init__(self, by_name):
        self.by_name = by_name


class _PartitionedEngineControl:
    """Engine control that cannot reach some engines.

    :param unreachable: ids of these engines.
    """

    def __init__(self, unreachable):
        self._unreachable = unreachable

    async def report(self, entry):
        if entry.id in self._unreachable:
            await asyncio.sleep(SETTINGS.report_timeout_s)
            raise TargetUnreachable("no answer to the report request")
        await asyncio.sleep(ROUND_TRIP_S)
        return EngineReport(1, None, ())


@given("a coordinator that owns {owned:d} of {total:d} domains of {size:d} engines")
def step_coordinator(context, owned, total, size):
    by_name = {
        f"d{number}": _Domain(_engine(number * size + index) for index in range(size))
        for number in range(total)
    }
    context.domains = _Domains(by_name)
    context.owned_domains = [f"d{number}" for number in range(owned)]


def _request_domain_reports(context, engines, unreachable):
    context.isolated_at = None

    async def run():
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def check_isolation():
            detector.check(context.owned_domains, loop.time())
            if detector.isolated_until and context.isolated_at is None:
                context.isolated_at = loop.time() - started_at

        def on_report(engine, report, requested_at):
            engine.silent_since = None

        engine_client = EngineClient(
            _PartitionedEngineControl(unreachable),
            SETTINGS,
            on_report,
            check_isolation,
            None,
        )
        detector = IsolationDetector(context.domains, engine_client)
        for _ in range(4):
            for engine in engines:
                engine_client.request_report(engine)
            await asyncio.sleep(1.0)
            context.silent = {
                engine.id
                for name in context.owned_domains
                for engine in context.domains.by_name[name].engines.values()
                if engine.silent_since is not None
            }
            if context.isolated_at is not None:
                return

    run_in_virtual_time(run())


@when(
    "one of its domains becomes unreachable, and it requests reports of its engines "
    "for 4 s"
)
def step_unreachable_domain(context):
    unreachable = context.domains.by_name["d0"].engines
    _request_domain_reports(context, list(unreachable.values()), set(unreachable))


@when("it reaches no engine, and requests reports of those of its domains for 4 s")
def step_reaches_none(context):
    domains = context.domains.by_name
    owned = [
        e for name in context.owned_domains for e in domains[name].engines.values()
    ]
    all_ids = {engine_id for d in domains.values() for engine_id in d.engines}
    _request_domain_reports(context, owned, all_ids)


@when(
    "it knows that it reaches no targets, and requests reports of those of its domains"
)
def step_knows_lost_links(context):
    domains = context.domains.by_name
    context.silent, context.isolated_at = set(), None
    owned = [
        e for name in context.owned_domains for e in domains[name].engines.values()
    ]

    async def run():
        started_at = asyncio.get_running_loop().time()
        coordinator = _coordinator(context)
        for engine in owned:
            coordinator._engine_client.request_report(engine)
        while context.isolated_at is None:
            await asyncio.sleep(POLL_S)
            now = asyncio.get_running_loop().time()
            if coordinator.isolated_until > now:
                context.isolated_at = now - started_at
        await asyncio.sleep(1.0)
        context.silent = {e.id for e in owned if e.silent_since is not None}

    run_in_virtual_time(run())


@then("it continues to coordinate, and those {number:d} engines are silent")
def step_continues(context, number):
    assert context.isolated_at is None and len(context.silent) == number


@then(
    "it stops coordinating within {seconds:f} s, and finds no engine of its domains "
    "silent"
)
def step_stops_coordinating(context, seconds):
    assert context.isolated_at is not None and context.isolated_at <= seconds
    assert not context.silent, context.silent


@given("an engine that never answers")
def step_unanswered(context):
    context.engines, context.pause_s = [_engine(1)], 0.0


@given(
    "an engine that never answers, and a process that pauses for {pause_s:f} s in each "
    "request"
)
def step_unanswered_with_pause(context, pause_s):
    context.engines, context.pause_s = [_engine(1)], pause_s


@when("a report is requested")
def step_request(context):
    _request_all_reports(context, lambda: _UnansweredEngineControl(context.pause_s), 10)


@then("it is silent after {number:d} report requests")
def step_is_silent(context, number):
    assert _silent_ids(context) and context.control.request_count == number


@then("it is not silent after {number:d} report requests")
def step_not_silent(context, number):
    assert not _silent_ids(context) and context.control.request_count == number


class _PausedEngineControl:
    """Engine control of an engine that answers nothing until some time.

    :param until: loop time from which it answers.
    :param own_pause: start and end of a pause of this process, in loop time.
    """

    def __init__(self, until, own_pause):
        self._until = until
        self._own_pause = own_pause

    async def report(self, entry):
        now = asyncio.get_running_loop().time()
        starts_at, ends_at = self._own_pause
        if now < starts_at < now + SETTINGS.report_timeout_s:
            await asyncio.sleep(ends_at - now)
            raise TargetUnreachable("no answer to the report request")
        remaining_s = self._until - now
        if remaining_s > SETTINGS.report_timeout_s:
            await asyncio.sleep(SETTINGS.report_timeout_s)
            raise TargetUnreachable("no answer to the report request")
        await asyncio.sleep(max(0.0, remaining_s))
        return EngineReport(1, None, ())


@given("an engine that answers after {paused_s:f} s, whose host {reaction} connections")
def step_paused_engine(context, paused_s, reaction):
    context.paused_s = paused_s
    context.reaction = reaction


@when("its report is requested")
def step_request_paused(context):
    _request_paused(context, (math.inf, math.inf))


@when(
    "its report is requested by a process that pauses from {from_s:f} s to {to_s:f} s"
)
def step_request_paused_itself(context, from_s, to_s):
    _request_paused(context, (from_s, to_s))


def _request_paused(context, own_pause_s):
    async def accepts_connections(address):
        await asyncio.sleep(1.0 if context.reaction == "ignores" else ROUND_TRIP_S)
        return context.reaction == "accepts"

    async def run():
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        engine = _engine(1)
        context.silent_after_s = None

        def on_silent():
            context.silent_after_s = loop.time() - began_at

        engine_client = EngineClient(
            _PausedEngineControl(
                began_at + context.paused_s, [began_at + at_s for at_s in own_pause_s]
            ),
            SETTINGS,
            lambda engine, report, requested_at: None,
            on_silent,
            None,
            accepts_connections=accepts_connections,
        )
        engine_client.request_report(engine)
        await asyncio.sleep(5.0)

    run_in_virtual_time(run())


@then("it is {outcome} after {limit_s:f} s")
def step_paused_outcome(context, outcome, limit_s):
    if outcome == "not silent":
        assert context.silent_after_s is None, context.silent_after_s
    else:
        assert context.silent_after_s <= limit_s, context.silent_after_s
