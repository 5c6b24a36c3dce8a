"""Steps for gateways and a request that crashes the engines that run it."""

import asyncio
import itertools
import json
import logging
from unittest import mock

from behave import given, then, when

from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.exceptions import RequestError, TargetUnreachable
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from features.support.fakes import FakeTargets
from features.support.group_runs import vm_specs
from features.support.small_site import InProcessSite, base_changes
from harness.callers import chat_body

CRASHING_PHRASE = b"this ends its engine"
CRASH_DELAY_S = 0.08
RESTART_DELAY_S = 3.2
STARTUP_S = 30.0


class _EngineCrasher:
    """Crashes the engines that run such a request, and records arrivals and crashes."""

    def __init__(self, site):
        self._site = site
        self._generate = FakeTargets.generate
        self.arrivals = []
        self.crash_times = []

    async def generate(self, targets, address, request, may_abandon):
        if CRASHING_PHRASE not in request.body:
            async for events in self._generate(targets, address, request, may_abandon):
                yield events
            return
        engine = await targets._reach_target(address, 5.0)
        self.arrivals.append(now())
        await asyncio.sleep(CRASH_DELAY_S)
        self.crash_times.append(now())
        engine.faults["dead"] = True
        name = address.rsplit("/", 1)[1]
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_DELAY_S, self._site.world.change_vm, name, "restart")
        raise TargetUnreachable("the connection ended")


@given("two gateways with serving groups in virtual time")
def step_gateways(context):
    context.gateways = ("g1", "g2")


def _different_body(number):
    """Return the body of a new request with a message that crashes engines."""
    body = json.loads(chat_body(f"question {number}", "m", 12))
    system_message = {"role": "system", "content": CRASHING_PHRASE.decode()}
    body["messages"].insert(0, system_message)
    return json.dumps(body).encode()


async def _send_request(gateway, number, body):
    """Return whether a request is answered."""
    call = Call(f"r{number}", "crew", Priority.NORMAL, None, "", None)
    try:
        declarations = gateway.chooser.admit(call, "m")
        generation = Generation(call, body, declarations, gateway.context)
        async for _ in generation.chunks():
            pass
    except RequestError:
        # The caller sends the request again after the interval.
        return False
    return True


def _same_body(number):
    return chat_body(CRASHING_PHRASE.decode(), "m", 12)


async def _send_repeatedly(
    site, interval_s, duration_s, gateway_names=None, make_body=_same_body
):
    numbers = itertools.count()
    for number in range(duration_s // interval_s):
        calls = [
            _send_request(site.gateways[name], number, make_body(next(numbers)))
            for name in gateway_names or site.gateways
        ]
        await asyncio.gather(*calls)
        await asyncio.sleep(interval_s)


def _simulate(
    context,
    interval_s,
    duration_s,
    second_duration_s=0,
    first_gateways=None,
    second_gateways=None,
    make_body=_same_body,
):
    async def simulate():
        site = InProcessSite(1, vm_specs(False), ("c1",), context.gateways)
        await site.start()
        try:
            await site.edit("c1", *base_changes(2, 4))
            await asyncio.sleep(STARTUP_S)
            crasher = _EngineCrasher(site)

            def generate(targets, address, request, may_abandon):
                return crasher.generate(targets, address, request, may_abandon)

            with mock.patch.object(FakeTargets, "generate", generate):
                await _send_repeatedly(
                    site, interval_s, duration_s, first_gateways, make_body
                )
                context.is_other_answered = await _send_request(
                    site.gateways[context.gateways[0]], 0, chat_body("x", "m", 12)
                )
                crasher.second_phase_at = now()
                if second_duration_s and second_gateways is None:
                    for name in context.gateways:
                        await site.restart(name)
                    await asyncio.sleep(STARTUP_S)
                await _send_repeatedly(
                    site, interval_s, second_duration_s, second_gateways
                )
            return crasher
        finally:
            await site.stop()

    logging.disable(logging.CRITICAL)
    try:
        context.crasher = run_in_virtual_time(simulate())
    finally:
        logging.disable(logging.NOTSET)


@when(
    "a request that crashes engines is sent to both every {interval_s:d} s for "
    "{duration_s:d} s"
)
def step_sent_to_both(context, interval_s, duration_s):
    context.interval_s, context.duration_s = interval_s, duration_s
    _simulate(context, interval_s, duration_s)


@when(
    "different requests with a message that crashes engines are sent to both every "
    "{interval_s:d} s for {duration_s:d} s"
)
def step_different_sent_to_both(context, interval_s, duration_s):
    _simulate(context, interval_s, duration_s, make_body=_different_body)


@when("both gateways restart and it is sent for {second_duration_s:d} s more")
def step_gateways_restart(context, second_duration_s):
    _simulate(context, context.interval_s, context.duration_s, second_duration_s)


@when("such a request is sent to one every 2 s for 30 s, then to the other")
def step_sent_to_one_then_other(context):
    first_gateways, second_gateways = context.gateways
    _simulate(context, 2, 30, 30, [first_gateways], [second_gateways])


@then("no engine gets it after that")
def step_none_later(context):
    late_arrivals = [
        at for at in context.crasher.arrivals if at > context.crasher.second_phase_at
    ]
    assert not late_arrivals, late_arrivals


@then(
    "no more than {max_arrivals:d} engines get it later than 3 s after the third crash"
)
def step_bound(context, max_arrivals):
    _check_arrivals(context.crasher, max_arrivals, 3)


@then(
    "no more than {max_arrivals:d} engines get one later than 3 s after the fifth crash"
)
def step_part_bound(context, max_arrivals):
    _check_arrivals(context.crasher, max_arrivals, 5)


@then("requests without that message are answered")
def step_other_answered(context):
    assert context.is_other_answered


def _check_arrivals(crasher, max_arrivals, max_crashes):
    assert len(crasher.crash_times) >= max_crashes - 1, crasher.crash_times
    if len(crasher.crash_times) < max_crashes:
        return
    due_at = sorted(crasher.crash_times)[max_crashes - 1] + 3.0
    late_arrivals = [at for at in crasher.arrivals if at > due_at]
    assert len(late_arrivals) <= max_arrivals, (
        len(crasher.crash_times),
        len(late_arrivals),
    )
