"""A site that runs as separate processes on loopback addresses."""

import hashlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

from harness.builds import Builds
from harness.ports import free_ports

__all__ = ["LocalSite", "SiteShape", "VmShape"]

BIN = Path(sys.executable).parent
START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 20.0
OPERATOR_TOKEN = "token-of-the-demo-operator"
SECOND_OPERATOR_TOKEN = "token-of-the-second-operator"


class VmShape(NamedTuple):
    """A number of VMs of one kind in one domain."""

    prefix: str
    count: int
    domain: str
    data_centre: str = "dc1"
    kind: str = "engine"
    fenced: bool = True
    labels: Mapping = MappingProxyType({})


class SiteShape(NamedTuple):
    """Processes and settings of a site.

    :param gateways: data centre of each gateway.
    :param controllers: data centre of each controller.
    :param vms: :class:`VmShape` list.
    :param engine: settings of the emulated engines.
    :param time: settings of the timing between daemons.
    :param repair: settings of repair.
    :param limits: settings of the gateways' limits.
    :param target: settings of calls to targets.
    :param standin: settings of the stand-in.
    :param log_level: log level of the daemons.
    """

    gateways: tuple = ("dc1", "dc2")
    controllers: tuple = ("dc1", "dc2")
    vms: tuple = ()
    engine: Mapping = MappingProxyType({})
    time: Mapping = MappingProxyType({})
    repair: Mapping = MappingProxyType({})
    limits: Mapping = MappingProxyType({})
    target: Mapping = MappingProxyType({})
    standin: Mapping = MappingProxyType({})
    log_level: str = "info"


def _toml(value):
    if isinstance(value, Mapping):
        inner = ", ".join(f"{json.dumps(k)} = {_toml(v)}" for k, v in value.items())
        return "{ " + inner + " }"
    return json.dumps(str(value) if isinstance(value, Path) else value)


def _write_toml(path, sections):
    lines = []
    for name, content in sections.items():
        if isinstance(content, list):
            for item in content:
                lines.append(f"[[{name}]]")
                lines += [f"{key} = {_toml(value)}" for key, value in item.items()]
        elif isinstance(content, Mapping):
            lines.append(f"[{name}]")
            lines += [f"{key} = {_toml(value)}" for key, value in content.items()]
        else:
            lines.insert(0, f"{name} = {_toml(content)}")
    path.write_text("\n".join(lines) + "\n")


