"""Steps for the detection of lost links, in simulated time."""

import asyncio
import functools
import random
import socket
from types import SimpleNamespace

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.host_checks import answers_nothing
from cowslipcourse.entry.reachability_monitor import ReachabilityMonitor
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.ports import TargetEntry
from cowslipcourse.reachability import choose_probed, reaches_targets

RUN_S = 14.0
SAMPLE_INTERVAL_S = 0.05
TIMER_MARGIN_S = 0.06


def _entries(data_centres, domains, targets_per_domain=3):
    return [
        TargetEntry(f"t-{c}-{d}-{n}", "llm", f"10.{c}.{d}.{n}:1", c, 1, domain=d)
        for c in map(str, range(data_centres))
        for d in (f"{c}-{number}" for number in range(domains))
        for n in range(targets_per_domain)
    ]


@given("listed targets in {data_centres:d} data centres with {domains:d} domains each")
def step_listed(context, data_centres, domains):
    context.entries = _entries(data_centres, domains)


@when("the targets to probe are chosen with seeds {first:d} to {last:d}")
def step_choose(context, first, last):
    context.choices = [
        choose_probed(context.entries, random.Random(seed))
        for seed in range(first, last + 1)
    ]


@then(
    "{count:d} targets are probed each time, in all data centres and in different "
    "domains"
)
def step_chosen(context, count):
    data_centres = {entry.data_centre for entry in context.entries}
    for probed in context.choices:
        assert len(probed) == count, probed
        assert {entry.data_centre for entry in probed} == data_centres, probed
        assert len({entry.domain for entry in probed}) == count, probed


@when(
    "{reached:d} of {probed:d} probed targets are reached by a daemon that {before} "
    "targets"
)
def step_probed(context, reached, probed, before):
    context.reaches = reaches_targets(before == "reaches", probed, reached)


@then("it {after} targets")
def step_reaches(context, after):
    assert context.reaches == (after == "reaches")


@given("a daemon whose links to all targets fail from {start_s:d} s to {end_s:d} s")
def step_links(context, start_s, end_s):
    context.cut = start_s, end_s


def _observe_links(context, doubt_at_s=None, silent_from_s=None, confirm_at_s=None):
    """Run a monitor and record its state and its probes."""

    async def run():
        loop = asyncio.get_running_loop()
        start = loop.time()

        async def probe(address):
            elapsed_s = loop.time() - start
            context.probed_at.append(elapsed_s)
            return not context.cut[0] <= elapsed_s < context.cut[1]

        def silent_s():
            if silent_from_s is None:
                return 0.0
            return max(0.0, loop.time() - start - silent_from_s)

        fleet = FleetView()
        fleet.apply(_entries(3, 2), ())
        monitor = ReachabilityMonitor(
            fleet, random.Random(1), silent_s, lambda: None, probe
        )
        task = asyncio.create_task(monitor.run())
        if doubt_at_s is not None:
            loop.call_later(doubt_at_s, monitor.doubt)
        if confirm_at_s is not None:
            await asyncio.sleep(confirm_at_s)
            await monitor.confirm()
        while (elapsed_s := loop.time() - start) < RUN_S:
            context.states.append((elapsed_s, monitor.is_reachable))
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        task.cancel()

    context.states, context.probed_at = [], []
    run_in_virtual_time(run())


@when("a connection fails after {doubt_at_s:g} s")
def step_connection_fails(context, doubt_at_s):
    _observe_links(context, doubt_at_s=doubt_at_s)


@when("a request at a target that is suspected already fails after {fails_at_s:g} s")
def step_request_fails(context, fails_at_s):
    _observe_links(context, confirm_at_s=fails_at_s)


@when("requests in flight get no bytes from {silent_from_s:g} s on")
def step_silence(context, silent_from_s):
    _observe_links(context, silent_from_s=silent_from_s)


@then("the daemon knows from {start_s:g} s to {end_s:g} s that it reaches no targets")
def step_known_lost(context, start_s, end_s):
    lost = [elapsed_s for elapsed_s, reachable in context.states if not reachable]
    assert context.cut[0] <= min(lost) <= start_s + TIMER_MARGIN_S, min(lost)
    assert context.cut[1] - TIMER_MARGIN_S <= max(lost), max(lost)
    assert max(lost) <= end_s + TIMER_MARGIN_S, max(lost)


@then("it probes at most 4 targets each 0.5 s, and none before or afterwards")
def step_probe_count(context):
    lost = [elapsed_s for elapsed_s, reachable in context.states if not reachable]
    assert min(context.probed_at) >= min(lost) - 2 * TIMER_MARGIN_S
    assert max(context.probed_at) <= max(lost) + 2 * TIMER_MARGIN_S
    rounds = (max(lost) - min(lost)) / 0.5 + 2
    assert len(context.probed_at) <= 4 * rounds, len(context.probed_at)


@given("a daemon that {reaches} other targets")
def step_other_targets(context, reaches):
    context.reaches_others = reaches == "reaches"
    context.fleet = FleetView()
    if reaches != "has no":
        context.fleet.apply(_entries(1, 1), ())


def _check_host(context, address, probe_lost):
    """Return whether a host is known to be lost."""

    async def probe(address):
        return context.reaches_others

    monitor = ReachabilityMonitor(
        context.fleet, random.Random(1), lambda: 0.0, lambda: None, probe, probe_lost
    )
    return run_in_virtual_time(monitor.check_host(address))


async def _check_listener(is_listening):
    """Return whether nothing answers where a process listens, or has ended."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        if is_listening:
            listener.listen()
        return await answers_nothing("{}:{}".format(*listener.getsockname()))


@when("it checks the host of a target where {host}")
def step_check_host(context, host):
    if "listens" in host:
        is_silent = asyncio.run(_check_listener("paused" in host))
        context.is_lost = context.reaches_others and is_silent
        return
    lost_count = 2 if host == "the first two connections are lost" else 3

    async def connect(address, timeout_s):
        nonlocal lost_count
        lost_count -= 1
        if lost_count >= 0:
            await asyncio.sleep(timeout_s)
            raise TargetUnreachable("lost", sent=False) from TimeoutError()
        return SimpleNamespace(abort=lambda: None)

    probe_lost = functools.partial(answers_nothing, connect=connect)
    context.is_lost = _check_host(context, "10.9.9.9:1", probe_lost)


@then("the host is {outcome}")
def step_host_outcome(context, outcome):
    assert context.is_lost == (outcome == "lost")
