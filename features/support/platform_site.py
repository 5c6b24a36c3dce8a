"""The users' platform in small: store, engines and plain services over HTTP.

Daemons run as separate processes against it. Groups follow
:mod:`features.support.engine_world`, so its oracle watches here too.
"""

import asyncio
import functools
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from cowslipcourse.adapters.web import WebServer
from cowslipcourse.emulator import Faults, World
from cowslipcourse.ports import EngineOrder, OrderOperation, OrderResult
from features.support.engine_world import LARGE, SERVICE, SMALL
from features.support.platform_store import Store
from features.support.wire import entry_content, entry_fields
from harness.builds import Builds
from harness.ports import free_ports

__all__ = [
    "ENDS",
    "HOST",
    "KEY",
    "Arrival",
    "PlainRun",
    "PlatformSite",
    "stream_events",
]

HOST = "north.example"
KEY = "key-1"
PLAIN = "roster"
EVENT_S = 0.02
PLAIN_S = 0.01
EVENTS = 25
ENDS = "end-"
"""Requests whose last part of the path begins so end each target that runs them."""
END_S = 0.08
"""Time for which a target still runs such a request."""
BACK_S = 2.0
"""Time from the end of a target until its next life listens."""
LAPSE_S = 1.0
"""Time for which the list still has the entry of a target that has ended."""
QUICK = (
    LARGE._replace(load_s=1.0, warm_s=0.3),
    SMALL._replace(load_s=1.0, warm_s=0.3),
)
STATUS = {
    OrderResult.BEGUN: 202,
    OrderResult.DONE: 200,
    OrderResult.STATE_DIFFERS: 409,
    OrderResult.EPOCH_TOO_OLD: 412,
}


class Arrival(NamedTuple):
    """A request that ends targets, at a target.

    :param name: last part of its path.
    :param attempt: the caller's attempt id.
    :param at: loop time at which it came.
    """

    name: str
    attempt: str
    at: float


class PlainRun(NamedTuple):
    """A request that a plain target ran.

    :param attempt: the caller's attempt id.
    :param path: path of the request.
    :param target: name of the target.
    :param at: loop time at which it came.
    """

    attempt: str
    path: str
    target: str
    at: float


def stream_events(name):
    """Return the events of the stream that a path leads to."""
    return [f"id: {n}\ndata: {name} {n}\n\n".encode() for n in range(1, EVENTS + 1)]


def _route(name, prefix, kind, service, **more):
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 8000,
        "sloMs": 500,
        "maxAttempts": 2,
    }
    return route | more


