"""Steps for daemons that read the store, take over from others and wait out outages."""

import asyncio
from unittest import mock

from behave import given, then, when

from cowslipcourse.entry import state_replica, table_follower
from features.support.reader_lives import reader_violations
from features.support.reader_site import ReaderSite
from features.support.wire import entry_content

PHASES_S = (0.0, 0.17, 0.34, 0.51, 0.68, 0.85, 1.02, 1.19)
TARGET = "t2"
CALM_S = 7.0
KILL_TO_REMOVAL_S = 0.3
WATCHED_S = 6.0
RETURN_S = 1.8


@given("{data_centres:d} data centres of {daemons:d} daemons that read the store")
def step_site(context, data_centres, daemons):
    context.shape = data_centres, daemons


def _now():
    return asyncio.get_running_loop().time()


def _play_phases(context, act):
    """Play an act once for each phase; collect what it returns."""
    context.results = []
    for phase_s in PHASES_S:
        site = ReaderSite(*context.shape)

        async def run(site, phase_s=phase_s):
            await asyncio.sleep(phase_s)
            context.results.append(await act(site))

        site.play(run)


@when(
    "the store turns two of a data centre away for {seconds:f} s, and later the others "
    "are killed as a target leaves"
)
def step_turned_away(context, seconds):
    async def act(site):
        first, second, third = site.registered()
        site.store.silent_to = {first.name, second.name}
        await asyncio.sleep(seconds)
        site.store.silent_to = set()
        await asyncio.sleep(CALM_S)
        elsewhere = site.registered(1)[:2] if context.shape[0] > 1 else ()
        site.kill(first, third, *elsewhere)
        await asyncio.sleep(KILL_TO_REMOVAL_S)
        site.store.put(TARGET, None)
        left_at = _now()
        await asyncio.sleep(WATCHED_S)
        return site.lateness_s(TARGET, left_at, [second])

    _play_phases(context, act)


@when(
    "{cut:d} standbys are cut off from the store, the reader {ends}, and a target "
    "{leaves}"
)
def step_successor_cut(context, cut, ends, leaves):
    async def act(site):
        reader, *standbys = site.registered()
        site.store.silent_to = {standby.name for standby in standbys[:cut]}
        await asyncio.sleep(1.0)
        if ends == "stops":
            site.stop(reader)
        else:
            site.kill(reader)
        await asyncio.sleep(0.05)
        is_taken_out = leaves == "is taken out"
        content = entry_content(state="draining", sequence=2)
        site.store.put(TARGET, None if is_taken_out else content)
        left_at = _now()
        await asyncio.sleep(4.0)
        return site.lateness_s(TARGET, left_at, standbys[cut:])

    _play_phases(context, act)


@when("the store is silent for {seconds:f} s just after a target is taken out")
def step_outage_after_removal(context, seconds):
    async def act(site):
        site.store.put(TARGET, None)
        site.store.is_silent = True
        await asyncio.sleep(seconds)
        site.store.is_silent = False
        returned_at = _now()
        await asyncio.sleep(WATCHED_S)
        return site.lateness_s(TARGET, returned_at, site.readers)

    _play_phases(context, act)


@when(
    "the store is silent for {seconds:f} s, and an entry that lapses meanwhile returns "
    "1.8 s later"
)
def step_lapse(context, seconds):
    async def act(site):
        site.store.is_silent = True
        await asyncio.sleep(seconds - 0.1)
        site.store.lapse(TARGET)
        await asyncio.sleep(0.1)
        site.store.is_silent = False
        await asyncio.sleep(RETURN_S)
        site.store.put(TARGET, entry_content(sequence=2))
        await asyncio.sleep(WATCHED_S)
        dropped = [target for reader in site.readers for target, _ in reader.drops]
        return dropped.count(TARGET)

    _play_phases(context, act)


@when("another table changes 3 s before a target reports draining")
def step_other_table(context):
    async def act(site):
        site.store.version += 1
        await asyncio.sleep(3.0)
        site.store.put(TARGET, entry_content(state="draining", sequence=2))
        left_at = _now()
        await asyncio.sleep(2.0)
        return site.lateness_s(TARGET, left_at, site.readers)

    _play_phases(context, act)


@when("nothing happens for {seconds:d} s")
def step_calm(context, seconds):
    async def act(site):
        calls_before = site.store.calls
        await asyncio.sleep(seconds)
        return (site.store.calls - calls_before) / seconds

    _play_phases(context, act)


@then("the first of the two has dropped it within {limit:f} s, whenever that happens")
@then("all others know it within {limit:f} s, whenever that happens")
@then("all daemons know it within {limit:f} s, whenever that happens")
@then("all have dropped it within {limit:f} s of its return, whenever that happens")
def step_in_time(context, limit):
    assert max(context.results) <= limit, [round(each, 2) for each in context.results]


@then("no daemon ever drops its target, whenever that happens")
def step_never_dropped(context):
    assert not any(context.results), context.results


@then("the store gets at most {limit:d} calls a second")
def step_call_rate(context, limit):
    assert max(context.results) <= limit, context.results


VARIANTS = {
    "missing entries are kept for 4.0 s": lambda: mock.patch.multiple(
        state_replica, RECOVERY_S=4.0, POLL_RECOVERY_S=4.0
    ),
    "missing entries are kept for 0.5 s": lambda: mock.patch.multiple(
        state_replica, RECOVERY_S=0.5
    ),
    "reads of a silent store hardly overlap": lambda: mock.patch.multiple(
        table_follower, OVERLAPPING_READ_INTERVAL_S=2.0
    ),
}


def _violations(first, last):
    found = (reader_violations(seed) for seed in range(first, last + 1))
    return [each for violations in found for each in violations]


@when("daemons are cut off, stopped and killed at random, seeds {first:d} to {last:d}")
def step_lives(context, first, last):
    context.violations = _violations(first, last)


@when(
    "{what} as daemons are cut off, stopped and killed at random, seeds {first:d} to "
    "{last:d}"
)
def step_variant_lives(context, what, first, last):
    with VARIANTS[what]():
        context.violations = _violations(first, last)


@then("no daemon used a target too late, or dropped one that had only lapsed")
def step_sound_lives(context):
    assert not context.violations, context.violations


@then("some daemon used a target too late, or dropped one that had only lapsed")
def step_unsound_lives(context):
    assert context.violations
