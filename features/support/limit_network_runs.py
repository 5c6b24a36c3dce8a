"""Random runs of many daemons and rate-limited targets, over the daemons' own links.

Daemons are disconnected from each other, restart, and lose datagrams; targets begin,
change and end their limits, restart under their ids and reuse addresses. Each daemon
uses its own rate limiter; choosing and sending are reduced to the necessary.
"""

import asyncio
import contextlib
import random
from typing import NamedTuple

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.limit_oracle import LimitOracle
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.exceptions import TargetUnreachable, TargetWithheld
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.load_balancing import Candidate
from cowslipcourse.load_balancing.target_selection import choose_target
from cowslipcourse.peer_protocol import PeerRegistry
from cowslipcourse.platform.backpressure import encode_rate_limit
from cowslipcourse.platform.headers import MISDIRECTED_REQUEST
from cowslipcourse.ports import TargetEntry
from cowslipcourse.rate_limit_runtime import RateLimiter
from features.support.daemon_network import DaemonNetwork, NetworkShape

__all__ = [
    "LimitRun",
    "LimitScenario",
    "LimitSimulation",
    "limit_violations",
    "random_scenario",
    "simulate_network",
]

LINK_DELAY_S = 0.001
RESPONSE_DELAY_RANGE_S = (0.02, 0.4)
LIST_DELAY_S = 0.8
"""Time until a change of the list of targets reaches the daemons."""
STARTUP_S = 6.0
"""Time in which daemons get to know each other before the first limit."""
RESTART_S = 1.0
SLOTS = 8


class LimitScenario(NamedTuple):
    """One random run.

    :param shape: :class:`~features.support.daemon_network.NetworkShape`
    :param targets: number of targets.
    :param limited: number of targets that state a limit.
    :param limit_per_s: their limit.
    :param demand_per_s: requests per second of all daemons.
    :param limited_s: time for which the limit is stated.
    :param cuts: number of times that a few daemons are cut off from the others.
    :param restarts: number of restarts of daemons.
    :param fleet_restarts: number of restarts of all daemons at once.
    :param target_restarts: number of restarts of limited targets under their ids.
    :param reuses: number of addresses of limited targets that another target takes.
    :param changes_limit: whether the limit changes while it is stated.
    :param probes_state_limit: whether responses to probes state limits.
    """

    shape: NetworkShape
    targets: int
    limited: int
    limit_per_s: float
    demand_per_s: float
    limited_s: float = 14.0
    cuts: int = 0
    restarts: int = 0
    fleet_restarts: int = 0
    target_restarts: int = 0
    reuses: int = 0
    changes_limit: bool = False
    probes_state_limit: bool = True


class LimitRun(NamedTuple):
    """Results of a run.

    :param figures: :class:`~cowslipcourse.emulator.limit_oracle.LimitFigures` list.
    :param refused: requests for which no target was usable.
    :param sent: requests sent.
    :param recovered_fraction: requests to targets in the last seconds, whose limits
        have ended 3 s before, relative to an even share; ``None`` without such targets.
    :param bytes_per_s: most bytes per second that a daemon has sent for limits.
    """

    figures: list
    refused: int
    sent: int
    recovered_fraction: float | None
    bytes_per_s: float


class _Target:
    def __init__(self, number):
        self.entry = TargetEntry(
            f"t{number}", "s", f"10.9.0.{number}:1", "hall-0", SLOTS, incarnation=1
        )
        self.limit_per_s = None
        self.has_stated = False
        self.is_replaced = False

    @property
    def instance(self):
        return self.entry.id, self.entry.incarnation


class _CountingLink:
    """Counts the bytes that a daemon sends for limits."""

    def __init__(self, daemon):
        self._daemon = daemon
        self.sent_bytes = 0

    def __getattr__(self, name):
        return getattr(self._daemon.link, name)

    def send(self, message, addresses):
        before = self._daemon.sent_bytes
        self._daemon.link.send(message, addresses)
        self.sent_bytes += self._daemon.sent_bytes - before


