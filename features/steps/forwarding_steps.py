"""Steps for decisions about requests in progress."""

import logging
import queue
import random
import tempfile
from pathlib import Path

from behave import given, then, when

from cowslipcourse import exceptions
from cowslipcourse.adapters.log import BoundedQueueHandler
from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.entry.attempt_outcomes import final_error, may_retry
from cowslipcourse.entry.attempts import Attempt
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.settings import EntrySettings, RetrySettings
from cowslipcourse.entry.silence_detector import SilenceDetector, WatchedStream
from cowslipcourse.exceptions import SettingsError, TargetUnreachable
from cowslipcourse.load_balancing import Candidate, target_selection
from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    GroupMembership,
    GroupState,
    TargetEntry,
)
from cowslipcourse.routes import RequestKind, Route
from cowslipcourse.settings_file import load_settings

SLOTS = 13
INCARNATION = 3
SERVICE = "llm"


def _error(name):
    name, _, sent = name.partition("-")
    if name == "TargetUnreachable":
        return TargetUnreachable("x", sent=bool(sent))
    return getattr(exceptions, name)("x")


@given("a route whose requests {may} be retried, with 2 attempts")
def step_route(context, may):
    kind = RequestKind.IDEMPOTENT if may == "may" else RequestKind.NON_IDEMPOTENT
    context.route = Route("r", "h", "/", kind, (("s", 1.0),), 5.0, 1.0, 1, 2)


@when("an attempt fails with {error} after {possible_runs:d} possible runs")
def step_attempt(context, error, possible_runs):
    context.retry = may_retry(context.route, possible_runs, _error(error))
    context.status = final_error(possible_runs).status


@then("a retry is allowed: {retry}, and the status without one is {status:d}")
def step_retry_allowed(context, retry, status):
    assert context.retry == (retry == "yes")
    assert context.status == status


@given(
    "{daemon_count:d} daemons with a shared ratio of {ratio:f} and slack of {slack:d} "
    "in 10 s"
)
def step_budgets(context, daemon_count, ratio, slack):
    settings = RetrySettings(ratio=ratio, slack=slack, window_s=10.0)
    context.budgets = [SharedRetryBudget(settings) for _ in range(daemon_count)]
    for budget in context.budgets:
        budget.set_daemon_count(daemon_count, 0.0)


@when(
    "each receives {request_count:d} requests for one service in 10 s and tries to "
    "retry all"
)
def step_retries(context, request_count):
    context.retries = 0
    context.request_count = request_count * len(context.budgets)
    for budget in context.budgets:
        for index in range(request_count):
            now = index * 10.0 / request_count
            budget.record_request("one", now)
            budget.record_answer("one", "t", now, now)
            context.retries += budget.try_take("one", now)


@then("the total of retries is at most 0.2 of the requests plus 134")
def step_total_within_budget(context):
    assert 0 < context.retries <= 0.2 * context.request_count + 134, context.retries


@then("another service still has its own budget")
def step_other_service(context):
    budget = context.budgets[0]
    budget.record_answer("other", "t", 10.0, 10.0)
    assert budget.try_take("other", 20.0)


def _entry(target, epoch=3, rank=0, group="g1"):
    membership = GroupMembership(group, epoch, rank, GroupState.OPEN, "large")
    return TargetEntry(
        target, SERVICE, f"{target}:1", "n", SLOTS, domain="d", membership=membership
    )


class _Connection:
    """A connection that only records its last receipt and its abortion."""

    def __init__(self, last_received_at):
        self.last_received_at = last_received_at
        self.error = None

    def abort(self, error):
        self.error = error


class _Run:
    """A run that only records whether its target is silent."""

    is_silent = False

    def mark_silent(self):
        self.is_silent = True

    def mark_heard(self):
        self.is_silent = False


def _stream(context, target, last_received_at, has_events):
    entry = context.fleet.entries[target]
    stream = WatchedStream(
        Attempt(entry, _Connection(last_received_at), 10.0, None, None),
        _Run(),
        "r1",
    )
    stream.has_events = has_events
    return stream


@given("a target with 13 slots and two streams, one of which has started")
def step_streams(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("t"), _entry("busy", group="g2")], ())
    context.detector = SilenceDetector(context.fleet, None, lambda: None)
    context.started_stream = _stream(context, "t", 10.0, has_events=True)
    context.queued_stream = _stream(context, "t", 0.0, has_events=False)
    for stream in (context.started_stream, context.queued_stream):
        context.detector.add(stream)


def _is_reported(stream):
    """Whether a stream is reported as silent; none is aborted for that."""
    assert stream.attempt.connection.error is None
    return stream.run.is_silent


