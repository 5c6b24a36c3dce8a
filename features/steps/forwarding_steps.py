"""Steps over decisions about requests under way."""

import logging
import queue
import random
import tempfile
from pathlib import Path

from behave import given, then, when

from cowslipcourse import exceptions
from cowslipcourse.adapters.log import BoundedQueueHandler
from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.entry import choosing
from cowslipcourse.entry.attempts import Attempt
from cowslipcourse.entry.fleet import Candidate, FleetView
from cowslipcourse.entry.outcomes import final_error, may_retry
from cowslipcourse.entry.settings import EntrySettings, RetrySettings
from cowslipcourse.entry.silence import SilenceDetector, WatchedStream
from cowslipcourse.exceptions import SettingsError, TargetUnreachable
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import RequestKind, Route
from cowslipcourse.settings_file import load_settings

SLOTS = 13
SERVICE = "llm"


def _error(name):
    name, _, sent = name.partition("-")
    if name == "TargetUnreachable":
        return TargetUnreachable("x", sent=bool(sent))
    return getattr(exceptions, name)("x")


@given("a route that {may} be repeated, with 2 attempts")
def step_route(context, may):
    kind = RequestKind.IDEMPOTENT if may == "may" else RequestKind.NON_IDEMPOTENT
    context.route = Route("r", "h", "/", kind, (("s", 1.0),), 5.0, 1.0, 1, 2)


@when("the attempt ends with {error} after {runs:d} runs")
def step_attempt(context, error, runs):
    context.again = may_retry(context.route, runs, _error(error))
    context.status = final_error(runs).status


@then("it may go on elsewhere: {again}, and the caller is told {status:d} if not")
def step_again(context, again, status):
    assert context.again == (again == "yes")
    assert context.status == status


@given(
    "{number:d} daemons with a shared ratio of {ratio:f} and slack of {slack:d} in 10 s"
)
def step_budgets(context, number, ratio, slack):
    settings = RetrySettings(ratio=ratio, slack=slack, window_s=10.0)
    context.budgets = [SharedRetryBudget(settings) for _ in range(number)]
    for budget in context.budgets:
        budget.daemon_count = number


@when("each gets {number:d} requests for one service in 10 s and tries to repeat all")
def step_repeat(context, number):
    context.repeats = 0
    context.requests = number * len(context.budgets)
    for budget in context.budgets:
        for index in range(number):
            now = index * 10.0 / number
            budget.record_request("one", now)
            context.repeats += budget.try_take("one", now)


@then("together they repeat at most 0.2 of the requests and 134 more")
def step_within(context):
    assert 0 < context.repeats <= 0.2 * context.requests + 134, context.repeats


@then("another service still has a budget of its own")
def step_other(context):
    assert context.budgets[0].try_take("other", 10.0)


def _entry(target, epoch=3, rank=0, group="g1"):
    found = GroupMembership(group, epoch, rank, GroupState.OPEN, "large")
    return TargetEntry(
        target, SERVICE, f"{target}:1", "n", SLOTS, domain="d", membership=found
    )


class _Connection:
    """A connection of which only its silence matters."""

    def __init__(self, heard_at):
        self.last_received_at = heard_at
        self.error = None

    def abort(self, error):
        self.error = error


def _stream(target, heard_at, begun):
    stream = WatchedStream(Attempt(_entry(target), _Connection(heard_at), 10.0), "r1")
    stream.has_events = begun
    return stream


@given("a target with 13 slots and two streams, of which one has begun")
def step_watched(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("t"), _entry("busy", group="g2")], ())
    context.watch = SilenceDetector(context.fleet, lambda: None)
    context.begun = _stream("t", 10.0, begun=True)
    context.waiting = _stream("t", 0.0, begun=False)
    for stream in (context.begun, context.waiting):
        context.watch.add(stream)


@then("after 0.2 s of silence both go on")
def step_go_on(context):
    context.watch.check(10.2)
    assert context.begun.attempt.connection.error is None
    assert context.waiting.attempt.connection.error is None


@then("after 0.4 s of silence the begun one is ended and the target suspected")
def step_ended(context):
    context.watch.check(10.4)
    assert context.begun.attempt.connection.error is not None
    assert context.waiting.attempt.connection.error is None
    assert "t" in context.fleet.suspects(10.4)


@then("a stream that waits behind others is given 3 s")
def step_waits(context):
    context.fleet.set_peers_in_flight({"busy": SLOTS + 3})
    queued = _stream("busy", 0.0, begun=False)
    context.watch.add(queued)
    context.watch.check(12.9)
    assert queued.attempt.connection.error is None
    context.watch.check(13.1)
    assert queued.attempt.connection.error is not None


def _chosen(context, now=11.0):
    places = context.fleet.group_candidates(SERVICE, "large", SLOTS, now)
    return sorted(place.entry.id for place in places)


