"""Steps for requests that wait before they are sent to another target."""

import asyncio

from behave import given, then, when

from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from features.support.judged_daemons import RUN_S, run_with_daemons

TIMER_MARGIN_S = 0.01


@given("a daemon that has answered a request with part A")
def step_answered_part(context):
    async def answer(daemons):
        daemons.crashes_targets = False
        quarantine = daemons.quarantines[0]
        quarantine.load_part_evaluation(PartEvaluation)
        assert await daemons.request(quarantine, parts=("A",)) is None

    context.answer = answer


@when("a target breaks off a request with parts {parts}")
def step_broken_off(context, parts):
    context.sent_at = []

    async def on_attempt(run):
        context.sent_at.append(asyncio.get_running_loop().time())

    async def scenario(daemons):
        await context.answer(daemons)
        daemons.crashes_targets = True
        asyncio.get_running_loop().call_later(1.4 * RUN_S, _restore_targets, daemons)
        names = () if parts == "none" else tuple(parts.split(", "))
        await daemons.request(daemons.quarantines[0], on_attempt, names)

    run_with_daemons(1, scenario)


def _restore_targets(daemons):
    daemons.crashes_targets = False


@then("the next target gets it {seconds:g} s later")
def step_sent_again(context, seconds):
    assert len(context.sent_at) > 1, context.sent_at
    waited_s = context.sent_at[1] - context.sent_at[0] - RUN_S
    assert abs(waited_s - seconds) < TIMER_MARGIN_S, waited_s
