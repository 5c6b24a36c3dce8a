"""Steps for daemon processes on a small platform."""

import asyncio
import itertools
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp
from behave import given, then, when

from features.support.platform_site import HOST, KEY, PlatformSite, stream_events
from harness.ports import free_ports

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
SYSTEM_TABLES = ("groups", "daemons", "quarantine")
"""Tables that the daemons write."""
_attempt_numbers = itertools.count(1)


async def _wait_until(condition, what):
    for _ in range(int(WAIT_TIMEOUT_S / POLL_INTERVAL_S)):
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition did not hold in time: {what}")


async def _call(session, front, path, key=KEY, method="POST", prompt_parts=None):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"t{next(_attempt_numbers)}",
        "X-Model": "large",
        "X-Time-Budget-Ms": "8000",
        "Authorization": f"Bearer {key}",
    }
    if prompt_parts is not None:
        headers["X-Prompt-Prefix"] = prompt_parts
    async with session.request(
        method, f"http://{front}{path}", headers=headers
    ) as response:
        return response.status, await response.read(), headers["X-Attempt-Id"]


def _serving_heads(site, model=None):
    """Return the heads of serving groups by group name."""
    return {
        engine.membership.group: engine
        for engine in site.world.engines.values()
        if engine.is_open_head
        and not engine.is_unreachable
        and site.world.is_complete(engine)
        and model in (None, engine.membership.model)
    }


async def _all_ready(site):
    async with aiohttp.ClientSession() as session:
        for front in site.front_addresses.values():
            try:
                status, _, _ = await _call(session, front, "/draft/x")
            except aiohttp.ClientError:
                return False
            if status != 200:
                return False
    return len(_serving_heads(site)) >= 4


async def wait_for_groups(site):
    """Wait until all daemons of a platform are ready and its groups serve."""
    await _wait_until(lambda: _all_ready(site), "groups that serve")


def start_platform(context, site, wait=wait_for_groups):
    """Start a platform for a scenario and stop it at its end.

    :param site: :class:`~features.support.platform_site.PlatformSite`
    :param wait: coroutine function that takes the site and returns once it serves.
    """
    context.runner, context.platform = asyncio.Runner(), site

    def clean_up():
        context.runner.run(site.stop())
        context.runner.close()

    context.resources.callback(clean_up)

    async def actions():
        await site.start()
        await wait(site)

    context.runner.run(actions())


def _run_in_loop(context, actions):
    """Run a coroutine in the scenario's event loop, which the platform runs in."""
    context.runner.run(actions)


@given("a platform with three daemons, whose groups serve")
def step_serving_platform(context):
    start_platform(context, PlatformSite())


async def _stream_many(site, caller_count, fronts, during_streams=None):
    async with aiohttp.ClientSession() as session:
        names = [f"s{next(_attempt_numbers)}" for _ in range(caller_count)]
        calls = [
            asyncio.create_task(
                _call(
                    session, fronts[index % len(fronts)], f"/draft/{name}", site.keys[0]
                )
            )
            for index, name in enumerate(names)
        ]
        if during_streams is not None:
            await asyncio.sleep(0.2)
            await during_streams()
        answers = await asyncio.gather(*calls)
    return list(zip(names, answers, strict=True))


@when("{caller_count:d} callers stream")
def step_stream(context, caller_count):
    site = context.platform
    fronts = list(site.front_addresses.values())
    context.stream_answers = context.runner.run(
        _stream_many(site, caller_count, fronts)
    )


def _kill_member(context):
    async def actions():
        head = next(iter(_serving_heads(context.platform, "large").values()))
        context.lost_group = head.membership.group
        context.lost_epoch = head.membership.epoch
        del context.platform.world.engines[head.members[-1]]

    return actions


@when("{caller_count:d} callers stream and the store is restored to its initial state")
def step_store_restored(context, caller_count):
    site = context.platform
    context.epochs_before = {
        (g, h.membership.epoch) for g, h in _serving_heads(site).items()
    }

    async def restore():
        first = {
            k: row for k, row in site.store.rows.items() if k[0] not in SYSTEM_TABLES
        }
        for lost in site.store.restore((first, len(first))):
            site.store.rewrite_lost_row(*lost)

    fronts = list(site.front_addresses.values())
    streams = _stream_many(site, caller_count, fronts, restore)
    context.stream_answers = context.runner.run(streams)


