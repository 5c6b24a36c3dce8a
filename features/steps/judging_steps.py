"""Steps over verdicts on requests: who is blamed, how long, and what is kept."""

import asyncio
import contextlib
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.site_file import SiteSettings
from cowslipcourse.emulator.world import Faults, World
from cowslipcourse.entry.accounting import TargetChoice
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.entry.retrying import try_targets
from cowslipcourse.entry.settings import RetrySettings
from cowslipcourse.exceptions import (
    IncompleteResponse,
    RequestQuarantined,
    TargetFailed,
)
from cowslipcourse.ports import RowWrite, TargetEntry
from cowslipcourse.quarantine import (
    CrashReport,
    Suspects,
    Verdict,
    Verdicts,
    VerdictStore,
)
from cowslipcourse.quarantine.judging import QUARANTINE_S
from cowslipcourse.quarantine.kept import (
    QUARANTINE_TABLE,
    REPORTS_KEY,
    VERDICTS_KEY,
    _encode_verdicts,
)
from cowslipcourse.quarantining import Quarantine, TargetExitDetector
from cowslipcourse.routes import RequestKind, Route

FINGERPRINT = b"f" * 16
HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
CLOCK_S = 1e-6
"""Rounding of times of the loop."""
SITE = SiteSettings(domains={"d": "x"}, engines_a_domain=1, models=(), kinds=())
ROUTE = Route("r", "h", "/", RequestKind.IDEMPOTENT, (("s", 1.0),), 8.0, 1.0, 1, 2)


def _report(life, begun=True, events=0, reached=0, fingerprint=FINGERPRINT):
    incarnation = int(life[1:] or 0)
    return CrashReport(fingerprint, life[0], incarnation, begun, events, reached)


# Who is blamed.


def _judge(ends):
    """Play a story told in words; return whether it ends in a verdict."""
    suspects, now, reached, convicted = Suspects(), 0.0, 0, False
    for step in ends.split(", "):
        words = step.split()
        if step == "answered":
            suspects.record_answered(FINGERPRINT, now)
        elif words[1] == "s":
            now += float(words[0])
        elif words[1] == "events":
            # Each attempt of a caller begins anew; within one, events go on.
            reached = int(words[0])
            report = _report(words[2], events=reached, reached=reached)
            convicted |= suspects.add_report(report, now)
        else:
            begun = words[0] != "waiting"
            report = _report(words[1], begun=begun, reached=reached)
            convicted |= suspects.add_report(report, now)
    return convicted


@given("the ends of targets under a request: {ends}")
def step_ends(context, ends):
    context.convicted = _judge(ends)


@then("it is convicted: {convicted}")
def step_convicted(context, convicted):
    assert context.convicted == (convicted == "yes")


@given("{number:d} requests that are beside one that ends its targets, in {places}")
def step_beside(context, number, places):
    """Let each be in the other one's group, and go on in one group out of four.

    A run of 2 s that is met at a random moment has begun within the last 0.1 s in one
    case out of 20; one that goes on at the same moment as the other has not come far.
    """
    rng = random.Random(1)
    suspects = Suspects()
    context.number, context.convicted = number, 0
    for each in range(number):
        fingerprint = each.to_bytes(16, "big")
        is_beside, reached = True, 0
        for run in range(4):
            if not is_beside:
                break
            first = run % 2 == 0
            events = 0 if not first or rng.random() < 0.05 else rng.randint(1, 20)
            reached = events or reached
            report = _report(f"t{run}", True, events, reached, fingerprint)
            context.convicted += suspects.add_report(report, 0.0)
            is_beside = rng.random() < 0.25


@then("fewer than 1 in {share:d} of them are convicted")
def step_few_convicted(context, share):
    assert context.convicted < context.number / share, context.convicted


# How much is kept.


