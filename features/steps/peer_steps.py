"""Steps over the other daemons, as their heartbeats and digests tell of them."""

from behave import given, then, when

from cowslipcourse.entry.settings import PeerSettings
from cowslipcourse.peers import (
    Digest,
    Heartbeat,
    PeerRegistry,
    registration_order,
)
from features.support.knowledge import heartbeat, member


@given("daemons a1 a2 in north and b1 in south, registered in the order b1 a2 a1")
def step_daemons(context):
    context.now = 100.0
    context.sequence = 0
    context.south_alive = True
    context.a2_fit = True
    _hear(context)


def _hear(context):
    """Let a1 hear what the others say now."""
    context.sequence += 1
    context.now += 10.0
    if not hasattr(context, "peers"):
        context.peers = PeerRegistry(PeerSettings(), "north")
    beat = heartbeat("a2", 20, context.a2_fit, sequence=context.sequence)
    context.peers.record_heartbeat(beat, context.now)
    if context.south_alive:
        b1 = member("b1", 10, "south")
        digest = Digest(b1, context.sequence, (b1,), {}, {})
        context.peers.record_digest(digest, context.now)


@when("b1 is silent")
def step_b1(context):
    context.south_alive = False
    _hear(context)


@when("a2 does not reach the store")
def step_a2(context):
    context.a2_fit = False
    _hear(context)


@then("{reporter} reports for north, and {coordinator} coordinates")
def step_roles(context, reporter, coordinator):
    own = heartbeat("a1", 30)
    assert context.peers.reporters(own, context.now) == [reporter]
    assert _eldest(context, own) == coordinator


def _eldest(context, own):
    """Return who keeps the groups of data centres without a reporter."""
    found = context.peers.first_reporter_by_data_centre(own, context.now).values()
    return min(found, key=registration_order).name


@then("{first} keeps the groups of north, and {second} those of south")
def step_keepers(context, first, second):
    found = context.peers.first_reporter_by_data_centre(
        heartbeat("a1", 30), context.now
    )
    own = {place: member.name for place, member in found.items()}
    assert own == {"north": first, "south": second}, own


@then("{name} keeps the groups of north, and of all others without a reporter")
def step_keeps_all(context, name):
    found = context.peers.first_reporter_by_data_centre(
        heartbeat("a1", 30), context.now
    )
    assert {place: m.name for place, m in found.items()} == {"north": name}, found


@then("a2 coordinates")
def step_a2_coordinates(context):
    assert _eldest(context, heartbeat("a1", 30)) == "a2"


@given("a1 in north, and two reporters b1 and b2 in south, registered in the order {_}")
def step_two_reporters(context, _):
    context.now = 100.0
    context.peers = PeerRegistry(PeerSettings(), "north")
    _digest(context, "b1", 10, 1)
    _digest(context, "b2", 50, 1)


def _digest(context, name, registration, sequence):
    reporter = member(name, registration, "south")
    digest = Digest(reporter, sequence, (reporter,), {}, {})
    assert context.peers.record_digest(digest, context.now)


@when("b2 speaks again")
def step_b2(context):
    context.now += 0.2
    _digest(context, "b2", 50, 2)


@when("b1 has been silent for longer than a daemon that lives")
def step_b1_silent(context):
    context.now += PeerSettings().alive_s
    _digest(context, "b2", 50, 3)


@then("{name} coordinates in the view of a1")
def step_view(context, name):
    found = _eldest(context, heartbeat("a1", 30))
    assert found == name, found


@given("a heartbeat of incarnation 2 with sequence 5")
def step_newest(context):
    context.peers = PeerRegistry(PeerSettings(), "north")
    newest = member("b", 1, incarnation=2)
    context.beat = Heartbeat(newest, 5, True, 0, {}, {})
    assert context.peers.record_heartbeat(context.beat, 1.0)


@then("sequence 4 and incarnation 1 are ignored, and incarnation 3 is taken")
def step_ignored(context):
    old = context.beat._replace(sequence=4)
    earlier = context.beat._replace(member=member("b", 1, incarnation=1), sequence=9)
    later = context.beat._replace(member=member("b", 1, incarnation=3), sequence=1)
    taken = [context.peers.record_heartbeat(b, 1.1) for b in (old, earlier, later)]
    assert taken == [False, False, True]


@when("nothing is heard for 10 s")
def step_nothing_heard(context):
    context.now += 10.0


@then("a1 hears nobody and still counts 2 others")
def step_still_counts(context):
    assert not context.peers.local_heartbeats(context.now)
    assert not context.peers.remote_digests(context.now)
    assert context.peers.known_daemon_count(context.now) == 2


@when("it is silent for 2 s and starts again as incarnation 1")
def step_clock_back(context):
    again = context.beat._replace(member=member("b", 1, incarnation=1), sequence=1)
    context.taken = context.peers.record_heartbeat(again, 3.0)


@then("it is heard")
def step_heard(context):
    assert context.taken
