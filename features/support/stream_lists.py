"""Lists of targets and configurations as streams meet them, with named changes."""

from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    GroupMembership,
    GroupState,
    TargetEntry,
)
from cowslipcourse.routes import (
    OPEN_ACCESS,
    CallerLimits,
    KeyedAccess,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)

__all__ = [
    "DEADLINE_S",
    "PLACES",
    "changed_table",
    "listed_changes",
    "route_table",
    "stream_route",
    "target_entry",
]

SERVICE = "s"
DEADLINE_S = 8.0
PLACES = 6
INCARNATION = 3
EPOCH = 5


def target_entry(number):
    """Return the list entry of a target with a group of its own."""
    membership = GroupMembership(f"g{number}", EPOCH, 0, GroupState.OPEN, "m")
    return TargetEntry(
        f"t{number}",
        SERVICE,
        f"127.0.0.1:{number + 1}",
        "x",
        PLACES,
        membership=membership,
        incarnation=INCARNATION,
    )


def listed_changes(entry, change):
    """Return the changed entries and removed ids of a named change of the list."""
    if change == "no entry":
        return (), (entry.id,)
    if change == "another target at its address":
        other = entry._replace(id=f"{entry.id}-other", service="other", membership=None)
        return (other,), (entry.id,)
    group = entry.membership
    earlier_group = group._replace(epoch=EPOCH - 1, state=GroupState.BROKEN)
    changed_entry = {
        "its entry": entry,
        "an earlier group": entry._replace(membership=group._replace(epoch=EPOCH - 1)),
        "a later incarnation": entry._replace(incarnation=INCARNATION + 1),
        "an earlier incarnation": entry._replace(
            incarnation=INCARNATION - 1, membership=None
        ),
        "an earlier incarnation in a broken group": entry._replace(
            incarnation=INCARNATION - 1, membership=earlier_group
        ),
        "no incarnation": entry._replace(incarnation=UNKNOWN_INCARNATION),
        "an earlier group, broken": entry._replace(membership=earlier_group),
        "a later group": entry._replace(membership=group._replace(epoch=EPOCH + 1)),
        "its group as broken": entry._replace(
            membership=group._replace(state=GroupState.BROKEN)
        ),
        "no group": entry._replace(membership=None),
        "it as leaving": entry._replace(is_leaving=True),
    }[change]
    return (changed_entry,), ()


def route_table(version, routes, services=(SERVICE,), access=OPEN_ACCESS):
    """Return a :class:`~cowslipcourse.routes.RouteTable` of some routes."""
    specs = [ServiceSpec(name) for name in services]
    return RouteTable(version, routes, specs, CallerLimits(), access)


def changed_table(route, change):
    """Return the table of a configuration with a named change."""
    if change.startswith("with a time limit of "):
        timeout_s = float(change.split()[-2])
        return route_table(2, (route._replace(timeout_s=timeout_s),))
    moved = route._replace(services=(("other", 1.0),))
    return {
        "with the same content": lambda: route_table(2, (route,)),
        "without any target": lambda: route_table(2, (route,)),
        "without its route": lambda: route_table(2, ()),
        "with its route to another service": lambda: route_table(
            2, (moved,), (SERVICE, "other")
        ),
        "without its service": lambda: route_table(2, (moved,), ("other",)),
        "with one attempt": lambda: route_table(2, (route._replace(max_attempts=1),)),
        "without any key": lambda: route_table(2, (route,), access=KeyedAccess({})),
    }[change]()


def stream_route(is_resumable, max_attempts):
    """Return the :class:`~cowslipcourse.routes.Route` of a stream."""
    return Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        ((SERVICE, 1.0),),
        DEADLINE_S,
        1.0,
        1,
        max_attempts,
        is_resumable=is_resumable,
    )