@then("after 0.2 s of silence neither stream is reported")
def step_not_reported(context):
    context.detector.check(10.2)
    assert not _is_reported(context.started_stream)
    assert not _is_reported(context.queued_stream)
    assert not context.fleet.suspects(10.2)


@then("after 0.4 s of silence the started stream is reported and the target suspected")
def step_started_reported(context):
    context.detector.check(10.4)
    assert _is_reported(context.started_stream)
    assert not _is_reported(context.queued_stream)
    assert "t" in context.fleet.suspects(10.4)


@then("a stream that is queued behind others is given 3 s")
def step_queued_reported(context):
    context.fleet.set_peers_in_flight({"busy": SLOTS + 3})
    queued = _stream(context, "busy", 0.0, has_events=False)
    context.detector.add(queued)
    context.detector.check(12.9)
    assert not _is_reported(queued)
    context.detector.check(13.1)
    assert _is_reported(queued)


@then("a stream whose target sends again is no longer reported")
def step_heard(context):
    context.started_stream.attempt.connection.last_received_at = 13.1
    context.detector.check(13.2)
    assert not _is_reported(context.started_stream)


@given("a stream at a target whose group is at epoch 3")
def step_grouped_stream(context):
    context.fleet = FleetView()
    entry = _entry("t", epoch=3)._replace(incarnation=INCARNATION)
    context.past_entry = entry._replace(id="past", incarnation=UNKNOWN_INCARNATION)
    context.fleet.apply([context.past_entry], ())
    context.fleet.apply([entry], ["past"])
    context.is_host_lost = False
    context.detector = SilenceDetector(
        context.fleet, lambda entry, now: context.is_host_lost, lambda: None
    )
    context.started_stream = _stream(context, "t", 10.0, has_events=True)
    context.detector.add(context.started_stream)


@when("the list then shows {change}")
def step_list_change(context, change):
    entry = context.fleet.entries["t"]
    membership = entry.membership
    changes = {
        "the same group": entry,
        "the group as broken": entry._replace(
            membership=membership._replace(state=GroupState.BROKEN)
        ),
        "the target in epoch 4": entry._replace(
            membership=membership._replace(epoch=4)
        ),
        "the target in epoch 2": entry._replace(
            membership=membership._replace(epoch=2)
        ),
        "a restart of the target": entry._replace(incarnation=entry.incarnation + 1),
    }
    others = {
        "no entry of the target": (),
        "only a target that was at its address before it": (context.past_entry,),
        "only a target that had begun before it": (
            entry._replace(id="earlier", incarnation=INCARNATION - 1),
        ),
        "only a target that has begun after it": (
            entry._replace(id="later", incarnation=INCARNATION + 1),
        ),
        "only another target at its address": (
            entry._replace(id="other", incarnation=UNKNOWN_INCARNATION),
        ),
    }
    if change in changes:
        context.fleet.apply([changes[change]], ())
    else:
        context.fleet.apply(others[change], ["t"])


@when("its host answers nothing")
def step_host_lost(context):
    context.is_host_lost = True


@then("after {silent_s:f} s of silence the stream is {outcome}")
def step_aborted(context, silent_s, outcome):
    context.detector.check(10.0 + silent_s)
    error = context.started_stream.attempt.connection.error
    assert (error is not None) == (outcome == "aborted"), error


def _chosen(context, now=11.0):
    candidates = context.fleet.group_candidates(SERVICE, "large", SLOTS, now)
    return sorted(candidate.entry.id for candidate in candidates)


@given("a suspected head of group g1 at epoch 3")
def step_suspected(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("t", epoch=3), _entry("other", group="g2")], ())
    context.fleet.suspect("t", 10.0)


@then("it is not chosen while another target serves")
def step_not_chosen(context):
    assert _chosen(context, 10.5) == ["other"]


@then("it is chosen if no other target serves")
def step_chosen_as_last(context):
    context.fleet.apply((), ("other",))
    assert _chosen(context, 10.5) == ["t"]
    context.fleet.apply([_entry("other", group="g2")], ())


@when("its group is at epoch 4")
def step_next_epoch(context):
    context.fleet.apply([_entry("t", epoch=4)], ())


@then("it is chosen")
def step_chosen(context):
    assert _chosen(context, 10.5) == ["other", "t"]


@given("a target that was found silent three times in a row")
def step_three_times(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("t"), _entry("other", group="g2")], ())
    context.durations_s = []
    now = 10.0
    for _ in range(3):
        context.fleet.suspect("t", now)
        suspected_at = now
        while "t" in context.fleet.suspects(now):
            now += 0.5
        context.durations_s.append(now - suspected_at)


@then("it is avoided for 1 s, 2 s and 4 s")
def step_suspicion_durations(context):
    assert context.durations_s == [1.0, 2.0, 4.0], context.durations_s


