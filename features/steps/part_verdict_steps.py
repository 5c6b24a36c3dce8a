"""Steps for verdicts on parts of prompts, at eight daemons in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.group_oracle import Faults, World
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.site_file import SiteSettings
from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.exceptions import MalformedResponse, RequestQuarantined
from cowslipcourse.peer_protocol import (
    ExitReports,
    PartAnswers,
    PartCleared,
    PartCrashes,
    PartHold,
    PartInquiry,
    ProbeGrant,
    ProbeRequest,
    decode,
    encode,
)
from cowslipcourse.platform.headers import parse_caller_headers
from cowslipcourse.ports import TargetEntry
from cowslipcourse.quarantine import (
    ExitReport,
    ExitRun,
    PartAnswer,
    PartCount,
    PartCrash,
    Stage,
    VerdictStore,
    part_fingerprints,
)
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation

SITE = SiteSettings(domains={"d": "x"}, engines_a_domain=1, models=(), kinds=())
NO_FAULTS = Faults(
    late_order_fraction=0,
    lost_order_fraction=0,
    unanswered_order_fraction=0,
    pause_fraction=0,
    store_failure_fraction=0,
)
DAEMON_COUNT = 8
USUAL_REQUESTS = 20
USUAL_RUNS = 4
"""Requests that each daemon has been sent, and runs that it has in flight, with the
other part only."""
TARGET_COUNT = 250
CRASH_COUNT = 4
CRASH_INTERVAL_S = 0.3
SETTLING_S = 2.5
HOUR_S = 3600.0
OTHER_PART, PART = part_fingerprints("s", ("other", "crashing"))
FINGERPRINT = b"f" * 16


def _request(number, parts=(OTHER_PART, PART)):
    return SimpleNamespace(
        id=f"a{number}",
        fingerprint=number.to_bytes(16, "little"),
        part_fingerprints=parts,
        model="m",
    )


class _Daemons:
    """Daemons with quarantines, and a store."""

    def __init__(self):
        self.network = MessageNetwork(SITE, random.Random(1))
        self.store = World(random.Random(1), NO_FAULTS, ())
        self.quarantines = []
        self.request_count = 0
        self.aborted = []
        self.start_all()

    def start_all(self):
        """Start or restart all daemons."""
        self.quarantines = [self._start(f"a{n}") for n in range(DAEMON_COUNT)]

    async def send_usual_requests(self):
        """Send requests with the other part to all daemons; some remain in flight."""
        for quarantine in self.quarantines:
            for _ in range(USUAL_REQUESTS):
                await quarantine.admit(self.new_request((OTHER_PART,)))
            for number in range(USUAL_RUNS):
                run = TargetRun(_entry(90 + number))
                call = self.new_request((OTHER_PART,))
                quarantine.tracking(call, run).__enter__()

    def _start(self, name):
        fleet = FleetView()
        fleet.apply([_entry(number) for number in range(TARGET_COUNT)], ())
        quarantine = Quarantine(
            self.network.peers_of(name),
            TargetExitDetector(fleet.is_expected, _refuses),
            VerdictStore(self.store, asyncio.get_running_loop().time),
        )
        quarantine.load_part_evaluation(PartEvaluation)
        self.network.attach(name, quarantine)
        return quarantine

    def new_request(self, parts=(OTHER_PART, PART)):
        """Return a request like no other."""
        self.request_count += 1
        return _request(self.request_count, parts)

    async def crash_targets(self, count):
        """Let targets crash under different requests, each at another daemon."""
        for _ in range(count):
            request = self.new_request()
            run = TargetRun(_entry(self.request_count % TARGET_COUNT))
            run.answer_started = run.ended_by_target = True
            daemon = self.quarantines[self.request_count % DAEMON_COUNT]
            daemon.record_failed(request, run)
            await asyncio.sleep(CRASH_INTERVAL_S)

    def refusing_count(self, parts=(OTHER_PART, PART)):
        """Return how many daemons refuse a request with these parts."""
        return sum(
            quarantine.is_quarantined(self.new_request(parts))
            for quarantine in self.quarantines
        )


async def _refuses(address):
    return True


def _entry(number):
    return TargetEntry(f"t{number}", "s", f"10.0.0.{number}:1", "x", 6)


class _AbortableRun(TargetRun):
    """A run that records that it was aborted."""

    is_aborted = False

    def abort(self, error):
        """See :class:`~cowslipcourse.entry.attempts.TargetRun`."""
        self.is_aborted = True


def _play(context, step):
    """Add a coroutine function to what the last step of the scenario plays."""
    context.play_steps = [*getattr(context, "play_steps", []), step]


def _run_all(context):
    """Run the scenario's steps from the start, with new daemons."""

    async def run():
        daemons = context.daemons = _Daemons()
        await asyncio.sleep(0.5)
        await daemons.send_usual_requests()
        for step in context.play_steps:
            await step(context, daemons)
        daemons.network.stop()
        await asyncio.sleep(0)

    run_in_virtual_time(run())


