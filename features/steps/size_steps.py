"""Steps over what daemons tell each other on a large site."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from cowslipcourse.emulator.clock import run_paused
from cowslipcourse.entry import roles
from cowslipcourse.entry.peer_reading import MAX_BACKOFF_S, PeerReadPolicy
from cowslipcourse.entry.settings import PeerSettings
from cowslipcourse.exceptions import MalformedResponse
from cowslipcourse.peers import (
    Digest,
    PeerRegistry,
    TargetChanges,
    decode_state,
    encode,
    split_changes,
)
from cowslipcourse.peers.packing import pack, unpack
from cowslipcourse.ports import RowChanges, StoredRow
from features.support.daemon_network import DaemonNetwork, NetworkShape
from features.support.knowledge import (
    FlakyStore,
    heartbeat,
    make_replica,
    member,
)
from features.support.wire import entry_content

LOOK_S = 0.05
STEPS = 300
"""Changes in a random run."""


def _entry(number, state="ready"):
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


def _id(number):
    return f"i-{number * 0x1234567 % (1 << 40):010x}"


# Bytes a second.


@when("{places:d} data centres of {daemons:d} daemons talk for {seconds:d} s")
def step_tell(context, places, daemons, seconds):
    context.network = DaemonNetwork(NetworkShape(places, daemons))
    context.sent = run_paused(context.network.run(seconds / 2))


@when(
    "{places:d} data centres of {daemons:d} daemons talk for {seconds:d} s, "
    "losing {lost:d} in 100 datagrams"
)
def step_tell_lossy(context, places, daemons, seconds, lost):
    context.network = DaemonNetwork(NetworkShape(places, daemons, loss_rate=lost / 100))

    async def run():
        await context.network.run(seconds / 2)
        now = asyncio.get_running_loop().time()
        context.ready = [
            len(daemon.registry.ready_members(daemon.member.name, now))
            for daemon in context.network.daemons
        ]

    run_paused(run())


@then("no daemon sends more than {most:d} KB/s")
def step_most(context, most):
    assert max(context.sent) <= most * 1000, max(context.sent)


@then("8 in 10 send no more than {most:d} KB/s")
def step_usual(context, most):
    usual = sorted(context.sent)[len(context.sent) * 8 // 10]
    assert usual <= most * 1000, usual


@then("each daemon would send callers to every other one")
def step_all_known(context):
    others = len(context.network.daemons) - 1
    assert context.ready == [others] * (others + 1), context.ready


@when(
    "195 daemons of 5 data centres start within {within:d} s, "
    "losing {lost:d} in 100 datagrams"
)
def step_start(context, within, lost):
    network = DaemonNetwork(NetworkShape(5, 39, loss_rate=lost / 100))
    context.roles = run_paused(network.start_all(within, 4))


@when(
    "{places:d} data centres of {daemons:d} daemons start, and those that read the "
    "store go silent after {seconds:d} s"
)
def step_followers_go(context, places, daemons, seconds):
    network = DaemonNetwork(NetworkShape(places, daemons))
    context.followers = []

    async def go():
        context.followers.append(network.followers())
        network.end([n for names in network.followers().values() for n in names])
        await asyncio.sleep(1.0)
        context.followers.append(network.followers())

    run_paused(network.start_all(0.5, seconds, go))


@then(
    "one daemon of each data centre reads the store after {first:d} s, and after "
    "{second:d} s another one"
)
def step_one_follows(context, first, second):
    before, after = context.followers
    for place in ("hall-0", "hall-1", "hall-2"):
        assert len(before[place]) == 1 and len(after[place]) == 1, context.followers
        assert before[place] != after[place], context.followers


@when("they start, losing {lost:d} in 100, and take roles once registered")
def step_start_early(context, lost):
    network = DaemonNetwork(NetworkShape(5, 39, loss_rate=lost / 100))
    with (
        mock.patch.object(roles, "is_settled", lambda at, now: at is not None),
        mock.patch.object(PeerRegistry, "is_unknown", lambda self, member: False),
    ):
        context.roles = run_paused(network.start_all(1, 2))


@then("no data centre ever has more than {most:d} reporters, and 2 from {at:d} s on")
def step_few_reporters(context, most, at):
    for seconds, reporters, _ in context.roles:
        assert max(reporters.values(), default=0) <= most, (seconds, reporters)
        if seconds >= at:
            assert sorted(reporters.values()) == [2] * 5, (seconds, reporters)


@then(
    "at most {most:d} daemons keep the groups of one data centre, and 1 from {at:d} s "
    "on"
)
def step_few_keepers(context, most, at):
    numbers = [(seconds, number) for seconds, _, number in context.roles]
    assert all(number <= most for _, number in numbers), numbers
    assert all(number == 1 for seconds, number in numbers if seconds >= at), numbers


@when(
    "{places:d} data centres of {daemons:d} daemons start, and one data centre goes "
    "silent after {seconds:d} s"
)
def step_place_goes(context, places, daemons, seconds):
    network = DaemonNetwork(NetworkShape(places, daemons))
    context.keepers = []

    async def go():
        context.keepers.append(network.keepers())
        network.end([d.settings.name for d in network.daemons[:daemons]])
        await asyncio.sleep(1.5)
        context.keepers.append(network.keepers())

    run_paused(network.start_all(0.5, seconds, go))


@then("each data centre's groups are kept by one of its own daemons after {_:d} s")
def step_own_keepers(context, _):
    for place, keepers in context.keepers[0].items():
        number = place.removeprefix("hall-")
        assert len(keepers) == 1, context.keepers[0]
        assert keepers[0].startswith(f"front-hall-{number}-"), context.keepers[0]


@then("those of the silent one by one daemon elsewhere {_:f} s later")
def step_kept_elsewhere(context, _):
    keepers = context.keepers[1]
    assert [len(names) for names in keepers.values()] == [1, 1, 1], keepers
    assert not keepers["hall-0"][0].startswith("front-hall-0-"), keepers


@then("some data centre has more than {most:d} reporters")
def step_many_reporters(context, most):
    found = max(max(r.values(), default=0) for _, r, _ in context.roles)
    assert found > most, found


@when(
    "one daemon of {places:d} data centres of {daemons:d} gets {number:d} requests in "
    "flight at a target"
)
def step_burst(context, places, daemons, number):
    network = DaemonNetwork(NetworkShape(places, daemons))
    context.known = {}

    async def watch():
        network.daemons[5].burst = {"i-burst": number}
        for step in range(30):
            await asyncio.sleep(LOOK_S)
            for daemon in network.daemons[:5] + network.daemons[6:]:
                if daemon.registry.in_flight.get("i-burst", 0) >= number:
                    name = daemon.settings.name
                    context.known.setdefault(name, (step + 1) * LOOK_S)

    run_paused(network.run(2.0, watch))
    context.network = network


@then(
    "all daemons of its data centre know within {near:f} s, and all others within "
    "{far:f} s"
)
def step_burst_known(context, near, far):
    places = {d.settings.name: d.settings.data_centre for d in context.network.daemons}
    assert len(context.known) == len(places) - 1, len(context.known)
    for name, seconds in context.known.items():
        most = near if places[name] == "hall-0" else far
        assert seconds <= most + LOOK_S / 2, (name, seconds)


@when("{number:d} daemons of {places:d} data centres of {daemons:d} go silent")
def step_go_silent(context, number, places, daemons):
    network = DaemonNetwork(NetworkShape(places, daemons))
    context.ready = {}

    async def watch():
        each = len(network.daemons) // number
        gone = {daemon.settings.name for daemon in network.daemons[::each]}
        network.end(gone)
        await asyncio.sleep(1.5)
        now = asyncio.get_running_loop().time()
        for daemon in network.daemons:
            if not daemon.is_down:
                ready = daemon.registry.ready_members(daemon.settings.name, now)
                context.ready[daemon.settings.name] = {m.name for m in ready}
        context.live = {d.settings.name for d in network.daemons if not d.is_down}

    run_paused(network.run(2.0, watch))


@then(
    "no daemon sends callers to them {_:f} s later, and all send callers to all others"
)
def step_ready_lists(context, _):
    for name, ready in context.ready.items():
        assert ready == context.live - {name}, (name, ready ^ context.live)


@given("a daemon that has heard others' heartbeats and a digest without members")
def step_no_members(context):
    context.registry = PeerRegistry(PeerSettings(), "north")
    for number in range(9):
        context.registry.record_heartbeat(heartbeat(f"d{number}", 20 + number), 50.0)
    digest = Digest(member("d0", 20), 7, None, {"i-1": 2}, {})
    context.registry.record_digest(digest, 50.0)


@then("it sends callers to those that it has heard")
def step_by_heartbeats(context):
    assert len(context.registry.ready_members("own", 50.1)) == 9


@given("two reporters r1 and r2 of a large data centre, registered in this order")
def step_reporters(context):
    context.now = 50.0
    context.views = {name: PeerRegistry(PeerSettings(), "north") for name in "12"}
    for registry in context.views.values():
        for number in range(9):
            beat = heartbeat(f"d{number}", 20 + number)
            registry.record_heartbeat(beat._replace(interval_s=2.0), context.now)


def _hear(context, names):
    for own, registry in context.views.items():
        for name in names:
            if name != own:
                beat = heartbeat(f"r{name}", int(name), sequence=int(context.now * 10))
                registry.record_heartbeat(beat, context.now)


@when("both have just been heard")
def step_both_heard(context):
    _hear(context, "12")


@when("r1 has been silent for {seconds:f} s")
def step_first_silent(context, seconds):
    context.now += seconds
    _hear(context, "2")


def _speaks(context, name):
    own = heartbeat(f"r{name}", int(name))
    return context.views[name].is_active_reporter(own, context.now)


@then("r1 speaks for the data centre in the view of both")
def step_first_speaks(context):
    assert _speaks(context, "1") and not _speaks(context, "2")


@then("r2 speaks for the data centre in the view of r2")
def step_second_speaks(context):
    assert _speaks(context, "2")


# Reads of peers.


def _known(contents, version):
    knowledge, registry, listener = make_replica(FlakyStore())
    rows = tuple(StoredRow(key, value, version) for key, value in contents.items())
    run_paused(_read_all(knowledge, RowChanges(rows, version)))
    return knowledge, registry, listener


async def _read_all(knowledge, changes):
    knowledge._on_target_snapshot(changes)


@given("the list of a site of {number:d} targets")
def step_list(context, number):
    contents = {_id(n): _entry(n) for n in range(number)}
    context.knowledge, _, _ = _known(contents, 5000)


@then("a peer reads it in less than {most:d} KB, and a second one gets the same bytes")
def step_packed(context, most):
    first, second = (context.knowledge.encoded_state(0, 0) for _ in range(2))
    assert first is second and len(first) < most * 1000, len(first)
    assert len(decode_state(first).targets) == 930


@then("bytes that are cut short or are no packed ones raise the typed error")
def step_damaged(context):
    packed = pack(b"abc" * 1000)
    assert unpack(packed) == b"abc" * 1000 and unpack(pack(b"short")) == b"short"
    for bad in (packed[:-8], packed[:1], b"", b"Zabc", b"?" + packed[1:]):
        try:
            unpack(bad)
        except MalformedResponse:
            continue
        raise AssertionError(bad)


@given("a list that changes at random, seed {seed:d}, and a reader that misses pushes")
def step_random_list(context, seed):
    rng = random.Random(seed)
    source, _, source_listener = make_replica(FlakyStore())
    reader, _, _ = make_replica(FlakyStore())
    reader.configuration_version, reader._follows_store = 7, False
    source_listener.push_changes = reader.apply_push
    context.differ, context.whole = [], 0

    async def run():
        rows = tuple(StoredRow(_id(n), _entry(n), 1) for n in range(40))
        source._on_target_snapshot(RowChanges(rows, 1))
        # Entries that go are not held back.
        source._recovered_at = 0.0
        for version in range(2, STEPS):
            _change(rng, source, version)
            if rng.random() < 0.2:
                _read(context, source, reader)
            context.differ += _differences(source, reader)

    run_paused(run())


def _change(rng, source, version):
    """Let the source see a change, whose push the reader gets at times."""
    numbers = rng.sample(range(60), rng.randint(1, 4))
    rows = tuple(
        StoredRow(_id(n), b"", version, deleted=True)
        if rng.random() < 0.3
        else StoredRow(_id(n), _entry(n + 1000 * version), version)
        for n in numbers
    )
    changes = RowChanges(rows, version + 1)
    push = source._listener.push_changes
    if rng.random() < 0.1:
        # Entries that were held back go without a newer version.
        source._held_until = {_id(rng.randrange(60)): 0.0}
        source._remove_expired_held(1.0)
        return
    if rng.random() < 0.4:
        source._listener.push_changes = lambda message: None
    source._on_target_changes(source.targets_version, changes)
    source._listener.push_changes = push


def _read(context, source, reader):
    state = decode_state(
        source.encoded_state(reader.configuration_version, reader.targets_version)
    )
    context.whole += state.base_version is None
    reader._apply_peer_state(state)


def _differences(source, reader):
    if reader.targets_version != source.targets_version:
        return []
    theirs, ours = source._target_list.contents, reader._target_list.contents
    return [key for key in theirs | ours if theirs.get(key) != ours.get(key)]


@then("the reader never differs at the same version, and reads one whole list at most")
def step_same(context):
    assert not context.differ, context.differ[:3]
    assert context.whole <= 1, context.whole


@given("changes of {number:d} entries at versions of their own")
def step_many_changes(context, number):
    changed = {_id(n): _entry(n) for n in range(number)}
    context.versions = {_id(n): 101 + n for n in range(number)}
    changes = TargetChanges(100, 101 + number, changed, ())
    context.parts = split_changes(changes, context.versions)


@then("they are pushed in parts that follow on each other, of {most:d} KB at most")
def step_parts(context, most):
    assert context.parts[0].base_version == 100 and context.parts[-1].version == 1031
    for first, second in zip(context.parts, context.parts[1:], strict=False):
        assert second.base_version == first.version
    lengths = [len(encode(part)) for part in context.parts]
    assert max(lengths) <= most * 1000, lengths
    assert sum(len(part.changed) for part in context.parts) == 930


@then("a reader that misses the third part stands at the version of the second")
def step_missed(context):
    reader, _, _ = make_replica(FlakyStore())
    reader.configuration_version, reader.targets_version = 7, 100
    reader.set_following(False)
    for number, part in enumerate(context.parts):
        if number != 2:
            reader.apply_push(part)
    assert reader.targets_version == context.parts[1].version


class _Behind:
    """A daemon that rests and has missed a push."""

    configuration_version = 7
    targets_version = 5
    is_current = True
    follows_store = False


@given("{behind:d} daemons that all missed the same push, and {rest:d} that did not")
def step_missed_by_many(context, behind, rest):
    registry = PeerRegistry(PeerSettings(), "north")
    for number in range(behind + rest):
        version = 5 if number < behind else 8
        registry.record_heartbeat(
            heartbeat(f"{number:03d}", number + 1, targets_version=version), 10.0
        )
    context.first = {}
    for number in range(behind):
        reading = PeerReadPolicy(registry, random.Random(number))
        assert reading.sources(_Behind, 10.0) == []
        first = reading.sources(_Behind, 10.4)[0].name
        context.first[first] = context.first.get(first, 0) + 1


@then("no peer is read first by more than {most:d} of them")
def step_spread(context, most):
    assert len(context.first) > 5 and max(context.first.values()) <= most, context.first


@given("a daemon whose reads of peers fail")
def step_failing(context):
    registry = PeerRegistry(PeerSettings(alive_s=100.0), "north")
    registry.record_heartbeat(heartbeat("b", 3, targets_version=8), 0.0)
    context.reading = PeerReadPolicy(registry, random.Random(3))


@then("it pauses longer and longer, up to 0.8 s, and goes on at once after a success")
def step_pauses(context):
    now, pauses = 10.0, []
    context.reading.sources(_Behind, now)
    for _ in range(8):
        now += 1.3
        assert context.reading.sources(_Behind, now)
        context.reading.record_result(False, now)
        pauses.append(_pause_s(context.reading, now))
    assert pauses[0] < 0.2 < pauses[-1] <= 1.5 * MAX_BACKOFF_S, pauses
    now += 1.3
    context.reading.record_result(True, now)
    assert context.reading.sources(_Behind, now)


def _pause_s(reading, now):
    steps = 0
    while not reading.sources(_Behind, now + steps * 0.01):
        steps += 1
    return steps * 0.01
