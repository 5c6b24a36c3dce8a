"""Steps for holds of suspected parts of prompts."""

import asyncio

from behave import given, then, when

from cowslipcourse.entry.attempts import TargetRun
from cowslipcourse.peer_protocol import PartHold
from cowslipcourse.quarantine import part_fingerprints
from cowslipcourse.quarantine.part_holds import PartHolds
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from features.support.judged_daemons import make_call, run_with_daemons, target_entry

PART = part_fingerprints("s", ("A",))[0]
TICK_S = 1.0


def _times(text):
    return [] if text == "none" else [float(each) for each in text.split(", ")]


@given("a part that is held from exits at {exits} s on")
def step_held_part(context, exits):
    context.exits = _times(exits)


@when("targets survive requests with it that they begin to answer at {survived} s")
def step_survived(context, survived):
    context.survived = _times(survived)


@then("it is held until {until:g} s")
def step_held_until(context, until):
    holds = PartHolds()
    events = [(at, holds.hold) for at in context.exits]
    events += [(at, holds.record_survived) for at in context.survived]
    released_at = None
    for now in range(int(until) + 2):
        for at, record in events:
            if now <= at < now + 1:
                record(PART, at)
        if holds.expire(now):
            released_at = now
            break
    assert released_at == until, released_at


@then("at {at:g} s it counts as held since {since} s")
def step_held_since(context, at, since):
    holds = PartHolds()
    for exited_at in context.exits:
        holds.hold(PART, exited_at)
    expected = float("inf") if since == "none" else float(since)
    assert holds.held_since(PART, at) == expected, holds.held_since(PART, at)


class _Course:
    """A request with the held part.

    :param seconds: duration of its run.
    :param is_begun: whether its target begins to answer it.
    :param end: called with the daemons, the call and the run at its end.
    """

    def __init__(self, seconds, is_begun=True, end=None):
        self._seconds = seconds
        self._is_begun = is_begun
        self._end = end

    async def play(self, daemons, call):
        """Run the request at a target until it ends."""
        quarantine = daemons.quarantines[0]
        run = TargetRun(target_entry(1))
        run.answer_started = self._is_begun
        with quarantine.tracking(call, run):
            await asyncio.sleep(self._seconds)
        if self._end is not None:
            self._end(quarantine, call, run)


def _end_whole(quarantine, call, run):
    run.succeeded = True
    quarantine.record_answered(call, run)


def _end_target(quarantine, call, run):
    run.ended_by_target = True
    quarantine.record_failed(call, run)


COURSES = {
    "is sent and gets no answer for 3 s": _Course(3, is_begun=False),
    "is answered for 0.5 s, and cancelled": _Course(0.5),
    "is answered for 1 s, and its target ends": _Course(1, end=_end_target),
    "is answered for 3 s, and cancelled": _Course(3),
    "is answered whole within 0.5 s": _Course(0.5, end=_end_whole),
}


@given("a daemon that holds a part, whose targets exited under it {age_s:g} s ago")
def step_holding_daemon(context, age_s):
    async def hold(daemons):
        quarantine = daemons.quarantines[0]
        quarantine.load_part_evaluation(PartEvaluation)
        quarantine.handle_message(PartHold(PART, age_s))
        return quarantine

    context.hold = hold


@when("a request with the held part {course}")
def step_course(context, course):
    async def scenario(daemons):
        quarantine = await context.hold(daemons)
        if course != "does not come":
            call = make_call(("A",))
            await quarantine.admit(call)
            if course != "waits for a target":
                await COURSES[course].play(daemons, call)
            quarantine.record_finished(call)
        await asyncio.sleep(TICK_S)
        context.is_held = quarantine.hold_count == 1

    run_with_daemons(1, scenario)


@then("a second later the part is {state}")
def step_hold_state(context, state):
    assert context.is_held == (state == "held")