@given("a suspected head of group g1 at epoch 3")
def step_suspected(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("t", epoch=3), _entry("other", group="g2")], ())
    context.fleet.suspect("t", 10.0)


@then("it is not chosen while another serves")
def step_not_chosen(context):
    assert _chosen(context, 10.5) == ["other"]


@then("it is chosen if no other serves")
def step_last(context):
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
    context.lengths = []
    now = 10.0
    for _ in range(3):
        context.fleet.suspect("t", now)
        start = now
        while "t" in context.fleet.suspects(now):
            now += 0.5
        context.lengths.append(now - start)


@then("it is avoided for 1 s, 2 s and 4 s")
def step_lengths(context):
    assert context.lengths == [1.0, 2.0, 4.0], context.lengths


@given("two heads that say they are open for g1, at epochs 3 and 5")
def step_two_heads(context):
    context.fleet = FleetView()
    context.fleet.apply([_entry("old", epoch=3), _entry("new", epoch=5)], ())


@then("only the one at epoch 5 is chosen")
def step_only_new(context):
    assert _chosen(context) == ["new"]


# A burst, played without a network.


@given(
    "{daemons:d} daemons that know each other's counts {age:f} s late, before "
    "{groups:d} groups"
)
def step_burst_fleet(context, daemons, age, groups):
    context.shape = daemons, age, groups


def _play_burst(shape, rate, length_s, answer_s, sample):
    """Return the largest share that a group had of what ran, by the even share."""
    daemons, age_s, groups = shape
    rng = random.Random(5)
    entries = [_entry(f"t{number}", group=f"g{number}") for number in range(groups)]
    running, worst = [], 0.0
    history = []
    for step in range(int(rate * length_s)):
        now = step / rate
        running = [item for item in running if item[0] > now]
        history.append((now, [(d, t) for _, d, t in running]))
        while history[0][0] < now - age_s:
            history.pop(0)
        daemon = rng.randrange(daemons)
        counts = [0] * groups
        for owner, target in history[0][1]:
            counts[target] += owner != daemon
        for _, owner, target in running:
            counts[target] += owner == daemon
        places = [
            Candidate(entry, count, 1000)
            for entry, count in zip(entries, counts, strict=True)
        ]
        chosen = choosing.choose_group(places, set(), rng, sample)
        running.append((now + answer_s, daemon, entries.index(chosen.entry)))
        if now > answer_s:
            loads = [
                sum(t == target for _, _, t in running) for target in range(groups)
            ]
            worst = max(worst, max(loads) * groups / len(running))
    return worst


@when("{rate:d} requests a second arrive for {length:d} s, each for {answer:f} s")
def step_burst(context, rate, length, answer):
    shape = context.shape
    context.sampled = _play_burst(shape, rate, length, answer, choosing.SAMPLE_SIZE)
    context.greedy = _play_burst(shape, rate, length, answer, shape[2])


@then("no group ever has more than twice its even share")
def step_even(context):
    assert context.sampled <= 2.0, context.sampled


@then("choosing the least loaded of all would have given some group more than that")
def step_greedy(context):
    assert context.greedy > context.sampled, (context.greedy, context.sampled)


@given("settings of cowslip-entry without a store and with an unknown key")
def step_settings(context):
    address = "127.0.0.1:1"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry.toml"
        path.write_text(
            f'name = "a"\ndata_centre = "n"\naddress_ttl = 2\n[listen]\n'
            f'front = "{address}"\ndirectory = "{address}"\n'
            f'ready = "{address}"\npeer = "{address}"\n'
        )
        try:
            load_settings(path, EntrySettings)
        except SettingsError as error:
            context.problems = [str(problem) for problem in error.problems]


@then("the error names the missing section and suggests the key that was meant")
def step_problems(context):
    text = "\n".join(context.problems)
    assert "store: Field required" in text, text
    assert "address_ttl: unknown key; did you mean 'address_ttl_s'?" in text, text


@given("a log whose reader stands still, with room for {room:d} lines")
def step_log(context, room):
    context.handler = BoundedQueueHandler(queue.Queue(room))


@when("{number:d} events are logged and the reader goes on")
def step_logged(context, number):
    def log(index):
        context.handler.handle(logging.makeLogRecord({"msg": f"event-{index}"}))

    for index in range(number):
        log(index)
    context.lines = [
        context.handler.queue.get_nowait().getMessage()
        for _ in range(context.handler.queue.qsize())
    ]
    log(number)
    last = [context.handler.queue.get_nowait() for _ in range(2)]
    context.last = [(r.getMessage(), getattr(r, "fields", {})) for r in last]


@then("the first {kept:d} lines are there, and then that {lost:d} were dropped")
def step_dropped(context, kept, lost):
    assert context.lines == [f"event-{index}" for index in range(kept)]
    assert context.last[1] == ("lines-dropped", {"number": lost}), context.last
