"""Steps for cold targets."""

import asyncio
import random

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import TargetWithheld
from cowslipcourse.peer_protocol import PermitRequest, StatedLimit
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import ColdTargets, cold_permit_rate
from cowslipcourse.rate_limits.permits import SAVED_PERMITS, SAVED_S
from features.support.cold_runs import simulate_cold_targets
from features.support.limiter_peers import RecordingPeers

ENTRY = TargetEntry("t1", "s", "10.0.0.1:1", "x", 6, incarnation=7)
PERMIT_DELAY_S = 0.62
HANDOVER_S = 3.1


@when(
    "targets of {halls:d} data centres of {each:d} daemons turn cold and tolerate "
    "{rate:g} per s"
)
def step_cold(context, halls, each, rate):
    context.run = simulate_cold_targets(halls, each, rate)


@when(
    "targets tolerate {rate:g} per s at {halls:d} data centres of {each:d} daemons "
    "with faults, seed {seed:d}"
)
def step_faults(context, rate, halls, each, seed):
    faults = {"cuts": 2, "restarts": 3, "loss_rate": 0.1}
    context.run = simulate_cold_targets(halls, each, rate, seed, **faults)


@when(
    "targets tolerate {rate:g} per s at {halls:d} data centres of {each:d} daemons "
    "that ignore that"
)
def step_ignored(context, rate, halls, each):
    context.run = simulate_cold_targets(halls, each, rate, is_bounded=False)


@then("no cold target gets more in one second than 1.5 times that and 5")
def step_within(context):
    assert context.run.most <= context.run.tolerated, context.run


@then("some cold target gets more in one second than 1.5 times that and 5")
def step_exceeded(context):
    assert context.run.most > context.run.tolerated, context.run


@then("cold targets get at least 0.7 of it")
def step_used(context):
    assert context.run.used_fraction >= 0.7, context.run


@then(
    "targets that tolerate {rate:g} per s get permits for at least 0.8 of it and "
    "within the bound"
)
def step_permit_rate(context, rate):
    permit_rate = cold_permit_rate(rate)
    most = permit_rate * (1 + PERMIT_DELAY_S + SAVED_S) + SAVED_PERMITS
    assert 0.8 * rate <= permit_rate <= rate, permit_rate
    assert most <= 1.5 * rate + 5, most


@given("a service whose cold targets tolerate {rate:g} per s")
def step_service(context, rate):
    context.cold_targets = ColdTargets(lambda service: rate)
    context.peers = RecordingPeers()
    context.limiter = RateLimiter(
        context.peers, None, random.Random(1), context.cold_targets
    )
    context.cold_s = []


@when("the entry of a target tells {cold_s:g} s cold")
def step_entry(context, cold_s):
    context.cold_s.append(cold_s)


async def _turn_cold(context):
    for cold_s in context.cold_s:
        context.limiter.apply_entries([ENTRY._replace(cold_left_s=cold_s)])
    await asyncio.sleep(0)


def _limit_per_s(context):
    return context.limiter._exchange.limit_per_s((ENTRY.id, ENTRY.incarnation))


@then("its limit is {rate:g} per s at once, and none after {cold_s:g} s")
def step_limited(context, rate, cold_s):
    async def follow():
        await _turn_cold(context)
        limits = [_limit_per_s(context)]
        for pause_s in (cold_s - 0.1, 0.2):
            await asyncio.sleep(pause_s)
            limits.append(_limit_per_s(context))
        return limits

    limits = run_in_virtual_time(follow())
    assert limits == [rate, rate, None], limits


@then("its requests need no permit")
def step_no_permit(context):
    async def acquire():
        await _turn_cold(context)
        return await context.limiter.acquire(ENTRY)

    assert run_in_virtual_time(acquire()) is None


@then("a stated limit of {low:g} holds, and one of {high:g} does not")
def step_lower(context, low, high):
    async def state():
        await _turn_cold(context)
        limits = []
        for stated in (low, high):
            await asyncio.sleep(0.1)
            context.limiter.observe(ENTRY, stated)
            limits.append(_limit_per_s(context))
        return limits

    assert run_in_virtual_time(state()) == [low, cold_permit_rate(2.0)]


@then("a request that needed no permit is withheld once its target is cold")
def step_withheld(context):
    async def send():
        permit = await context.limiter.acquire(ENTRY)
        context.limiter.verify(ENTRY, permit)
        context.limiter.apply_entries([ENTRY._replace(cold_left_s=3.0)])
        try:
            context.limiter.verify(ENTRY, permit)
        except TargetWithheld:
            return True
        return False

    assert run_in_virtual_time(send())


@when(
    "the issuer has no entry of the target and is asked for {count:d} permits at once"
)
def step_asked(context, count):
    async def ask():
        task = asyncio.create_task(context.limiter.run())
        await asyncio.sleep(HANDOVER_S)
        stated = StatedLimit(ENTRY.id, ENTRY.incarnation, "s", None, 1e6)
        for number in range(count):
            request = PermitRequest(number, "10.0.0.2:1", "x", stated)
            context.limiter.handle_message(request)
        task.cancel()

    run_in_virtual_time(ask())
    context.granted = sum(message.is_granted for message, _ in context.peers.sent)


@then("it grants {count:d}")
def step_granted(context, count):
    assert context.granted == count, context.granted
