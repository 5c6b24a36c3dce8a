"""Steps for verdicts: which requests are quarantined, how long, and what is stored."""

import asyncio
import contextlib
import random

from behave import given, then, when

from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.exceptions import (
    IncompleteResponse,
    RequestQuarantined,
    TargetFailed,
)
from cowslipcourse.ports import RowWrite
from cowslipcourse.quarantine import (
    CrashReport,
    Suspects,
    Verdict,
    Verdicts,
    VerdictStore,
)
from cowslipcourse.quarantine.verdict_store import (
    QUARANTINE_TABLE,
    REPORTS_KEY,
    VERDICTS_KEY,
    _encode_verdicts,
)
from cowslipcourse.quarantine.verdicts import QUARANTINE_S, REQUEST_HOLD_S
from features.support.judged_daemons import (
    FINGERPRINT,
    make_call,
    run_with_daemons,
    target_entry,
)

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S
CLOCK_ROUNDING_S = 1e-6
"""Rounding error of the loop's clock."""


def _report(
    incarnation_name,
    has_begun=True,
    relayed_events=0,
    last_event_id=0,
    fingerprint=FINGERPRINT,
):
    incarnation = int(incarnation_name[1:] or 0)
    return CrashReport(
        fingerprint,
        incarnation_name[0],
        incarnation,
        has_begun,
        relayed_events,
        last_event_id,
    )


# Which requests are quarantined.


def _is_quarantined_after(suspects, crashes):
    """Report crashes given in words; return whether the request is quarantined."""
    now, last_event_id, quarantined = 0.0, 0, False
    for step in crashes.split(", "):
        words = step.split()
        if step == "answered":
            suspects.record_answered(FINGERPRINT, now)
        elif words[1] == "s":
            now += float(words[0])
        elif words[1] == "events":
            # Event ids restart with each caller attempt and continue within it.
            last_event_id = int(words[0])
            report = _report(
                words[2], relayed_events=last_event_id, last_event_id=last_event_id
            )
            quarantined |= suspects.add_report(report, now)
        else:
            has_begun = words[0] != "waiting"
            report = _report(words[1], has_begun=has_begun, last_event_id=last_event_id)
            quarantined |= suspects.add_report(report, now)
    return quarantined


@given("these target crashes under a request: {crashes}")
def step_crashes(context, crashes):
    context.suspects = Suspects()
    context.quarantined = _is_quarantined_after(context.suspects, crashes)


@then("it must wait for {seconds:g} s")
def step_wait(context, seconds):
    assert context.suspects.hold_left_s(FINGERPRINT, 0.0) == seconds


@then("it is quarantined: {quarantined}")
def step_quarantined(context, quarantined):
    assert context.quarantined == (quarantined == "yes")


@given(
    "{request_count:d} requests that each run beside one that crashes targets, "
    "in {slots}"
)
def step_requests_beside(context, request_count, slots):
    """Let each request run in the crashing one's group, and again with probability 1/4.

    A run of 2 s has begun within the last 0.1 s at a random moment in one case out of
    20. A run that is retried at the same moment as the crashing one has made little
    progress.
    """
    rng = random.Random(1)
    suspects = Suspects()
    context.request_count, context.quarantined_count = request_count, 0
    for index in range(request_count):
        fingerprint = index.to_bytes(16, "big")
        is_beside, last_event_id = True, 0
        for send_index in range(4):
            if not is_beside:
                break
            is_first_send = send_index % 2 == 0
            relayed_events = (
                0 if not is_first_send or rng.random() < 0.05 else rng.randint(1, 20)
            )
            last_event_id = relayed_events or last_event_id
            report = _report(
                f"t{send_index}", True, relayed_events, last_event_id, fingerprint
            )
            context.quarantined_count += suspects.add_report(report, 0.0)
            is_beside = rng.random() < 0.25


@then("fewer than 1 in {one_in:d} of them are quarantined")
def step_few_quarantined(context, one_in):
    assert context.quarantined_count < context.request_count / one_in, (
        context.quarantined_count
    )