async def _crash_and_settle(context, daemons):
    await daemons.crash_targets(CRASH_COUNT)
    await asyncio.sleep(SETTLING_S)


@given("eight daemons at which targets have crashed under requests with a part")
def step_crashed(context):
    _play(context, _crash_and_settle)


@when("targets have crashed under requests with the part")
def step_crash_again(context):
    async def crash(context, daemons):
        await daemons.crash_targets(CRASH_COUNT)
        if context.run is not None:
            # It was sent after the crashes, so that it says something about the part.
            context.run.sent_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SETTLING_S)

    _play(context, crash)


@given("eight daemons, one of them with a run of a request with a part {events} events")
def step_run_under_way(context, events):
    async def start(context, daemons):
        context.run = _AbortableRun(_entry(99))
        context.run.relayed_events = 1 if events == "that has" else 0
        context.call = daemons.new_request()
        tracking = daemons.quarantines[3].tracking(context.call, context.run)
        tracking.__enter__()
        context.tracking = tracking

    _play(context, start)


@when("the run is answered")
def step_answered(context):
    async def answer(context, daemons):
        context.tracking.__exit__(None, None, None)
        daemons.quarantines[3].record_answered(context.call, context.run)
        context.run = None
        await asyncio.sleep(SETTLING_S)

    _play(context, answer)


@when("the daemon that repeats verdicts is isolated for {seconds:d} s")
def step_isolated(context, seconds):
    async def isolate(context, daemons):
        daemons.network.isolate("a0", float(seconds))

    _play(context, isolate)


@then("all daemons refuse new requests with the part as not run, and say when {rest}")
def step_all_refuse(context, rest):
    async def check(context, daemons):
        assert daemons.refusing_count() == DAEMON_COUNT, daemons.refusing_count()
        for quarantine in daemons.quarantines:
            try:
                await quarantine.admit(daemons.new_request())
            except RequestQuarantined as error:
                assert error.outcome == "not_run"
                assert HOUR_S - 10 < error.retry_after_s <= HOUR_S
            else:
                raise AssertionError("the request was admitted")

    _play(context, check)
    _run_all(context)


@then("none refuses a request with the other part of these prompts")
def step_other_part(context):
    assert context.daemons.refusing_count((OTHER_PART,)) == 0


@then("the run was not aborted")
def step_not_aborted(context):
    assert not context.run.is_aborted


@then("the run was aborted")
def step_aborted(context):
    _run_all(context)
    assert context.run.is_aborted


async def _check_none_refuses(context, daemons):
    assert daemons.refusing_count() == 0, daemons.refusing_count()
    daemons.start_all()
    await asyncio.sleep(SETTLING_S)
    assert daemons.refusing_count() == 0, daemons.refusing_count()


@then("no daemon refuses requests with the part, not even after all have restarted")
def step_none_refuses(context):
    _play(context, _check_none_refuses)
    _run_all(context)


@then("{seconds:d} s later no daemon refuses requests with the part, not even {rest}")
def step_none_refuses_later(context, seconds, rest):
    async def wait(context, daemons):
        await asyncio.sleep(seconds)

    _play(context, wait)
    _play(context, _check_none_refuses)
    _run_all(context)


@when("a request with the part arrives at all of them after 1 h")
def step_after_an_hour(context):
    async def arrive(context, daemons):
        await asyncio.sleep(HOUR_S)
        context.trials = []
        for quarantine in daemons.quarantines:
            call = daemons.new_request()
            try:
                await quarantine.admit(call)
            except RequestQuarantined:
                continue
            context.trials.append((quarantine, call, TargetRun(_entry(98))))

    _play(context, arrive)


