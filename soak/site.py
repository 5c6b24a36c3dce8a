"""The site of a run: real daemons before a small platform, through proxies."""

import asyncio
import signal
from collections import deque
from pathlib import Path

from features.support.platform_site import ENDS, KEY, PlatformSite
from harness.ports import free_ports
from soak.history import SiteHistory
from soak.proxy import LinkState, LoopbackProxy
from soak.schedule import DAEMON_FAULTS, FaultKind

__all__ = ["DAEMONS", "SoakSite"]

DAEMONS = 4
RESTART_S = 0.4
"""Pause before a process that ended is started again."""
WATCH_S = 0.05
SLOW_STORE_S = 0.6
COPY_S = 0.25
MOST_COPIES = 40
"""Copies of the store that are kept, ten seconds of them."""
LONGEST_AWAY_S = 2.0
WRITTEN_AGAIN_S = 1.5
"""Time within which the platform writes its own rows again that the store has lost."""
STOP_S = 8.0
"""A daemon's own settings allow it this long to stop."""
SPOILED_ENTRY = b'{"service": 7, "address": null, "state": "ready"}'
"""An entry as another writer may leave it."""
RESET_AGAIN_S = 0.1
ENDING_REQUESTS = 2
"""Different requests that end their targets, in one run."""
ENDING_AGAIN_S = 0.5
HANDLED = ("SigIgn:", "SigCgt:")
"""Lines of a process's status that say which signals it ignores or catches."""
MOST_ENGINES_LOST = 4
"""Beyond that no model could be served and nothing would be learnt."""