# Bounds on memory and stored rows.


@when("{request_count:d} different requests crash 3 targets each")
def step_many_crashing_requests(context, request_count):
    suspects, verdicts = Suspects(), Verdicts()
    for index in range(request_count):
        fingerprint = index.to_bytes(16, "big")
        suspects.add_report(_report("x1", fingerprint=fingerprint), float(index) / 100)
    assert len(suspects) == 4096
    for index in range(request_count):
        fingerprint = index.to_bytes(16, "big")
        reports = [_report(f"t{n}", fingerprint=fingerprint) for n in range(3)]
        quarantine_results = [
            suspects.add_report(report, float(index) / 100) for report in reports
        ]
        assert quarantine_results[-1]
        verdicts.add(Verdict(fingerprint, index + QUARANTINE_S))
    context.suspects, context.verdicts, context.request_count = (
        suspects,
        verdicts,
        request_count,
    )


@then("no more than {verdicts:d} verdicts and {suspects:d} suspects are kept, {which}")
def step_bounded_memory(context, verdicts, suspects, which):
    assert len(context.verdicts) == verdicts
    assert len(context.suspects) <= suspects
    fingerprints = {int.from_bytes(v.fingerprint, "big") for v in context.verdicts}
    assert fingerprints == set(
        range(context.request_count - verdicts, context.request_count)
    )


@then("the stored row has no more than {kilobytes:d} KB")
def step_row_size(context, kilobytes):
    size_bytes = len(_encode_verdicts(context.verdicts))
    assert size_bytes <= kilobytes * 1024, size_bytes


# Expiry and trials.


@given("a new verdict")
def step_verdict(context):
    context.verdict = Verdict(FINGERPRINT, HOUR_S)


@then("trials start after 1 h, then after 4 h, 16 h and 64 h more, three {rest}")
def step_trial_times(context, rest):
    assert QUARANTINE_S == HOUR_S
    trial_times, verdict = [], context.verdict
    for _trial in range(4):
        trial_times.append(verdict.until)
        verdict = verdict.after_trial_began(verdict.until)
    intervals_h = [
        (after - before) / HOUR_S
        for before, after in zip([0, *trial_times], trial_times, strict=False)
    ]
    assert intervals_h == [1, 4, 16, 64], intervals_h
    assert sum(at <= DAY_S for at in trial_times) == 3


@then("learning the verdict again does not prolong it")
def step_not_prolonged(context):
    verdicts = Verdicts()
    assert verdicts.add(context.verdict)
    assert not verdicts.add(context.verdict._replace(until=9 * HOUR_S))
    assert verdicts.get(FINGERPRINT).until == HOUR_S
    assert verdicts.add(context.verdict.after_trial_began(HOUR_S))


async def _quarantine_request(daemons):
    """Let the request crash targets until all daemons refuse it."""
    while not all(q.is_quarantined(make_call()) for q in daemons.quarantines):
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
    await asyncio.sleep(1)
    daemons.sent_target_ids.clear()


@given("eight daemons with an expired verdict")
def step_expired_verdict(context):
    async def prepare(daemons):
        await _quarantine_request(daemons)
        await asyncio.sleep(HOUR_S)

    context.prepare = prepare


@when("the request arrives at all of them at once")
def step_arrives_at_all(context):
    context.results = {}
    for crashes_targets in (True, False):

        async def scenario(daemons, crashes_targets=crashes_targets):
            await context.prepare(daemons)
            daemons.crashes_targets = crashes_targets
            errors = await daemons.request_at_all()
            sent_target_ids = list(daemons.sent_target_ids)
            await asyncio.sleep(2)
            daemons.sent_target_ids.clear()
            errors_again = await daemons.request_at_all()
            for number in range(8):
                daemons.quarantines[number] = daemons.start(f"a{number}")
            await asyncio.sleep(1)
            context.results[crashes_targets] = (
                errors,
                sent_target_ids,
                errors_again,
                await daemons.request_at_all(),
            )

        run_with_daemons(8, scenario)


