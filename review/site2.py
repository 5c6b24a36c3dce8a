"""A small deployment on loopback for the cases from folder 4 on.

The daemons are the project's own program, started by the command of the deploy file
with settings that its template gives. Store, targets and callers are stand-ins that run
in the process of the case. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import logging
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import NamedTuple

__all__ = [
    "APPLY_S",
    "DRAIN_S",
    "HOST",
    "KEY",
    "SERVICE",
    "ZONES",
    "Record",
    "Run",
    "Sent",
    "Site",
    "Target",
    "free_address",
    "has_trouble",
    "judge_leaving",
    "run_case",
    "serve_until_exit",
]

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from starlette.responses import Response  # noqa: E402

from cowslipcourse.adapters.http_server import WebServer  # noqa: E402
from features.support.platform_store import Store  # noqa: E402
from harness.ports import free_ports  # noqa: E402

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "registre"
DRAIN_S = 2.0
"""``drainMs`` of the site."""
APPLY_S = 2.0
"""``applyMs`` of the site."""
MAX_RUN_S = 115.0
READY_TIMEOUT_S = 25.0
TIME_BUDGET_MS = 2500
"""Deadline of the callers of the plain service, as on the site's sheet."""
ZONES = ("hall-voyageurs", "quais-est", "sanitaires-ouest")


def has_trouble():
    """Whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Return a port that is free now and that no outgoing connection uses."""
    return free_ports(1)[0]


def free_address():
    """Return a loopback address that is free now."""
    return f"127.0.0.1:{free_port()}"


class Sent(NamedTuple):
    """A request of a caller and its end.

    :param attempt_id: id of the attempt.
    :param daemon: name of the daemon that took it.
    :param kind: name of the route.
    :param key: the caller's API key.
    :param sent_at: seconds since the start of the run.
    :param ended_at: the same for its end.
    :param status: status of the answer; ``None`` if the connection ended without one.
    :param body: body of the answer.
    """

    attempt_id: str
    daemon: str
    kind: str
    key: str
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes


class Run(NamedTuple):
    """A request that a target has begun to run.

    :param attempt_id: id of the attempt.
    :param target: id of the target.
    :param at: seconds since the start of the run.
    """

    attempt_id: str
    target: str
    at: float