class SoakSite(PlatformSite):
    """A platform with proxies before the store, the targets and the daemons.

    :param rng: :class:`random.Random`
    """

    def __init__(self, rng):
        super().__init__(daemons=0)
        self.history = SiteHistory(lambda: asyncio.get_running_loop().time())
        self.front_proxies = {}
        self._rng = rng
        self._store_proxies = {}
        self._target_proxies = {}
        self._plain = {}
        self._expected_ends = set()
        self._alive_at = {}
        self._restarting = set()
        self._lost = 0
        self._turn = 0
        self._deeds = set()
        self._copies = deque(maxlen=MOST_COPIES)
        self.call_ending = None

    async def start(self):
        """Start everything and keep ended daemons starting again."""
        await super().start()
        for number in range(DAEMONS):
            await self._add_daemon(f"a{number + 1}")
        self._tasks.append(asyncio.create_task(self._restart_ended()))
        self._tasks.append(asyncio.create_task(self._copy_store()))
        for task in self._tasks:
            task.add_done_callback(self._note_broken)

    async def _add_daemon(self, name):
        self._store_proxies[name] = await self._proxy(self.store_address)
        self.start_daemon(name)
        self.history.started(name, asyncio.get_running_loop().time())
        self._begin(self._wait_until_ready(name))
        self.front_proxies[name] = await self._proxy(self.fronts[name])

    async def _proxy(self, upstream):
        proxy = LoopbackProxy(f"127.0.0.1:{free_ports(1)[0]}", upstream)
        await proxy.start()
        return proxy

    async def published_address(self, address):
        """Return the address of a new proxy before a target."""
        proxy = await self._proxy(address)
        self._target_proxies[proxy.address] = proxy
        return proxy.address

    def store_address_of(self, name):
        """Return the address of the proxy through which a daemon reaches the store."""
        return self._store_proxies[name].address

    async def stop(self):
        """End all that was started."""
        for deed in self._deeds:
            deed.cancel()
        await asyncio.gather(*self._deeds, return_exceptions=True)
        await super().stop()
        for proxies in (self.front_proxies, self._store_proxies, self._target_proxies):
            for proxy in proxies.values():
                await proxy.stop()

    async def _restart_ended(self):
        while True:
            await asyncio.sleep(WATCH_S)
            for name, process in list(self.processes.items()):
                if process.poll() is None:
                    self._alive_at[name] = asyncio.get_running_loop().time()
                elif name not in self._restarting:
                    self._restarting.add(name)
                    self._begin(self._restart(name, process))

    async def _restart(self, name, ended):
        """Start a daemon again; it is disturbed from its end until it listens."""
        if ended.pid not in self._expected_ends:
            self.history.own_ends.append((name, ended.returncode))
        await asyncio.sleep(RESTART_S)
        self.start_daemon(name)
        self.history.started(name, self._alive_at.get(name, 0.0))
        self._restarting.discard(name)
        await self._wait_until_ready(name)

    async def _wait_until_ready(self, name):
        process = self.processes[name]
        host, port = self.fronts[name].rsplit(":", 1)
        with self.history.disturbance(name):
            while process.poll() is None:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    # It does not listen yet.
                    await asyncio.sleep(WATCH_S)
                    continue
                writer.close()
                return

    # Faults.

    def apply(self, fault):
        """Begin a fault, which ends by itself.

        :param fault: :class:`~soak.schedule.Fault`
        """
        self._begin(self._apply(fault))

    def _begin(self, coroutine):
        deed = asyncio.create_task(coroutine)
        self._deeds.add(deed)
        deed.add_done_callback(self._done)

    def _done(self, deed):
        self._deeds.discard(deed)
        self._note_broken(deed)

    def _note_broken(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.history.broken_faults.append(repr(task.exception()))

    async def faults_over(self):
        """Wait until all faults have ended and what ended has been started again."""
        while self._deeds:
            await asyncio.wait(self._deeds)
            await asyncio.sleep(2 * WATCH_S)

    async def _apply(self, fault):
        names = sorted(self.processes)
        name = names[int(fault.luck * len(names))]
        # Each kind has a method of its name.
        act = getattr(self, "_do_" + fault.kind.value.replace("-", "_"))
        if fault.kind in DAEMON_FAULTS:
            planned = fault.kind in (FaultKind.STOP, FaultKind.RELOAD)
            with self.history.disturbance(name, planned):
                await act(name, fault)
        elif fault.kind.value.startswith("store"):
            with self.history.disturbance("store"):
                await act(fault)
        else:
            with self.history.disturbance("targets"):
                await act(fault)

    def _signal(self, name, number, ends=False):
        process = self.processes[name]
        if process.poll() is None:
            if ends:
                self._expected_ends.add(process.pid)
            process.send_signal(number)
        return process

    async def _do_kill(self, name, fault):
        self._signal(name, signal.SIGKILL, ends=True)

    async def _do_kill_all(self, fault):
        for name in self.processes:
            with self.history.disturbance(name):
                self._signal(name, signal.SIGKILL, ends=True)

    async def _do_pause(self, name, fault):
        process = self._signal(name, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _do_stop(self, name, fault):
        process = self._signal(name, signal.SIGTERM, ends=True)
        until = asyncio.get_running_loop().time() + STOP_S
        while process.poll() is None and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(WATCH_S)
        if process.poll() is None:
            self.history.slow_stops.append(name)
            process.kill()

    async def _do_reload(self, name, fault):
        if _handles_hangup(self.processes[name].pid):
            self._signal(name, signal.SIGHUP)

    async def _do_callers_reset(self, name, fault):
        self.front_proxies[name].reset()

    async def _do_callers_delayed(self, name, fault):
        await self._hold(self.front_proxies[name], LinkState.DELAYED, fault.for_s)

    async def _do_store_link_silent(self, name, fault):
        await self._hold(self._store_proxies[name], LinkState.SILENT, fault.for_s)

    async def _do_store_link_one_way(self, name, fault):
        await self._hold(self._store_proxies[name], LinkState.ONE_WAY, fault.for_s)

    async def _do_store_link_reset(self, name, fault):
        self._store_proxies[name].reset()

    async def _hold(self, proxy, state, for_s):
        proxy.state = state
        await asyncio.sleep(for_s)
        proxy.state = LinkState.SOUND

    async def _do_store_away(self, fault):
        self.store.is_away = True
        await asyncio.sleep(fault.for_s)
        self.store.is_away = False

    async def _copy_store(self):
        while True:
            self._copies.append(self.store.copy())
            await asyncio.sleep(COPY_S)

    async def _do_store_older(self, fault):
        if not self._copies:
            # It has come back a moment ago.
            return
        copy = self._copies[int(fault.luck * len(self._copies))]
        self.store.is_away = True
        await asyncio.sleep(min(fault.for_s, LONGEST_AWAY_S))
        self.store.is_away = False
        lost = self.store.come_back(copy)
        self._copies.clear()
        self._rng.shuffle(lost)
        for row in lost:
            await asyncio.sleep(WRITTEN_AGAIN_S / len(lost))
            self.store.write_again(*row)

    async def _do_store_slow(self, fault):
        self.store.delay_s = SLOW_STORE_S
        await asyncio.sleep(fault.for_s)
        self.store.delay_s = 0.0

    async def _do_store_loses_answers(self, fault):
        self.store.loses_answers = True
        await asyncio.sleep(fault.for_s)
        self.store.loses_answers = False

    def _some_engine(self, fault):
        joined = [e for e in self.world.engines.values() if e.membership is not None]
        return joined[int(fault.luck * len(joined))] if joined else None

    async def _do_engine_dark(self, fault):
        engine = self._some_engine(fault)
        if engine is not None:
            engine.is_unreachable = True
            await asyncio.sleep(fault.for_s)
            engine.is_unreachable = False

    async def _do_engine_lost(self, fault):
        engine = self._some_engine(fault)
        if engine is not None and self._lost < MOST_ENGINES_LOST:
            self._lost += 1
            self.world.engines.pop(engine.id, None)

    async def _do_engine_starts_again(self, fault):
        engine = self._some_engine(fault)
        if engine is not None:
            self.world.restart(engine)

    def stop_listening(self, target, server):
        """Let the target's proxy refuse connections too."""
        super().stop_listening(target, server)
        address = self._addresses.get(target) or self._plain[target]
        proxy = self._target_proxies.pop(address)
        self._begin(proxy.stop())

    async def _do_targets_ended(self, fault):
        """Let one request that ends its targets come again and again.

        The same few come in all faults of this kind, so that they come long after
        they have ended three targets.
        """
        name = f"{ENDS}{int(fault.luck * ENDING_REQUESTS)}"
        loop = asyncio.get_running_loop()
        until = loop.time() + fault.for_s
        while loop.time() < until:
            await self.call_ending(name)
            await asyncio.sleep(ENDING_AGAIN_S)

    async def _do_entry_spoiled(self, fault):
        """Let another writer replace an engine's entry until its next own one."""
        engine = self._some_engine(fault)
        if engine is not None:
            self.store.put("servers", engine.id, SPOILED_ENTRY)
            await asyncio.sleep(fault.for_s)
            self._listed.pop(engine.id, None)

    async def _do_engine_added(self, fault):
        self._lost -= 1
        await self.add_engine("d1" if fault.luck < 0.5 else "d2")

    def _some_target_proxy(self, fault):
        proxies = list(self._target_proxies.values())
        return proxies[int(fault.luck * len(proxies))]

    async def _do_engine_link_reset(self, fault):
        self._some_target_proxy(fault).reset()

    async def _do_engine_link_silent(self, fault):
        await self._hold(
            self._some_target_proxy(fault), LinkState.SILENT, min(fault.for_s, 2.0)
        )

    def list_plain(self, name, address, state="ready"):
        """Write the entry of a plain target."""
        self._plain[name] = address
        super().list_plain(name, address, state)

    async def _do_target_leaves(self, fault):
        name = f"q{self._rng.randrange(1 << 32)}"
        await self._add_plain(name)
        await asyncio.sleep(fault.for_s)
        self.list_plain(name, self._plain[name], "draining")
        self.history.leaving(name)

    async def _do_target_resets(self, fault):
        names = sorted(self._plain)
        address = self._plain[names[int(fault.luck * len(names))]]
        loop = asyncio.get_running_loop()
        until = loop.time() + fault.for_s
        while loop.time() < until:
            self._target_proxies[address].reset()
            await asyncio.sleep(RESET_AGAIN_S)

    async def _do_key_changes(self, fault):
        self._turn += 1
        self.keys = [KEY, f"turn-{self._turn}"]
        self.write_configuration()
        self.history.configured(self._turn)


def _handles_hangup(pid):
    """Whether a daemon's first line has run: before that SIGHUP ends any program."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        # It has ended.
        return False
    masks = [line.split()[1] for line in lines if line.startswith(HANDLED)]
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(mask, 16) & bit for mask in masks)