@when("the request arrives at one of them, and its target is silent for 1 s")
def step_silent_trial(context):
    async def be_silent(run):
        run.mark_silent()
        await asyncio.sleep(1.0)

    async def scenario(daemons):
        await context.prepare(daemons)
        daemons.crashes_targets = False
        daemons.sent_target_ids.clear()
        await daemons.request(daemons.quarantines[0], be_silent)
        context.sent_target_ids = daemons.sent_target_ids

    run_with_daemons(8, scenario)


@then("it was sent to one target")
def step_sent_to_one(context):
    assert len(context.sent_target_ids) == 1, context.sent_target_ids


@then("one of them sends it to a target, and the others refuse it")
def step_one_trial(context):
    for errors, sent_target_ids, _, _ in context.results.values():
        assert len(sent_target_ids) == 1, sent_target_ids
        refused = [error for error in errors if isinstance(error, RequestQuarantined)]
        assert len(refused) == 7, errors


@then("if it crashes the target, all refuse it again for {hours:d} h")
def step_refused_again(context, hours):
    _, _, errors_again, errors_after_restart = context.results[True]
    for error in errors_again + errors_after_restart:
        assert isinstance(error, RequestQuarantined), error
        assert 0.99 * hours < error.retry_after_s / HOUR_S <= hours, error.retry_after_s


@then("if it is answered, none refuses it any more, not even after a restart")
def step_not_refused(context):
    _, _, errors_again, errors_after_restart = context.results[False]
    assert errors_again + errors_after_restart == [None] * 16, (
        errors_again,
        errors_after_restart,
    )


@when("the request arrives while the store is unavailable")
def step_store_unavailable(context):
    async def scenario(daemons):
        await context.prepare(daemons)
        daemons.store.faults = daemons.store.faults._replace(store_failure_fraction=1.0)
        context.errors = await daemons.request_at_all()
        context.sent_target_ids = list(daemons.sent_target_ids)

    run_with_daemons(8, scenario)


@then("all refuse it without a retry time")
def step_all_refuse(context):
    assert not context.sent_target_ids
    assert all(isinstance(error, RequestQuarantined) for error in context.errors)
    assert [error.retry_after_s for error in context.errors] == [None] * 8


# Malformed rows.


@given("a malformed row of verdicts from another writer")
def step_malformed_verdicts(context):
    async def scenario(daemons):
        await daemons.store.write(
            RowWrite(QUARANTINE_TABLE, VERDICTS_KEY, b'[["zz", 1, 2]]')
        )
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(0.5)
        context.verdict_count = daemons.quarantines[0].verdict_count
        other = Verdict(b"o" * 16, daemons.clock() + QUARANTINE_S)
        for quarantine in daemons.quarantines:
            quarantine._apply_verdict(other)
        await _quarantine_request(daemons)
        await asyncio.sleep(2)
        stored = await VerdictStore(daemons.store, daemons.clock).read()
        context.stored = {verdict.fingerprint for verdict in stored.verdicts}

    run_with_daemons(2, scenario)


@then("a daemon that starts reads none, and reports it")
def step_no_verdict_read(context):
    assert context.verdict_count == 0


@then("the next verdict is stored again, with all others that its daemon knows")
def step_verdict_stored(context):
    assert context.stored == {FINGERPRINT, b"o" * 16}, context.stored


@given("a stored verdict, and a malformed row of crash reports from another writer")
def step_malformed_reports(context):
    async def scenario(daemons):
        verdict_store = VerdictStore(daemons.store, daemons.clock)
        await verdict_store.add_verdicts([Verdict(b"o" * 16, QUARANTINE_S)])
        await daemons.store.write(RowWrite(QUARANTINE_TABLE, REPORTS_KEY, b'[["zz"]]'))
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(0.5)
        context.verdict_count = daemons.quarantines[0].verdict_count
        # Each attempt makes two sends, so two targets crash.
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
        context.stored = (await verdict_store.read()).reports
        daemons.quarantines[0] = daemons.start("a0")
        await asyncio.sleep(REQUEST_HOLD_S + 0.5)
        assert not daemons.quarantines[0].is_quarantined(make_call())
        await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(0.5)
        context.is_quarantined = daemons.quarantines[0].is_quarantined(make_call())

    run_with_daemons(1, scenario)


