"""Steps for routes, keys and headers."""

from behave import given, then, when

from cowslipcourse.exceptions import NotAuthorised, UnknownRoute
from cowslipcourse.platform.headers import parse_caller_headers, target_headers
from cowslipcourse.ports import TargetEntry
from cowslipcourse.routes import (
    OPEN_ACCESS,
    CallerLimits,
    KeyedAccess,
    RequestKind,
    Route,
    RouteTable,
    Workspace,
)


def _route(host, prefix, is_public=False):
    return Route(
        prefix, host, prefix, RequestKind.IDEMPOTENT, (("s", 1.0),), 5.0, 1.0, 1, 2,
        is_public,
    )  # fmt: skip


def _table(routes, access=OPEN_ACCESS):
    return RouteTable(1, routes, (), CallerLimits(), access)


@given("routes for north /a/ and /a/b/ and for south /a/")
def step_routes(context):
    hosts_and_prefixes = (("north", "/a/"), ("north", "/a/b/"), ("south", "/a/"))
    context.route_table = _table(
        [_route(*host_and_prefix) for host_and_prefix in hosts_and_prefixes]
    )


@then("north /a/b/c goes to /a/b/ and north /a/x to /a/")
def step_longest_prefix(context):
    assert context.route_table.find("north", "/a/b/c").prefix == "/a/b/"
    assert context.route_table.find("north", "/a/x").prefix == "/a/"


@then("north /x and west /a/x are unknown")
def step_unknown_routes(context):
    for host, path in (("north", "/x"), ("west", "/a/x")):
        try:
            context.route_table.find(host, path)
        except UnknownRoute:
            continue
        raise AssertionError((host, path))


@given("a route that needs a key and a public one, and the key k1")
def step_keys(context):
    context.routes = _route("h", "/a/"), _route("h", "/b/", is_public=True)
    context.route_table = _table(
        context.routes, KeyedAccess({"k1": Workspace("north")})
    )


@then("k1 opens the first, k2 does not, and the public one needs none")
def step_key_access(context):
    private, public = context.routes
    assert context.route_table.workspace(private, "k1").name == "north"
    assert context.route_table.workspace(public, None) is None
    try:
        context.route_table.workspace(private, "k2")
    except NotAuthorised:
        return
    raise AssertionError("k2 was accepted")


@when("a caller sends its key, a workspace, an instance and a connection header")
def step_headers(context):
    context.headers = (
        (b"host", b"h"),
        (b"authorization", b"Bearer k1"),
        (b"x-tenant", b"forged"),
        (b"x-expect-instance", b"forged"),
        (b"x-time-budget-ms", b"9000"),
        (b"connection", b"keep-alive, x-own"),
        (b"x-own", b"1"),
        (b"x-attempt-id", b"a1"),
    )


@then(
    "the target gets the workspace of the key, its own instance and the remaining time"
)
def step_target_headers(context):
    caller_headers = parse_caller_headers(context.headers)
    assert (caller_headers.key, caller_headers.time_budget_s) == ("k1", 9.0)
    entry = TargetEntry("i-1", "s", "a:1", "dc", 1)
    forwarded_headers = dict(target_headers(context.headers, entry, 2.5, 3, "north"))
    assert forwarded_headers == {
        b"host": b"h",
        b"x-attempt-id": b"a1",
        b"x-tenant": b"north",
        b"x-expect-instance": b"i-1",
        b"x-time-budget-ms": b"2500",
        b"x-request-priority": b"3",
    }, forwarded_headers
