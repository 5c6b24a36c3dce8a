"""Steps over configuration and targets as a daemon knows them."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.peers import (
    Heartbeat,
    PeerState,
    TargetChanges,
    decode_state,
    encode_state,
)
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, pack_version
from features.support.knowledge import FlakyStore, heartbeat, make_knowledge, member
from features.support.wire import entry_content


@given("a daemon that follows a store with the targets t1 and t2")
def step_follow(context):
    context.store = FlakyStore()
    context.store.targets = {"t1", "t2"}
    context.seen = {}


def _play(context, change, looks):
    async def run():
        knowledge, _, listener = make_knowledge(context.store)
        context.knowledge = knowledge
        context.pushes = listener.pushes
        tasks = [asyncio.create_task(c) for c in knowledge.coroutines()]
        await asyncio.sleep(4.0)
        await change(context.store)
        start = 0.0
        for look in looks:
            await asyncio.sleep(look - start)
            start = look
            context.seen[look] = set(listener.targets)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_paused(run())


@when("the store is away for 3 s and comes back without t2")
def step_away(context):
    async def change(store):
        store.is_away = True
        await asyncio.sleep(3.0)
        store.targets = {"t1"}
        store.is_away = False

    _play(context, change, (1, 4))


@when("the store comes back at once, as it was before t2 was listed")
def step_older(context):
    async def change(store):
        store.targets = {"t1"}
        store.version = pack_version(1, 1)
        store.drops_history = True

    _play(context, change, (1, 4))


@when("the store is away for 3 s, comes back, and drops t2 0.3 s later")
def step_away_drops(context):
    async def change(store):
        store.is_away = True
        await asyncio.sleep(3.0)
        store.is_away = False
        # The daemon tries again every half a second at the latest.
        await asyncio.sleep(0.8)
        store.deletes = "t2"

    _play(context, change, (1, 2))


@then("a resting daemon that took all its pushes knows {targets}")
def step_pushed(context, targets):
    rests, _, listener = make_knowledge(FlakyStore())
    rests.configuration_version, rests.targets_version = 7, 1
    listener.targets = {"t1", "t2"}
    rests.set_following(False)
    for push in context.pushes:
        rests.apply_push(push)
    assert listener.targets == set(targets.split()), context.pushes


@when("t2 is dropped 2.0 s after an outage and is back, which only a whole read tells")
def step_back_by_read(context):
    async def change(store):
        store.is_away = True
        await asyncio.sleep(3.0)
        store.is_away = False
        await asyncio.sleep(0.5 + 1.5)
        store.deletes = "t2"
        await asyncio.sleep(0.35)
        store.targets.add("t2")
        store.drops_history = True

    _play(context, change, (1, 4))


def _rest_and_read(context, told):
    async def change(store):
        knowledge = context.knowledge
        store.is_away = True
        await asyncio.sleep(0.4)
        knowledge.set_following(False)
        store.is_away = False
        for version in range(2, 10):
            if told:
                changed = {"t1": entry_content(sequence=version)}
                push = TargetChanges(version - 1, version, changed, ())
                knowledge.apply_push(push)
            await asyncio.sleep(0.5)
        store.targets = {"t1"}
        store.version = 10
        knowledge.set_following(True)

    _play(context, change, (1,))


@when(
    "the store refuses it, it rests and is told of changes for 4 s, "
    "and reads again once t2 is gone"
)
def step_rests_told(context):
    _rest_and_read(context, told=True)


@when("the store refuses it, it rests for 4 s, and reads again while t2 has lapsed")
def step_rests_untold(context):
    _rest_and_read(context, told=False)


@when("the store refuses it and it rests then")
def step_refused(context):
    context.fit = {}

    async def run():
        knowledge, _, _ = make_knowledge(context.store)
        tasks = [asyncio.create_task(c) for c in knowledge.coroutines()]
        await asyncio.sleep(4.0)
        context.store.is_away = True
        await asyncio.sleep(0.4)
        knowledge.set_following(False)
        for second in range(1, 7):
            await asyncio.sleep(1.0)
            context.fit[second] = knowledge.is_current
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_paused(run())


@then("it is not fit 1 s later, nor 4 s later")
def step_unfit(context):
    assert not context.fit[1] and not context.fit[4], context.fit


@then("it is fit 6 s later")
def step_fit(context):
    assert context.fit[6], context.fit


@when("the store drops its history and t3 is added")
def step_dropped(context):
    async def change(store):
        store.targets = {"t1", "t2", "t3"}
        store.drops_history = True

    _play(context, change, (1,))


@then("the daemon knows {targets} {seconds:d} s later")
def step_knows(context, targets, seconds):
    expected = {word for word in targets.split() if word != "and"}
    assert context.seen[seconds] == expected, context.seen


@given("a daemon that rests with targets version 5")
def step_rests(context):
    context.knowledge, context.registry, context.listener = make_knowledge(FlakyStore())
    context.knowledge.configuration_version = 7
    context.knowledge.targets_version = 5
    context.knowledge.set_following(False)


@given("a daemon that rests and knows t1 and t2 at version 5")
def step_rests_and_knows(context):
    step_rests(context)
    content = entry_content()
    listed = dict.fromkeys(("t1", "t2"), content)
    context.knowledge._replace_targets(listed, 5)


def _push(context, after, version, changed, gone):
    fields = {target: entry_content(sequence=version) for target in changed}
    context.knowledge.apply_push(TargetChanges(after, version, fields, gone))


@when("a push from version {after:d} to {version:d} arrives that changes {changed:w}")
def step_push_changes(context, after, version, changed):
    _push(context, after, version, (changed,), ())


@when("a push from version {after:d} to {version:d} arrives that drops {gone:w}")
def step_push_drops(context, after, version, gone):
    _push(context, after, version, (), (gone,))


@when("a push from version 5 to 6 arrives that changes t2 and drops t1")
def step_push_both(context):
    _push(context, 5, 6, ("t2",), ("t1",))


@then("the resting daemon knows {targets}")
def step_resting_knows(context, targets):
    known = set(targets.split(" and "))
    assert context.listener.targets == known, context.listener.targets


@when("a push from version 7 to 8 arrives")
def step_push(context):
    context.knowledge.apply_push(TargetChanges(7, 8, {}, ("t1",)))


@then("the push is not applied")
def step_not_applied(context):
    assert context.knowledge.targets_version == 5


def _sources(context, now):
    return context.knowledge._read_policy.sources(context.knowledge, now)


@then("the daemon reads a peer that is ahead")
def step_reads(context):
    beat = heartbeat("b", 3, targets_version=8)
    context.registry.record_heartbeat(beat, 10.0)
    assert not _sources(context, 10.0)
    sources = _sources(context, 10.5)
    assert [source.name for source in sources] == ["b"]


@given("a daemon that knows configuration 7")
def step_knows_seven(context):
    context.knowledge, _, context.listener = make_knowledge(FlakyStore())
    content = FlakyStore().rows(CONFIGURATION_TABLE)
    context.knowledge._on_configuration_rows(RowChanges(content, 1))


@when("a peer gives it configuration 6")
def step_older(context):
    store = FlakyStore()
    store.configuration = 6
    content = store.rows(CONFIGURATION_TABLE)[0].value
    assert encode_state(PeerState(content, 1, {}))
    context.knowledge._apply_configuration(content)


@then("configuration 7 is in force")
def step_in_force(context):
    assert context.listener.table.version == 7


@when("a peer reads that has configuration 7 and newer targets")
def step_peer_reads(context):
    context.state = decode_state(context.knowledge.encoded_state(7, 99))


@then("the answer holds neither configuration nor targets")
def step_nothing(context):
    assert (context.state.configuration, context.state.targets) == (None, {})


@when("ten peers have configuration 8")
def step_ten(context):
    for number in range(10):
        ahead = member(f"p{number}", 20 + number)._replace(configuration_version=8)
        beat = Heartbeat(ahead, 1, True, 5, {}, {})
        context.registry.record_heartbeat(beat, 10.0)


@then("several of them are read first")
def step_several(context):
    first = {_sources(context, 10.0)[0].name for _ in range(20)}
    assert len(first) > 3, first