@then("a daemon that starts knows the verdict")
def step_verdict_read(context):
    assert context.verdict_count == 1


@then(
    "reports on another request are stored again, and lead to a verdict after a {rest}"
)
def step_reports_stored(context, rest):
    assert len(context.stored) == 2, context.stored
    assert context.is_quarantined


# Conflicting evidence.


@given("two daemons, one of which has just relayed a complete answer to a request")
def step_two_daemons(context):
    context.answered = True


@when("three targets crash under the same request at the other daemon")
def step_crashes_at_other(context):
    async def scenario(daemons):
        daemons.crashes_targets = False
        assert await daemons.request(daemons.quarantines[1]) is None
        daemons.crashes_targets = True
        for _ in range(3):
            await daemons.request(daemons.quarantines[0])
        await asyncio.sleep(3)
        context.verdict_counts = [
            quarantine.verdict_count for quarantine in daemons.quarantines
        ]
        stored = await VerdictStore(daemons.store, daemons.clock).read()
        context.stored = stored.verdicts

    run_with_daemons(2, scenario)


@then("soon neither refuses it, and no verdict on it is stored")
def step_no_verdict(context):
    assert context.verdict_counts == [0, 0] and context.stored == [], (
        context.verdict_counts,
        context.stored,
    )


# Refusals, and runs under way.


@given("a daemon that has received a verdict")
def step_received_verdict(context):
    context.verdict = Verdict(FINGERPRINT, QUARANTINE_S)


@when("the request arrives again")
def step_arrives_again(context):
    async def scenario(daemons):
        quarantine = daemons.quarantines[0]
        quarantine._apply_verdict(Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S))
        started_at = daemons.clock()
        context.error = await daemons.request(quarantine)
        context.duration_s = daemons.clock() - started_at
        context.sent_target_ids = list(daemons.sent_target_ids)

    run_with_daemons(1, scenario)

    async def run_then_quarantine(daemons):
        quarantine = daemons.quarantines[0]

        async def quarantine_meanwhile(run):
            quarantine._apply_verdict(
                Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S)
            )

        context.error_after_run = await daemons.request(
            quarantine, quarantine_meanwhile
        )
        context.run_count = len(daemons.sent_target_ids)

    run_with_daemons(1, run_then_quarantine)


@then(
    "it is refused within {seconds:f} s as not run, with the time after which it {rest}"
)
def step_refused(context, seconds, rest):
    assert context.duration_s <= seconds and not context.sent_target_ids
    assert isinstance(context.error, RequestQuarantined)
    assert (context.error.status, context.error.outcome) == (503, "not_run")
    assert abs(context.error.retry_after_s - QUARANTINE_S) < CLOCK_ROUNDING_S


@then("a request that has run in this attempt is not reported as not run")
def step_has_run(context):
    assert context.run_count == 1
    assert isinstance(context.error_after_run, TargetFailed), context.error_after_run
    assert (context.error_after_run.status, context.error_after_run.outcome) == (
        502,
        "unknown",
    )


class _RecordingConnection:
    error = None

    def abort(self, error):
        self.error = error


@given("a daemon with a run of a request under way")
def step_run_under_way(context):
    context.connection = _RecordingConnection()


@when("it learns that the request is quarantined")
def step_becomes_quarantined(context):
    async def scenario(daemons):
        quarantine = daemons.quarantines[0]
        run = TargetRun(target_entry(0))
        run.connection = context.connection
        with contextlib.ExitStack() as stack:
            stack.enter_context(quarantine.tracking(make_call(), run))
            assert context.connection.error is None
            quarantine._apply_verdict(
                Verdict(FINGERPRINT, daemons.clock() + QUARANTINE_S)
            )

    run_with_daemons(1, scenario)


@then("the run is aborted")
def step_run_aborted(context):
    assert isinstance(context.connection.error, IncompleteResponse)