@then("one of them is sent on, and the others are refused")
def step_one_trial(context):
    async def check(context, daemons):
        assert len(context.trials) == 1, context.trials

    _play(context, check)


@when("that one is answered")
def step_trial_answered(context):
    async def answer(context, daemons):
        quarantine, call, run = context.trials[0]
        quarantine.record_answered(call, run)
        quarantine.record_finished(call)
        await asyncio.sleep(SETTLING_S)

    _play(context, answer)


@given("eight daemons at which two targets have crashed under requests with a part")
def step_two_crashed(context):
    async def crash(context, daemons):
        await daemons.crash_targets(2)
        await asyncio.sleep(1.0)

    _play(context, crash)


@given("eight daemons that do not reach the store")
def step_without_store(context):
    async def cut(context, daemons):
        daemons.store.faults = NO_FAULTS._replace(store_failure_fraction=1.0)

    context.run = None
    _play(context, cut)


@when("all daemons restart")
def step_restart(context):
    async def restart(context, daemons):
        daemons.start_all()
        await asyncio.sleep(0.5)
        await daemons.send_usual_requests()

    _play(context, restart)


@when("two more targets crash under requests with the part")
def step_two_more(context):
    async def crash(context, daemons):
        await daemons.crash_targets(2)
        await asyncio.sleep(SETTLING_S)

    _play(context, crash)


@then("the header {value} states the shared parts {parts}")
def step_header(context, value, parts):
    headers = ((b"x-prompt-prefix", value.encode()),)
    expected = () if parts == "none" else tuple(parts.split())
    assert parse_caller_headers(headers).prompt_parts == expected


@then("messages with wrong fingerprints, too many parts, or ages that are {rest}")
def step_malformed(context, rest):
    crash = PartCrash(FINGERPRINT, (PART,), "t", 0, 0.5)
    counts = (0, 1, 2, 3)
    listed = (PartCount(PART, counts, 2),)
    runs = (ExitRun(FINGERPRINT[:8], Stage.FIRST, (0,)),)
    report = ExitReport("10.0.0.1:1", "t", 0, 0.5, listed, counts, 9, runs, 3)
    valid = [
        PartCrashes((crash,)),
        ExitReports((report,)),
        PartInquiry((PART,)),
        PartAnswers((PartAnswer(PART, 0.5),)),
        PartCleared(PART, 0.5),
        PartHold(PART, 0.5),
        ProbeRequest(PART, "10.0.0.1:1"),
        ProbeGrant(PART),
    ]
    for message in valid:
        assert decode(encode(message)) == message
    malformed = [
        PartCrashes((crash._replace(parts=(b"short",)),)),
        PartCrashes((crash._replace(parts=(PART,) * 33),)),
        PartCrashes((crash._replace(parts=()),)),
        PartCrashes((crash._replace(age_s=-1.0),)),
        PartCrashes((crash._replace(age_s=float("inf")),)),
        PartCrashes((crash._replace(age_s=float("nan")),)),
        ExitReports((report._replace(age_s=-1.0),)),
        ExitReports((report._replace(parts=()),)),
        ExitReports((report._replace(parts=listed * 257),)),
        ExitReports((report._replace(parts=(listed[0]._replace(part=b"short"),)),)),
        ExitReports((report._replace(in_flight=(1, 2, 3)),)),
        ExitReports((report._replace(runs=runs * 65),)),
        ExitReports((report._replace(runs=(runs[0]._replace(stage=4),)),)),
        ExitReports((report._replace(runs=(runs[0]._replace(parts=(256,)),)),)),
        PartHold(b"short", 0.5),
        PartHold(PART, -1.0),
        ProbeRequest(PART, "nowhere"),
        ProbeGrant(b"short"),
        PartInquiry((b"short",)),
        PartAnswers((PartAnswer(PART, 1e9),)),
        PartCleared(PART, -1.0),
    ]
    for message in malformed:
        try:
            decoded = decode(encode(message))
        except MalformedResponse:
            continue
        raise AssertionError(f"decoded {decoded}")