@then("the store holds the registrations of all daemons again")
def step_registrations_again(context):
    site = context.platform

    async def are_written():
        registered = {key for table, key in site.store.rows if table == "daemons"}
        return registered == set(site.processes)

    _run_in_loop(context, _wait_until(are_written, "registrations in the store"))


@then("the same groups serve and the store holds their plans again")
def step_plans_again(context):
    site = context.platform

    async def are_written():
        return {key for table, key in site.store.rows if table == "groups"} == {
            "d1",
            "d2",
        }

    _run_in_loop(context, _wait_until(are_written, "plans in the store"))
    serving = {(g, h.membership.epoch) for g, h in _serving_heads(site).items()}
    assert serving == context.epochs_before, (serving, context.epochs_before)


@when(
    "{caller_count:d} callers stream and a member of a serving group crashes meanwhile"
)
def step_member_crashes(context, caller_count):
    fronts = list(context.platform.front_addresses.values())
    context.stream_answers = context.runner.run(
        _stream_many(context.platform, caller_count, fronts, _kill_member(context))
    )


@when(
    "{caller_count:d} callers stream at the others and a member of a serving group "
    "crashes meanwhile"
)
def step_member_crashes_others(context, caller_count):
    site = context.platform
    fronts = [
        site.front_addresses[name]
        for name in site.front_addresses
        if name != context.killed_daemon
    ]
    context.stream_answers = context.runner.run(
        _stream_many(site, caller_count, fronts, _kill_member(context))
    )


@when("the coordinator is killed")
def step_kill_coordinator(context):
    async def actions():
        await _wait_until(lambda: _has_coordinator(context.platform), "a coordinator")
        context.killed_daemon = context.platform.coordinator()
        context.platform.kill(context.killed_daemon)

    _run_in_loop(context, actions())


async def _has_coordinator(site):
    return site.coordinator() is not None


@when("{caller_count:d} callers stream and a daemon is shut down meanwhile")
def step_stop_under_streams(context, caller_count):
    async def stop():
        context.platform.kill("a2", signal.SIGTERM)

    fronts = list(context.platform.front_addresses.values())
    context.stream_answers = context.runner.run(
        _stream_many(context.platform, caller_count, fronts, stop)
    )


@then("the daemon ends with exit code 0")
def step_exit_code(context):
    async def ended():
        return context.platform.processes["a2"].poll() is not None

    _run_in_loop(context, _wait_until(ended, "the end of a2"))
    assert context.platform.processes["a2"].returncode == 0


@when("callers keep idle connections to a daemon that is shut down")
def step_idle_stop(context):
    async def actions():
        site = context.platform
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    _call(session, site.front_addresses["a2"], "/draft/x")
                    for _ in range(5)
                )
            )
            began_at = asyncio.get_running_loop().time()
            site.kill("a2", signal.SIGTERM)

            async def ended():
                return site.processes["a2"].poll() is not None

            await _wait_until(ended, "the end of a2")
            context.stop_duration_s = asyncio.get_running_loop().time() - began_at

    _run_in_loop(context, actions())


@then("the daemon ends with exit code 0 within {limit_s:f} s")
def step_ended_within(context, limit_s):
    assert context.platform.processes["a2"].returncode == 0
    assert context.stop_duration_s < limit_s, context.stop_duration_s


@then("every stream is complete")
def step_whole_streams(context):
    for name, (status, body, _) in context.stream_answers:
        assert status == 200, (name, status, body)
        assert body == b"".join(stream_events(name)), (name, body)


@then("a lookup is answered, an unknown key and an unknown path are refused")
def step_refusals(context):
    async def actions():
        front = context.platform.front_addresses["a1"]
        async with aiohttp.ClientSession() as session:
            statuses = [
                (await _call(session, front, path, key, "GET"))[0]
                for path, key in (("/look/x", KEY), ("/look/x", "no"), ("/no/x", KEY))
            ]
        assert statuses == [200, 401, 404], statuses

    _run_in_loop(context, actions())


@then("no engine ran anything in a partial group or in two groups")
def step_no_partial_execution(context):
    violations = context.platform.world.violations
    assert not violations, violations[:3]


