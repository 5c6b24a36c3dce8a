"""Steps for the pure decisions about slots."""

import random
from types import SimpleNamespace

from behave import given, then, when
from support.waiting_site import MODEL, route_of

from cowslipcourse.admission.expected_wait import retry_after_s
from cowslipcourse.admission.priority_marks import SlotNeeds, priority_marks
from cowslipcourse.admission.room_share import RoomShare
from cowslipcourse.admission.slot_admission import SlotAdmission, SlotView
from cowslipcourse.admission.waiting_queue import Waiter
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.platform.headers import CallerHeaders

NOW = 100.0
LOOK_S = 0.1


def _numbers(text):
    return [float(each) for each in text.split(",")]


def _candidate(in_flight, slots):
    return Candidate(SimpleNamespace(id="head"), in_flight, slots)


@given(
    "{slots:d} slots, and requests of priorities 0, 1 and 2 that need {needs} of them"
)
def step_needs(context, slots, needs):
    by_priority = dict(enumerate(_numbers(needs)))
    context.marks = priority_marks(SlotNeeds(by_priority, slots, 1.0))


@then("their marks are {marks}")
def step_marks(context, marks):
    found = [round(context.marks[priority], 3) for priority in (0, 1, 2)]
    assert found == _numbers(marks), found


@given(
    "{count:d} callers with {left_s:g} s left whose turn is expected in {turn_s:g} s"
)
def step_refused(context, count, left_s, turn_s):
    rng = random.Random(1)
    context.told = [retry_after_s(turn_s, left_s, True, rng) for _ in range(count)]


@then("they are told between {low_s:g} and {high_s:g} s, at different times, as {kind}")
def step_told(context, low_s, high_s, kind):
    times = [seconds for seconds, _ in context.told]
    assert low_s <= min(times) and max(times) <= high_s, (min(times), max(times))
    assert len(set(times)) > len(times) / 4
    assert {promised for _, promised in context.told} == {kind == "a promise"}


@given(
    "{count:d} daemons that see the same group with {taken:d} of {slots:d} slots "
    "taken, for {duration_s:g} s"
)
def step_same_room(context, count, taken, slots, duration_s):
    candidates, context.room = [_candidate(taken, slots)], slots - taken
    context.filled, rng = 0, random.Random(1)
    for _ in range(count):
        share = RoomShare()
        for look in range(int(duration_s / LOOK_S) + 1):
            share.refill(candidates, count, NOW + look * LOOK_S)
            if share.choose(candidates, 1.0, rng) is not None:
                share.take("head")
                context.filled += 1


@then("together they fill at most its slots")
def step_at_most_room(context):
    assert context.filled <= context.room, context.filled


@given("a daemon that sees a group with all slots taken")
def step_full(context):
    context.share, context.candidates = RoomShare(), [_candidate(40, 40)]
    context.share.refill(context.candidates, 64, NOW)


@when("one of its own requests ends there")
def step_own_end(context):
    context.share.record_freed("head")


@then("it may fill one slot there and not two")
def step_one_slot(context):
    rng = random.Random(1)
    assert context.share.choose(context.candidates, 1.0, rng) is not None
    context.share.take("head")
    assert context.share.choose(context.candidates, 1.0, rng) is None


@given("a daemon that has just started and sees all groups full")
def step_started(context):
    context.admission = SlotAdmission(random.Random(1))
    context.view = SlotView([_candidate(60, 40)], 40, 60, 8)


@when("{count:d} requests of each priority arrive")
def step_arrive(context, count):
    context.estimates = []
    for number in range(3 * count):
        call = SimpleNamespace(
            route=route_of(number % 3),
            workspace=None,
            workspace_name=None,
            caller_headers=CallerHeaders(model=MODEL),
            arrived_at=NOW,
            deadline=NOW + 5.0,
            waited_elsewhere_s=0.0,
            waited_s=lambda now: now - NOW,
        )
        waiter = Waiter(number, call, False, frozenset(), NOW + 1.5)
        waiter = context.admission.arrive(waiter, NOW)
        assert not context.admission.place(context.view, NOW)
        estimate = context.admission.estimate(waiter, context.view, NOW)
        assert not context.admission.must_refuse(waiter, context.view, estimate, NOW)
        context.estimates.append(estimate)


@then("none of them has an expected wait")
def step_no_expected_wait(context):
    assert all(estimate.wait_s is None for estimate in context.estimates)