class LimitSimulation:
    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(f"limits-{seed}")
        self.network = DaemonNetwork(scenario.shape, seed)
        self.oracle = LimitOracle()
        self.targets = [_Target(number) for number in range(scenario.targets)]
        self.entries = {target.entry.id: target.entry for target in self.targets}
        self.in_flight = {}
        self.refused = self.sent = self.probes = 0
        self.arrivals = []
        self.tasks = set()
        self.links = []
        self.conditions = {}

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)

    def _start_limiter(self, daemon):
        link = _CountingLink(daemon)
        self.links.append((daemon, link))
        rng = random.Random(self.rng.random())
        daemon.rate_limiter = RateLimiter(link, self, rng)
        self.conditions[daemon] = TargetConditions(daemon.rate_limiter, FleetView())
        daemon.limiter_task = asyncio.create_task(daemon.rate_limiter.run())

    async def run(self):
        for daemon in self.network.daemons:
            self._start_limiter(daemon)
        await asyncio.sleep(STARTUP_S)
        for daemon in self.network.daemons:
            self._spawn(self._call(daemon))
        await asyncio.sleep(1.0)
        limited = self.rng.sample(self.targets, self.scenario.limited)
        for target in limited:
            self._set_limit(target, self.scenario.limit_per_s)
        self._schedule_faults(limited)
        await asyncio.sleep(self.scenario.limited_s)
        for target in limited:
            self._set_limit(target, None)
        limited_until = _now()
        await asyncio.sleep(7.0)
        result = self._result(limited, limited_until)
        for task in (*self.tasks, *(d.limiter_task for d in self.network.daemons)):
            task.cancel()
        return result

    def _result(self, limited, limited_until):
        recovered = [target for at, target in self.arrivals if at > limited_until + 3.0]
        fraction = None
        if limited and recovered:
            counts = sum(target in limited for target in recovered)
            share = len(limited) / len(self.targets)
            fraction = counts / len(recovered) / share
        elapsed_s = _now() - STARTUP_S
        sent_bytes = {}
        for daemon, link in self.links:
            sent_bytes[daemon] = sent_bytes.get(daemon, 0) + link.sent_bytes
        bytes_per_s = max(sent_bytes.values()) / elapsed_s
        return LimitRun(
            self.oracle.figures(), self.refused, self.sent, fraction, bytes_per_s
        )

    # Targets.

    async def probe(self, instance):
        """See :class:`~cowslipcourse.rate_limit_runtime.LimitProber`."""
        await asyncio.sleep(2 * LINK_DELAY_S)
        for target in self.targets:
            if target.instance == tuple(instance):
                self.probes += 1
                return target.limit_per_s if self.scenario.probes_state_limit else None
        raise TargetUnreachable("the target has ended")

    def _set_limit(self, target, limit_per_s):
        target.limit_per_s = limit_per_s

    def _respond(self, target, entry):
        """Return the head of a target's response to a request for ``entry``."""
        if target.entry.id != entry.id:
            return ResponseHead(
                MISDIRECTED_REQUEST, encode_rate_limit(target.limit_per_s)
            )
        if target.limit_per_s is not None or target.has_stated:
            target.has_stated = True
            self.oracle.record_limit(target.instance, target.limit_per_s)
        return ResponseHead(200, encode_rate_limit(target.limit_per_s))

    def _publish(self, target):
        entry = target.entry
        asyncio.get_running_loop().call_later(
            LIST_DELAY_S, self.entries.__setitem__, entry.id, entry
        )

    def _restart_target(self, target):
        incarnation = target.entry.incarnation + 1
        target.entry = target.entry._replace(incarnation=incarnation)
        target.has_stated = False
        self._publish(target)

    def _reuse_address(self, target):
        """Let another target take the address of one that has ended."""
        old_id = target.entry.id
        target.entry = target.entry._replace(id=f"{old_id}x", incarnation=1)
        target.has_stated = False
        self._publish(target)
        asyncio.get_running_loop().call_later(
            LIST_DELAY_S, self.entries.pop, old_id, None
        )

    # Faults.

    def _schedule_faults(self, limited):
        scenario, loop = self.scenario, asyncio.get_running_loop()

        def schedule(count, action):
            for _ in range(count):
                loop.call_later(self.rng.uniform(0, scenario.limited_s), action)

        schedule(scenario.cuts, self._cut)
        schedule(scenario.restarts, self._restart)
        schedule(scenario.fleet_restarts, self._restart_fleet)
        schedule(
            scenario.target_restarts,
            lambda: self._restart_target(self.rng.choice(limited)),
        )
        schedule(scenario.reuses, lambda: self._reuse_address(self.rng.choice(limited)))
        if scenario.changes_limit:
            schedule(2, lambda: self._change_limit(limited))

    def _change_limit(self, limited):
        limit_per_s = self.scenario.limit_per_s * self.rng.choice((0.5, 2.0))
        for target in limited:
            if target.limit_per_s is not None:
                self._set_limit(target, limit_per_s)

    def _pick_daemons(self):
        count = self.rng.randint(1, max(1, len(self.network.daemons) // 4))
        return self.rng.sample(self.network.daemons, count)

    def _cut(self):
        duration_s = self.rng.uniform(0.5, 6.0)
        for daemon in self._pick_daemons():
            if not daemon.is_down:
                daemon.is_down = True
                self._disturb(daemon, duration_s)
                asyncio.get_running_loop().call_later(duration_s, self._mend, daemon)

    def _mend(self, daemon):
        daemon.is_down = False

    def _restart(self):
        daemon = self.rng.choice(self.network.daemons)
        if not daemon.is_down:
            self._spawn(self._restart_daemon(daemon))

    def _restart_fleet(self):
        for daemon in self.network.daemons:
            if not daemon.is_down:
                self._spawn(self._restart_daemon(daemon))

    async def _restart_daemon(self, daemon):
        self._disturb(daemon, RESTART_S)
        daemon.is_down = daemon.is_stopped = True
        daemon.limiter_task.cancel()
        await asyncio.sleep(RESTART_S)
        member = daemon.member
        daemon.member = member._replace(incarnation=member.incarnation + 1)
        self._reset_registry(daemon)
        self._start_limiter(daemon)
        daemon.is_down = daemon.is_stopped = False
        daemon.link.heartbeat_now()

    def _reset_registry(self, daemon):
        settings = daemon.settings
        daemon.registry = PeerRegistry(settings.peers, settings.data_centre)
        daemon.link._registry = daemon.registry
        for other in self.network.daemons:
            if other is not daemon:
                daemon.registry.add_address(
                    other.member.peer_address, other.member.data_centre, _now()
                )

    def _disturb(self, daemon, duration_s):
        self.oracle.record_disturbance(daemon.member.name, duration_s)

    # Requests.

    async def _call(self, daemon):
        rate = self.scenario.demand_per_s / len(self.network.daemons)
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if not getattr(daemon, "is_stopped", False):
                self._spawn(self._request(daemon))

    async def _request(self, daemon):
        conditions = self.conditions[daemon]
        while True:
            candidates = [
                Candidate(entry, self.in_flight.get(entry.id, 0), SLOTS)
                for entry in self.entries.values()
            ]
            usable = conditions.usable(candidates, _now())
            candidate = choose_target(usable, (), "hall-0", self.rng)
            if candidate is None:
                self.refused += 1
                return
            with contextlib.suppress(TargetWithheld):
                await self._send(daemon, conditions, candidate.entry)
                return

    async def _send(self, daemon, conditions, entry):
        permit = await conditions.admit(entry)
        conditions.verify(entry, permit)
        self.sent += 1
        await asyncio.sleep(LINK_DELAY_S)
        target = next(t for t in self.targets if t.entry.address == entry.address)
        self.in_flight[entry.id] = self.in_flight.get(entry.id, 0) + 1
        if target.entry.id == entry.id:
            self.oracle.record_arrival(target.instance, daemon.member.name)
            self.arrivals.append((_now(), target))
        await asyncio.sleep(self.rng.uniform(*RESPONSE_DELAY_RANGE_S))
        self.in_flight[entry.id] -= 1
        conditions.observe(entry, self._respond(target, entry))


def random_scenario(seed, data_centres, daemons_per_data_centre):
    """Return a random :class:`LimitScenario` for a size of the site."""
    rng = random.Random(f"limit-scenario-{seed}")
    daemon_count = data_centres * daemons_per_data_centre
    targets = rng.randint(3, 24)
    limited = rng.randint(1, max(1, targets // 3))
    limit_per_s = round(0.2 * 250 ** rng.random(), 2)
    even_share = limit_per_s * rng.uniform(1.5, 4)
    demand_per_s = min(even_share * targets, 8.0 * daemon_count, 500.0)
    loss_rate = rng.choice((0.0, 0.02, 0.1, 0.1))
    return LimitScenario(
        NetworkShape(data_centres, daemons_per_data_centre, loss_rate=loss_rate),
        targets,
        limited,
        limit_per_s,
        demand_per_s,
        cuts=rng.choice((0, 1, 2)),
        restarts=rng.choice((0, 1, 2, daemon_count // 4)),
        target_restarts=rng.choice((0, 0, 1)),
        reuses=rng.choice((0, 0, 1)),
        changes_limit=rng.random() < 0.3,
        probes_state_limit=rng.random() < 0.8,
    )


def simulate_network(scenario, seed):
    """Simulate a :class:`LimitScenario` and return the :class:`LimitRun`."""
    simulation = LimitSimulation(scenario, seed)
    results = []

    async def simulate():
        results.append(await simulation.run())

    run_in_virtual_time(simulation.network.run(0.5, simulate))
    return results[0]


def limit_violations(seed, data_centres, daemons_per_data_centre):
    """Make a random run and return its violations as texts."""
    scenario = random_scenario(seed, data_centres, daemons_per_data_centre)
    run = simulate_network(scenario, seed)
    return [
        f"{figure.excess:.2f} times the tolerated requests, {figure.instance}"
        for figure in run.figures
        if figure.excess > 1
    ]


def _now():
    return asyncio.get_running_loop().time()
