"""Steps over daemons as separate processes on a small platform."""

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

PATIENCE_S = 20.0
LOOK_S = 0.1
WRITTEN = ("groups", "daemons", "quarantine")
"""Tables that the system writes to."""
_attempts = itertools.count(1)


async def _until(condition, what):
    for _ in range(int(PATIENCE_S / LOOK_S)):
        if await condition():
            return
        await asyncio.sleep(LOOK_S)
    raise AssertionError(f"waited in vain: {what}")


async def _call(session, front, path, key=KEY, method="POST"):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"t{next(_attempts)}",
        "X-Model": "large",
        "X-Time-Budget-Ms": "8000",
        "Authorization": f"Bearer {key}",
    }
    async with session.request(
        method, f"http://{front}{path}", headers=headers
    ) as response:
        return response.status, await response.read(), headers["X-Attempt-Id"]


def _open_groups(site, model=None):
    """Return the heads of serving groups by group name."""
    return {
        engine.membership.group: engine
        for engine in site.world.engines.values()
        if engine.is_open_head
        and not engine.is_unreachable
        and site.world.is_complete(engine)
        and model in (None, engine.membership.model)
    }


async def _ready(site):
    async with aiohttp.ClientSession() as session:
        for front in site.fronts.values():
            try:
                status, _, _ = await _call(session, front, "/draft/x")
            except aiohttp.ClientError:
                return False
            if status != 200:
                return False
    return len(_open_groups(site)) >= 4


def _play(context, act):
    """Run a scenario's acts in one loop: the platform lives in it."""
    context.runner.run(act)


@given("a platform with three daemons, whose groups serve")
def step_platform(context):
    context.runner = asyncio.Runner()
    context.site = None
    context.platform = PlatformSite()

    def clean_up():
        context.runner.run(context.platform.stop())
        context.runner.close()

    context.resources.callback(clean_up)

    async def act():
        await context.platform.start()
        await _until(lambda: _ready(context.platform), "groups that serve")

    _play(context, act())


async def _stream_many(site, number, fronts, meanwhile=None):
    async with aiohttp.ClientSession() as session:
        names = [f"s{next(_attempts)}" for _ in range(number)]
        calls = [
            asyncio.create_task(
                _call(
                    session, fronts[index % len(fronts)], f"/draft/{name}", site.keys[0]
                )
            )
            for index, name in enumerate(names)
        ]
        if meanwhile is not None:
            await asyncio.sleep(0.2)
            await meanwhile()
        answers = await asyncio.gather(*calls)
    return list(zip(names, answers, strict=True))


@when("{number:d} callers stream")
def step_stream(context, number):
    site = context.platform
    fronts = list(site.fronts.values())
    context.answers = context.runner.run(_stream_many(site, number, fronts))


def _kill_member(context):
    async def act():
        head = next(iter(_open_groups(context.platform, "large").values()))
        context.group = head.membership.group
        context.epoch = head.membership.epoch
        del context.platform.world.engines[head.members[-1]]

    return act


@when("{number:d} callers stream and the store comes back as it was before")
def step_store_comes_back(context, number):
    site = context.platform
    context.groups = {(g, h.membership.epoch) for g, h in _open_groups(site).items()}

    async def come_back():
        first = {k: row for k, row in site.store.rows.items() if k[0] not in WRITTEN}
        for lost in site.store.come_back((first, len(first))):
            site.store.write_again(*lost)

    fronts = list(site.fronts.values())
    acts = _stream_many(site, number, fronts, come_back)
    context.answers = context.runner.run(acts)


@then("the store holds the registrations of all daemons again")
def step_registrations_again(context):
    site = context.platform

    async def are_written():
        registered = {key for table, key in site.store.rows if table == "daemons"}
        return registered == set(site.processes)

    _play(context, _until(are_written, "registrations in the store"))


@then("the same groups serve and the store holds their plans again")
def step_plans_again(context):
    site = context.platform

    async def are_written():
        return {key for table, key in site.store.rows if table == "groups"} == {
            "d1",
            "d2",
        }

    _play(context, _until(are_written, "plans in the store"))
    serving = {(g, h.membership.epoch) for g, h in _open_groups(site).items()}
    assert serving == context.groups, (serving, context.groups)


@when("{number:d} callers stream and a member of a serving group dies meanwhile")
def step_member_dies(context, number):
    fronts = list(context.platform.fronts.values())
    context.answers = context.runner.run(
        _stream_many(context.platform, number, fronts, _kill_member(context))
    )


@when(
    "{number:d} callers stream at the others and a member of a serving group "
    "dies meanwhile"
)
def step_member_dies_others(context, number):
    site = context.platform
    fronts = [site.fronts[name] for name in site.fronts if name != context.killed]
    context.answers = context.runner.run(
        _stream_many(site, number, fronts, _kill_member(context))
    )


@when("the coordinator is killed")
def step_kill_coordinator(context):
    async def act():
        await _until(lambda: _is_there(context.platform), "a coordinator")
        context.killed = context.platform.coordinator()
        context.platform.kill(context.killed)

    _play(context, act())


async def _is_there(site):
    return site.coordinator() is not None


@when("{number:d} callers stream and a daemon is told to stop meanwhile")
def step_told_to_stop(context, number):
    async def stop():
        context.platform.kill("a2", signal.SIGTERM)

    fronts = list(context.platform.fronts.values())
    context.answers = context.runner.run(
        _stream_many(context.platform, number, fronts, stop)
    )


