"""Steps for the start of a daemon process."""

import asyncio
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from behave import given, then, when

from cowslipcourse.adapters.http_server import WebServer
from features.support.knowledge import FlakyStore
from features.support.platform_store import Store
from features.support.wire import entry_content
from harness.ports import free_ports

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
FEED_WAIT_S = 1.0
"""Time for which the store holds back an empty answer."""
LOADED_LATE_OR_NOT_AT_ALL = {
    "aiohttp",
    "certifi",
    "cleo",
    "click",
    "cowslipcourse.admission.control",
    "cowslipcourse.emulator",
    "cowslipcourse.entry.coordinator",
    "cowslipcourse.gateway",
    "cowslipcourse.group_plans",
    "cowslipcourse.load_balancing.affinity",
    "cowslipcourse.load_balancing.stragglers",
    "grpc",
    "multiprocessing",
    "prometheus_client",
    "starlette",
    "statistics",
    "uvicorn.main",
    "yarl",
}
LISTENERS = ("front", "directory", "ready", "peer", "metrics")
HELD_MODULE = """
import pathlib, time
while not pathlib.Path({release_path!r}).exists():
    time.sleep(0.01)
"""
RUN_DAEMON = """
import runpy, sys
sys.argv = ["cowslip-entry", "run", {settings_path!r}]
runpy.run_module("cowslipcourse.entry", run_name="__main__")
"""
LIST_MODULES = """
import logging, os, sys
def list_modules(record):
    if record.getMessage() == "started":
        sys.stderr.write("\\n".join(sys.modules))
        sys.stderr.flush()
        os._exit(0)
    return True
logging.getLogger("cowslipcourse.entry.daemon").addFilter(list_modules)
"""
HOLD_LATE_MODULES = """
import sys
sys.path.insert(0, {folder!r})
from cowslipcourse.entry import late_imports
late_imports.LATE_MODULES = "held_module", *late_imports.LATE_MODULES
"""
BREAK_LATE_MODULES = """
import sys
sys.modules["cowslipcourse.entry.coordinator"] = None
"""


class _StartedDaemon:
    """A daemon process with a program that prepares its start.

    :param preparation: source that is run first.
    :param store_address: ``ip:port`` of its store; nothing listens there without one.
    """

    def __init__(self, preparation, store_address=None):
        self._store_address = store_address or f"127.0.0.1:{free_ports(1)[0]}"
        self._folder = Path(tempfile.mkdtemp(prefix="cowslip-start-"))
        self._settings_path = self._folder / "a1.toml"
        self._release_path = self._folder / "release"
        self._log_path = self._folder / "a1.log"
        self.addresses = {
            name: f"127.0.0.1:{port}"
            for name, port in zip(LISTENERS, free_ports(len(LISTENERS)), strict=True)
        }
        self.write_settings("info")
        held_module = HELD_MODULE.format(release_path=str(self._release_path))
        (self._folder / "held_module.py").write_text(held_module)
        program = preparation.format(folder=str(self._folder))
        program += RUN_DAEMON.format(settings_path=str(self._settings_path))
        with self._log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-c", program], stdout=log, stderr=subprocess.STDOUT
            )

    @property
    def output(self):
        """What the process has written."""
        return self._log_path.read_text()

    def write_settings(self, level):
        """Write its settings file."""
        listen = "".join(f'{name} = "{at}"\n' for name, at in self.addresses.items())
        self._settings_path.write_text(
            f'name = "a1"\ndata_centre = "n"\n[listen]\n{listen}'
            f'[store]\naddress = "{self._store_address}"\n'
            f'[log]\nlevel = "{level}"\n'
        )

    def load_late_components(self):
        """Let it load its late components."""
        self._release_path.touch()

    def get(self, listener, path):
        """Return status, headers and body of the response to a GET request."""
        url = f"http://{self.addresses[listener]}{path}"
        try:
            with urllib.request.urlopen(url, timeout=WAIT_TIMEOUT_S) as response:
                return response.status, response.headers, response.read().decode()
        except urllib.error.HTTPError as error:
            with error:
                return error.code, error.headers, error.read().decode()

    def stop(self):
        """End the process."""
        self.process.kill()
        self.process.wait()


def _wait_until(condition, what):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, what
        time.sleep(POLL_INTERVAL_S)


def _start(context, preparation):
    context.daemon = _StartedDaemon(preparation)
    context.resources.callback(context.daemon.stop)


@when("a daemon starts and lists the modules that it has imported before it serves")
def step_list_modules(context):
    _start(context, LIST_MODULES)
    assert context.daemon.process.wait(WAIT_TIMEOUT_S) == 0, context.daemon.output
    context.modules = context.daemon.output.split()


