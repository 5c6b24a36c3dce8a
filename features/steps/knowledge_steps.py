"""Steps for a daemon's replica of configuration and targets."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.peer_protocol import (
    Heartbeat,
    PeerState,
    TargetChanges,
    decode_state,
    encode_state,
)
from cowslipcourse.platform.store import CONFIGURATION_TABLE
from cowslipcourse.ports import RowChanges, pack_version
from features.support.knowledge import FlakyStore, heartbeat, make_replica, member
from features.support.wire import entry_content


@given("a daemon that follows a store with the targets t1 and t2")
def step_follow(context):
    context.store = FlakyStore()
    context.store.targets = {"t1", "t2"}
    context.known_targets = {}


def _run_replica(context, alter, checks_s):
    async def run():
        replica, _, listener = make_replica(context.store)
        context.replica = replica
        context.pushes = listener.pushes
        tasks = [asyncio.create_task(c) for c in replica.coroutines()]
        await asyncio.sleep(4.0)
        await alter(context.store)
        elapsed_s = 0.0
        for check_s in checks_s:
            await asyncio.sleep(check_s - elapsed_s)
            elapsed_s = check_s
            context.known_targets[check_s] = set(listener.targets)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(run())


@when("the store is unavailable for 3 s and returns without t2")
def step_unavailable(context):
    async def alter(store):
        store.is_unavailable = True
        await asyncio.sleep(3.0)
        store.targets = {"t1"}
        store.is_unavailable = False

    _run_replica(context, alter, (1, 4))


@when("the store is restored from a copy without t2")
def step_restored_without_t2(context):
    async def alter(store):
        store.targets = {"t1"}
        store.version = pack_version(1, 1)
        store.drops_history = True

    _run_replica(context, alter, (1, 4))


@when("the store is unavailable for 3 s, returns, and removes t2 0.3 s later")
def step_removed_after_outage(context):
    async def alter(store):
        store.is_unavailable = True
        await asyncio.sleep(3.0)
        store.is_unavailable = False
        # The daemon retries within half a second.
        await asyncio.sleep(0.8)
        store.removed_key = "t2"

    _run_replica(context, alter, (1, 2))


@then("a daemon without the store that applied all its pushes knows {targets}")
def step_applied_pushes(context, targets):
    replica, _, listener = make_replica(FlakyStore())
    replica.configuration_version, replica.targets_version = 7, 1
    listener.targets = {"t1", "t2"}
    replica.set_following(False)
    for push in context.pushes:
        replica.apply_push(push)
    assert listener.targets == set(targets.split()), context.pushes


@when("t2 is removed 2.0 s after an outage and its return is seen only in a snapshot")
def step_returned_in_snapshot(context):
    async def alter(store):
        store.is_unavailable = True
        await asyncio.sleep(3.0)
        store.is_unavailable = False
        await asyncio.sleep(0.5 + 1.5)
        store.removed_key = "t2"
        await asyncio.sleep(0.35)
        store.targets.add("t2")
        store.drops_history = True

    _run_replica(context, alter, (1, 4))


def _stop_and_follow_again(context, gets_pushes):
    async def alter(store):
        replica = context.replica
        store.is_unavailable = True
        await asyncio.sleep(0.4)
        replica.set_following(False)
        store.is_unavailable = False
        for version in range(2, 10):
            if gets_pushes:
                changed = {"t1": entry_content(sequence=version)}
                push = TargetChanges(version - 1, version, changed, ())
                replica.apply_push(push)
            await asyncio.sleep(0.5)
        store.targets = {"t1"}
        store.version = 10
        replica.set_following(True)

    _run_replica(context, alter, (1,))


@when(
    "the store is unavailable, it gets pushes for 4 s, and follows the store again "
    "without t2"
)
def step_gets_pushes(context):
    _stop_and_follow_again(context, gets_pushes=True)


@when(
    "the store is unavailable, it gets no pushes for 4 s, and follows the store again "
    "without t2"
)
def step_gets_no_pushes(context):
    _stop_and_follow_again(context, gets_pushes=False)


@when("the store is unavailable and it then stops following it")
def step_stops_following(context):
    context.is_current_at = {}

    async def run():
        replica, _, _ = make_replica(context.store)
        tasks = [asyncio.create_task(c) for c in replica.coroutines()]
        await asyncio.sleep(4.0)
        context.store.is_unavailable = True
        await asyncio.sleep(0.4)
        replica.set_following(False)
        for second in range(1, 7):
            await asyncio.sleep(1.0)
            context.is_current_at[second] = replica.is_current
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(run())


@then("it is not current 1 s later, nor 4 s later")
def step_not_current(context):
    assert not context.is_current_at[1] and not context.is_current_at[4], (
        context.is_current_at
    )


@then("it is current 6 s later")
def step_current(context):
    assert context.is_current_at[6], context.is_current_at


@when("the store drops its history and t3 is added")
def step_history_dropped(context):
    async def alter(store):
        store.targets = {"t1", "t2", "t3"}
        store.drops_history = True

    _run_replica(context, alter, (1,))


@then("the daemon knows {targets} {seconds:d} s later")
def step_knows(context, targets, seconds):
    expected = {word for word in targets.split() if word != "and"}
    assert context.known_targets[seconds] == expected, context.known_targets


@given("a daemon that does not follow the store and has targets version 5")
def step_not_following(context):
    context.replica, context.registry, context.listener = make_replica(FlakyStore())
    context.replica.configuration_version = 7
    context.replica.targets_version = 5
    context.replica.set_following(False)


@given("a daemon that does not follow the store and knows t1 and t2 at version 5")
def step_not_following_with_targets(context):
    step_not_following(context)
    content = entry_content()
    listed = dict.fromkeys(("t1", "t2"), content)
    context.replica._replace_targets(listed, 5)


def _push(context, after, version, changed, gone):
    contents = {target: entry_content(sequence=version) for target in changed}
    context.replica.apply_push(TargetChanges(after, version, contents, gone))


@when("a push from version {after:d} to {version:d} arrives that changes {changed:w}")
def step_push_changes(context, after, version, changed):
    _push(context, after, version, (changed,), ())


@when("a push from version {after:d} to {version:d} arrives that removes {gone:w}")
def step_push_removes(context, after, version, gone):
    _push(context, after, version, (), (gone,))


@when("a push from version 5 to 6 arrives that changes t2 and removes t1")
def step_push_both(context):
    _push(context, 5, 6, ("t2",), ("t1",))


@then("the daemon without the store knows {targets}")
def step_knows_without_store(context, targets):
    expected = set(targets.split(" and "))
    assert context.listener.targets == expected, context.listener.targets


@when("a push from version 7 to 8 arrives")
def step_push_after_gap(context):
    context.replica.apply_push(TargetChanges(7, 8, {}, ("t1",)))


@then("the push is not applied")
def step_not_applied(context):
    assert context.replica.targets_version == 5


def _read_sources(context, now):
    return context.replica._read_policy.sources(context.replica, now)


@then("the daemon reads from a peer that is ahead")
def step_reads(context):
    peer_heartbeat = heartbeat("b", 3, targets_version=8)
    context.registry.record_heartbeat(peer_heartbeat, 10.0)
    assert not _read_sources(context, 10.0)
    sources = _read_sources(context, 10.5)
    assert [source.name for source in sources] == ["b"]


@given("a daemon with configuration 7")
def step_with_configuration(context):
    context.replica, _, context.listener = make_replica(FlakyStore())
    rows = FlakyStore().rows(CONFIGURATION_TABLE)
    context.replica._on_configuration_rows(RowChanges(rows, 1))


@when("a peer sends it configuration 6")
def step_older_configuration(context):
    store = FlakyStore()
    store.configuration_version = 6
    content = store.rows(CONFIGURATION_TABLE)[0].value
    assert encode_state(PeerState(content, 1, {}))
    context.replica._apply_configuration(content)


@then("configuration 7 is in force")
def step_in_force(context):
    assert context.listener.table.version == 7


@when("a peer with configuration 7 and newer targets reads from it")
def step_peer_reads(context):
    context.state = decode_state(context.replica.encoded_state(7, 99))


@then("the response contains neither configuration nor targets")
def step_nothing_sent(context):
    assert (context.state.configuration, context.state.targets) == (None, {})


@when("ten peers have configuration 8")
def step_ten_newer_peers(context):
    for index in range(10):
        ahead = member(f"p{index}", 20 + index)._replace(configuration_version=8)
        peer_heartbeat = Heartbeat(ahead, 1, True, 5, {}, {})
        context.registry.record_heartbeat(peer_heartbeat, 10.0)


@then("several of them are read first")
def step_reads_spread(context):
    first_read = {_read_sources(context, 10.0)[0].name for _ in range(20)}
    assert len(first_read) > 3, first_read


class _LossyLink:
    """Carries the pushes of one replica to another.

    :param reader: replica that gets the pushes.
    :param loses_first: whether the first push of each removal is lost.
    """

    def __init__(self, reader, loses_first):
        self._reader = reader
        self._loses_first = loses_first
        self._lost = set()

    def push(self, changes):
        if self._loses_first and changes.gone and changes.gone not in self._lost:
            self._lost.add(changes.gone)
            return
        self._reader.apply_push(changes)


def _read_peer(source, reader):
    known = reader.configuration_version, reader.targets_version
    reader._apply_peer_state(decode_state(source.encoded_state(*known)))


@given("a daemon that follows the store, and one that gets its changes")
def step_two_daemons(context):
    context.store = FlakyStore()
    context.store.targets = {"t1", "t2"}


def _run_outage(
    context, loses_first, during_outage, returned_after_s=None, stops_following=False
):
    """Run both daemons through an outage and record what they know afterwards."""

    async def run():
        source, _, source_listener = make_replica(context.store)
        reader, _, reader_listener = make_replica(FlakyStore())
        reader.set_following(False)
        source_listener.push_changes = _LossyLink(reader, loses_first).push
        reader._follows_store = False
        tasks = [asyncio.create_task(c) for c in source.coroutines()]
        await asyncio.sleep(3.0)
        _read_peer(source, reader)
        during_outage()
        context.store.is_unavailable = True
        await asyncio.sleep(3.0)
        context.store.is_unavailable = False
        await asyncio.sleep(1.0)
        if stops_following:
            source.set_following(False)
        # The daemon learns of the newer version from heartbeats.
        _read_peer(source, reader)
        if returned_after_s is not None:
            await asyncio.sleep(returned_after_s - 1.0)
            context.store.targets = {"t1", "t2"}
            context.store.version += 1
        context.known_targets = {}
        for seconds in (3.0, 4.0):
            await asyncio.sleep(1.0 if context.known_targets else 2.0)
            context.known_targets[seconds] = (
                set(source_listener.targets),
                set(reader_listener.targets),
            )
        for task in tasks:
            task.cancel()

    run_in_virtual_time(run())


@when("the store is away for 3 s just after it has removed a target, and {pushes}")
def step_removed_before_outage(context, pushes):
    def remove():
        context.store.targets = {"t1"}
        context.store.version += 1

    _run_outage(context, "lost" in pushes, remove, stops_following="stops" in pushes)


@when("the store is away for 3 s, and the entry of a target returns 1.5 s later")
def step_returns_after_outage(context):
    def lapse():
        context.store.targets = {"t1"}
        context.store.version += 1

    _run_outage(context, False, lapse, returned_after_s=1.5)


@then("both have dropped the target {seconds:f} s after the return of the store")
def step_both_dropped(context, seconds):
    assert context.known_targets[seconds] == ({"t1"}, {"t1"}), context.known_targets


@then("both know the target {seconds:f} s after the return of the store")
def step_both_know(context, seconds):
    known = {"t1", "t2"}
    assert context.known_targets[seconds] == (known, known), context.known_targets
