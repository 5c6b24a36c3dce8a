"""Steps for the traffic between the daemons of a large site."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry import roles
from cowslipcourse.entry.peer_reads import MAX_BACKOFF_S, PeerReadPolicy
from cowslipcourse.entry.settings import PeerSettings
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.peer_protocol import (
    Digest,
    PeerRegistry,
    TargetChanges,
    decode_state,
    encode,
    split_changes,
)
from cowslipcourse.peer_protocol.compression import pack, unpack
from cowslipcourse.ports import RowChanges, StoredRow
from features.support.daemon_network import DaemonNetwork, NetworkShape
from features.support.knowledge import (
    FlakyStore,
    heartbeat,
    make_replica,
    member,
)
from features.support.wire import entry_content

CHECK_INTERVAL_S = 0.05
CHANGE_COUNT = 300
"""Versions of the target list in a random run."""


def _target_entry(number, state="ready"):
    return entry_content(
        service="dazi41a",
        address=f"10.{number % 5}.64.{number // 5}:8445",
        state=state,
        domain=f"hall-d{number % 25}",
        staged=[f"m{number % 2}"],
        group={
            "name": f"hall-d{number % 25}-{number // 16}",
            "epoch": 900 + number,
            "rank": number % 16,
            "state": "open",
        },
        models=[{"name": f"m{number % 2}", "version": 1, "adapters": []}],
    )


def _target_id(number):
    return f"i-{number * 0x1234567 % (1 << 40):010x}"


# Traffic, liveness and roles of many daemons.


@when("{data_centres:d} data centres of {daemons:d} daemons run for {seconds:d} s")
def step_run(context, data_centres, daemons, seconds):
    context.network = DaemonNetwork(NetworkShape(data_centres, daemons))
    context.sent_bytes_per_s = run_in_virtual_time(context.network.run(seconds / 2))


@when(
    "{data_centres:d} data centres of {daemons:d} daemons run for {seconds:d} s, "
    "losing {lost:d} in 100 datagrams"
)
def step_run_lossy(context, data_centres, daemons, seconds, lost):
    context.network = DaemonNetwork(
        NetworkShape(data_centres, daemons, loss_rate=lost / 100)
    )

    async def run():
        await context.network.run(seconds / 2)
        now = asyncio.get_running_loop().time()
        context.routable = [
            len(daemon.registry.ready_members(daemon.member.name, now))
            for daemon in context.network.daemons
        ]

    run_in_virtual_time(run())


@then("no daemon sends more than {limit:d} KB/s")
def step_max_traffic(context, limit):
    assert max(context.sent_bytes_per_s) <= limit * 1000, max(context.sent_bytes_per_s)


@then("8 in 10 send no more than {limit:d} KB/s")
def step_usual_traffic(context, limit):
    percentile_80 = sorted(context.sent_bytes_per_s)[
        len(context.sent_bytes_per_s) * 8 // 10
    ]
    assert percentile_80 <= limit * 1000, percentile_80


@then("each daemon would send callers to every other one")
def step_all_routable(context):
    others = len(context.network.daemons) - 1
    assert context.routable == [others] * (others + 1), context.routable


@when(
    "195 daemons of 5 data centres start within {within_s:d} s, "
    "losing {lost:d} in 100 datagrams"
)
def step_start_all(context, within_s, lost):
    network = DaemonNetwork(NetworkShape(5, 39, loss_rate=lost / 100))
    context.role_samples = run_in_virtual_time(network.start_all(within_s, 4))


@when(
    "{data_centres:d} data centres of {daemons:d} daemons start, and those that read "
    "the store fall silent after {seconds:d} s"
)
def step_readers_fall_silent(context, data_centres, daemons, seconds):
    network = DaemonNetwork(NetworkShape(data_centres, daemons))
    context.readers = []

    async def silence():
        context.readers.append(network.store_readers())
        network.silence(
            [n for names in network.store_readers().values() for n in names]
        )
        for wait_s in (1.0, 3.0):
            await asyncio.sleep(wait_s)
            context.readers.append(network.store_readers())

    run_in_virtual_time(network.start_all(0.5, seconds, silence))


@then("one daemon of each data centre reads the store after {seconds:d} s")
def step_one_reader(context, seconds):
    counts = {name: len(names) for name, names in context.readers[0].items()}
    assert counts == {"hall-0": 1, "hall-1": 1, "hall-2": 1}, context.readers


@then(
    "{fewest:d} to {most:d} others read it {soon:d} s later, and one of them "
    "{later:d} s later"
)
def step_replaced(context, fewest, most, soon, later):
    first, soon_after, finally_ = context.readers
    for data_centre, names in first.items():
        successors = set(soon_after[data_centre])
        assert fewest <= len(successors) <= most, context.readers
        assert not successors & set(names), context.readers
        assert len(finally_[data_centre]) == 1, context.readers
        assert set(finally_[data_centre]) <= successors, context.readers


@when("they start, losing {lost:d} in 100, and take roles once registered")
def step_start_without_settling(context, lost):
    network = DaemonNetwork(NetworkShape(5, 39, loss_rate=lost / 100))
    with (
        mock.patch.object(roles, "is_settled", lambda at, now: at is not None),
        mock.patch.object(PeerRegistry, "is_unknown", lambda self, member: False),
    ):
        context.role_samples = run_in_virtual_time(network.start_all(1, 2))


@then(
    "no data centre ever has more than {limit:d} reporters, and 2 from {from_s:d} s on"
)
def step_few_reporters(context, limit, from_s):
    for seconds, reporters, _ in context.role_samples:
        assert max(reporters.values(), default=0) <= limit, (seconds, reporters)
        if seconds >= from_s:
            assert sorted(reporters.values()) == [2] * 5, (seconds, reporters)


@then(
    "at most {limit:d} daemons coordinate the groups of one data centre, and 1 from "
    "{from_s:d} s on"
)
def step_few_coordinators(context, limit, from_s):
    counts = [(seconds, count) for seconds, _, count in context.role_samples]
    assert all(count <= limit for _, count in counts), counts
    assert all(count == 1 for seconds, count in counts if seconds >= from_s), counts


@when(
    "{data_centres:d} data centres of {daemons:d} daemons start, and one data centre "
    "falls silent after {seconds:d} s"
)
def step_data_centre_falls_silent(context, data_centres, daemons, seconds):
    network = DaemonNetwork(NetworkShape(data_centres, daemons))
    context.coordinators = []

    async def silence():
        context.coordinators.append(network.coordinators())
        network.silence([d.settings.name for d in network.daemons[:daemons]])
        await asyncio.sleep(1.5)
        context.coordinators.append(network.coordinators())

    run_in_virtual_time(network.start_all(0.5, seconds, silence))


@then(
    "each data centre's groups are coordinated by one of its own daemons after {_:d} s"
)
def step_own_coordinators(context, _):
    for data_centre, coordinators in context.coordinators[0].items():
        number = data_centre.removeprefix("hall-")
        assert len(coordinators) == 1, context.coordinators[0]
        assert coordinators[0].startswith(f"front-hall-{number}-"), (
            context.coordinators[0]
        )


@then("those of the silent one by one daemon elsewhere {_:f} s later")
def step_coordinated_elsewhere(context, _):
    coordinators = context.coordinators[1]
    assert [len(names) for names in coordinators.values()] == [1, 1, 1], coordinators
    assert not coordinators["hall-0"][0].startswith("front-hall-0-"), coordinators


@then("some data centre has more than {limit:d} reporters")
def step_many_reporters(context, limit):
    max_reporters = max(max(r.values(), default=0) for _, r, _ in context.role_samples)
    assert max_reporters > limit, max_reporters


@when(
    "one daemon of {data_centres:d} data centres of {daemons:d} gets {request_count:d} "
    "requests in flight at a target"
)
def step_in_flight_burst(context, data_centres, daemons, request_count):
    network = DaemonNetwork(NetworkShape(data_centres, daemons))
    context.delays_s = {}

    async def observe():
        network.daemons[5].extra_in_flight = {"i-burst": request_count}
        for step in range(30):
            await asyncio.sleep(CHECK_INTERVAL_S)
            for daemon in network.daemons[:5] + network.daemons[6:]:
                if daemon.registry.in_flight.get("i-burst", 0) >= request_count:
                    name = daemon.settings.name
                    context.delays_s.setdefault(name, (step + 1) * CHECK_INTERVAL_S)

    run_in_virtual_time(network.run(2.0, observe))
    context.network = network


@then(
    "all daemons of its data centre know within {local_s:f} s, and all others within "
    "{remote_s:f} s"
)
def step_burst_known(context, local_s, remote_s):
    data_centre_by_name = {
        d.settings.name: d.settings.data_centre for d in context.network.daemons
    }
    assert len(context.delays_s) == len(data_centre_by_name) - 1, len(context.delays_s)
    for name, delay_s in context.delays_s.items():
        limit_s = local_s if data_centre_by_name[name] == "hall-0" else remote_s
        assert delay_s <= limit_s + CHECK_INTERVAL_S / 2, (name, delay_s)


@when(
    "{silent_count:d} daemons of {data_centres:d} data centres of {daemons:d} fall "
    "silent"
)
def step_daemons_fall_silent(context, silent_count, data_centres, daemons):
    network = DaemonNetwork(NetworkShape(data_centres, daemons))
    context.routable = {}

    async def observe():
        stride = len(network.daemons) // silent_count
        silent = {daemon.settings.name for daemon in network.daemons[::stride]}
        network.silence(silent)
        await asyncio.sleep(1.5)
        now = asyncio.get_running_loop().time()
        for daemon in network.daemons:
            if not daemon.is_down:
                routable = daemon.registry.ready_members(daemon.settings.name, now)
                context.routable[daemon.settings.name] = {m.name for m in routable}
        context.connected = {d.settings.name for d in network.daemons if not d.is_down}

    run_in_virtual_time(network.run(2.0, observe))


@then(
    "no daemon sends callers to them {_:f} s later, and all send callers to all others"
)
def step_routable_lists(context, _):
    for name, routable in context.routable.items():
        assert routable == context.connected - {name}, (
            name,
            routable ^ context.connected,
        )


@given("a daemon that has received heartbeats of others and a digest without members")
def step_no_members(context):
    context.registry = PeerRegistry(PeerSettings(), "north")
    for number in range(9):
        context.registry.record_heartbeat(heartbeat(f"d{number}", 20 + number), 50.0)
    digest = Digest(member("d0", 20), 7, None, {"i-1": 2}, {})
    context.registry.record_digest(digest, 50.0)


@then("it sends callers to the senders of the heartbeats")
def step_by_heartbeats(context):
    assert len(context.registry.ready_members("own", 50.1)) == 9


@given("two reporters r1 and r2 of a large data centre, registered in this order")
def step_reporters(context):
    context.now = 50.0
    context.registries = {name: PeerRegistry(PeerSettings(), "north") for name in "12"}
    for registry in context.registries.values():
        for number in range(9):
            peer_heartbeat = heartbeat(f"d{number}", 20 + number)
            registry.record_heartbeat(
                peer_heartbeat._replace(interval_s=2.0), context.now
            )


def _receive_heartbeats(context, names):
    for own, registry in context.registries.items():
        for name in names:
            if name != own:
                peer_heartbeat = heartbeat(
                    f"r{name}", int(name), sequence=int(context.now * 10)
                )
                registry.record_heartbeat(peer_heartbeat, context.now)


@when("both have just been heard")
def step_both_heard(context):
    _receive_heartbeats(context, "12")


@when("r1 has been silent for {seconds:f} s")
def step_first_silent(context, seconds):
    context.now += seconds
    _receive_heartbeats(context, "2")


def _is_active_reporter(context, name):
    own = heartbeat(f"r{name}", int(name))
    return context.registries[name].is_active_reporter(own, context.now)


@then("r1 is the active reporter in the view of both")
def step_first_active(context):
    assert _is_active_reporter(context, "1") and not _is_active_reporter(context, "2")


@then("r2 is the active reporter in the view of r2")
def step_second_active(context):
    assert _is_active_reporter(context, "2")


# Reads from peers.


def _make_replica_with_targets(contents, version):
    replica, registry, listener = make_replica(FlakyStore())
    rows = tuple(StoredRow(key, value, version) for key, value in contents.items())
    run_in_virtual_time(_apply_snapshot(replica, RowChanges(rows, version)))
    return replica, registry, listener


async def _apply_snapshot(replica, changes):
    replica._on_target_snapshot(changes)


@given("the list of a site of {target_count:d} targets")
def step_list(context, target_count):
    contents = {_target_id(n): _target_entry(n) for n in range(target_count)}
    context.replica, _, _ = _make_replica_with_targets(contents, 5000)


@then("a peer reads it in less than {limit:d} KB, and a second one gets the same bytes")
def step_compressed(context, limit):
    first, second = (context.replica.encoded_state(0, 0) for _ in range(2))
    assert first is second and len(first) < limit * 1000, len(first)
    assert len(decode_state(first).targets) == 930


@then("truncated or uncompressed bytes raise the typed error")
def step_invalid_refused(context):
    compressed = pack(b"abc" * 1000)
    assert unpack(compressed) == b"abc" * 1000 and unpack(pack(b"short")) == b"short"
    for invalid in (
        compressed[:-8],
        compressed[:1],
        b"",
        b"Zabc",
        b"?" + compressed[1:],
    ):
        try:
            unpack(invalid)
        except MalformedResponse:
            continue
        raise AssertionError(invalid)


@given("a list that changes at random, seed {seed:d}, and a reader that misses pushes")
def step_random_list(context, seed):
    rng = random.Random(seed)
    source, _, source_listener = make_replica(FlakyStore())
    reader, _, _ = make_replica(FlakyStore())
    reader.configuration_version, reader._follows_store = 7, False
    source_listener.push_changes = reader.apply_push
    context.differences, context.whole_list_reads = [], 0

    async def run():
        rows = tuple(StoredRow(_target_id(n), _target_entry(n), 1) for n in range(40))
        source._on_target_snapshot(RowChanges(rows, 1))
        # Removed entries are not held back.
        source._recovered_at = 0.0
        for version in range(2, CHANGE_COUNT):
            _apply_random_change(rng, source, version)
            if rng.random() < 0.2:
                _read_from_source(context, source, reader)
            context.differences += _differences(source, reader)

    run_in_virtual_time(run())


def _apply_random_change(rng, source, version):
    """Apply a random change at the source; at times the reader misses its push."""
    numbers = rng.sample(range(60), rng.randint(1, 4))
    rows = tuple(
        StoredRow(_target_id(n), b"", version, deleted=True)
        if rng.random() < 0.3
        else StoredRow(_target_id(n), _target_entry(n + 1000 * version), version)
        for n in numbers
    )
    changes = RowChanges(rows, version + 1)
    push = source._listener.push_changes
    if rng.random() < 0.1:
        # The removal of held entries is pushed without a newer version.
        source._held_until = {_target_id(rng.randrange(60)): 0.0}
        source._remove_expired_held(1.0)
        return
    if rng.random() < 0.4:
        source._listener.push_changes = lambda message: None
    source._on_target_changes(changes)
    source._listener.push_changes = push


def _read_from_source(context, source, reader):
    state = decode_state(
        source.encoded_state(reader.configuration_version, reader.targets_version)
    )
    context.whole_list_reads += state.base_version is None
    reader._apply_peer_state(state)


def _differences(source, reader):
    if reader.targets_version != source.targets_version:
        return []
    source_contents, reader_contents = (
        source._target_list.contents,
        reader._target_list.contents,
    )
    return [
        key
        for key in source_contents | reader_contents
        if source_contents.get(key) != reader_contents.get(key)
    ]


@then("the reader never differs at the same version, and reads one whole list at most")
def step_never_differs(context):
    assert not context.differences, context.differences[:3]
    assert context.whole_list_reads <= 1, context.whole_list_reads


@given("changes of {entry_count:d} entries at different versions")
def step_changes(context, entry_count):
    changed = {_target_id(n): _target_entry(n) for n in range(entry_count)}
    context.versions = {_target_id(n): 101 + n for n in range(entry_count)}
    changes = TargetChanges(100, 101 + entry_count, changed, ())
    context.parts = split_changes(changes, context.versions)


@then("they are pushed in consecutive parts of {limit:d} KB at most")
def step_consecutive_parts(context, limit):
    assert context.parts[0].base_version == 100 and context.parts[-1].version == 1031
    for first, second in zip(context.parts, context.parts[1:], strict=False):
        assert second.base_version == first.version
    sizes_bytes = [len(encode(part)) for part in context.parts]
    assert max(sizes_bytes) <= limit * 1000, sizes_bytes
    assert sum(len(part.changed) for part in context.parts) == 930


@then("a reader that misses the third part stays at the version of the second")
def step_third_part_missed(context):
    reader, _, _ = make_replica(FlakyStore())
    reader.configuration_version, reader.targets_version = 7, 100
    reader.set_following(False)
    for number, part in enumerate(context.parts):
        if number != 2:
            reader.apply_push(part)
    assert reader.targets_version == context.parts[1].version


class _OutdatedReplica:
    """A daemon that does not follow the store and has missed a push."""

    configuration_version = 7
    targets_version = 5
    is_current = True
    follows_store = False


@given(
    "{behind:d} daemons that all missed the same push, and {up_to_date:d} that did not"
)
def step_missed_by_many(context, behind, up_to_date):
    registry = PeerRegistry(PeerSettings(), "north")
    for number in range(behind + up_to_date):
        version = 5 if number < behind else 8
        registry.record_heartbeat(
            heartbeat(f"{number:03d}", number + 1, targets_version=version), 10.0
        )
    context.first_read_counts = {}
    for number in range(behind):
        policy = PeerReadPolicy(registry, random.Random(number))
        assert policy.sources(_OutdatedReplica, 10.0) == []
        first = policy.sources(_OutdatedReplica, 10.4)[0].name
        context.first_read_counts[first] = context.first_read_counts.get(first, 0) + 1


@then("no peer is read first by more than {limit:d} of them")
def step_reads_spread(context, limit):
    assert (
        len(context.first_read_counts) > 5
        and max(context.first_read_counts.values()) <= limit
    ), context.first_read_counts


@given("a daemon whose reads from peers fail")
def step_reads_fail(context):
    registry = PeerRegistry(PeerSettings(alive_s=100.0), "north")
    registry.record_heartbeat(heartbeat("b", 3, targets_version=8), 0.0)
    context.policy = PeerReadPolicy(registry, random.Random(3))


@then("it backs off longer and longer, up to 0.8 s, and reads at once after a success")
def step_backs_off(context):
    now, backoffs_s = 10.0, []
    context.policy.sources(_OutdatedReplica, now)
    for _ in range(8):
        now += 1.3
        assert context.policy.sources(_OutdatedReplica, now)
        context.policy.record_result(False, now)
        backoffs_s.append(_backoff_s(context.policy, now))
    assert backoffs_s[0] < 0.2 < backoffs_s[-1] <= 1.5 * MAX_BACKOFF_S, backoffs_s
    now += 1.3
    context.policy.record_result(True, now)
    assert context.policy.sources(_OutdatedReplica, now)


def _backoff_s(policy, now):
    steps = 0
    while not policy.sources(_OutdatedReplica, now + steps * 0.01):
        steps += 1
    return steps * 0.01
