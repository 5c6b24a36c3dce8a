"""Steps over gateways and a request that ends the engines which run it."""

import asyncio
import logging
from unittest import mock

from behave import given, then, when

from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.exceptions import RequestError, TargetUnreachable
from cowslipcourse.gateway.callers import Call
from cowslipcourse.gateway.generation import Generation
from features.support.fakes import FakeTargets
from features.support.group_runs import vms
from features.support.small_site import SmallSite, base_changes
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
        generation = Generation(call, body, declarations, gateway.tools)
        async for _ in generation.pieces():
            pass
    except RequestError:
        # Its caller comes back at another moment.
        return


@when("a request that ends its engines comes at both every {every:d} s for {for_s:d} s")
def step_comes(context, every, for_s):
    async def story():
        site = SmallSite(1, vms(False), ("c1",), context.gateways)
        await site.start()
        try:
            await site.edit("c1", *base_changes(2, 4))
            await asyncio.sleep(SETTLE_S)
            ends = _Ends(site)

            def generate(targets, address, request):
                return ends.generate(targets, address, request)

            with mock.patch.object(FakeTargets, "generate", generate):
                for number in range(for_s // every):
                    calls = [_one(g, number) for g in site.gateways.values()]
                    await asyncio.gather(*calls)
                    await asyncio.sleep(every)
            return ends
        finally:
            await site.stop()

    logging.disable(logging.CRITICAL)
    try:
        context.ends = run_paused(story())
    finally:
        logging.disable(logging.NOTSET)


@then("no more than {most:d} engines are reached later than 3 s after the third end")
def step_bound(context, most):
    ends = context.ends
    assert len(ends.ends) >= 3, ends.ends
    due_at = sorted(ends.ends)[2] + 3.0
    later = [at for at in ends.arrivals if at > due_at]
    assert len(later) <= most, (len(ends.ends), len(later))