@when("{number:d} different requests end 3 targets each")
def step_many(context, number):
    suspects, verdicts = Suspects(), Verdicts()
    for each in range(number):
        fingerprint = each.to_bytes(16, "big")
        suspects.add_report(_report("x1", fingerprint=fingerprint), float(each) / 100)
    assert len(suspects) == 4096
    for each in range(number):
        fingerprint = each.to_bytes(16, "big")
        reports = [_report(f"t{n}", fingerprint=fingerprint) for n in range(3)]
        told = [suspects.add_report(report, float(each) / 100) for report in reports]
        assert told[-1]
        verdicts.add(Verdict(fingerprint, each + QUARANTINE_S))
    context.suspects, context.verdicts, context.number = suspects, verdicts, number


@then("no more than {verdicts:d} verdicts and {suspects:d} suspects are kept, {which}")
def step_bounded(context, verdicts, suspects, which):
    assert len(context.verdicts) == verdicts
    assert len(context.suspects) <= suspects
    known = {int.from_bytes(v.fingerprint, "big") for v in context.verdicts}
    assert known == set(range(context.number - verdicts, context.number))


@then("the row of the store has no more than {kilobytes:d} KB")
def step_row(context, kilobytes):
    length = len(_encode_verdicts(context.verdicts))
    assert length <= kilobytes * 1024, length


# When a verdict ends.


@given("a verdict that was reached at a time")
def step_verdict(context):
    context.verdict = Verdict(FINGERPRINT, HOUR_S)


@then("it may be tried after 1 h, then after 4 h, 16 h and 64 h more: three {rest}")
def step_terms(context, rest):
    assert QUARANTINE_S == HOUR_S
    tried, verdict = [], context.verdict
    for _trial in range(4):
        tried.append(verdict.until)
        verdict = verdict.after_trial_began(verdict.until)
    gaps = [
        (after - at) / HOUR_S for at, after in zip([0, *tried], tried, strict=False)
    ]
    assert gaps == [1, 4, 16, 64], gaps
    assert sum(at <= DAY_S for at in tried) == 3


@then("hearing of it again does not prolong it")
def step_not_prolonged(context):
    verdicts = Verdicts()
    assert verdicts.add(context.verdict)
    assert not verdicts.add(context.verdict._replace(until=9 * HOUR_S))
    assert verdicts.get(FINGERPRINT).until == HOUR_S
    assert verdicts.add(context.verdict.after_trial_began(HOUR_S))


class _Call(SimpleNamespace):
    """What is used of a call."""


def _call():
    return _Call(id="a1", fingerprint=FINGERPRINT, route=ROUTE)


class _Daemons:
    """Daemons with quarantines, a store, and targets that end under the request."""

    def __init__(self, number):
        loop = asyncio.get_running_loop()
        self.network = MessageNetwork(SITE, random.Random(1))
        faults = Faults(late=0, lost=0, unanswered=0, pause=0, store=0)
        self.store = World(random.Random(1), faults, ())
        self.clock = loop.time
        self.sent = []
        self.ends_targets = True
        self.quarantines = [self.start(f"a{each}") for each in range(number)]

    def start(self, name):
        """Start a daemon anew, and return its quarantine."""
        fleet = FleetView()
        fleet.apply([_entry(n) for n in range(50)], ())
        kept = VerdictStore(self.store, self.clock)
        ends = TargetExitDetector(fleet.is_expected, self._refuses)
        quarantine = Quarantine(self.network.peers(name), ends, kept)
        self.network.attach(name, quarantine)
        return quarantine

    async def _refuses(self, address):
        return self.ends_targets

    async def request(self, quarantine, before=None):
        """Bring a request to targets; return the error that its caller gets, if any.

        :param before: coroutine function that is run at each target.
        """
        call = _call()

        async def choose(tried):
            return TargetChoice(_entry(len(self.sent)))

        async def attempt(run, is_last):
            self.sent.append(run.entry.id)
            run.answer_started = True
            if before is not None:
                await before(run)
            await asyncio.sleep(0.05)
            if self.ends_targets:
                run.ended_by_target = True
                raise IncompleteResponse("the connection ended")
            run.succeeded = True

        budget = SharedRetryBudget(RetrySettings())
        tools = SimpleNamespace(quarantine=quarantine, retry_budget=budget, fleet=None)
        try:
            await quarantine.admit(call)
            await try_targets(tools, call, "s", choose, attempt)
        except (RequestQuarantined, TargetFailed) as error:
            return error
        finally:
            quarantine.record_finished(call)
        return None

    async def at_all(self):
        """Let the request come at all daemons at once; return what each caller gets."""
        return await asyncio.gather(*(self.request(q) for q in self.quarantines))

    async def stop(self):
        """End the daemons."""
        self.network.stop()
        await asyncio.sleep(0)


