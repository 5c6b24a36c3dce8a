"""Stand-ins for the platform's store, servers and clients, and the daemons' processes.

They use the standard library only, loopback addresses and free ports. The daemons are
started with the command of the deploy file, with its template filled in as the platform
does it.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "BOUNDS",
    "BROKEN",
    "HELD",
    "NOT_RUN",
    "ZONES",
    "Answer",
    "Client",
    "Daemon",
    "PlainServer",
    "Record",
    "Site",
    "Store",
    "route",
    "run_case",
]

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
REPOSITORY = Path(__file__).resolve().parent.parent
ZONES = ("hall-voyageurs", "quais-est", "sanitaires-ouest")
REGION = "casa-nord"
HOST = "ficu95.example"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "downgradeMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 134,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stallMs": 4000,
    "requireFence": False,
    "ceilingWindowS": 5,
    "ceilingExcess": 1.1,
    "ttl_max_s": 5,
}
"""The bounds of the small deployments' sheets."""
READY_TIMEOUT_S = 30.0
MAX_RUN_S = 100.0
"""Time after which a case is given up; it may run for 120 s."""
END_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals from outside at which a case ends its processes before it exits."""
ROW_TX_S = 0.004


class Record:
    """Lines about what was sent, answered and run, with seconds since the start.

    :param path: file that :meth:`write` replaces.
    """

    def __init__(self, path):
        self._path = path
        self._lines = []
        self._started_at = time.monotonic()

    def add(self, event, **fields):
        """Add a line."""
        seconds = time.monotonic() - self._started_at
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{seconds:8.3f} {event} {details}".rstrip())

    def write(self):
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


# HTTP servers


class Request(NamedTuple):
    """A request that a stand-in has read.

    :param method: HTTP method.
    :param path: path without the query.
    :param query: first value of each query parameter.
    :param headers: values by lower-case name.
    :param body: complete body.
    """

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def _read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    content = await reader.readexactly(size)
    await reader.readexactly(2)
    return content


async def _read_request(reader):
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while chunk := await _read_chunk(reader):
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


def encode_head(status, headers):
    """Return the bytes of a response's head."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpServer:
    """Serves HTTP/1.1 with one request at a time on a connection.

    Subclasses implement ``handle(request, writer)``.
    """

    def __init__(self):
        self.address = ""
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await _read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The site stops.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(self, request, writer):
        """Answer a request."""
        raise NotImplementedError


def _write_response(writer, status, headers, body=b""):
    writer.write(encode_head(status, {**headers, "Content-Length": len(body)}) + body)


class Store(HttpServer):
    """The platform's metadata store: versioned rows, conditional writes and a feed.

    Heartbeats of servers, which change nothing but their own counts, are not written.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self._started_at = time.monotonic()
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row; the return is the acknowledgement."""
        self.version += 1
        self.rows[table, key] = value, self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, writer):
        """Answer a call of a daemon."""
        handlers = {
            "/rows-get": self._get_rows,
            "/rows-feed": self._feed_rows,
            "/rows-tx": self._transact,
        }
        status, content = await handlers[request.path](request)
        content["nowMs"] = int((time.monotonic() - self._started_at) * 1000)
        body = json.dumps(content).encode()
        _write_response(writer, status, {"Content-Type": "application/json"}, body)

    def _rows_after(self, table, after):
        found = [
            (key, value, version)
            for (name, key), (value, version) in self.rows.items()
            if name == table and version > after
        ]
        return [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value or b"").decode(),
                "ver": version,
                **({"deleted": True} if value is None else {}),
            }
            for key, value, version in found
        ]

    async def _get_rows(self, request):
        await asyncio.sleep(ROW_TX_S)
        first, last = request.query.get("from", ""), request.query.get("target")
        rows = [
            row
            for row in self._rows_after(request.query["table"], 0)
            if "deleted" not in row
            and row["key"] >= first
            and (last is None or row["key"] < last)
        ]
        rows.sort(key=lambda row: row["key"].encode())
        limit = int(request.query.get("limit", 500))
        more = len(rows) > limit
        return 200, {"rows": rows[:limit], "hasMore": more, "ver": self.version}

    async def _feed_rows(self, request):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["waitMs"]) / 1000
        while True:
            rows = self._rows_after(request.query["table"], int(request.query["after"]))
            left_s = deadline - loop.time()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.version}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    async def _transact(self, request):
        await asyncio.sleep(ROW_TX_S)
        body = json.loads(request.body)
        for row in body["expected"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                return 412, {"rows": []}
        self.version += 1
        for row in body["puts"]:
            value = base64.b64decode(row["value"])
            self.rows[row["table"], row["key"]] = value, self.version
        for row in body["deletes"]:
            self.rows[row["table"], row["key"]] = None, self.version
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"ver": self.version}


class Run(NamedTuple):
    """A request that a server began to run."""

    attempt_id: str
    server: str
    tenant: str | None
    at: float


