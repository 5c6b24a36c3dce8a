"""Steps over gateways and a request that ends the engines which run it."""

import asyncio
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

ENDS = b"this ends its engine"
END_S = 0.08
BACK_S = 3.2
SETTLE_S = 30.0


class _Ends:
    """Lets such a request end the engines that run it, and notes when."""

    def __init__(self, site):
        self._site = site
        self._generate = FakeTargets.generate
        self.arrivals = []
        self.ends = []

    async def generate(self, targets, address, request):
        if ENDS not in request.body:
            async for events in self._generate(targets, address, request):
                yield events
            return
        engine = await targets._target(address, 5.0)
        self.arrivals.append(now())
        await asyncio.sleep(END_S)
        self.ends.append(now())
        engine.faults["dead"] = True
        name = address.rsplit("/", 1)[1]
        loop = asyncio.get_running_loop()
        loop.call_later(BACK_S, self._site.world.change_vm, name, "restart")
        raise TargetUnreachable("the connection ended")


@given("two gateways before groups that serve, in fake time")
def step_gateways(context):
    context.gateways = ("g1", "g2")


async def _one(gateway, number):
    body = chat_body(ENDS.decode(), "m", 12)
    call = Call(f"r{number}", "crew", Priority.NORMAL, None, "", None)
    try:
        declarations = gateway.chooser.admit(call, "m")
        generation = Generation(call, body, declarations, gateway.context)
        async for _ in generation.chunks():
            pass
    except RequestError:
        # Its caller comes back at another moment.
        return


async def _come(site, every, for_s, names=None):
    for number in range(for_s // every):
        calls = [_one(site.gateways[n], number) for n in names or site.gateways]
        await asyncio.gather(*calls)
        await asyncio.sleep(every)


def _run(context, every, for_s, again_s=0, first=None, then=None):
    async def story():
        site = InProcessSite(1, vm_specs(False), ("c1",), context.gateways)
        await site.start()
        try:
            await site.edit("c1", *base_changes(2, 4))
            await asyncio.sleep(SETTLE_S)
            ends = _Ends(site)

            def generate(targets, address, request):
                return ends.generate(targets, address, request)

            with mock.patch.object(FakeTargets, "generate", generate):
                await _come(site, every, for_s, first)
                ends.anew_at = now()
                if again_s and then is None:
                    for name in context.gateways:
                        await site.restart(name)
                    await asyncio.sleep(SETTLE_S)
                await _come(site, every, again_s, then)
            return ends
        finally:
            await site.stop()

    logging.disable(logging.CRITICAL)
    try:
        context.ends = run_in_virtual_time(story())
    finally:
        logging.disable(logging.NOTSET)


@when("a request that ends its engines comes at both every {every:d} s for {for_s:d} s")
def step_comes(context, every, for_s):
    context.every, context.for_s = every, for_s
    _run(context, every, for_s)


@when("both gateways start anew and it comes for {again_s:d} s more")
def step_anew(context, again_s):
    _run(context, context.every, context.for_s, again_s)


@when("such a request comes at one every 2 s for 30 s, then at the other")
def step_then_other(context):
    first, then = context.gateways
    _run(context, 2, 30, 30, [first], [then])


@then("no engine is reached after that")
def step_none_after(context):
    later = [at for at in context.ends.arrivals if at > context.ends.anew_at]
    assert not later, later


@then("no more than {most:d} engines are reached later than 3 s after the third end")
def step_bound(context, most):
    ends = context.ends
    assert len(ends.ends) >= 3, ends.ends
    due_at = sorted(ends.ends)[2] + 3.0
    later = [at for at in ends.arrivals if at > due_at]
    assert len(later) <= most, (len(ends.ends), len(later))