def _entry(number):
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


def _on(number, act):
    """Run a coroutine function over daemons in fake time."""

    async def run():
        daemons = _Daemons(number)
        await asyncio.sleep(0.1)
        try:
            await act(daemons)
        finally:
            await daemons.stop()

    run_paused(run())


async def _convict(daemons):
    """Let the request end targets at the daemons until all refuse it."""
    while not all(q.is_quarantined(_call()) for q in daemons.quarantines):
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
    await asyncio.sleep(1)
    daemons.sent.clear()


@given("eight daemons that know a verdict whose time is over")
def step_eight(context):
    async def prepare(daemons):
        await _convict(daemons)
        await asyncio.sleep(HOUR_S)

    context.prepare = prepare


@when("the request comes at all of them at the same moment")
def step_at_once(context):
    context.stories = {}
    for ends in (True, False):

        async def story(daemons, ends=ends):
            await context.prepare(daemons)
            daemons.ends_targets = ends
            found = await daemons.at_all()
            sent = list(daemons.sent)
            await asyncio.sleep(2)
            daemons.sent.clear()
            again = await daemons.at_all()
            for number in range(8):
                daemons.quarantines[number] = daemons.start(f"a{number}")
            await asyncio.sleep(1)
            context.stories[ends] = found, sent, again, await daemons.at_all()

        _on(8, story)


@then("one of them sends it to a target, and the others refuse it")
def step_one(context):
    for found, sent, _, _ in context.stories.values():
        assert len(sent) == 1, sent
        refused = [each for each in found if isinstance(each, RequestQuarantined)]
        assert len(refused) == 7, found


@then("if it ends the target all refuse it again, for {hours:d} h")
def step_refused_again(context, hours):
    _, _, again, after_start = context.stories[True]
    for error in again + after_start:
        assert isinstance(error, RequestQuarantined), error
        assert 0.99 * hours < error.retry_after_s / HOUR_S <= hours, error.retry_after_s


@then("if it is answered none refuses it any more, nor after a new start")
def step_not_refused(context):
    _, _, again, after_start = context.stories[False]
    assert again + after_start == [None] * 16, (again, after_start)


@when("the store is away and the request comes")
def step_store_away(context):
    async def story(daemons):
        await context.prepare(daemons)
        daemons.store.faults = daemons.store.faults._replace(store=1.0)
        context.found = await daemons.at_all()
        context.sent = list(daemons.sent)

    _on(8, story)


@then("all refuse it, and give no time to come back")
def step_all_refuse(context):
    assert not context.sent
    assert all(isinstance(each, RequestQuarantined) for each in context.found)
    assert [each.retry_after_s for each in context.found] == [None] * 8


# A spoiled row.


@given("a row of verdicts that another writer has spoiled")
def step_spoiled(context):
    async def story(daemons):
        await daemons.store.write(
            RowWrite(QUARANTINE_TABLE, VERDICTS_KEY, b'[["zz", 1, 2]]')
        )
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(0.5)
        context.read = daemons.quarantines[0].verdict_count
        other = Verdict(b"o" * 16, daemons.clock() + QUARANTINE_S)
        for quarantine in daemons.quarantines:
            quarantine._apply_verdict(other)
        await _convict(daemons)
        await asyncio.sleep(2)
        kept = await VerdictStore(daemons.store, daemons.clock).read()
        context.kept = {verdict.fingerprint for verdict in kept.verdicts}

    _on(2, story)


@then("a daemon that starts reads none, and says so")
def step_reads_none(context):
    assert context.read == 0


@then("the next verdict is kept again, with all others that its judge knows")
def step_kept_again(context):
    assert context.kept == {FINGERPRINT, b"o" * 16}, context.kept