class PlainServer(HttpServer):
    """A server of a service without groups.

    :param name: its id in the store.
    :param service: name of the service.
    :param record: :class:`Record`
    :param work_s: seconds for a single answer, or between two events of a stream.
    """

    def __init__(self, name, service, record, work_s=0.03):
        super().__init__()
        self.name = name
        self.service = service
        self.runs = []
        self._record = record
        self._work_s = work_s
        self._born = int(time.time() * 1000)
        self._speaks = asyncio.Event()
        self._speaks.set()

    def entry(self, state="ready"):
        """Return the encoded entry of the list of servers."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[0],
            "version": "v1",
            "slots": 13,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": self._born,
        }
        return json.dumps(fields).encode()

    async def fall_silent(self, seconds):
        """Send nothing for some seconds, and go on then."""
        self._record.add("server-silent", server=self.name)
        self._speaks.clear()
        await asyncio.sleep(seconds)
        self._speaks.set()
        self._record.add("server-goes-on", server=self.name)

    async def handle(self, request, writer):
        """Answer a request; a path with ``/stream/COUNT`` gets that many events."""
        attempt_id = request.headers.get("x-attempt-id", "")
        if request.path == "/health":
            _write_response(writer, 200, {"X-Instance-Id": self.name})
            return
        if request.headers.get("x-expect-instance", self.name) != self.name:
            headers = {"X-Instance-Id": self.name, "X-Attempt-Id": attempt_id}
            _write_response(writer, 421, headers)
            return
        tenant = request.headers.get("x-tenant")
        now = asyncio.get_running_loop().time()
        self.runs.append(Run(attempt_id, self.name, tenant, now))
        self._record.add("runs", id=attempt_id, server=self.name, tenant=tenant)
        headers = {
            "X-Attempt-Id": attempt_id,
            "X-Response-Seal": f"{self.name}.{attempt_id}",
        }
        if "/stream/" in request.path:
            await self._stream(request, writer, headers)
        else:
            await asyncio.sleep(self._work_s)
            await self._speaks.wait()
            _write_response(writer, 200, headers, b"done " + attempt_id.encode())
        self._record.add("run-ends", id=attempt_id, server=self.name)

    async def _stream(self, request, writer, headers):
        count = int(request.path.rsplit("/", 1)[1])
        first = int(request.headers.get("last-event-id", 0)) + 1
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, headers))
        for number in range(first, count + 1):
            await asyncio.sleep(self._work_s)
            await self._speaks.wait()
            if writer.is_closing():
                raise ConnectionResetError("the daemon has closed the connection")
            event = f"id: {number}\ndata: piece {number} of {count}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# Clients


class Answer(NamedTuple):
    """What a client got.

    :param status: status of the response; ``None`` without one.
    :param headers: values by lower-case name.
    :param body: received bytes of the body.
    :param is_complete: whether the response ended as HTTP says.
    :param closes: whether the daemon announced that it closes the connection.
    """

    status: int | None
    headers: dict
    body: bytes
    is_complete: bool
    closes: bool = True


class Client:
    """A client with one kept connection to one daemon.

    :param address: ``ip:port`` of the daemon for clients.
    :param record: :class:`Record`
    """

    _numbers = itertools.count(1)

    def __init__(self, address, record):
        self._address = address
        self._record = record
        self._streams = None

    async def connect(self):
        """Open the connection."""
        host, port = self._address.rsplit(":", 1)
        opening = asyncio.open_connection(host, int(port))
        self._streams = await asyncio.wait_for(opening, 1.0)

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    @classmethod
    def new_id(cls):
        """Return the id of a new attempt."""
        return f"a{next(cls._numbers):06d}"

    async def send(self, method, path, key, budget_s, attempt_id, body=b"", **more):
        """Send a request and return the :class:`Answer`."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Time-Budget-Ms": int(budget_s * 1000),
            **more,
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        if method == "POST":
            headers["Content-Length"] = len(body)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._record.add("sent", id=attempt_id, to=self._address, path=path, key=key)
        try:
            if self._streams is None:
                await self.connect()
            head = ("\r\n".join(lines) + "\r\n\r\n").encode()
            self._streams[1].write(head + body)
            answer = await asyncio.wait_for(self._read_answer(), budget_s + 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            self._record.add("no-answer", id=attempt_id, why=repr(error))
            return Answer(None, {}, b"", False)
        if answer.closes or not answer.is_complete:
            self.close()
        self._record.add(
            "answer",
            id=attempt_id,
            status=answer.status,
            bytes=len(answer.body),
            complete=answer.is_complete,
        )
        return answer

    async def _read_answer(self):
        reader = self._streams[0]
        first, headers = await _read_head(reader)
        status = int(first.split(" ")[1])
        closes = headers.get("connection", "").lower() == "close"
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return Answer(status, headers, body, True, closes)
        body = b""
        try:
            while chunk := await _read_chunk(reader):
                body += chunk
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True, closes)