@then("the daemon ends with exit code 0")
def step_exit_code(context):
    async def ended():
        return context.platform.processes["a2"].poll() is not None

    _play(context, _until(ended, "the end of a2"))
    assert context.platform.processes["a2"].returncode == 0


@when("callers keep idle connections to a daemon that is told to stop")
def step_idle_stop(context):
    async def act():
        site = context.platform
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(_call(session, site.fronts["a2"], "/draft/x") for _ in range(5))
            )
            began_at = asyncio.get_running_loop().time()
            site.kill("a2", signal.SIGTERM)

            async def ended():
                return site.processes["a2"].poll() is not None

            await _until(ended, "the end of a2")
            context.took_s = asyncio.get_running_loop().time() - began_at

    _play(context, act())


@then("the daemon ends with exit code 0 within {seconds:f} s")
def step_ended_within(context, seconds):
    assert context.platform.processes["a2"].returncode == 0
    assert context.took_s < seconds, context.took_s


@then("every stream is whole")
def step_whole(context):
    for name, (status, body, _) in context.answers:
        assert status == 200, (name, status, body)
        assert body == b"".join(stream_events(name)), (name, body)


@then("a lookup is answered, an unknown key and an unknown path are refused")
def step_refusals(context):
    async def act():
        front = context.platform.fronts["a1"]
        async with aiohttp.ClientSession() as session:
            statuses = [
                (await _call(session, front, path, key, "GET"))[0]
                for path, key in (("/look/x", KEY), ("/look/x", "no"), ("/no/x", KEY))
            ]
        assert statuses == [200, 401, 404], statuses

    _play(context, act())


@then("no engine ran anything in a partial group or in two groups")
def step_oracle(context):
    violations = context.platform.world.violations
    assert not violations, violations[:3]


@then("the group serves again with another member")
def step_serves_again(context):
    async def repaired():
        head = _open_groups(context.platform).get(context.group)
        return head is not None and head.membership.epoch > context.epoch

    _play(context, _until(repaired, f"a repaired {context.group}"))


@when("the key is replaced by another")
def step_key(context):
    async def act():
        context.platform.keys = ["key-2"]
        context.platform.write_configuration()

    _play(context, act())


@then("soon no daemon takes the old key and all take the new one")
def step_new_key(context):
    async def in_force():
        async with aiohttp.ClientSession() as session:
            for front in context.platform.fronts.values():
                old = await _call(session, front, "/look/x", KEY, "GET")
                new = await _call(session, front, "/look/x", "key-2", "GET")
                if (old[0], new[0]) != (401, 200):
                    return False
        return True

    _play(context, _until(in_force, "the new key"))


@when("the store goes away")
def step_store_away(context):
    async def act():
        context.platform.store.is_away = True
        await asyncio.sleep(1.0)

    _play(context, act())


@when("{number:d} bookings are made and one plain target closes every connection")
def step_bookings(context, number):
    async def act():
        site = context.platform
        await site._servers[-1].stop(0.1)
        fronts = itertools.cycle(site.fronts.values())
        async with aiohttp.ClientSession() as session:
            context.bookings = [
                await _call(session, next(fronts), f"/book/{index}")
                for index in range(number)
            ]

    _play(context, act())


@then("no booking ran twice and none that was told not run has run")
def step_booked_once(context):
    ran = [run.attempt for run in context.platform.runs if "/book/" in run.path]
    assert len(ran) == len(set(ran))
    for status, body, attempt in context.bookings:
        assert status in (200, 502, 503), (status, body)
        if status == 503:
            assert attempt not in ran
        if status == 200:
            assert attempt in ran
    assert any(status == 200 for status, _, _ in context.bookings)


_FIRST_LINES = """
import runpy, signal, sys, types
main = types.ModuleType("cowslipcourse.entry.main")
main.main = lambda: print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
sys.modules["cowslipcourse.entry.main"] = main
runpy.run_module("cowslipcourse.entry", run_name="__main__")
"""


@when("the program has run no more than its first lines")
def step_first_lines(context):
    command = [sys.executable, "-c", _FIRST_LINES]
    context.printed = subprocess.check_output(command, text=True)


@then("SIGHUP is ignored")
def step_ignored(context):
    assert context.printed == "True\n", context.printed


@given("another program listens on the address for {which} of a daemon")
def step_address_taken(context, which):
    names = ("front", "directory", "ready", "peer")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    kind = socket.SOCK_DGRAM if which == "peer" else socket.SOCK_STREAM
    context.taker = socket.socket(type=kind)
    context.add_cleanup(context.taker.close)
    context.taker.bind(("127.0.0.1", ports[which]))
    if kind == socket.SOCK_STREAM:
        context.taker.listen()
    context.taken = f"127.0.0.1:{ports[which]}"
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
        context.ended = subprocess.run(
            command, capture_output=True, text=True, timeout=PATIENCE_S, check=False
        )


@then("it ends with exit code {code:d} and logs that the address is taken")
def step_says_taken(context, code):
    assert context.ended.returncode == code, context.ended
    lines = context.ended.stdout.splitlines()
    said = [line for line in lines if "code=address-taken" in line]
    assert len(said) == 1, context.ended
    assert context.taken in said[0], said
