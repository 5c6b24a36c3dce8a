"""Steps for the first read of a daemon that has just started."""

import asyncio
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.peer_protocol import PeerState
from features.support.knowledge import FlakyStore, heartbeat, make_replica

OBSERVED_S = 1.0


@given("a daemon that has just started while its store is unavailable")
def step_just_started(context):
    context.store = FlakyStore()
    context.store.is_unavailable = True


@when("it hears of a peer with a configuration after {delay_s:g} s")
def step_hears_peer(context, delay_s):
    content = FlakyStore().rows("op")[0].value
    context.read_after_s = []

    async def run():
        loop = asyncio.get_running_loop()
        replica, registry, context.listener = make_replica(context.store)

        async def read_state(client, address, *known_versions):
            context.read_after_s.append(loop.time() - context.heard_at)
            return PeerState(content, 1, {}, 0)

        with mock.patch("cowslipcourse.entry.state_replica.read_state", read_state):
            tasks = [asyncio.create_task(c) for c in replica.coroutines()]
            await asyncio.sleep(delay_s)
            context.heard_at = loop.time()
            registry.record_heartbeat(heartbeat("b", 3), loop.time())
            await asyncio.sleep(OBSERVED_S)
            for task in tasks:
                task.cancel()

    run_in_virtual_time(run())


@then("it reads the peer's state within {limit_s:g} s")
def step_read_at_once(context, limit_s):
    assert context.listener.table.version == 7, context.listener.table
    assert context.read_after_s[0] <= limit_s, context.read_after_s
