"""Steps for configurations with empty and unreadable parts."""

import asyncio
import itertools
import json

import aiohttp
from behave import given, then, when

from cowslipcourse.exceptions import BadRequest, RequestError
from cowslipcourse.platform import decode_configuration
from cowslipcourse.platform.headers import parse_caller_headers
from features.support.platform_site import HOST, KEY, WITHOUT_TENANTS

APPLY_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.1
UNKNOWN_KEY = "never-known"
NORTH = {"name": "north", "apiKeys": ["k1"]}
WORKSPACES = {
    "none": [],
    "one without keys": [{"name": "north", "apiKeys": []}],
    "one with no list": [{"name": "north"}],
    "one with an empty key": [{"name": "north", "apiKeys": [""]}],
    "north with k1": [NORTH],
    "a number": 7,
    "null": None,
    "a table": {"north": ["k1"]},
    "one with a number as keys": [{"name": "north", "apiKeys": 7}],
    "north and a broken one": [NORTH, {"name": "south", "apiKeys": 7}],
}
KEYS = {"no key": None, "empty key": "", "key k1": "k1", "key k2": "k2"}
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeoutMs": 1000,
    "service": "s",
}
FAULTS = {
    "a time-out that is a text": {"timeoutMs": "soon"},
    "no service": {"service": None},
    "back ends of no weight": {
        "service": None,
        "backends": [{"service": "s", "weight": 0}],
    },
}
_attempt_numbers = itertools.count(1)


def _decode(**parts):
    content = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}], **parts}
    return decode_configuration(json.dumps(content).encode())


def _status_of(action):
    """Return the result of an action, or the status of the error that it raises."""
    try:
        return action()
    except RequestError as error:
        return error.status


@given("a configuration whose workspaces are {workspaces}")
def step_workspaces(context, workspaces):
    public = {**ROUTE, "prefix": "/b/", "public": True}
    parts = {"routes": [ROUTE, public]}
    if workspaces != "not declared":
        parts["tenants"] = WORKSPACES[workspaces]
    context.route_table = _decode(**parts).table


def _check_access(context, key, path, expected):
    table = context.route_table
    found = _status_of(lambda: table.workspace(table.find("h", path), KEYS[key]))
    found = "no workspace" if found is None else str(getattr(found, "name", found))
    assert found == expected, found


@then("a request with {key} to a route that needs a key gets {expected}")
def step_private(context, key, expected):
    _check_access(context, key, "/a/x", expected)


@then("a request with {key} to a public route gets {expected}")
def step_public(context, key, expected):
    _check_access(context, key, "/b/x", expected)


@given("a configuration with a route for /a/ and one for /a/b/ with {fault}")
def step_faulty_route(context, fault):
    faulty = {**ROUTE, "name": "faulty", "prefix": "/a/b/", **FAULTS[fault]}
    context.decoded = _decode(routes=[ROUTE, faulty])


@then("a request for /a/b/x gets {status:d}")
def step_faulty_status(context, status):
    found = _status_of(lambda: context.decoded.table.find("h", "/a/b/x"))
    assert found == status, found


@then("a request for /a/x is routed")
def step_routed(context):
    assert context.decoded.table.find("h", "/a/x").name == "r"


@then("the faulty route is reported")
def step_reported(context):
    (problem,) = context.decoded.problems
    assert "route 1" in str(problem), problem


@given(
    "a configuration with a service s and one whose limit for cold targets is a text"
)
def step_faulty_service(context):
    services = [{"name": "s"}, {"name": "t", "coldPerS": "few"}]
    context.route_table = _decode(services=services).table


@then("requests to s are sent, and those to the other one get 503")
def step_services(context):
    assert _status_of(lambda: context.route_table.check_service("s")) is None
    assert _status_of(lambda: context.route_table.check_service("t")) == 503


@then("requests with the time budgets {budgets} get 400")
def step_budgets(context, budgets):
    for budget in budgets.replace(" and ", ", ").split(", "):
        headers = ((b"x-time-budget-ms", budget.encode()),)
        try:
            parse_caller_headers(headers)
        except BadRequest:
            continue
        raise AssertionError(f"{budget} was accepted")


async def _request_status(session, front, key):
    headers = {"Host": HOST, "X-Attempt-Id": f"key{next(_attempt_numbers)}"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    path = f"http://{front}/look/{key}"
    try:
        async with session.get(path, headers=headers) as response:
            await response.read()
            return response.status
    except aiohttp.ClientConnectionError:
        # The daemon is being started.
        return None


async def _wait_for_statuses(site, expected):
    """Wait until all daemons answer each key with its status."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + APPLY_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        while True:
            found = {
                (name, key): await _request_status(session, front, key)
                for name, front in site.front_addresses.items()
                for key in expected
            }
            if all(status == expected[key] for (_, key), status in found.items()):
                return
            assert loop.time() < deadline, found
            await asyncio.sleep(POLL_INTERVAL_S)


def _await_statuses(context, old, unknown, none):
    expected = {KEY: old, UNKNOWN_KEY: unknown, None: none}
    context.runner.run(_wait_for_statuses(context.platform, expected))


def _configure(context, tenants):
    context.platform.tenants = tenants
    context.platform.write_configuration()


@when("all keys are taken away")
def step_take_away(context):
    _configure(context, [{"name": "crew", "apiKeys": []}])


@when("the key is given back")
def step_give_back(context):
    _configure(context, [{"name": "crew", "apiKeys": [KEY]}])


@when("the workspaces become unreadable")
def step_unreadable(context):
    _configure(context, [{"name": "crew", "apiKeys": 7}])


@when("the workspaces are no longer declared")
def step_not_declared(context):
    _configure(context, WITHOUT_TENANTS)


@when("a daemon is started again")
def step_restart(context):
    async def restart():
        process = context.platform.processes["a1"]
        process.kill()
        while process.poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        context.platform.start_daemon("a1")

    context.runner.run(restart())


@then("every daemon refuses the old key, an unknown one and none with {status:d}")
def step_all_refused(context, status):
    _await_statuses(context, status, status, status)


@then("every daemon accepts the old key and refuses an unknown one")
def step_old_accepted(context):
    _await_statuses(context, 200, 401, 401)


@then("every daemon accepts every caller")
def step_all_accepted(context):
    _await_statuses(context, 200, 200, 200)


@then("no target ran a request of an unknown key")
def step_nothing_ran(context):
    paths = [execution.path for execution in context.platform.executions]
    assert f"/look/{UNKNOWN_KEY}" not in paths, paths


@then("the logs of all daemons name the unreadable part")
def step_logged(context):
    for name, text in context.platform.logs().items():
        assert "configuration-part-refused" in text, name