class PlatformSite:
    """A platform and daemons before it, on loopback.

    :param daemons: number of daemons.
    :param domains: names of fabric domains.
    :param engines: engines in each.
    """

    def __init__(self, daemons=3, domains=("d1", "d2"), engines=8):
        self.world = World(random.Random(1), _no_faults(), QUICK)
        self.folder = Path(tempfile.mkdtemp(prefix="cowslip-platform-"))
        self.processes = {}
        self.fronts = {}
        self.directories = {}
        self.runs = []
        self.keys = [KEY]
        self.configuration = 1
        self._builds = Builds()
        self._daemons = daemons
        self._shape = (domains, engines)
        self._servers = []
        self._addresses = {}
        self._listed = {}
        self._lapsing = {}
        self._target_servers = {}
        self._names = itertools.count(1)
        self.arrivals = []
        self.ends = []
        self._tasks = []

    async def start(self):
        """Start everything and return once it listens."""
        self.store = Store()
        port = free_ports(1)[0]
        self.store_address = f"127.0.0.1:{port}"
        await self._serve(self.store.app(), self.store_address)
        domains, number = self._shape
        for domain in domains:
            for _ in range(number):
                await self.add_engine(domain)
        for name in ("p1", "p2"):
            await self._add_plain(name)
        self.write_configuration()
        self._tasks = [
            asyncio.create_task(self.world.run()),
            asyncio.create_task(self._publish()),
        ]
        for number in range(self._daemons):
            self.start_daemon(f"a{number + 1}")

    async def stop(self):
        """End the daemons by their ids and all servers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            await server.stop(0.1)

    # The operator.

    def write_configuration(self):
        """Write the next version of the configuration."""
        self.configuration += 1
        engine = {
            "slots": 13,
            "formMs": 300,
            "loadsPerS": 20,
            "models": [
                {
                    "name": model.name,
                    "size": model.size,
                    "share": model.share,
                    "pace": model.pace,
                    "loadS": model.load_s,
                    "warmS": model.warm_s,
                }
                for model in QUICK
            ],
        }
        content = {
            "version": self.configuration,
            "routes": [
                _route("draft", "/draft/", "streaming", SERVICE, resumable=True),
                _route("book", "/book/", "non_idempotent", PLAIN, maxAttempts=1),
                _route("look", "/look/", "idempotent", PLAIN),
            ],
            "services": [{"name": SERVICE, "engine": engine}, {"name": PLAIN}],
            "tenants": [{"name": "crew", "apiKeys": self.keys}],
        }
        self.store.put("op", "config", json.dumps(content).encode())

    # Targets.

    async def _serve(self, app, address):
        server = WebServer(app, address)
        await server.start()
        self._servers.append(server)
        return server

    async def add_engine(self, domain):
        """Start an engine."""
        await self._serve_engine(self.world.add_engine(domain))

    async def _serve_engine(self, engine):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self._addresses[engine.id] = await self.published_address(address)
        report, order, stream = (
            functools.partial(call, engine.id)
            for call in (self._report, self._order, self._stream)
        )
        routes = [
            Route("/report", report),
            Route("/order", order, methods=["POST"]),
            Route("/draft/{name}", stream, methods=["POST"]),
        ]
        server = await self._serve(Starlette(routes=routes), address)
        self._target_servers[engine.id] = server

    async def _run_to_the_end(self, name, attempt, target):
        """Run a request that ends its target, for as long as the target lasts."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(name, attempt, now))
        await asyncio.sleep(END_S)
        if target in self._target_servers:
            self.ends.append(Arrival(name, attempt, now + END_S))
            self._end_target(target)
        raise ConnectionResetError("the target has ended")

    def _end_target(self, target):
        """End the process of a target; its next life comes after a while."""
        server = self._target_servers.pop(target)
        self.stop_listening(target, server)
        engine = self.world.engines.pop(target, None)
        coming = self._come_back(target, engine)
        self._tasks.append(asyncio.create_task(coming))

    def stop_listening(self, target, server):
        """Let a target's host refuse connections, and reset those that are open."""
        for listening in server._server.servers:
            listening.close()
        for connection in list(server._server.server_state.connections):
            connection.transport.abort()

    async def _come_back(self, target, engine):
        if engine is None:
            await asyncio.sleep(LAPSE_S)
            self.store.drop("servers", target)
            await asyncio.sleep(BACK_S - LAPSE_S)
            await self._add_plain(f"{target}-{next(self._names)}")
            return
        self._lapsing[target] = asyncio.get_running_loop().time() + LAPSE_S
        await asyncio.sleep(BACK_S)
        await self._serve_engine(self.world.restart_under_new_id(engine))

    async def _add_plain(self, name):
        address = f"127.0.0.1:{free_ports(1)[0]}"

        async def run(request):
            attempt = request.headers["x-attempt-id"]
            path_name = request.path_params["name"]
            if path_name.startswith(ENDS):
                await self._run_to_the_end(path_name, attempt, name)
            now = asyncio.get_running_loop().time()
            self.runs.append(PlainRun(attempt, request.url.path, name, now))
            await asyncio.sleep(PLAIN_S)
            headers = {"x-attempt-id": attempt, "x-response-seal": name}
            return Response(b"done", headers=headers)

        path = Route("/{kind}/{name}", run, methods=["GET", "POST"])
        server = await self._serve(Starlette(routes=[path]), address)
        self._target_servers[name] = server
        self.list_plain(name, await self.published_address(address))

    def list_plain(self, name, address, state="ready"):
        """Write the entry of a plain target."""
        content = entry_content(service=PLAIN, address=address, state=state, slots=6)
        self.store.put("servers", name, content)

    async def published_address(self, address):
        """Return the address under which a target is listed."""
        return address

    def store_address_of(self, name):
        """Return the address at which a daemon reaches the store."""
        return self.store_address

    def _fields(self, engine):
        found = engine.membership
        fields = {
            "domain": engine.domain,
            "staged": list(engine.staged),
            "models": [],
            "born": engine.incarnation,
        }
        if found is not None:
            fields["models"] = [{"name": found.model}]
            fields["group"] = {
                "name": found.group,
                "epoch": found.epoch,
                "rank": found.rank,
                "state": found.state.value,
            }
        return fields

    async def _publish(self):
        """Keep the list of targets up to date."""
        while True:
            await asyncio.sleep(0.05)
            live = {
                engine.id: engine
                for engine in self.world.engines.values()
                if engine.id in self._addresses and not engine.is_unreachable
            }
            for engine_id, engine in live.items():
                entry = entry_fields(
                    SERVICE, self._addresses[engine_id], **self._fields(engine)
                )
                if self._listed.get(engine_id) != entry:
                    self._listed[engine_id] = entry
                    self.store.put("servers", engine_id, json.dumps(entry).encode())
            now = asyncio.get_running_loop().time()
            for engine_id in set(self._listed) - set(live):
                if now < self._lapsing.get(engine_id, now):
                    continue
                del self._listed[engine_id]
                self.store.drop("servers", engine_id)

    async def _present(self, engine_id):
        """Return the present life of an engine; nothing answers without one."""
        while True:
            engine = self.world.engines.get(engine_id)
            if engine is not None and not engine.is_unreachable:
                return engine
            await asyncio.sleep(0.1)

    async def _report(self, engine_id, request):
        engine = await self._present(engine_id)
        return JSONResponse(self._fields(engine) | {"sequence": engine.order_count})

    async def _order(self, engine_id, request):
        engine = await self._present(engine_id)
        body = await request.json()
        order = EngineOrder(
            OrderOperation(body["operation"]),
            body["expected"],
            body.get("group", ""),
            body.get("epoch", 0),
            body.get("model", ""),
            tuple(body.get("members", ())),
        )
        return Response(status_code=STATUS[engine.execute(order)])

    async def _stream(self, engine_id, request):
        engine = await self._present(engine_id)
        headers = {"x-attempt-id": request.headers["x-attempt-id"]}
        if not engine.is_open_head:
            return Response(status_code=421, headers=headers)
        after = int(request.headers.get("last-event-id", 0))
        name = request.path_params["name"]
        events = stream_events(name)[after:]
        headers["x-response-seal"] = engine.id

        async def produce():
            if name.startswith(ENDS):
                attempt = headers["x-attempt-id"]
                await self._run_to_the_end(name, attempt, engine_id)
            for event in events:
                await asyncio.sleep(EVENT_S)
                while engine.membership is None or not self._serves(engine):
                    if self.world.engines.get(engine_id) is not engine:
                        raise ConnectionResetError("the engine has started again")
                    await asyncio.sleep(0.1)
                yield event

        return StreamingResponse(
            produce(), headers=headers, media_type="text/event-stream"
        )

    def _serves(self, engine):
        alive = all(
            member in self.world.engines
            and not self.world.engines[member].is_unreachable
            for member in engine.members
        )
        return alive and self.world.is_complete(engine)

    # Daemons.

    def start_daemon(self, name):
        """Start a daemon as a process, with the same settings as before if it ran."""
        path = self.folder / f"{name}.toml"
        if name not in self.fronts:
            self._write_settings(name, path)
        log = (self.folder / f"{name}.log").open("a")
        checkout = self._builds.next_checkout(name)
        python = sys.executable if checkout is None else checkout / ".venv/bin/python"
        command = [python, "-m", "cowslipcourse.entry", "run", str(path)]
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            env=environment,
            cwd=checkout,
        )

    def _write_settings(self, name, path):
        ports = free_ports(4)
        front, directory, ready, peer = (f"127.0.0.1:{port}" for port in ports)
        path.write_text(
            f'name = "{name}"\ndata_centre = "n"\n'
            f'[listen]\nfront = "{front}"\ndirectory = "{directory}"\n'
            f'ready = "{ready}"\npeer = "{peer}"\n'
            f'[store]\naddress = "{self.store_address_of(name)}"\n'
        )
        self.fronts[name] = front
        self.directories[name] = directory

    def logs(self):
        """Return what the daemons wrote, by name."""
        return {
            name: (self.folder / f"{name}.log").read_text() for name in self.processes
        }

    def coordinator(self):
        """Return the name of the daemon that began to coordinate last."""
        found = []
        for name, text in self.logs().items():
            lines = [line for line in text.splitlines() if "coordinating" in line]
            alive = self.processes[name].poll() is None
            if lines and "event=coordinating" in lines[-1] and alive:
                found.append((lines[-1], name))
        return max(found)[1] if found else None

    def kill(self, name, with_signal=signal.SIGKILL):
        """Send a signal to a daemon."""
        self.processes[name].send_signal(with_signal)


def _no_faults():
    return Faults(
        late_order_fraction=0,
        lost_order_fraction=0,
        unanswered_order_fraction=0,
        pause_fraction=0,
        store_failure_fraction=0,
    )
