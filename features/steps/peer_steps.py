"""Steps for the registry of peers, from heartbeats and digests."""

from behave import given, then, when

from cowslipcourse.entry.settings import PeerSettings
from cowslipcourse.peer_protocol import (
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
    context.is_b1_alive = True
    context.is_a2_healthy = True
    _receive_messages(context)


def _receive_messages(context):
    """Let a1 receive current messages of the other daemons."""
    context.sequence += 1
    context.now += 10.0
    if not hasattr(context, "registry"):
        context.registry = PeerRegistry(PeerSettings(), "north")
    a2_heartbeat = heartbeat("a2", 20, context.is_a2_healthy, sequence=context.sequence)
    context.registry.record_heartbeat(a2_heartbeat, context.now)
    if context.is_b1_alive:
        b1 = member("b1", 10, "south")
        digest = Digest(b1, context.sequence, (b1,), {}, {})
        context.registry.record_digest(digest, context.now)


@when("b1 is silent")
def step_b1_silent(context):
    context.is_b1_alive = False
    _receive_messages(context)


@when("a2 cannot reach the store")
def step_a2_unhealthy(context):
    context.is_a2_healthy = False
    _receive_messages(context)


@then("{reporter} reports for north, and {coordinator} coordinates")
def step_roles(context, reporter, coordinator):
    own_heartbeat = heartbeat("a1", 30)
    assert context.registry.reporter_names(own_heartbeat, context.now) == [reporter]
    assert _global_coordinator(context, own_heartbeat) == coordinator


def _global_coordinator(context, own_heartbeat):
    """Return who coordinates the groups of data centres without a reporter."""
    reporters = context.registry.first_reporter_by_data_centre(
        own_heartbeat, context.now
    ).values()
    return min(reporters, key=registration_order).name


@then("{first} coordinates the groups of north, and {second} those of south")
def step_coordinators(context, first, second):
    reporters = context.registry.first_reporter_by_data_centre(
        heartbeat("a1", 30), context.now
    )
    coordinators = {
        data_centre: member.name for data_centre, member in reporters.items()
    }
    assert coordinators == {"north": first, "south": second}, coordinators


@then("{name} coordinates the groups of north, and of all others without a reporter")
def step_coordinates_all(context, name):
    reporters = context.registry.first_reporter_by_data_centre(
        heartbeat("a1", 30), context.now
    )
    assert {data_centre: m.name for data_centre, m in reporters.items()} == {
        "north": name
    }, reporters


@then("a2 coordinates")
def step_a2_coordinates(context):
    assert _global_coordinator(context, heartbeat("a1", 30)) == "a2"


@given("a1 in north, and two reporters b1 and b2 in south, registered in the order {_}")
def step_two_reporters(context, _):
    context.now = 100.0
    context.registry = PeerRegistry(PeerSettings(), "north")
    _receive_digest(context, "b1", 10, 1)
    _receive_digest(context, "b2", 50, 1)


def _receive_digest(context, name, registration, sequence):
    reporter = member(name, registration, "south")
    digest = Digest(reporter, sequence, (reporter,), {}, {})
    assert context.registry.record_digest(digest, context.now)


@when("b2 sends another digest")
def step_b2_digest(context):
    context.now += 0.2
    _receive_digest(context, "b2", 50, 2)


@when("b1 has been silent for longer than the liveness time-out")
def step_b1_timed_out(context):
    context.now += PeerSettings().alive_s
    _receive_digest(context, "b2", 50, 3)


@then("{name} coordinates in the view of a1")
def step_coordinator_in_view(context, name):
    coordinator = _global_coordinator(context, heartbeat("a1", 30))
    assert coordinator == name, coordinator


@given("a heartbeat of incarnation 2 with sequence 5")
def step_newest_heartbeat(context):
    context.registry = PeerRegistry(PeerSettings(), "north")
    newest = member("b", 1, incarnation=2)
    context.heartbeat = Heartbeat(newest, 5, True, 0, {}, {})
    assert context.registry.record_heartbeat(context.heartbeat, 1.0)


@then("sequence 4 and incarnation 1 are ignored, and incarnation 3 is accepted")
def step_outdated_ignored(context):
    outdated = context.heartbeat._replace(sequence=4)
    earlier_incarnation = context.heartbeat._replace(
        member=member("b", 1, incarnation=1), sequence=9
    )
    later_incarnation = context.heartbeat._replace(
        member=member("b", 1, incarnation=3), sequence=1
    )
    accepted = [
        context.registry.record_heartbeat(message, 1.1)
        for message in (outdated, earlier_incarnation, later_incarnation)
    ]
    assert accepted == [False, False, True]


@when("nothing is received for 10 s")
def step_nothing_received(context):
    context.now += 10.0


@then("a1 hears no daemon and still counts 2 others")
def step_still_counts(context):
    assert not context.registry.local_heartbeats(context.now)
    assert not context.registry.remote_digests(context.now)
    assert context.registry.known_daemon_count(context.now) == 2


@when("it is silent for 2 s and restarts as incarnation 1")
def step_restart_after_clock_jump(context):
    restarted = context.heartbeat._replace(
        member=member("b", 1, incarnation=1), sequence=1
    )
    context.accepted = context.registry.record_heartbeat(restarted, 3.0)


@then("its heartbeat is accepted")
def step_heartbeat_accepted(context):
    assert context.accepted