# Daemons

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def _lookup(settings, name):
    value = settings
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def fill_template(text, settings):
    """Fill in a template as the platform does.

    :param text: the template; of sections, it may hold those of lists.
    :param settings: fields of the settings of a process.
    """

    def expand(match):
        items = _lookup(settings, match[1])
        parts = []
        for number, item in enumerate(items):
            comma = "" if number == len(items) - 1 else ","
            part = match[2].replace("{{.|json}}", json.dumps(item))
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def value(match):
        found = _lookup(settings, match[1])
        is_plain = isinstance(found, str) and not match[2]
        return found if is_plain else json.dumps(found)

    return _PLACEHOLDER.sub(value, _SECTION.sub(expand, text))


def _is_free(ip, port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((ip, port))
            udp.bind((ip, port))
        except OSError:
            return False
    return True


def _free_ip(ports):
    """Return a loopback address on which some ports are free."""
    while True:
        octets = (random.randint(1, 250) for _ in range(3))
        ip = "127." + ".".join(map(str, octets))
        if all(_is_free(ip, port) for port in ports):
            return ip


class Daemon:
    """A process of the deploy file's role on a machine of its own loopback address.

    :param name: name of the machine.
    :param zone: its zone.
    :param store_address: ``ip:port`` of the store.
    :param folder: folder for its settings file and its log.
    """

    PORTS = MappingProxyType(
        {"front": 8227, "ready": 8220, "control": 8229, "directory": 8224}
    )
    METRICS_PORT = 9464

    def __init__(self, name, zone, store_address, folder):
        self.name = name
        self.process = None
        self._zone = zone
        self._store_address = store_address
        self._settings_path = folder / f"{name}.settings"
        self._log_path = folder / f"{name}.log"
        self.ip = _free_ip([*self.PORTS.values(), self.METRICS_PORT])

    def address(self, use):
        """Return an address that it listens on, by its name in the settings."""
        return f"{self.ip}:{self.PORTS[use]}"

    def settings(self, seeds):
        """Return the fields with which the platform fills in the template."""
        return {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": self._zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {use: self.address(use) for use in self.PORTS},
            "seeds": seeds,
            "firstStart": True,
            "bounds": BOUNDS,
            "provider": {"address": self._store_address, "form": "table"},
        }

    def start(self, seeds):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        template = (REPOSITORY / role["template"]).read_text()
        self._settings_path.write_text(fill_template(template, self.settings(seeds)))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["COWSLIPCOURSE_NODE_FILE"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process, which this object has started."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def route(name, prefix, kind, service, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "sloMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **more,
    }


class Site:
    """A store, servers and daemons.

    :param record: :class:`Record`
    """

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.servers = []
        self.daemons = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._version = 0

    async def start_store(self):
        """Start the store."""
        await self.store.start()

    async def add_server(self, name, service, work_s=0.03):
        """Start a server and list it."""
        server = PlainServer(name, service, self.record, work_s)
        await server.start()
        self.servers.append(server)
        self.store.put("servers", name, server.entry())
        return server

    def configure(self, routes, services, tenants):
        """Write the next configuration; return its version, acknowledged by now."""
        self._version += random.randint(1, 5)
        content = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 110}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": tenants,
        }
        self.store.put("op", "config", json.dumps(content).encode())
        self.record.add("configuration-acknowledged", version=self._version)
        return self._version

    async def start_daemons(self, zones=ZONES):
        """Start daemons and wait until all say that they are ready.

        :param zones: zone of each daemon.
        :raises TimeoutError: one is not ready in time.
        """
        for number, zone in enumerate(zones, start=1):
            name = f"front-{zone}-{number}"
            self.daemons.append(Daemon(name, zone, self.store.address, self.folder))
        seeds = [daemon.address("control") for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.start(seeds)
            self.record.add("started", daemon=daemon.name)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons:
                while not await self._is_ready(daemon):
                    await asyncio.sleep(0.1)
        self.record.add("all-ready")

    async def _is_ready(self, daemon):
        host, port = daemon.address("ready").rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            first, _ = await _read_head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        finally:
            writer.close()
        return first.split(" ")[1] == "200"

    def runs(self):
        """Return all :class:`Run` of all servers."""
        return [run for server in self.servers for run in server.runs]

    async def stop(self):
        """End all processes and servers that this site has started."""
        for daemon in self.daemons:
            daemon.kill()
        for server in (self.store, *self.servers):
            await server.stop()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder)


def run_case(case, folder):
    """Run a case and return its exit code.

    :param case: coroutine function that takes a :class:`Site` and whether the
        disruption takes place, and returns whether the rule held.
    :param folder: folder of the case, for ``record.txt``.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", trouble=int(has_trouble))

    async def run():
        site = Site(record)
        task = asyncio.current_task()
        for number in END_SIGNALS:
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                await site.start_store()
                return HELD if await case(site, has_trouble) else BROKEN
        finally:
            await site.stop()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add("case-not-run", why=repr(error))
        code = NOT_RUN
    record.add("exit", code=code)
    record.write()
    return code
