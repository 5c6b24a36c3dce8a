"""Faults in series that overlap, for runs that use up a retry budget."""

import asyncio
import signal
from collections import Counter
from typing import NamedTuple

from soak.proxy import LinkState
from soak.target_process import TargetMode

__all__ = ["HOLDING_KINDS", "RetryFault", "RetryFaults", "retry_schedule"]

CALM_S = 6.0
"""Time before the first fault, in which budgets are saved."""
MAX_GAP_S = 2.5
BROKEN_MODES = (TargetMode.FAILS, TargetMode.BREAKS, TargetMode.REFUSES)
SHARES = (0.4, 0.7, 1.0, 1.0)
"""Shares of targets, links or daemons that a fault affects."""
RESET_INTERVAL_S = 0.08
KILL_INTERVAL_S = 1.2
MAX_PAUSE_S = 3.0
MAX_OUTAGE_S = 6.0
TARGET_RESTART_DELAY_S = 0.5
HOLDING_KINDS = frozenset(("targets_stand_still", "links_held", "links_cut_one_way"))
"""Kinds of faults in which targets read requests later than they were sent."""
_WEIGHTS = {
    "targets_broken": 10,
    "targets_stand_still": 8,
    "targets_restart": 4,
    "links_held": 4,
    "links_reset": 4,
    "links_cut_one_way": 2,
    "daemons_killed": 8,
    "daemons_killed_in_turn": 3,
    "daemons_stopped_in_turn": 2,
    "daemons_paused": 3,
    "daemons_reload": 2,
    "store_away": 2,
}


class RetryFault(NamedTuple):
    """A fault.

    :param at_s: seconds since the start of the callers.
    :param kind: name of the method of :class:`RetryFaults` that applies it.
    :param share: share of the targets, links or daemons that it affects.
    :param duration_s: its duration in seconds, where it lasts.
    :param mode: :class:`~soak.target_process.TargetMode` of broken targets.
    """

    at_s: float
    kind: str
    share: float
    duration_s: float
    mode: TargetMode


def retry_schedule(rng, duration_s):
    """Return the :class:`RetryFault` list of a run, sorted by time.

    :param rng: :class:`random.Random`
    :param duration_s: seconds from the start of the callers until the last fault ends.
    """
    faults, at_s = [], CALM_S
    while at_s < duration_s:
        kind = rng.choices(tuple(_WEIGHTS), tuple(_WEIGHTS.values()))[0]
        longest_s = duration_s - at_s
        lasts_s = min(rng.choice((2.0, 5.0, 9.0, 16.0, 22.0)), longest_s)
        mode = rng.choice(BROKEN_MODES)
        faults.append(RetryFault(at_s, kind, rng.choice(SHARES), lasts_s, mode))
        at_s += rng.uniform(0.2, MAX_GAP_S)
    return faults


class RetryFaults:
    """Applies faults to a site.

    :param site: :class:`~soak.retry_site.RetrySite`
    :param rng: :class:`random.Random`
    """

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._modes = []
        self._stopped = Counter()
        """Number of faults that stop a process, by the name of its target or daemon."""
        self._held = Counter()
        """Number of faults that hold a link, by the name of its target."""

    async def run(self, schedule):
        """Apply all faults of a schedule; return once they have ended."""
        began_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for fault in schedule:
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, began_at + fault.at_s - now))
                group.create_task(getattr(self, "_" + fault.kind)(fault))

    def _some(self, items, share):
        items = sorted(items)
        return self._rng.sample(items, max(1, round(share * len(items))))

    async def _targets_broken(self, fault):
        self._modes.append(fault.mode)
        self._site.set_mode(fault.mode)
        await asyncio.sleep(fault.duration_s)
        self._modes.remove(fault.mode)
        self._site.set_mode(self._modes[-1] if self._modes else TargetMode.SOUND)

    async def _targets_stand_still(self, fault):
        names = self._some(self._site.service_of, fault.share)
        await self._stop_processes(names, self._site.signal_target, fault.duration_s)

    async def _stop_processes(self, names, send_signal, duration_s):
        """Stop processes; each goes on once no fault stops it any longer."""
        self._stopped.update(names)
        for name in names:
            send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._stopped.subtract(names)
        for name in names:
            if not self._stopped[name]:
                send_signal(name, signal.SIGCONT)

    async def _targets_restart(self, fault):
        for name in self._some(self._site.service_of, fault.share):
            self._site.signal_target(name, signal.SIGKILL)
            await self._site.wait_for_target(name)
            await asyncio.sleep(TARGET_RESTART_DELAY_S)
            self._site.start_target_process(name)

    async def _hold_links(self, fault, state):
        names = self._some(self._site.links, fault.share)
        self._held.update(names)
        for name in names:
            self._site.links[name].state = state
        await asyncio.sleep(fault.duration_s)
        self._held.subtract(names)
        for name in names:
            if not self._held[name]:
                self._site.links[name].state = LinkState.SOUND

    async def _links_held(self, fault):
        await self._hold_links(fault, LinkState.SILENT)

    async def _links_cut_one_way(self, fault):
        await self._hold_links(fault, LinkState.ONE_WAY)

    async def _links_reset(self, fault):
        names = self._some(self._site.links, fault.share)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + fault.duration_s
        while loop.time() < ends_at:
            for name in names:
                self._site.links[name].reset()
            await asyncio.sleep(RESET_INTERVAL_S)

    async def _daemons_killed(self, fault):
        for name in self._some(self._site.processes, fault.share):
            self._site.kill(name)

    async def _daemons_killed_in_turn(self, fault):
        for name in self._some(self._site.processes, fault.share):
            self._site.kill(name)
            await asyncio.sleep(KILL_INTERVAL_S)

    async def _daemons_stopped_in_turn(self, fault):
        for name in self._some(self._site.processes, fault.share / 2):
            await self._site.stop_as_planned(name)

    async def _daemons_paused(self, fault):
        names = self._some(self._site.processes, fault.share)
        pause_s = min(fault.duration_s, MAX_PAUSE_S)
        await self._stop_processes(names, self._site.kill, pause_s)

    async def _daemons_reload(self, fault):
        for name in self._some(self._site.processes, fault.share):
            self._site.reload(name)

    async def _store_away(self, fault):
        self._site.store.is_down = True
        await asyncio.sleep(min(fault.duration_s, MAX_OUTAGE_S))
        self._site.store.is_down = False