@then("there are at most {limit:d} of them")
def step_module_count(context, limit):
    # A bound is worth nothing if the list is not that of a daemon.
    assert "cowslipcourse.entry.daemon" in context.modules
    assert len(context.modules) <= limit, len(context.modules)


@then("none of them belongs to what is loaded late or not at all")
def step_no_late_modules(context):
    loaded = LOADED_LATE_OR_NOT_AT_ALL & set(context.modules)
    assert not loaded, loaded


@given("a daemon that has not loaded its late components, without a store")
def step_held(context):
    _start(context, HOLD_LATE_MODULES)
    daemon = context.daemon
    _wait_until(lambda: "event=started" in daemon.output, lambda: daemon.output)


@when("a daemon starts whose store takes {delay_s:g} s to answer")
def step_slow_store(context, delay_s):
    store = Store()
    store.put("op", "config", FlakyStore().rows("op")[0].value)
    store.put("servers", "t1", entry_content())
    store.delay_s = delay_s

    async def run():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = WebServer(store.app(), address)
        await server.start()
        context.daemon = _StartedDaemon("", address)
        context.resources.callback(context.daemon.stop)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while "event=all-components-loaded" not in context.daemon.output:
                await asyncio.sleep(POLL_INTERVAL_S)
        context.daemon.stop()
        await server.stop(2 * delay_s + FEED_WAIT_S)

    asyncio.run(run())


@then("it has its configuration and targets before it loads late components")
def step_order(context):
    output = context.daemon.output
    loaded_at = output.index("event=all-components-loaded")
    for event in ("event=configuration ", "event=targets-read number=1 "):
        assert 0 <= output.find(event) < loaded_at, output


@given("a daemon whose late components cannot be imported")
def step_broken(context):
    _start(context, BREAK_LATE_MODULES)


@when("a caller sends a request to it")
def step_call(context):
    context.response = context.daemon.get("front", "/anything")


@then("the caller gets status 503 and a Retry-After header")
def step_refused(context):
    status, headers, _ = context.response
    assert status == 503, context.response
    assert float(headers["Retry-After"]) > 0, headers


@then("its metrics are answered with status 503")
def step_no_metrics(context):
    status, headers, _ = context.daemon.get("metrics", "/metrics")
    assert status == 503 and headers["Retry-After"] == "1", (status, headers)


@when("its late components are loaded")
def step_load(context):
    context.daemon.load_late_components()
    _wait_until(
        lambda: context.daemon.get("metrics", "/metrics")[0] == 200,
        lambda: context.daemon.output,
    )


@then("its metrics count 1 start and 1 refused request")
def step_counted(context):
    _, _, content = context.daemon.get("metrics", "/metrics")
    assert 'cowslip_events_total{event="started"} 1.0' in content, content
    counts = re.findall(r"^cowslip_request_seconds_count (\S+)$", content, re.MULTILINE)
    assert counts == ["1.0"], content


@when("it runs until it ends")
def step_run(context):
    context.exit_code = context.daemon.process.wait(WAIT_TIMEOUT_S)


@then("it ended with exit code 70 and logged the import that failed")
def step_import_failed(context):
    assert context.exit_code == 70, (context.exit_code, context.daemon.output)
    line = next(
        line for line in context.daemon.output.splitlines() if "task-crashed" in line
    )
    assert "ModuleNotFoundError" in line, line
    assert "cowslipcourse.entry.coordinator" in line, line


@when("it gets SIGTERM")
def step_terminate(context):
    context.daemon.process.send_signal(signal.SIGTERM)


@then("it ended with exit code 0 and logged that it stopped")
def step_stopped(context):
    daemon = context.daemon
    _wait_until(lambda: "event=stopped" in daemon.output, lambda: daemon.output)
    daemon.load_late_components()
    assert daemon.process.wait(WAIT_TIMEOUT_S) == 0, daemon.output


@when("its log level is changed to warning and it gets SIGHUP")
def step_reload(context):
    context.daemon.write_settings("warning")
    context.daemon.process.send_signal(signal.SIGHUP)


@then("it logs that it has read the settings")
def step_settings_read(context):
    daemon = context.daemon
    _wait_until(lambda: "event=settings-read" in daemon.output, lambda: daemon.output)


@then("it still runs")
def step_runs(context):
    assert context.daemon.process.poll() is None, context.daemon.output


@when('cowslip-entry is called with "{arguments}"')
def step_command_line(context, arguments):
    context.finished = subprocess.run(
        [sys.executable, "-m", "cowslipcourse.entry", *arguments.split()],
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
        check=False,
    )


@then('it exits with code {code:d} and reports "{message}"')
def step_command_line_result(context, code, message):
    finished = context.finished
    assert finished.returncode == code, finished
    assert message in finished.stdout + finished.stderr, finished
