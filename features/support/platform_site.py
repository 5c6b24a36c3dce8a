"""A small version of the users' platform: store, engines and plain services over HTTP.

Daemons run as separate processes against it. The engines are those of the emulated
:class:`~cowslipcourse.emulator.World`, which also records violations of the rules of
groups.
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

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.emulator import Faults, World
from cowslipcourse.emulator.limit_oracle import LimitOracle
from cowslipcourse.emulator.pause_oracle import PauseOracle
from cowslipcourse.platform.backpressure import (
    encode_leaving,
    encode_pause,
    encode_rate_limit,
)
from cowslipcourse.platform.headers import not_executed_head
from cowslipcourse.ports import EngineOrder, OrderOperation, OrderResult
from features.support.engine_world import LARGE, SERVICE, SMALL
from features.support.platform_store import Store
from features.support.wire import entry_content, entry_fields
from harness.builds import Builds
from harness.ports import free_ports

__all__ = [
    "CRASHING_PART",
    "CRASH_PREFIX",
    "ENDLESS_PREFIX",
    "HOST",
    "KEY",
    "PLAIN_SERVICE",
    "USUAL_PREFIX",
    "WITHOUT_TENANTS",
    "Arrival",
    "PlainExecution",
    "PlatformSite",
    "route_entry",
    "stream_events",
]

HOST = "north.example"
KEY = "key-1"
PLAIN_SERVICE = "roster"
EVENT_INTERVAL_S = 0.02
PLAIN_EXECUTION_S = 0.01
USUAL_PREFIX = "usual-"
"""Prefix of the last path segment of requests that take :data:`USUAL_EXECUTION_S`."""
USUAL_EXECUTION_S = 1.5
ENDLESS_PREFIX = "endless-"
"""Prefix of the last path segment of requests that take :data:`ENDLESS_EXECUTION_S`."""
ENDLESS_EXECUTION_S = 12.0
EVENT_COUNT = 25
FULL_STATUS = 503
CRASH_PREFIX = "end-"
CRASHING_PART = "bad0"
"""Part of prompts that crashes the engines which answer it."""
"""Prefix of the last path segment of requests that crash each target that runs them."""
CRASH_DELAY_S = 0.08
"""Time for which a target runs such a request before it crashes."""
RESTART_DELAY_S = 2.0
"""Time from the crash of a target until its next incarnation listens."""
ENTRY_LAPSE_S = 1.0
"""Time for which the list still holds the entry of a crashed target."""
WITHOUT_TENANTS = ()
"""In place of the tenants of a configuration that has no such part."""
FAST_MODELS = (
    LARGE._replace(load_s=1.0, warm_s=0.3),
    SMALL._replace(load_s=1.0, warm_s=0.3),
)
STATUS_BY_RESULT = {
    OrderResult.BEGUN: 202,
    OrderResult.DONE: 200,
    OrderResult.STATE_DIFFERS: 409,
    OrderResult.EPOCH_TOO_OLD: 412,
}


class Arrival(NamedTuple):
    """The arrival or the crash of a target caused by a crashing request.

    :param request_name: last segment of its path.
    :param attempt_id: the caller's attempt id.
    :param at: loop time in seconds.
    """

    request_name: str
    attempt_id: str
    at: float


class PlainExecution(NamedTuple):
    """The execution of a request by a plain target.

    :param attempt_id: the caller's attempt id.
    :param path: path of the request.
    :param target: name of the target.
    :param at: loop time in seconds.
    """

    attempt_id: str
    path: str
    target: str
    at: float


def stream_events(request_name):
    """Return the events of the stream for a last path segment."""
    return [
        f"id: {n}\ndata: {request_name} {n}\n\n".encode()
        for n in range(1, EVENT_COUNT + 1)
    ]


def _decoded(headers):
    return {name.decode(): value.decode() for name, value in headers}


def route_entry(name, prefix, kind, service, **extra):
    """Return a route as the operator writes it; ``extra`` replaces or adds fields."""
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
    return route | extra


class PlatformSite:
    """A platform and the daemons in front of it, on loopback.

    :param daemon_count: number of daemons.
    :param domains: names of fabric domains.
    :param engines: number of engines in each domain.
    """

    def __init__(self, daemon_count=3, domains=("d1", "d2"), engines=8):
        self.world = World(random.Random(1), _no_faults(), FAST_MODELS)
        self.folder = Path(tempfile.mkdtemp(prefix="cowslip-platform-"))
        self.processes = {}
        self.front_addresses = {}
        self.directory_addresses = {}
        self.executions = []
        self.stream_attempt_ids = []
        self.keys = [KEY]
        self.tenants = None
        """Tenants of the configuration in place of the usual one, or
        :data:`WITHOUT_TENANTS`."""
        self.extra_routes = []
        """Routes of the configuration beside the usual ones."""
        self.extra_services = []
        """Names of services without engine groups beside the usual one."""
        self.changed_route_fields = {}
        """Changed fields of routes by the route's name."""
        self.configuration_version = 1
        self._builds = Builds()
        self._daemon_count = daemon_count
        self._engine_layout = (domains, engines)
        self._servers = []
        self._addresses = {}
        self._published_entries = {}
        self._entry_lapse_at = {}
        self._target_servers = {}
        self._restart_numbers = itertools.count(1)
        self.arrivals = []
        self.crashes = []
        self.rate_limits = {}
        """Rate limits that targets state by target; ``None`` for a limit that has
        ended."""
        self.limit_oracle = LimitOracle()
        self.pauses = {}
        """Pauses in seconds that targets ask for, by target; such targets refuse all
        requests."""
        self.pause_oracle = PauseOracle()
        self.silent_until = {}
        """Loop times until which sound targets send nothing, by target."""
        self.min_execution_s = 0.0
        """Time for which targets run each request at least."""
        self.leaving = set()
        """Targets that state that they leave."""
        self.leaving_oracle = PauseOracle()
        self._tasks = []

    async def start(self):
        """Start everything; returns once the platform listens."""
        self.store = Store()
        port = free_ports(1)[0]
        self.store_address = f"127.0.0.1:{port}"
        await self._serve(self.store.app(), self.store_address)
        domains, engine_count = self._engine_layout
        for domain in domains:
            for _ in range(engine_count):
                await self.add_engine(domain)
        for name in ("p1", "p2"):
            await self._add_plain_target(name)
        self.write_configuration()
        self._publishing = asyncio.create_task(self._publish())
        self._tasks = [asyncio.create_task(self.world.run()), self._publishing]
        for number in range(self._daemon_count):
            self.start_daemon(f"a{number + 1}")

    async def stop(self):
        """Kill the daemons and stop all servers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            await server.stop(0.1)

    # Configuration

    def write_configuration(self):
        """Write the next version of the configuration."""
        self.configuration_version += 1
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
                for model in FAST_MODELS
            ],
        }
        content = {
            "version": self.configuration_version,
            "routes": [
                route_entry("draft", "/draft/", "streaming", SERVICE, resumable=True),
                route_entry(
                    "book", "/book/", "non_idempotent", PLAIN_SERVICE, maxAttempts=1
                ),
                route_entry("look", "/look/", "idempotent", PLAIN_SERVICE),
                *self.extra_routes,
            ],
            "services": [
                {"name": SERVICE, "engine": engine},
                {"name": PLAIN_SERVICE},
                *({"name": name} for name in self.extra_services),
            ],
        }
        content["routes"] = [
            route | self.changed_route_fields.get(route["name"], {})
            for route in content["routes"]
        ]
        if self.tenants is not WITHOUT_TENANTS:
            usual = [{"name": "crew", "apiKeys": self.keys}]
            content["tenants"] = usual if self.tenants is None else self.tenants
        self.store.put("op", "config", json.dumps(content).encode())

    # Targets

    async def _serve(self, app, address):
        server = WebServer(app, address)
        await server.start()
        self._servers.append(server)
        return server

    async def add_engine(self, domain):
        """Start an engine."""
        await self._serve_engine(self.world.add_engine(domain))

    async def _serve_engine(self, engine, address=None):
        """Serve an engine, at a given address or at a free one."""
        address = address or f"127.0.0.1:{free_ports(1)[0]}"
        self._addresses[engine.id] = await self.published_address(address)
        report, order, stream = (
            functools.partial(call, engine.id)
            for call in (self._handle_report, self._handle_order, self._handle_stream)
        )
        routes = [
            Route("/report", report),
            Route("/order", order, methods=["POST"]),
            Route("/{kind}/{name}", stream, methods=["POST"]),
        ]
        server = await self._serve(Starlette(routes=routes), address)
        self._target_servers[engine.id] = server

    def _stated_headers(self, target, attempt_id):
        """Return the headers in which a target states its conditions."""
        headers = {}
        if target in self.rate_limits:
            limit_per_s = self.rate_limits[target]
            self.limit_oracle.record_limit(target, limit_per_s)
            headers |= _decoded(encode_rate_limit(limit_per_s))
        if target in self.leaving:
            self.leaving_oracle.record_pause(target, attempt_id, float("inf"))
            headers |= _decoded(encode_leaving(True))
        return headers

    def _record_arrival(self, target, attempt_id):
        self.limit_oracle.record_arrival(target, attempt_id)
        self.pause_oracle.record_arrival(target, attempt_id)
        self.leaving_oracle.record_arrival(target, attempt_id)

    def _execution_s(self, request_name):
        """Return the seconds for which a target runs a request."""
        execution_s = PLAIN_EXECUTION_S
        if request_name.startswith(ENDLESS_PREFIX):
            execution_s = ENDLESS_EXECUTION_S
        elif request_name.startswith(USUAL_PREFIX):
            execution_s = USUAL_EXECUTION_S
        return max(execution_s, self.min_execution_s)

    async def _keep_silence(self, target):
        """Wait for as long as a target is to send nothing."""
        silent_until = self.silent_until.get(target, 0.0)
        await asyncio.sleep(silent_until - asyncio.get_running_loop().time())

    def _refusal(self, target, attempt_id):
        """Return the response of a target that asks for a pause, or ``None``."""
        pause_s = self.pauses.get(target)
        if pause_s is None:
            return None
        self.pause_oracle.record_pause(target, attempt_id, pause_s)
        head = not_executed_head(FULL_STATUS)
        headers = _decoded((*head.headers, *encode_pause(pause_s)))
        headers |= self._stated_headers(target, attempt_id)
        headers["x-attempt-id"] = attempt_id
        return Response(status_code=head.status, headers=headers)

    async def _run_and_crash(self, request_name, attempt_id, target):
        """Run a crashing request until it crashes its target."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(request_name, attempt_id, now))
        await asyncio.sleep(CRASH_DELAY_S)
        if target in self._target_servers:
            self.crashes.append(Arrival(request_name, attempt_id, now + CRASH_DELAY_S))
            self._crash_target(target)
        raise ConnectionResetError("the target has crashed")

    def _crash_target(self, target):
        """Crash a target, which restarts after ``RESTART_DELAY_S``."""
        server = self._target_servers.pop(target)
        self.stop_listening(target, server)
        engine = self.world.engines.pop(target, None)
        restarting = self._restart_target(target, engine)
        self._tasks.append(asyncio.create_task(restarting))

    def stop_listening(self, target, server):
        """Refuse new connections to a target and reset the open ones."""
        for listening in server._server.servers:
            listening.close()
        for connection in list(server._server.server_state.connections):
            connection.transport.abort()

    async def _restart_target(self, target, engine):
        if engine is None:
            await asyncio.sleep(ENTRY_LAPSE_S)
            self.store.drop("servers", target)
            await asyncio.sleep(RESTART_DELAY_S - ENTRY_LAPSE_S)
            await self._add_plain_target(f"{target}-{next(self._restart_numbers)}")
            return
        self._entry_lapse_at[target] = asyncio.get_running_loop().time() + ENTRY_LAPSE_S
        await asyncio.sleep(RESTART_DELAY_S)
        await self._serve_engine(self.world.restart_under_new_id(engine))

    async def _add_plain_target(self, name):
        address = f"127.0.0.1:{free_ports(1)[0]}"

        async def run(request):
            attempt_id = request.headers["x-attempt-id"]
            request_name = request.path_params["name"]
            self._record_arrival(name, attempt_id)
            if (refusal := self._refusal(name, attempt_id)) is not None:
                return refusal
            if request_name.startswith(CRASH_PREFIX):
                await self._run_and_crash(request_name, attempt_id, name)
            now = asyncio.get_running_loop().time()
            self.executions.append(
                PlainExecution(attempt_id, request.url.path, name, now)
            )
            await asyncio.sleep(self._execution_s(request_name))
            await self._keep_silence(name)
            headers = {"x-attempt-id": attempt_id, "x-response-seal": name}
            headers |= self._stated_headers(name, attempt_id)
            return Response(b"done", headers=headers)

        path = Route("/{kind}/{name}", run, methods=["GET", "POST"])
        server = await self._serve(Starlette(routes=[path]), address)
        self._target_servers[name] = server
        self.publish_plain_target(name, await self.published_address(address))

    def publish_plain_target(self, name, address, state="ready"):
        """Write the list entry of a plain target."""
        content = entry_content(
            service=PLAIN_SERVICE, address=address, state=state, slots=6
        )
        self.store.put("servers", name, content)

    async def published_address(self, address):
        """Return the address under which a target is listed."""
        return address

    def store_address_of(self, name):
        """Return the address at which a daemon reaches the store."""
        return self.store_address

    def _membership_fields(self, engine):
        membership = engine.membership
        fields = {
            "domain": engine.domain,
            "staged": list(engine.staged),
            "models": [],
            "born": engine.incarnation,
        }
        if membership is not None:
            fields["models"] = [{"name": membership.model}]
            fields["group"] = {
                "name": membership.group,
                "epoch": membership.epoch,
                "rank": membership.rank,
                "state": membership.state.value,
            }
        return fields

    async def _publish(self):
        """Update the list of targets whenever an engine has changed."""
        while True:
            await asyncio.sleep(0.05)
            live = {
                engine.id: engine
                for engine in self.world.engines.values()
                if engine.id in self._addresses and not engine.is_unreachable
            }
            for engine_id, engine in live.items():
                entry = entry_fields(
                    SERVICE,
                    self._addresses[engine_id],
                    **self._membership_fields(engine),
                )
                if self._published_entries.get(engine_id) != entry:
                    self._published_entries[engine_id] = entry
                    self.store.put("servers", engine_id, json.dumps(entry).encode())
            now = asyncio.get_running_loop().time()
            for engine_id in set(self._published_entries) - set(live):
                if now < self._entry_lapse_at.get(engine_id, now):
                    continue
                del self._published_entries[engine_id]
                self.store.drop("servers", engine_id)

    def old_rows(self):
        """Return the engines whose rows in the store are not as last written."""
        return [
            engine_id
            for engine_id, fields in self._published_entries.items()
            if self.store.value("servers", engine_id) != json.dumps(fields).encode()
        ]

    async def _wait_for_engine(self, engine_id):
        """Return the current incarnation of an engine, waiting until it answers."""
        while True:
            engine = self.world.engines.get(engine_id)
            if engine is not None and not engine.is_unreachable:
                return engine
            await asyncio.sleep(0.1)

    async def _handle_report(self, engine_id, request):
        engine = await self._wait_for_engine(engine_id)
        return JSONResponse(
            self._membership_fields(engine) | {"sequence": engine.order_count}
        )

    async def _handle_order(self, engine_id, request):
        engine = await self._wait_for_engine(engine_id)
        body = await request.json()
        order = EngineOrder(
            OrderOperation(body["operation"]),
            body["expected"],
            body.get("group", ""),
            body.get("epoch", 0),
            body.get("model", ""),
            tuple(body.get("members", ())),
        )
        return Response(status_code=STATUS_BY_RESULT[engine.execute(order)])

    async def _handle_stream(self, engine_id, request):
        engine = await self._wait_for_engine(engine_id)
        headers = {"x-attempt-id": request.headers["x-attempt-id"]}
        if not engine.is_open_head:
            return Response(status_code=421, headers=headers)
        self._record_arrival(engine_id, headers["x-attempt-id"])
        refusal = self._refusal(engine_id, headers["x-attempt-id"])
        if refusal is not None:
            return refusal
        self.stream_attempt_ids.append(headers["x-attempt-id"])
        headers |= self._stated_headers(engine_id, headers["x-attempt-id"])
        after = int(request.headers.get("last-event-id", 0))
        name = request.path_params["name"]
        events = stream_events(name)[after:]
        parts = request.headers.get("x-prompt-prefix", "")
        headers["x-response-seal"] = engine.id

        async def produce():
            if name.startswith(CRASH_PREFIX) or CRASHING_PART in parts:
                attempt_id = headers["x-attempt-id"]
                await self._run_and_crash(name, attempt_id, engine_id)
            execution_s = self._execution_s(name)
            interval_s = max(EVENT_INTERVAL_S, execution_s / EVENT_COUNT)
            for event in events:
                await asyncio.sleep(interval_s)
                await self._keep_silence(engine_id)
                while engine.membership is None or not self._serves(engine):
                    if self.world.engines.get(engine_id) is not engine:
                        raise ConnectionResetError("the engine has restarted")
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

    # Daemons

    def start_daemon(self, name):
        """Start a daemon process; a restarted daemon keeps its settings."""
        path = self.folder / f"{name}.toml"
        if name not in self.front_addresses:
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
        self.front_addresses[name] = front
        self.directory_addresses[name] = directory

    def logs(self):
        """Return the log of each daemon by name."""
        return {
            name: (self.folder / f"{name}.log").read_text() for name in self.processes
        }

    def coordinator(self):
        """Return the live daemon that most recently became coordinator, or ``None``."""
        candidates = []
        for name, text in self.logs().items():
            lines = [line for line in text.splitlines() if "coordinating" in line]
            alive = self.processes[name].poll() is None
            if lines and "event=coordinating" in lines[-1] and alive:
                candidates.append((lines[-1], name))
        return max(candidates)[1] if candidates else None

    def kill(self, name, signal_number=signal.SIGKILL):
        """Send a signal to a daemon."""
        self.processes[name].send_signal(signal_number)


def _no_faults():
    return Faults(
        late_order_fraction=0,
        lost_order_fraction=0,
        unanswered_order_fraction=0,
        pause_fraction=0,
        store_failure_fraction=0,
    )
