"""The site of a soak run: real daemons on a small platform, behind proxies."""

import asyncio
import signal
from collections import deque
from pathlib import Path

from starlette.responses import Response

from cowslipcourse.entry.pauses import ticks
from features.support.engine_world import SERVICE
from features.support.platform_site import (
    CRASH_PREFIX,
    KEY,
    PLAIN_SERVICE,
    PlatformSite,
)
from harness.ports import free_ports
from soak.history import SiteHistory
from soak.proxy import LinkState, LoopbackProxy
from soak.schedule import DAEMON_FAULTS
from soak.silences import ServiceSilences

__all__ = ["DAEMONS", "SoakSite", "handles_sighup"]

DAEMONS = 4
RESTART_DELAY_S = 0.4
"""Delay before a process that has exited is restarted."""
POLL_INTERVAL_S = 0.05
LATENESS_INTERVAL_S = 0.05
MIN_LATENESS_S = 0.1
"""Lateness of a tick that counts as a stand-still of the platform."""
STORE_DELAY_S = 0.6
COPY_INTERVAL_S = 0.25
MAX_COPIES = 40
"""Copies of the store that are kept: ten seconds of them."""
MAX_STORE_OUTAGE_S = 2.0
ROWS_REWRITTEN_WITHIN_S = 1.5
"""Time within which the platform rewrites its own rows that the store has lost."""
STOP_TIMEOUT_S = 8.0
"""Time that a daemon's settings allow for its shutdown."""
MALFORMED_ENTRY = b'{"service": 7, "address": null, "state": "ready"}'
"""A malformed list entry, as another writer may leave it."""
RESET_INTERVAL_S = 0.1
CRASHING_REQUEST_COUNT = 2
"""Distinct requests that crash their targets in one run."""
CRASH_INTERVAL_S = 0.5
RATE_LIMITS = (1.0, 0.5, 4.0)
"""Requests per second that limited targets accept."""
LIMITED_S = 8.0
PAUSE_S = 2.5
MAX_SILENCE_S = 1.5
FAILURE_STATUS = 500
SLOW_EXECUTION_S = 3.0
"""Time for which a slow target runs a request."""
SIGNAL_MASK_FIELDS = ("SigIgn:", "SigCgt:")
"""Lines of ``/proc/PID/status`` that hold the ignored and the caught signals."""
MAX_ENGINES_LOST = 4
"""With more engines lost no model could be served, and a run would test nothing."""