@given("two heads that are listed as open for g1, at epochs 3 and 5")
def step_two_epochs(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("old", epoch=3), _entry("new", epoch=5)], ())


@then("only the one at epoch 5 is chosen")
def step_newer_epoch_chosen(context):
    assert _chosen(context) == ["new"]


# Simulation of a burst, without a network.


@given(
    "{daemons:d} daemons that see each other's counts {delay_s:f} s late, and "
    "{groups:d} groups"
)
def step_burst_fleet(context, daemons, delay_s, groups):
    context.burst_fleet = daemons, delay_s, groups


def _simulate_burst(burst_fleet, rate, duration_s, answer_s, sample_size):
    """Return the largest load of a group, relative to an even share."""
    daemon_count, delay_s, group_count = burst_fleet
    rng = random.Random(5)
    entries = [
        _entry(f"t{number}", group=f"g{number}") for number in range(group_count)
    ]
    running, max_load_ratio = [], 0.0
    history = []
    for step in range(int(rate * duration_s)):
        now = step / rate
        running = [run for run in running if run[0] > now]
        history.append(
            (now, [(sender, chosen_target) for _, sender, chosen_target in running])
        )
        while history[0][0] < now - delay_s:
            history.pop(0)
        daemon = rng.randrange(daemon_count)
        counts = [0] * group_count
        for owner, target in history[0][1]:
            counts[target] += owner != daemon
        for _, owner, target in running:
            counts[target] += owner == daemon
        candidates = [
            Candidate(entry, count, 1000)
            for entry, count in zip(entries, counts, strict=True)
        ]
        chosen = target_selection.choose_group(candidates, set(), rng, sample_size)
        running.append((now + answer_s, daemon, entries.index(chosen.entry)))
        if now > answer_s:
            loads = [
                sum(other == target for _, _, other in running)
                for target in range(group_count)
            ]
            max_load_ratio = max(
                max_load_ratio, max(loads) * group_count / len(running)
            )
    return max_load_ratio


@when("{rate:d} requests a second arrive for {duration_s:d} s, each for {answer_s:f} s")
def step_burst(context, rate, duration_s, answer_s):
    burst_fleet = context.burst_fleet
    context.sampled = _simulate_burst(
        burst_fleet, rate, duration_s, answer_s, target_selection.SAMPLE_SIZE
    )
    context.greedy = _simulate_burst(
        burst_fleet, rate, duration_s, answer_s, burst_fleet[2]
    )


@then("no group ever has more than twice its even share")
def step_even_share(context):
    assert context.sampled <= 2.0, context.sampled


@then("choosing the least loaded of all groups would give some group a larger share")
def step_greedy_exceeds(context):
    assert context.greedy > context.sampled, (context.greedy, context.sampled)


@given("settings of cowslip-entry without a store and with an unknown key")
def step_settings(context):
    address = "127.0.0.1:1"
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "entry.toml"
        path.write_text(
            f'name = "a"\ndata_centre = "n"\naddress_ttl = 2\n[listen]\n'
            f'front = "{address}"\ndirectory = "{address}"\n'
            f'ready = "{address}"\npeer = "{address}"\n'
        )
        try:
            load_settings(path, EntrySettings)
        except SettingsError as error:
            context.problems = [str(problem) for problem in error.problems]


@then("the error names the missing section and suggests the intended key")
def step_problems(context):
    text = "\n".join(context.problems)
    assert "store: Field required" in text, text
    assert "address_ttl: unknown key; did you mean 'address_ttl_s'?" in text, text


@given("a log queue of {capacity:d} lines whose reader has stopped")
def step_log_queue(context, capacity):
    context.handler = BoundedQueueHandler(queue.Queue(capacity))


@when("{event_count:d} events are logged and the reader resumes")
def step_logged(context, event_count):
    def log(index):
        context.handler.handle(logging.makeLogRecord({"msg": f"event-{index}"}))

    for index in range(event_count):
        log(index)
    context.lines = [
        context.handler.queue.get_nowait().getMessage()
        for _ in range(context.handler.queue.qsize())
    ]
    log(event_count)
    last_lines = [context.handler.queue.get_nowait() for _ in range(2)]
    context.last_lines = [
        (r.getMessage(), getattr(r, "fields", {})) for r in last_lines
    ]


@then(
    "the first {retained:d} lines are read, and then a line that {dropped:d} were "
    "dropped"
)
def step_drop_reported(context, retained, dropped):
    assert context.lines == [f"event-{index}" for index in range(retained)]
    assert context.last_lines[1] == ("lines-dropped", {"number": dropped}), (
        context.last_lines
    )
