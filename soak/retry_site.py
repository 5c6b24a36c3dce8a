"""Daemons before targets that are processes, with a retry budget to keep to."""

import asyncio
import re
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

from cowslipcourse.entry.settings import RetrySettings
from features.support.platform_site import PLAIN_SERVICE, PlatformSite, route_entry
from features.support.wire import entry_content
from harness.builds import SingleBuild
from harness.ports import free_ports
from soak.proxy import LoopbackProxy
from soak.site import handles_sighup
from soak.target_process import TargetMode, mode_path, read_arrivals

__all__ = [
    "DAEMON_COUNT",
    "MAX_ATTEMPTS",
    "SETTINGS",
    "STREAM_SERVICE",
    "RetrySite",
]

DAEMON_COUNT = 8
SETTINGS = RetrySettings(ratio=0.2, slack=134.0, window_s=10.0)
STREAM_SERVICE = "notes"
"""A service whose answers are streams that may be resumed."""
TARGET_COUNTS = {PLAIN_SERVICE: 3, STREAM_SERVICE: 6}
MAX_ATTEMPTS = 2
PLAIN_SLOTS = 12
STREAM_SLOTS = 26
PLAIN_TIMEOUT_MS = 1200
STREAM_TIMEOUT_MS = 8000
RESTART_DELAY_S = 0.3
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10.0
_TAKEN = re.compile(r"event=retry .*?request=(\S+) .*?outcome=taken")


class RetrySite(PlatformSite):
    """Eight daemons, three plain targets and six that stream, all of them processes.

    :param checkout: checkout of the build of the daemons; ``None`` for this one.
    """

    def __init__(self, checkout=None):
        super().__init__(daemon_count=0, domains=())
        self.links = {}
        """Proxies before the targets, by the target's name."""
        self.service_of = {}
        """Service of each target by the target's name."""
        self.slow_stops = []
        """Daemons that did not end in time after a planned stop."""
        self.kills = []
        """``(name, loop time)`` of daemons that were killed."""
        self._builds = SingleBuild(checkout)
        self._target_addresses = {}
        self._target_processes = {}
        self._restarting = set()
        self.extra_services = [STREAM_SERVICE]
        self.extra_routes = [
            route_entry(
                "note",
                "/note/",
                "streaming",
                STREAM_SERVICE,
                resumable=True,
                timeoutMs=STREAM_TIMEOUT_MS,
                maxAttempts=MAX_ATTEMPTS,
            )
        ]
        self.changed_route_fields = {
            "look": {"timeoutMs": PLAIN_TIMEOUT_MS, "maxAttempts": MAX_ATTEMPTS}
        }

    async def start(self):
        """Start everything; daemons that end are started again."""
        self.set_mode(TargetMode.SOUND)
        await super().start()
        for service, count in TARGET_COUNTS.items():
            for number in range(count):
                await self._start_target(f"{service}-{number + 1}", service)
        for number in range(DAEMON_COUNT):
            self.start_daemon(f"a{number + 1}")
        self._tasks.append(asyncio.create_task(self._restart_ended()))

    async def stop(self):
        """Kill all processes and stop all servers."""
        await super().stop()
        for process in self._target_processes.values():
            process.kill()
            process.wait()
        for link in self.links.values():
            await link.stop()

    # Targets

    def set_mode(self, mode):
        """Set the :class:`~soak.target_process.TargetMode` of all targets."""
        mode_path(self.folder).write_text(mode)

    async def _add_plain_target(self, name):
        """Add no target to this process."""

    async def _start_target(self, name, service):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self._target_addresses[name] = address
        self.service_of[name] = service
        self.start_target_process(name)
        link = LoopbackProxy(f"127.0.0.1:{free_ports(1)[0]}", address)
        await link.start()
        self.links[name] = link
        slots = PLAIN_SLOTS if service == PLAIN_SERVICE else STREAM_SLOTS
        content = entry_content(service=service, address=link.address, slots=slots)
        self.store.put("servers", name, content)

    def start_target_process(self, name):
        """Start the process of a target, under the address that it has always had."""
        arguments = [name, self._target_addresses[name], str(self.folder)]
        command = [sys.executable, "-m", "soak.target_process", *arguments]
        log = (self.folder / f"{name}.err").open("a")
        self._target_processes[name] = subprocess.Popen(
            command, stdout=log, stderr=subprocess.STDOUT, cwd=Path(__file__).parents[1]
        )

    def signal_target(self, name, signal_number):
        """Send a signal to the process of a target."""
        self._target_processes[name].send_signal(signal_number)

    async def wait_for_target(self, name):
        """Wait until the process of a target has ended."""
        await asyncio.to_thread(self._target_processes[name].wait)

    # Daemons

    def kill(self, name, signal_number=signal.SIGKILL):
        """See :class:`PlatformSite`."""
        if signal_number == signal.SIGKILL:
            self.kills.append((name, asyncio.get_running_loop().time()))
        super().kill(name, signal_number)

    async def stop_as_planned(self, name):
        """Stop a daemon as for maintenance, and wait for its end."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        while process.poll() is None:
            if asyncio.get_running_loop().time() > deadline:
                self.slow_stops.append(name)
                process.kill()
            await asyncio.sleep(POLL_INTERVAL_S)

    def reload(self, name):
        """Let a daemon read its settings again, once it handles that signal."""
        if handles_sighup(self.processes[name].pid):
            self.kill(name, signal.SIGHUP)

    async def _restart_ended(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for name, process in list(self.processes.items()):
                if process.poll() is not None and name not in self._restarting:
                    self._restarting.add(name)
                    self._tasks.append(asyncio.create_task(self._restart(name)))

    async def _restart(self, name):
        await asyncio.sleep(RESTART_DELAY_S)
        self.start_daemon(name)
        self._restarting.discard(name)

    def _write_settings(self, name, path):
        super()._write_settings(name, path)
        fields = SETTINGS.model_dump().items()
        lines = [f"{key} = {value}" for key, value in fields]
        path.write_text(path.read_text() + "[retries]\n" + "\n".join(lines) + "\n")

    # Records

    def arrivals_at(self, service):
        """Return the sorted :class:`~soak.retry_checks.Arrival` lists by attempt id."""
        by_attempt = {}
        for name, its_service in self.service_of.items():
            if its_service != service:
                continue
            for arrival in read_arrivals(self.folder, name):
                by_attempt.setdefault(arrival.attempt_id, []).append(arrival)
        return {attempt_id: sorted(each) for attempt_id, each in by_attempt.items()}

    def retries_taken(self):
        """Return the number of retries that daemons logged as taken, by attempt id."""
        taken = Counter()
        for log in self.logs().values():
            taken.update(_TAKEN.findall(log))
        return taken