@then("the group serves again with another member")
def step_serves_again(context):
    async def repaired():
        head = _serving_heads(context.platform).get(context.lost_group)
        return head is not None and head.membership.epoch > context.lost_epoch

    _run_in_loop(context, _wait_until(repaired, f"a repaired {context.lost_group}"))


@when("the key is replaced by another")
def step_replace_key(context):
    async def actions():
        context.platform.keys = ["key-2"]
        context.platform.write_configuration()

    _run_in_loop(context, actions())


@then("every daemon eventually refuses the old key and accepts the new one")
def step_new_key(context):
    async def in_force():
        async with aiohttp.ClientSession() as session:
            for front in context.platform.front_addresses.values():
                old = await _call(session, front, "/look/x", KEY, "GET")
                new = await _call(session, front, "/look/x", "key-2", "GET")
                if (old[0], new[0]) != (401, 200):
                    return False
        return True

    _run_in_loop(context, _wait_until(in_force, "the new key"))


@when("the store becomes unreachable")
def step_store_unreachable(context):
    async def actions():
        context.platform.store.is_down = True
        await asyncio.sleep(1.0)

    _run_in_loop(context, actions())


@when(
    "{booking_count:d} bookings are made and one plain target closes every connection"
)
def step_make_bookings(context, booking_count):
    async def actions():
        site = context.platform
        await site._servers[-1].stop(0.1)
        fronts = itertools.cycle(site.front_addresses.values())
        async with aiohttp.ClientSession() as session:
            context.bookings = [
                await _call(session, next(fronts), f"/book/{index}")
                for index in range(booking_count)
            ]

    _run_in_loop(context, actions())


@then("no booking ran twice, and none that was reported as not run has run")
def step_booked_once(context):
    ran = [
        run.attempt_id for run in context.platform.executions if "/book/" in run.path
    ]
    assert len(ran) == len(set(ran))
    for status, body, attempt in context.bookings:
        assert status in (200, 502, 503), (status, body)
        if status == 503:
            assert attempt not in ran
        if status == 200:
            assert attempt in ran
    assert any(status == 200 for status, _, _ in context.bookings)


_STARTUP_PROGRAM = """
import runpy, signal, sys, types
main = types.ModuleType("cowslipcourse.entry.main")
main.main = lambda: print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
sys.modules["cowslipcourse.entry.main"] = main
runpy.run_module("cowslipcourse.entry", run_name="__main__")
"""


@when("only the first lines of the program have run")
def step_first_lines(context):
    command = [sys.executable, "-c", _STARTUP_PROGRAM]
    context.program_output = subprocess.check_output(command, text=True)


@then("SIGHUP is ignored")
def step_sighup_ignored(context):
    assert context.program_output == "True\n", context.program_output


@given("another program listens on the address for {listener_name} of a daemon")
def step_address_taken(context, listener_name):
    names = ("front", "directory", "ready", "peer")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    kind = socket.SOCK_DGRAM if listener_name == "peer" else socket.SOCK_STREAM
    context.listener = socket.socket(type=kind)
    context.add_cleanup(context.listener.close)
    context.listener.bind(("127.0.0.1", ports[listener_name]))
    if kind == socket.SOCK_STREAM:
        context.listener.listen()
    context.taken_address = f"127.0.0.1:{ports[listener_name]}"
    listen = "".join(f'{name} = "127.0.0.1:{ports[name]}"\n' for name in names)
    context.settings_text = (
        f'name = "a1"\ndata_centre = "n"\n[listen]\n{listen}'
        f'[store]\naddress = "127.0.0.1:{free_ports(1)[0]}"\n'
    )


@when("the daemon runs until it ends")
def step_daemon_runs(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a1.toml"
        path.write_text(context.settings_text)
        command = [sys.executable, "-m", "cowslipcourse.entry", "run", str(path)]
        context.finished_process = subprocess.run(
            command, capture_output=True, text=True, timeout=WAIT_TIMEOUT_S, check=False
        )


@then("it ends with exit code {code:d} and logs that the address is taken")
def step_taken_logged(context, code):
    assert context.finished_process.returncode == code, context.finished_process
    lines = context.finished_process.stdout.splitlines()
    matches = [line for line in lines if "code=address-taken" in line]
    assert len(matches) == 1, context.finished_process
    assert context.taken_address in matches[0], matches