class LocalSite:
    """A stand-in, gateways and controllers as separate processes.

    :param shape: :class:`SiteShape`
    """

    def __init__(self, shape):
        self.shape = shape
        self.folder = Path(tempfile.mkdtemp(prefix="cowslip-site-"))
        self.processes = {}
        self.urls = {}
        self._paused = set()
        self._builds = Builds()
        self._assign_ports()

    def _assign_ports(self):
        self.gateway_names = [f"g{i + 1}" for i in range(len(self.shape.gateways))]
        self.controller_names = [
            f"c{i + 1}" for i in range(len(self.shape.controllers))
        ]
        names = [*self.gateway_names, *self.controller_names]
        ports = iter(free_ports(1 + 2 * len(names)))
        self.platform_address = f"127.0.0.1:{next(ports)}"
        self.urls["platform"] = f"http://{self.platform_address}"
        for name in names:
            public_port, peer_port = next(ports), next(ports)
            self.urls[name] = f"http://127.0.0.1:{public_port}"
            self._write_daemon_settings(name, public_port, peer_port)
        self._write_standin_settings()

    def _write_daemon_settings(self, name, public_port, peer_port):
        data_centres = dict(zip(self.gateway_names, self.shape.gateways, strict=True))
        data_centres |= dict(
            zip(self.controller_names, self.shape.controllers, strict=True)
        )
        sections = {
            "daemon": {
                "name": name,
                "data_centre": data_centres[name],
                "peer_address": f"127.0.0.1:{peer_port}",
                "public_address": f"127.0.0.1:{public_port}",
            },
            "platform": {"url": self.urls["platform"]},
            "time": self.shape.time,
            "target": self.shape.target,
            "log": {"level": self.shape.log_level},
        }
        if name in self.gateway_names:
            sections["limits"] = self.shape.limits
        else:
            tokens_file = self.folder / "tokens"
            token_by_operator = {
                "demo-operator": OPERATOR_TOKEN,
                "second-operator": SECOND_OPERATOR_TOKEN,
            }
            lines = [
                f"{operator} {hashlib.sha256(token.encode()).hexdigest()}"
                for operator, token in token_by_operator.items()
            ]
            tokens_file.write_text("\n".join(lines) + "\n")
            (self.folder / "token").write_text(OPERATOR_TOKEN)
            (self.folder / "token-2").write_text(SECOND_OPERATOR_TOKEN)
            sections["operators"] = {"tokens_file": tokens_file}
            sections["repair"] = self.shape.repair
        _write_toml(self.folder / f"{name}.toml", sections)

    def _write_standin_settings(self):
        sections = {"address": self.platform_address, **self.shape.standin}
        sections["engine"] = self.shape.engine
        sections["vms"] = [vm._asdict() for vm in self.shape.vms]
        _write_toml(self.folder / "standin.toml", sections)

    # Processes

    def start(self):
        """Start every process; returns once all gateways and controllers serve."""
        self.start_process("standin")
        self.wait_for(lambda: self.get("platform", "/vms") is not None, "stand-in")
        for name in [*self.gateway_names, *self.controller_names]:
            self.start_process(name)
        for name in self.gateway_names:
            self.wait_until_serving(name)
        self.wait_for(lambda: self.status()["serving"], "controllers")

    def start_process(self, name):
        """Start one process and return it."""
        program, checkout = "cowslip-standin", None
        if name in self.gateway_names:
            program = "cowslip-gateway"
        elif name in self.controller_names:
            program = "cowslip-controller"
        if program != "cowslip-standin":
            checkout = self._builds.next_checkout(name)
        program_folder = BIN if checkout is None else checkout / ".venv/bin"
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [program_folder / program, self.folder / f"{name}.toml"],
                stderr=log,
                stdout=log,
            )
        self.processes[name] = process
        return process

    def kill(self, name):
        """Kill a process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()
        self._paused.discard(name)

    def pause(self, name):
        """Pause a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self._paused.add(name)

    def resume(self, name):
        """Resume a paused process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)
        self._paused.discard(name)

    def terminate(self, name):
        """Ask a process to shut down with SIGTERM."""
        self.processes[name].terminate()

    def stop(self):
        """Kill every process of the site and remove its folder."""
        for name in list(self._paused):
            self.resume(name)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        if not os.environ.get("COWSLIP_KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *failure):
        self.stop()

    # Conditions

    def wait_for(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds and return its value.

        :raises TimeoutError: if it does not hold within ``timeout_s`` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{description}: not within {timeout_s} s; see {self.folder}"
                )
            time.sleep(0.05)

    def wait_until_serving(self, gateway):
        """Wait until a gateway accepts requests."""
        self.wait_for(lambda: self.get(gateway, "/healthz", raw=True), gateway)

    def wait_for_groups(self, count, timeout_s=START_TIMEOUT_S):
        """Wait until at least ``count`` groups serve and return them."""

        def serving_groups():
            groups = [g for g in self.status()["groups"] if g["serving"]]
            return groups if len(groups) >= count else None

        return self.wait_for(serving_groups, f"{count} groups", timeout_s)

    def wait_for_model(self, gateway, key, model):
        """Wait until a gateway answers requests for a model."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "ready?"}],
            "max_tokens": 1,
        }

        def is_answered():
            status, _ = self.post(gateway, "/v1/chat/completions", body, token=key)
            return status == 200

        self.wait_for(is_answered, f"{model} at {gateway}")

    # Requests

    def get(self, name, path, raw=False, token=None):
        """GET a path of a process; return ``None`` if it fails."""
        request = urllib.request.Request(self.urls[name] + path)
        if token:
            request.add_header("authorization", f"Bearer {token}")
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                content = response.read()
        except (urllib.error.URLError, OSError):
            return None
        return True if raw else json.loads(content)

    def post(self, name, path, content, token=None):
        """POST JSON to a process and return ``(status, decoded answer)``."""
        data = json.dumps(content).encode()
        request = urllib.request.Request(self.urls[name] + path, data, method="POST")
        if token:
            request.add_header("authorization", f"Bearer {token}")
        try:
            with urllib.request.urlopen(request, timeout=60) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"{}")

    def status(self):
        """Return the status that the first responsive controller reports."""
        for name in self.controller_names:
            process = self.processes.get(name)
            running = process is not None and process.poll() is None
            if not running or name in self._paused:
                continue
            status = self.get(name, "/v1/status", token=OPERATOR_TOKEN)
            if status is not None:
                return status
        return {"serving": False, "groups": [], "daemons": [], "accepted": 0}

    def set_faults(self, scope, **faults):
        """Set faults of the stand-in.

        :param scope: name of a VM or of a platform service.
        :param faults: values by the names of faults.
        """
        status, answer = self.post(
            "platform", "/control/faults", {"scope": scope, "set": faults}
        )
        assert status == 200, answer

    def control_vm(self, name, action):
        """Make a VM leave, stay, restart or be removed."""
        status, answer = self.post(
            "platform", "/control/vm", {"vm": name, "action": action}
        )
        assert status == 200, answer

    def history(self):
        """Return the events of all targets."""
        return self.get("platform", "/control/history")

    def executions(self):
        """Return all executions of plain services."""
        histories = self.history()["vms"].values()
        return [e for events in histories for e in events if e["event"] == "run"]

    def cli(self, *arguments, check=True, as_second_operator=False):
        """Run the ``cowslip`` command and return the completed process."""
        environment = {
            **os.environ,
            "COWSLIP_CONTROLLERS": ",".join(
                self.urls[n] for n in self.controller_names
            ),
            "COWSLIP_TOKEN_FILE": str(
                self.folder / ("token-2" if as_second_operator else "token")
            ),
        }
        completed = subprocess.run(
            [BIN / "cowslip", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        if check and completed.returncode != 0:
            raise AssertionError(
                f"cowslip {arguments}: {completed.stdout}{completed.stderr}"
            )
        return completed