class Record:
    """Writes ``record.txt`` of a case."""

    def __init__(self, folder):
        self._began_at = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._began_at

    def line(self, *words):
        """Write a line with the time in front."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, *words):
        """Write a line and print it."""
        self.line(*words)
        self._file.flush()
        print(*words, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


class Target:
    """A target of a plain service.

    :param site: :class:`Site`
    :param target_id: its id.
    :param zone: its zone.
    """

    def __init__(self, site, target_id, zone):
        self.id = target_id
        self.address = free_address()
        self._site = site
        self._zone = zone
        self._server = None
        self._running = {}
        self._sequence = 0
        self._state = "ready"
        self._born_ms = int(time.time() * 1000)

    async def start(self):
        """Listen, and write the entry."""
        self._server = WebServer(self, self.address)
        await self._server.start()
        self.publish("ready")

    def publish(self, state):
        """Write the entry of the list; return when it was acknowledged."""
        self._sequence += 1
        self._state = state
        self._site.put_entry(
            self.id,
            {
                "service": SERVICE,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._site.slots,
                "state": state,
                "coldLeftMs": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )
        return self._site.record.now()

    def is_running(self, kind):
        """Whether it runs a request of a route."""
        return kind in self._running.values()

    def exit(self):
        """End as a process does: stop to listen and close all connections."""
        for listening in self._server._server.servers:
            listening.close()
        for connection in list(self._server._server.server_state.connections):
            connection.transport.abort()

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        expected = headers.get(b"x-expect-instance")
        attempt_id = headers.get(b"x-attempt-id", b"").decode()
        common = {
            "X-Instance-Id": self.id,
            "X-Server-Load": f"{len(self._running)},0,{self._site.slots}",
            "Keep-Alive": "timeout=5",
        }
        if attempt_id:
            common["X-Attempt-Id"] = attempt_id
        if self._state == "draining":
            common["Connection"] = "close"
        if scope["path"] == "/health":
            status = 200 if self._state == "ready" else 503
            await Response(b"", status, common)(scope, receive, send)
            return
        if expected is not None and expected != self.id.encode():
            refusal = Response(b"", 421, {**common, "X-Not-Executed": "1"})
            await refusal(scope, receive, send)
            return
        while (await receive()).get("more_body"):
            continue
        self._running[attempt_id] = scope["path"].split("/")[1]
        self._site.record_run(attempt_id, self.id)
        try:
            await asyncio.sleep(self._site.work_s)
        finally:
            del self._running[attempt_id]
        body = f"done by {self.id} for {attempt_id}".encode().ljust(800, b".")
        common["X-Response-Seal"] = f"seal-{self.id}"
        await Response(body, headers=common)(scope, receive, send)


async def serve_until_exit(site, target_id, left_at, earliest_s, latest_s):
    """Let a target that leaves serve on, and end it.

    The pages leave open when it exits. It exits with work that may not be repeated, if
    it still gets any.

    :param left_at: time at which the store acknowledged that it leaves.
    :param earliest_s: seconds from then to its exit at least.
    :param latest_s: seconds from then to its exit at most.
    """
    target = site.targets[target_id]
    await asyncio.sleep(left_at + earliest_s - site.record.now())
    while site.record.now() < left_at + latest_s and not target.is_running("book"):
        await asyncio.sleep(0.01)
    target.exit()
    exited_s = site.record.now() - left_at
    site.record.say("target", target_id, f"exits {exited_s:.2f} s after it left")


def judge_leaving(site, target_id, left_at, calm, in_touch_from=0.0):
    """Judge the rule DRAIN and return the exit code of the case.

    :param target_id: id of a target that left the service.
    :param left_at: time at which the store acknowledged that.
    :param calm: names of the daemons that are in touch.
    :param in_touch_from: time from which on they are.
    """
    due_at = max(left_at + DRAIN_S, in_touch_from)
    sent = {each.attempt_id: each for each in site.sent}
    late = [
        run
        for run in site.runs
        if run.target == target_id
        and run.at > due_at
        and run.attempt_id in sent
        and sent[run.attempt_id].daemon in calm
    ]
    for run in late:
        request = sent[run.attempt_id]
        after_s = run.at - left_at
        site.record.line("LATE", run.attempt_id, request.kind, f"{after_s:.2f} s after")
        if request.status != 200:
            site.record.say("ran and was lost:", request.kind, run.attempt_id)
    last_s = max((run.at - left_at for run in late), default=0.0)
    names = ", ".join(calm)
    due_s = due_at - left_at
    site.record.say(
        f"{len(late)} of {len(site.sent)} requests reached {target_id} later than "
        f"{due_s:.2f} s after it left, the last one {last_s:.2f} s after it, through "
        f"{names}"
    )
    return 1 if late else 0


class _StoreDoor:
    """The store as one machine reaches it.

    :param site: :class:`Site`
    :param name: name of the machine.
    """

    def __init__(self, site, name):
        self._site = site
        self._name = name
        self._app = site.store.app()

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return

        async def send_unless_silent(message):
            await self._wait_if_silent(receive)
            await send(message)

        is_silent = self._name in self._site.turned_away
        self._site.note_store_call(self._name, is_silent, scope)
        with contextlib.suppress(ConnectionAbortedError):
            await self._wait_if_silent(receive)
            await self._app(scope, receive, send_unless_silent)

    async def _wait_if_silent(self, receive):
        """Answer nothing more to a machine that is turned away."""
        if self._name not in self._site.turned_away:
            return
        while (await receive())["type"] != "http.disconnect":
            continue
        raise ConnectionAbortedError("the machine is turned away")


class Site:
    """Store, targets, daemons and callers.

    :param folder: folder of the case, for ``record.txt``.
    :param layout: ``(daemon name, zone)`` pairs.
    """

    slots = 6
    work_s = 0.045
    keys = (KEY,)
    """API keys of the configuration's tenant."""

    def __init__(self, folder, layout):
        self.record = Record(folder)
        self.store = Store()
        self.turned_away = set()
        self.sent = []
        self.runs = []
        self.targets = {}
        self.fronts = {}
        self.ready = {}
        self.processes = {}
        self._layout = list(layout)
        self._folder = Path(tempfile.mkdtemp(prefix="cowslip-review-"))
        self._settings = {}
        self._servers = []
        self._ids = iter(range(1, 1 << 30))
        self._version = 0
        self._idle = {}

    # The platform.

    async def start(self, target_zones):
        """Start everything; return whether all daemons became ready.

        :param target_zones: zone of each target by id.
        """
        self.configure()
        for target_id, zone in target_zones.items():
            self.targets[target_id] = Target(self, target_id, zone)
            await self.targets[target_id].start()
        seeds = []
        for name, zone in self._layout:
            await self._write_settings(name, zone, seeds)
        for name, _ in self._layout:
            self.start_daemon(name)
        deadline = self.record.now() + READY_TIMEOUT_S
        while self.record.now() < deadline:
            states = [await self.is_ready(name) for name, _ in self._layout]
            if all(states):
                return True
            await asyncio.sleep(0.2)
        return False

    def configure(self):
        """Write the next version of the configuration; return when it was
        acknowledged.
        """
        self._version += 3
        common = {
            "host": HOST,
            "service": SERVICE,
            "timeoutMs": TIME_BUDGET_MS,
            "sloMs": 200,
            "priority": 1,
        }
        routes = [
            {
                "name": "look",
                "prefix": "/look/",
                "kind": "idempotent",
                "maxAttempts": 2,
            },
            {
                "name": "book",
                "prefix": "/book/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
            },
        ]
        content = {
            "version": self._version,
            "routes": [route | common for route in routes],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 110}],
            "tenants": [{"name": TENANT, "apiKeys": list(self.keys)}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 20000,
            },
        }
        self.store.put("op", "config", json.dumps(content).encode())
        self.record.say("operator configuration", self._version, "acknowledged")
        return self.record.now()

    def put_entry(self, target_id, fields):
        """Write an entry of the list of targets."""
        self.store.put("servers", target_id, json.dumps(fields).encode())
        self.record.line("store entry", target_id, fields["state"])

    def drop_entry(self, target_id):
        """Remove an entry of the list; the store acknowledges at once."""
        self.store.drop("servers", target_id)
        self.record.say("store entry", target_id, "removed, acknowledged")
        return self.record.now()

    def note_store_call(self, name, is_silent, scope):
        """Record a call to the store."""
        query = scope["query_string"].decode()
        outcome = "unanswered" if is_silent else "served"
        self.record.line("store-call", name, outcome, scope["path"], query)

    def registered(self, zone):
        """Return the daemons of a zone in the order in which the store took their
        registrations.
        """
        rows = [
            (version, key)
            for (table, key), (value, version) in self.store.rows.items()
            if table == "daemons" and value is not None
        ]
        zone_by_name = dict(self._layout)
        return [name for _, name in sorted(rows) if zone_by_name.get(name) == zone]

    # The daemons.

    async def _write_settings(self, name, zone, seeds):
        store_address = free_address()
        server = WebServer(_StoreDoor(self, name), store_address)
        await server.start()
        self._servers.append(server)
        listen = {
            key: free_address() for key in ("front", "ready", "control", "directory")
        }
        if len(seeds) < 3:
            seeds.append(listen["control"])
        self.fronts[name], self.ready[name] = listen["front"], listen["ready"]
        self._settings[name] = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": listen,
            "seeds": seeds,
            "provider": {"address": store_address},
            "bounds": {
                "stallMs": 4000,
                "retryRatio": 0.2,
                "retrySlack": 134,
                "retryWindowS": 10,
                "graceS": 8,
            },
            "metrics": free_port(),
        }

    def start_daemon(self, name):
        """Start a daemon as the deploy file says."""
        path = self._folder / f"{name}.toml"
        path.write_text(_fill_template(self._settings[name]))
        environment = {
            **os.environ,
            "COWSLIPCOURSE_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / f"{name}.log").open("a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "cowslipcourse.entry", "run"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.say("daemon", name, "started")

    def signal(self, name, number):
        """Send a signal to a daemon of this run."""
        self.record.say("daemon", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def is_ready(self, name):
        """Return whether a daemon says that it is ready."""
        try:
            status, _ = await asyncio.wait_for(
                self._exchange(self.ready[name], "GET", "/ready", {}), 1.0
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def log_lines(self, name, word):
        """Return the lines of a daemon's log that contain a word."""
        text = (self._folder / f"{name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def stop(self, keeps_logs=False):
        """End all processes and servers of this run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for connections in self._idle.values():
            for _, writer in connections:
                writer.close()
        for server in self._servers:
            await server.stop(0.1)
        self.record.close()
        if keeps_logs:
            print("logs in", self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    # The callers.

    def record_run(self, attempt_id, target_id):
        """Record that a target has begun to run a request."""
        self.runs.append(Run(attempt_id, target_id, self.record.now()))
        self.record.line("run", attempt_id, "at", target_id)

    async def call(self, daemon, kind, key=KEY):
        """Send one request to a daemon and record its end."""
        attempt_id = f"{next(self._ids):016x}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Time-Budget-Ms": str(TIME_BUDGET_MS),
            "Authorization": f"Bearer {key}",
        }
        method = "GET" if kind == "look" else "POST"
        sent_at = self.record.now()
        self.record.line("sent", attempt_id, kind, "to", daemon)
        status, body = None, b""
        try:
            status, body = await asyncio.wait_for(
                self._exchange(
                    self.fronts[daemon], method, f"/{kind}/{attempt_id}", headers
                ),
                TIME_BUDGET_MS / 1000 + 0.5,
            )
        except (OSError, EOFError, TimeoutError) as error:
            self.record.line("no answer", attempt_id, repr(error))
        self.record.line("answered", attempt_id, status)
        self.sent.append(
            Sent(
                attempt_id, daemon, kind, key, sent_at, self.record.now(), status, body
            )
        )

    async def press(self, daemon, kind, per_s, key=KEY):
        """Send requests to a daemon at a rate until cancelled."""
        tasks = set()
        try:
            while True:
                task = asyncio.create_task(self.call(daemon, kind, key))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1.0 / per_s)
        finally:
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _exchange(self, address, method, path, headers):
        idle = self._idle.setdefault(address, deque())
        reader = writer = None
        while idle:
            reader, writer = idle.pop()
            if not (reader.at_eof() or writer.is_closing()):
                break
            writer.close()
            reader = writer = None
        if writer is None:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Length: 0"] if method == "POST" else []
        lines += ["Host: x"] if "Host" not in headers else []
        is_kept = False
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            status, response_headers, body = await _read_response(reader)
            is_kept = response_headers.get("connection", "").lower() != "close"
        finally:
            if is_kept:
                idle.append((reader, writer))
            else:
                writer.close()
        return status, body


async def _read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head.rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(status_line.split()[1]), headers, body


def _fill_template(fields):
    """Fill in the deploy template with the few rules that it uses."""
    text = (ROOT / "deploy" / "entry.toml.template").read_text()
    text = text.replace('"{{ip}}:9464"', f'"127.0.0.1:{fields["metrics"]}"')

    def section(match):
        values = fields[match[1]]
        return ",".join(json.dumps(value) for value in values)

    text = re.sub(r"\{\{#(\w+)\}\}.*?\{\{/\1\}\}", section, text)

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[part]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def run_case(folder, case):
    """Run a case and return its exit code: 1 if a rule was broken, 0 if not, 2 if it
    could not run.

    :param folder: folder of the case.
    :param case: coroutine function that takes the folder and returns the exit code.
    """
    # Stand-ins that are stopped log the connections that they cut.
    logging.disable(logging.CRITICAL)
    try:
        return asyncio.run(_run_bounded(folder, case))
    except (Exception, asyncio.CancelledError) as error:
        print("could not run:", repr(error), flush=True)
        return 2


async def _run_bounded(folder, case):
    """Run a case, and end its processes after ``MAX_RUN_S`` or on a signal."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await case(folder)