@given("a verdict that is kept, and a row of evidence that another writer has spoiled")
def step_spoiled_evidence(context):
    async def story(daemons):
        kept = VerdictStore(daemons.store, daemons.clock)
        await kept.add_verdicts([Verdict(b"o" * 16, QUARANTINE_S)])
        await daemons.store.write(RowWrite(QUARANTINE_TABLE, REPORTS_KEY, b'[["zz"]]'))
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(0.5)
        context.read = daemons.quarantines[0].verdict_count
        # Each attempt makes two sends, so two targets end.
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
        context.kept = (await kept.read()).reports
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(0.5)
        assert not daemons.quarantines[0].is_quarantined(_call())
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
        context.is_quarantined = daemons.quarantines[0].is_quarantined(_call())

    _on(1, story)


@then("a daemon that starts knows the verdict")
def step_knows(context):
    assert context.read == 1


@then(
    "evidence on another request is kept again, and makes up a verdict after a {rest}"
)
def step_evidence(context, rest):
    assert len(context.kept) == 2, context.kept
    assert context.is_quarantined


# Contradictions.


@given("two daemons, of which one has just passed on a whole answer to a request")
def step_two(context):
    context.answered = True


@when("three targets end under the same request at the other daemon")
def step_other(context):
    async def story(daemons):
        daemons.ends_targets = False
        assert await daemons.request(daemons.quarantines[1]) is None
        daemons.ends_targets = True
        for _ in range(3):
            await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(3)
        context.sizes = [quarantine.verdict_count for quarantine in daemons.quarantines]
        kept = await VerdictStore(daemons.store, daemons.clock).read()
        context.kept = kept.verdicts

    _on(2, story)


@then("soon neither refuses it, and nothing of it is kept")
def step_neither(context):
    assert context.sizes == [0, 0] and context.kept == [], (context.sizes, context.kept)


# The refusal, and runs under way.


@given("a daemon that has learnt of a verdict")
def step_learnt(context):
    context.verdict = Verdict(FINGERPRINT, QUARANTINE_S)


@when("the request comes again")
def step_comes_again(context):
    async def story(daemons):
        quarantine = daemons.quarantines[0]
        quarantine._apply_verdict(Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S))
        at = daemons.clock()
        context.error = await daemons.request(quarantine)
        context.took_s = daemons.clock() - at
        context.sent = list(daemons.sent)

    _on(1, story)

    async def ran_before(daemons):
        quarantine = daemons.quarantines[0]

        async def convicted_meanwhile(run):
            quarantine._apply_verdict(
                Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S)
            )

        context.after_run = await daemons.request(quarantine, convicted_meanwhile)
        context.runs = len(daemons.sent)

    _on(1, ran_before)


@then(
    "it is refused within {seconds:f} s as not run, with the time after which it {rest}"
)
def step_refused(context, seconds, rest):
    assert context.took_s <= seconds and not context.sent
    assert isinstance(context.error, RequestQuarantined)
    assert (context.error.status, context.error.outcome) == (503, "not_run")
    assert abs(context.error.retry_after_s - QUARANTINE_S) < CLOCK_S


@then("a request that has run in this attempt is not told that it has not")
def step_has_run(context):
    assert context.runs == 1
    assert isinstance(context.after_run, TargetFailed), context.after_run
    assert (context.after_run.status, context.after_run.outcome) == (502, "unknown")


class _Connection:
    error = None

    def abort(self, error):
        self.error = error


@given("a daemon with a run of a request under way")
def step_under_way(context):
    context.connection = _Connection()


@when("it learns that the request is quarantined")
def step_learns(context):
    async def story(daemons):
        quarantine = daemons.quarantines[0]
        run = TargetRun(_entry(0))
        run.connection = context.connection
        with contextlib.ExitStack() as stack:
            stack.enter_context(quarantine.tracking(_call(), run))
            assert context.connection.error is None
            quarantine._apply_verdict(
                Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S)
            )

    _on(1, story)


@then("the run is broken off")
def step_broken_off(context):
    assert isinstance(context.connection.error, IncompleteResponse)
