"""Damaged input for the decoders, and checks of the types of decoded values."""

import ipaddress
import json

import msgspec
from hypothesis import strategies as st

from cowslipcourse.exceptions import ConfigurationError, MalformedResponse
from cowslipcourse.group_plans import PlannedGroup, decode_plan, encode_plan
from cowslipcourse.peer_protocol import (
    EvacuatedSet,
    Heartbeat,
    Member,
    PeerState,
    Registration,
    TargetChanges,
    decode,
    decode_registration,
    decode_state,
    encode_registration,
)
from cowslipcourse.peer_protocol.compression import pack
from cowslipcourse.platform import decode_configuration, decode_entry
from cowslipcourse.platform.entries import decode_report
from cowslipcourse.platform.store import decode_rows
from cowslipcourse.ports import GroupState, TargetEntry
from features.support.wire import entry_fields

__all__ = ["DECODERS", "REFUSALS", "damaged", "lenient_entry"]

DAMAGED_PART_COUNTS = (0, 0, 1, 1, 1, 2, 3)
"""Numbers of damaged parts to sample from; 0 draws a valid value."""

_scalars = (
    st.none()
    | st.booleans()
    | st.integers(-5, 1 << 70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(["10.0.0.1", "10.0.0.1:0", ":1", "999.1.1.1:80", "ready", "open"])
)
_values = st.recursive(
    _scalars,
    lambda item: (
        st.lists(item, max_size=3)
        | st.dictionaries(st.text(max_size=6), item, max_size=3)
    ),
    max_leaves=5,
)


def _paths(value, path=()):
    """Yield the paths to all parts of a JSON value, itself included."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        yield from _paths(item, (*path, key))


@st.composite
def damaged(draw, valid):
    """Draw a JSON value: a valid one with up to three parts removed or replaced.

    :param valid: JSON value.
    """
    value = json.loads(json.dumps(valid))
    for _ in range(draw(st.sampled_from(DAMAGED_PART_COUNTS))):
        path = draw(st.sampled_from(list(_paths(value))))
        if not path:
            return draw(_values)
        container = value
        for key in path[:-1]:
            container = container[key]
        if draw(st.booleans()) and isinstance(container, dict):
            del container[path[-1]]
        else:
            container[path[-1]] = draw(_values)
    return value


def _is_valid_address(text):
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    return 0 < int(port) < 100_000


def _check_entry(entry):
    texts = (entry.service, entry.data_centre, entry.domain, *entry.staged)
    assert all(isinstance(text, str) for text in texts)
    assert entry.service and entry.data_centre and _is_valid_address(entry.address)
    assert type(entry.slots) is int and entry.slots >= 1
    assert type(entry.incarnation) is int and entry.incarnation >= 0
    _check_membership(entry.membership)
    hash(entry)


def _check_membership(membership):
    if membership is None:
        return
    assert (
        isinstance(membership.group, str)
        and membership.group
        and isinstance(membership.model, str)
    )
    assert type(membership.epoch) is int and type(membership.rank) is int
    assert membership.epoch >= 0 and membership.rank >= 0
    assert isinstance(membership.state, GroupState)


def _check_report(report):
    assert type(report.order_count) is int and report.order_count >= 0
    assert type(report.incarnation) is int and report.incarnation >= 0
    assert isinstance(report.pace, float) and report.pace > 0
    _check_membership(report.membership)
    hash(report)


def _check_configuration(decoded):
    table = decoded.table
    assert type(table.version) is int
    for service in table.services.values():
        assert isinstance(service.name, str) and service.loads_per_s > 0
        assert all(type(m.size) is int and m.size >= 1 for m in service.models)
    assert all(isinstance(problem.message, str) for problem in decoded.problems)


def _check_plan(plan):
    for group in plan.groups:
        assert group.members and all(isinstance(m, str) for m in group.members)
        assert type(group.epoch) is int and group.head in group.members
        assert isinstance(group.is_retired, bool)


def _check_member(member):
    assert _is_valid_address(member.peer_address) and _is_valid_address(
        member.front_address
    )
    assert (
        isinstance(member.is_ready, bool) and type(member.registration_version) is int
    )


def _check_heartbeat(message):
    _check_member(message.member)
    assert all(type(number) is int for number in message.in_flight.values())
    assert all(type(epoch) is int for epoch in message.suspects.values())


def _check_changes(message):
    assert type(message.base_version) is int and type(message.version) is int
    assert all(isinstance(content, bytes) for content in message.changed.values())


def _check_evacuated(message):
    assert type(message.version) is int and 0 <= message.age_s <= 1e6
    assert all(isinstance(name, str) for name in message.data_centres)


def _check_state(state):
    assert state.configuration is None or isinstance(state.configuration, bytes)
    assert all(isinstance(content, bytes) for content in state.targets.values())


def _check_rows(rows):
    assert all(isinstance(row.key, str) for row in rows.rows)
    assert all(isinstance(row.value, bytes) for row in rows.rows)
    assert type(rows.version) is int


_MEMBER = Member("a", 5, 7, "10.0.0.1:8229", "10.0.0.1:8227", "north", True, 3)
_HEARTBEAT = Heartbeat(_MEMBER, 9, True, 40, {"i-1": 2}, {"i-2": 8})
_CHANGES = TargetChanges(3, 5, {"i-1": b"{}"}, ("i-2",))
_EVACUATED = EvacuatedSet(7, ("north",), 0.5)
_STATE = PeerState(b"{}", 5, {"i-1": b"{}"})
_GROUP = PlannedGroup("g1", "large", 4, ("i-1", "i-2"), False, (11, 12))
_ENTRY = entry_fields(
    domain="d1",
    staged=["large"],
    models=[{"name": "large", "version": 1, "adapters": []}],
    group={"name": "g1", "epoch": 4, "rank": 0, "state": "open"},
)
_REPORT = {
    "sequence": 3,
    "born": 11,
    "staged": ["large"],
    "models": [{"name": "large"}],
    "group": {"name": "g1", "epoch": 4, "rank": 1, "state": "ready"},
    "inFlight": 2,
    "waiting": 1,
    "pace": 1.5,
}
_ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 8000,
    "service": "s",
}
_ENGINE = {
    "slots": 13,
    "loadsPerS": 4.5,
    "models": [{"name": "large", "size": 4, "share": 0.5}],
}
_CONFIGURATION = {
    "version": 3,
    "routes": [_ROUTE, {**_ROUTE, "prefix": "/b/"}],
    "services": [{"name": "s", "engine": _ENGINE}, {"name": "p"}],
    "tenants": [{"name": "w", "apiKeys": ["k"]}],
    "limits": {"maxBodyBytes": 100},
}
_ROWS = {
    "rows": [{"table": "t", "key": "k", "value": "e30=", "ver": 4}],
    "ver": 9,
    "hasMore": False,
}


def _limit_ints(value):
    """Return a JSON value without integers that MessagePack cannot hold."""
    if isinstance(value, int) and not isinstance(value, bool):
        return min(value, (1 << 63) - 1)
    if isinstance(value, list):
        return [_limit_ints(item) for item in value]
    if isinstance(value, dict):
        return {key: _limit_ints(item) for key, item in value.items()}
    return value


def _encode_json(value):
    return json.dumps(value).encode()


def _message_to_json(message):
    """Return the JSON value of a message; bytes become texts, which are refused."""
    return json.loads(msgspec.json.encode(message))


DECODERS = {
    "list entry": (
        _ENTRY,
        lambda value: decode_entry("i-1", _encode_json(value)),
        _check_entry,
    ),
    "report": (
        _REPORT,
        lambda value: decode_report(_encode_json(value)),
        _check_report,
    ),
    "configuration": (
        _CONFIGURATION,
        lambda value: decode_configuration(_encode_json(value)),
        _check_configuration,
    ),
    "domain plan": (
        json.loads(encode_plan((_GROUP,), 3)),
        lambda value: decode_plan("d", _encode_json(value), 3),
        _check_plan,
    ),
    "registration": (
        json.loads(encode_registration(Registration("10.0.0.1:8229", "north"))),
        lambda value: decode_registration(_encode_json(value)),
        lambda decoded: _is_valid_address(decoded.peer_address),
    ),
    "heartbeat": (
        _message_to_json(_HEARTBEAT),
        lambda value: decode(pack(b"H" + msgspec.msgpack.encode(_limit_ints(value)))),
        _check_heartbeat,
    ),
    "target changes": (
        _message_to_json(_CHANGES._replace(changed={})),
        lambda value: decode(pack(b"T" + msgspec.msgpack.encode(_limit_ints(value)))),
        _check_changes,
    ),
    "evacuated set": (
        _message_to_json(_EVACUATED),
        lambda value: decode(pack(b"E" + msgspec.msgpack.encode(_limit_ints(value)))),
        _check_evacuated,
    ),
    "peer state": (
        _message_to_json(_STATE._replace(configuration=None, targets={})),
        lambda value: decode_state(pack(msgspec.msgpack.encode(_limit_ints(value)))),
        _check_state,
    ),
    "store rows": (
        _ROWS,
        lambda value: decode_rows(_encode_json(value), 0),
        _check_rows,
    ),
}
"""Valid value, decoder and type check by kind of input."""

REFUSALS = (MalformedResponse, ConfigurationError)


def lenient_entry(value):
    """Decode an entry without type checks: the type checks here must find that."""
    try:
        return TargetEntry(
            id="i-1",
            service=value["service"],
            address=value["address"],
            data_centre=value["zone"],
            slots=int(value.get("slots") or 1),
            is_leaving=value.get("state") != "ready",
            incarnation=value.get("born", 1),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedResponse(repr(error)) from error