class SoakSite(PlatformSite):
    """A platform with proxies in front of the store, the targets and the daemons.

    :param rng: :class:`random.Random`
    :param retry_settings: :class:`~cowslipcourse.entry.settings.RetrySettings` of the
        daemons, or ``None`` for the default ones, which the run does not use up.
    """

    def __init__(self, rng, retry_settings=None):
        super().__init__(daemon_count=0)
        self.history = SiteHistory(lambda: asyncio.get_running_loop().time())
        self.front_proxies = {}
        self._rng = rng
        self._store_proxies = {}
        self._target_proxies = {}
        self._plain_addresses = {}
        self._expected_exits = set()
        self._last_alive_at = {}
        self._restarting = set()
        self._engines_lost = 0
        self._key_version = 0
        self._paused_until = {}
        self._silences = ServiceSilences(self)
        self._active_tasks = set()
        self._failing_count = 0
        self._retry_settings = retry_settings
        self._copies = deque(maxlen=MAX_COPIES)
        self.send_crashing_request = None

    @property
    def retry_settings(self):
        """Retry settings of the daemons, or ``None`` for the default ones."""
        return self._retry_settings

    async def start(self):
        """Start everything, and restart daemons whenever they exit."""
        await super().start()
        for number in range(DAEMONS):
            await self._add_daemon(f"a{number + 1}")
        self._tasks.append(asyncio.create_task(self._restart_ended()))
        self._tasks.append(asyncio.create_task(self._copy_store()))
        self._tasks.append(asyncio.create_task(self._measure_lateness()))
        for task in self._tasks:
            task.add_done_callback(self._record_failure)

    async def _measure_lateness(self):
        """Record when this process runs nothing of the platform."""
        async for now, late_s in ticks(LATENESS_INTERVAL_S):
            if late_s > MIN_LATENESS_S:
                self.history.stand_stills.append((now - late_s, now))

    async def _add_daemon(self, name):
        self._store_proxies[name] = await self._start_proxy(self.store_address)
        self.start_daemon(name)
        self.history.record_start(name, asyncio.get_running_loop().time())
        self._start_task(self._wait_until_ready(name))
        self.front_proxies[name] = await self._start_proxy(self.front_addresses[name])

    async def _start_proxy(self, upstream):
        proxy = LoopbackProxy(f"127.0.0.1:{free_ports(1)[0]}", upstream)
        await proxy.start()
        return proxy

    async def published_address(self, address):
        """Return the address of a new proxy in front of a target."""
        proxy = await self._start_proxy(address)
        self._target_proxies[proxy.address] = proxy
        return proxy.address

    def store_address_of(self, name):
        """Return the address of the proxy through which a daemon reaches the store."""
        return self._store_proxies[name].address

    async def stop(self):
        """Stop all tasks, processes and proxies."""
        for task in self._active_tasks:
            task.cancel()
        await asyncio.gather(*self._active_tasks, return_exceptions=True)
        await super().stop()
        for proxies in (self.front_proxies, self._store_proxies, self._target_proxies):
            for proxy in proxies.values():
                await proxy.stop()

    async def _restart_ended(self):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for name, process in list(self.processes.items()):
                if process.poll() is None:
                    self._last_alive_at[name] = asyncio.get_running_loop().time()
                elif name not in self._restarting:
                    self._restarting.add(name)
                    self._start_task(self._restart(name, process))

    async def _restart(self, name, ended_process):
        """Restart a daemon; it counts as disturbed from its exit until it listens."""
        if ended_process.pid not in self._expected_exits:
            self.history.unexpected_exits.append((name, ended_process.returncode))
        await asyncio.sleep(RESTART_DELAY_S)
        self.start_daemon(name)
        self.history.record_start(name, self._last_alive_at.get(name, 0.0))
        self._restarting.discard(name)
        await self._wait_until_ready(name)

    async def _wait_until_ready(self, name):
        process = self.processes[name]
        host, port = self.front_addresses[name].rsplit(":", 1)
        with self.history.disturbance(name):
            while process.poll() is None:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    # The daemon does not listen yet.
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                writer.close()
                return

    # Faults

    def apply(self, fault):
        """Start a fault, which ends by itself.

        :param fault: :class:`~soak.schedule.Fault`
        """
        self._start_task(self._apply(fault))

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._active_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self._active_tasks.discard(task)
        self._record_failure(task)

    def _record_failure(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.history.failed_tasks.append(repr(task.exception()))

    async def wait_for_faults(self):
        """Wait until all faults have ended and all exited daemons are restarted."""
        while self._active_tasks:
            await asyncio.wait(self._active_tasks)
            await asyncio.sleep(2 * POLL_INTERVAL_S)

    async def _apply(self, fault):
        names = sorted(self.processes)
        name = names[int(fault.victim_fraction * len(names))]
        # Each kind is handled by the method of the same name.
        apply_kind = getattr(self, "_do_" + fault.kind.value.replace("-", "_"))
        arguments = (name, fault) if fault.kind in DAEMON_FAULTS else (fault,)
        with self.history.fault(fault.kind, name):
            await apply_kind(*arguments)

    def _send_signal(self, name, signal_number, expects_exit=False):
        process = self.processes[name]
        if process.poll() is None:
            if expects_exit:
                self._expected_exits.add(process.pid)
            process.send_signal(signal_number)
        return process

    async def _do_kill(self, name, fault):
        self._send_signal(name, signal.SIGKILL, expects_exit=True)

    async def _do_kill_all(self, fault):
        for name in self.processes:
            with self.history.disturbance(name):
                self._send_signal(name, signal.SIGKILL, expects_exit=True)

    async def _do_pause(self, name, fault):
        process = self._send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _do_stop(self, name, fault):
        process = self._send_signal(name, signal.SIGTERM, expects_exit=True)
        deadline = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
        while process.poll() is None and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            self.history.slow_stops.append(name)
            process.kill()

    async def _do_reload(self, name, fault):
        if handles_sighup(self.processes[name].pid):
            self._send_signal(name, signal.SIGHUP)

    async def _do_callers_reset(self, name, fault):
        self.front_proxies[name].reset()

    async def _do_callers_delayed(self, name, fault):
        await self._hold_state(
            self.front_proxies[name], LinkState.DELAYED, fault.duration_s
        )

    async def _do_store_link_silent(self, name, fault):
        await self._hold_state(
            self._store_proxies[name], LinkState.SILENT, fault.duration_s
        )

    async def _do_store_link_one_way(self, name, fault):
        await self._hold_state(
            self._store_proxies[name], LinkState.ONE_WAY, fault.duration_s
        )

    async def _do_store_link_reset(self, name, fault):
        self._store_proxies[name].reset()

    async def _hold_state(self, proxy, state, duration_s):
        proxy.state = state
        await asyncio.sleep(duration_s)
        proxy.state = LinkState.SOUND

    async def _do_targets_fail(self, fault):
        self._failing_count += 1
        await asyncio.sleep(fault.duration_s)
        self._failing_count -= 1

    def _record_arrival(self, target, attempt_id):
        super()._record_arrival(target, attempt_id)
        service = SERVICE if target in self.world.engines else PLAIN_SERVICE
        now = asyncio.get_running_loop().time()
        self.history.record_arrival(service, attempt_id, now)

    def _refusal(self, target, attempt_id):
        if self._failing_count:
            headers = {"x-attempt-id": attempt_id}
            return Response(status_code=FAILURE_STATUS, headers=headers)
        return super()._refusal(target, attempt_id)

    def _write_settings(self, name, path):
        super()._write_settings(name, path)
        if self._retry_settings is None:
            return
        fields = self._retry_settings.model_dump().items()
        lines = [f"{key} = {value}" for key, value in fields]
        path.write_text(path.read_text() + "[retries]\n" + "\n".join(lines) + "\n")

    async def _do_store_away(self, fault):
        self.store.is_down = True
        await asyncio.sleep(fault.duration_s)
        self.store.is_down = False

    async def _copy_store(self):
        while True:
            self._copies.append(self.store.copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _do_store_older(self, fault):
        if not self._copies:
            # The store has just been restored, so there is no copy yet.
            return
        copy = self._copies[int(fault.victim_fraction * len(self._copies))]
        self.store.is_down = True
        await asyncio.sleep(min(fault.duration_s, MAX_STORE_OUTAGE_S))
        self.store.is_down = False
        lost_rows = self.store.restore(copy)
        self._copies.clear()
        self._rng.shuffle(lost_rows)
        for row in lost_rows:
            await asyncio.sleep(ROWS_REWRITTEN_WITHIN_S / len(lost_rows))
            self.store.rewrite_lost_row(*row)

    async def _do_store_slow(self, fault):
        self.store.delay_s = STORE_DELAY_S
        await asyncio.sleep(fault.duration_s)
        self.store.delay_s = 0.0

    async def _do_store_loses_answers(self, fault):
        self.store.loses_replies = True
        await asyncio.sleep(fault.duration_s)
        self.store.loses_replies = False

    def _pick_engine(self, fault):
        joined = [
            engine
            for engine in self.world.engines.values()
            if engine.membership is not None
        ]
        return joined[int(fault.victim_fraction * len(joined))] if joined else None

    async def _do_engine_dark(self, fault):
        engine = self._pick_engine(fault)
        if engine is not None:
            engine.is_unreachable = True
            await asyncio.sleep(fault.duration_s)
            engine.is_unreachable = False

    async def _do_engine_lost(self, fault):
        engine = self._pick_engine(fault)
        if engine is not None and self._engines_lost < MAX_ENGINES_LOST:
            self._engines_lost += 1
            self.world.engines.pop(engine.id, None)

    async def _do_engine_starts_again(self, fault):
        engine = self._pick_engine(fault)
        if engine is not None:
            self.world.restart(engine)

    def stop_listening(self, target, server):
        """Make the target's proxy refuse connections too."""
        super().stop_listening(target, server)
        address = self._addresses.get(target) or self._plain_addresses[target]
        proxy = self._target_proxies.pop(address)
        self._start_task(proxy.stop())

    async def _do_targets_ended(self, fault):
        """Send a request that crashes its targets repeatedly.

        All faults of this kind choose from the same few requests, so that these also
        arrive long after they have crashed three targets.
        """
        request_name = (
            f"{CRASH_PREFIX}{int(fault.victim_fraction * CRASHING_REQUEST_COUNT)}"
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + fault.duration_s
        while loop.time() < deadline:
            await self.send_crashing_request(request_name)
            await asyncio.sleep(CRASH_INTERVAL_S)

    async def _do_target_limited(self, fault):
        """Let a target state a rate limit for long enough to be checked."""
        target = self._pick_target(fault)
        self.rate_limits[target] = RATE_LIMITS[len(self.rate_limits) % len(RATE_LIMITS)]
        await asyncio.sleep(LIMITED_S + fault.duration_s)
        self.rate_limits[target] = None

    async def _do_target_pauses(self, fault):
        """Let a target refuse all requests and ask for a pause each time."""
        target = self._pick_target(fault)
        self.pauses[target] = PAUSE_S
        await asyncio.sleep(fault.duration_s)
        self.pauses[target] = None

    async def _do_target_silent(self, fault):
        """Let a sound target send nothing for a while."""
        target, now = self._pick_target(fault), asyncio.get_running_loop().time()
        silence_s = min(fault.duration_s, MAX_SILENCE_S)
        self.silent_until[target] = now + silence_s
        self.history.silences.append((now, now + silence_s))
        await asyncio.sleep(silence_s)

    async def _do_service_silent(self, fault):
        """Let targets of a service pause together, shortly after a configuration."""
        await self._silences.run(fault)

    def pause_targets(self, targets, until):
        """Let targets send nothing at all, reports included, until a loop time."""
        for target in targets:
            self._paused_until[target] = until
            self.silent_until[target] = max(until, self.silent_until.get(target, 0.0))

    async def _wait_for_engine(self, engine_id):
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._paused_until.get(engine_id, now) - now)
        return await super()._wait_for_engine(engine_id)

    @property
    def targets_by_service(self):
        """Names of all targets by service."""
        return {
            SERVICE: sorted(self.world.engines),
            PLAIN_SERVICE: sorted(self._plain_addresses),
        }

    async def _do_targets_slow(self, fault):
        """Let all targets run new requests for longer."""
        self.min_execution_s = SLOW_EXECUTION_S
        await asyncio.sleep(fault.duration_s)
        self.min_execution_s = 0.0

    def _pick_target(self, fault):
        """Return the head of a group or a plain target."""
        heads = [e.id for e in self.world.engines.values() if e.is_open_head]
        targets = sorted((*heads, *self._plain_addresses))
        return targets[int(fault.victim_fraction * len(targets))]

    async def _do_entry_spoiled(self, fault):
        """Replace an engine's entry by a malformed one until the fault ends."""
        engine = self._pick_engine(fault)
        if engine is not None:
            self.store.put("servers", engine.id, MALFORMED_ENTRY)
            await asyncio.sleep(fault.duration_s)
            self._published_entries.pop(engine.id, None)

    async def _do_engine_added(self, fault):
        self._engines_lost -= 1
        await self.add_engine("d1" if fault.victim_fraction < 0.5 else "d2")

    def _pick_target_proxy(self, fault):
        proxies = list(self._target_proxies.values())
        return proxies[int(fault.victim_fraction * len(proxies))]

    async def _do_engine_link_reset(self, fault):
        self._pick_target_proxy(fault).reset()

    async def _do_engine_link_silent(self, fault):
        await self._hold_state(
            self._pick_target_proxy(fault), LinkState.SILENT, min(fault.duration_s, 2.0)
        )

    def publish_plain_target(self, name, address, state="ready"):
        """Write the list entry of a plain target."""
        self._plain_addresses[name] = address
        super().publish_plain_target(name, address, state)

    async def _do_target_leaves(self, fault):
        name = f"q{self._rng.randrange(1 << 32)}"
        await self._add_plain_target(name)
        await asyncio.sleep(fault.duration_s)
        self.publish_plain_target(name, self._plain_addresses[name], "draining")
        self.history.record_draining(name)

    async def _do_target_resets(self, fault):
        names = sorted(self._plain_addresses)
        address = self._plain_addresses[names[int(fault.victim_fraction * len(names))]]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + fault.duration_s
        while loop.time() < deadline:
            self._target_proxies[address].reset()
            await asyncio.sleep(RESET_INTERVAL_S)

    async def _do_key_changes(self, fault):
        self._configure_keys(KEY, f"turn-{self._key_version + 1}")

    async def _do_keys_taken_away(self, fault):
        """Take all keys away, and give one back unless a fault has done so."""
        self.history.keyless_versions.add(self._key_version + 1)
        self._configure_keys()
        await asyncio.sleep(fault.duration_s)
        if not self.keys:
            self._configure_keys(KEY, f"turn-{self._key_version + 1}")

    def _configure_keys(self, *keys):
        self._key_version += 1
        self.keys = list(keys)
        self.write_configuration()
        self.history.record_key_configured(self._key_version)


def handles_sighup(pid):
    """Whether a daemon handles SIGHUP, which ends it before its first line has run."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # The process has exited.
        return False
    masks = [line.split()[1] for line in lines if line.startswith(SIGNAL_MASK_FIELDS)]
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)
