"""Steps over questions to engines."""

import asyncio
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry import engine_calls
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.own_links import IsolationDetector
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.groups import ObservedEngine
from cowslipcourse.ports import EngineReport, TargetEntry

TRIP_S = 0.003
SETTINGS = ControlSettings()


class _SlowProcess:
    """A control whose calls share one slow processor: half to send, half to read."""

    def __init__(self, call_s):
        self._call_s = call_s
        self._processor = asyncio.Lock()

    async def report(self, entry):
        try:
            async with asyncio.timeout(SETTINGS.report_timeout_s):
                await self._work()
                await asyncio.sleep(TRIP_S)
                await self._work()
        except TimeoutError as error:
            raise TargetUnreachable("too late") from error
        return EngineReport(1, None, ())

    async def _work(self):
        async with self._processor:
            await asyncio.sleep(self._call_s / 2)


class _Deaf:
    """A control that gets no answer, in a process that stands still at times."""

    def __init__(self, pause_s):
        self._pause_s = pause_s
        self.questions = 0

    async def report(self, entry):
        self.questions += 1
        await asyncio.sleep(SETTINGS.report_timeout_s + self._pause_s)
        raise TargetUnreachable("no answer")


def _engine(number):
    return ObservedEngine(TargetEntry(f"e{number}", "llm", "a:1", "dc", 13))


def _ask_all(context, make_control, seconds):
    async def run():
        heard = []
        context.control = make_control()
        calls = EngineClient(
            context.control,
            SETTINGS,
            lambda engine, report, asked_at: heard.append(engine.id),
            lambda: None,
            None,
        )
        for engine in context.engines:
            calls.request_report(engine)
        await asyncio.sleep(seconds)
        context.heard = heard

    run_paused(run())


def _silent(context):
    return [e.id for e in context.engines if e.silent_since is not None]


@given(
    "{number:d} sound engines and a coordinator whose calls take {call_ms:d} ms of its "
    "time each"
)
def step_sound(context, number, call_ms):
    context.engines = [_engine(each) for each in range(number)]
    context.call_s = call_ms / 1000


@when("it asks them all at once")
def step_ask_all(context):
    _ask_all(context, lambda: _SlowProcess(context.call_s), 8)


@when("it asks them all at once, with no limit on the calls under way")
def step_ask_unlimited(context):
    with mock.patch.object(engine_calls, "MAX_CONCURRENT_REPORTS", 10_000):
        _ask_all(context, lambda: _SlowProcess(context.call_s), 8)


@then("all are heard within 8 s and none is silent")
def step_all_heard(context):
    assert len(set(context.heard)) == len(context.engines), len(context.heard)
    assert not _silent(context), len(_silent(context))


@then("more than {number:d} seem silent")
def step_seem_silent(context, number):
    assert len(_silent(context)) > number, len(_silent(context))


class _Domain:
    def __init__(self, engines):
        self.engines = {engine.id: engine for engine in engines}


class _Domains:
    def __init__(self, by_name):
        self.by_name = by_name


class _Reach:
    """A control that reaches the engines which a scenario leaves it."""

    def __init__(self, unreached):
        self._unreached = unreached

    async def report(self, entry):
        if entry.id in self._unreached:
            await asyncio.sleep(SETTINGS.report_timeout_s)
            raise TargetUnreachable("no answer")
        await asyncio.sleep(TRIP_S)
        return EngineReport(1, None, ())


@given("a coordinator that keeps {own:d} of {all_:d} domains of {size:d} engines")
def step_keeps(context, own, all_, size):
    by_name = {
        f"d{number}": _Domain(_engine(number * size + each) for each in range(size))
        for number in range(all_)
    }
    context.domains = _Domains(by_name)
    context.tended = [f"d{number}" for number in range(own)]


def _ask_domains(context, asked, unreached):
    context.doubted_at = None

    async def run():
        loop = asyncio.get_running_loop()
        begun = loop.time()

        def look():
            links.check(context.tended, loop.time())
            if links.isolated_until and context.doubted_at is None:
                context.doubted_at = loop.time() - begun

        def heard(engine, report, asked_at):
            engine.silent_since = None

        calls = EngineClient(_Reach(unreached), SETTINGS, heard, look, None)
        links = IsolationDetector(context.domains, calls)
        for _ in range(4):
            for engine in asked:
                calls.request_report(engine)
            await asyncio.sleep(1.0)
            context.silent = {
                engine.id
                for name in context.tended
                for engine in context.domains.by_name[name].engines.values()
                if engine.silent_since is not None
            }
            if context.doubted_at is not None:
                return

    run_paused(run())


@when("one of its domains goes dark, and it asks that domain's engines for 4 s")
def step_dark_domain(context):
    dark = context.domains.by_name["d0"].engines
    _ask_domains(context, list(dark.values()), set(dark))


@when("it reaches no engine, and asks those of its domains for 4 s")
def step_reaches_none(context):
    domains = context.domains.by_name
    own = [e for name in context.tended for e in domains[name].engines.values()]
    everyone = {each for domain in domains.values() for each in domain.engines}
    _ask_domains(context, own, everyone)


@then("it goes on coordinating, and those {number:d} engines are silent")
def step_goes_on(context, number):
    assert context.doubted_at is None and len(context.silent) == number


@then(
    "it stops to coordinate within {seconds:f} s, and calls no engine of its domains "
    "silent"
)
def step_stops(context, seconds):
    assert context.doubted_at is not None and context.doubted_at <= seconds
    assert not context.silent, context.silent


@given("an engine that never answers")
def step_deaf(context):
    context.engines, context.pause_s = [_engine(1)], 0.0


@given(
    "an engine that never answers, and a process that stands still for {pause_s:f} s "
    "in each question"
)
def step_deaf_pause(context, pause_s):
    context.engines, context.pause_s = [_engine(1)], pause_s


@when("it is asked")
def step_ask(context):
    _ask_all(context, lambda: _Deaf(context.pause_s), 10)


@then("it is silent after {number:d} questions")
def step_silent(context, number):
    assert _silent(context) and context.control.questions == number


@then("it is not silent after {number:d} questions")
def step_not_silent(context, number):
    assert not _silent(context) and context.control.questions == number
