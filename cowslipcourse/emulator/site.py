"""A site in virtual time: engines, list, daemons, callers and faults."""

import asyncio
import random
from collections import deque
from typing import NamedTuple

from cowslipcourse.emulator.callers import Callers, CallRecord
from cowslipcourse.emulator.connections import LINK_S, Heads
from cowslipcourse.emulator.crashes import CrashFigures
from cowslipcourse.emulator.daemons import DataCentreScope, EmulatedDaemon
from cowslipcourse.emulator.engines import OPEN_DELAY_S, SERVICE
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.world import Faults, World
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    EngineTimes,
    RouteTable,
    ServiceSpec,
)

__all__ = ["EmulatedSite", "SiteResult", "simulate"]

LIST_S = 0.25
"""Interval at which reporters hand on changes of the list."""
HEARTBEAT_S = 0.25
LEAD_LOADS = 0.1
"""Factor on the times of loads before the traffic starts."""
SPREAD_S = 0.5
"""Time within which all engines of a domain are listed, if they come late."""
LOOK_S = 0.5
"""Interval at which idle engines and open groups are counted."""
NO_FAULTS = Faults(
    late_order_fraction=0,
    lost_order_fraction=0,
    unanswered_order_fraction=0,
    pause_fraction=0,
    store_failure_fraction=0,
)


class SiteResult(NamedTuple):
    """What one run gave.

    :param records: :class:`~cowslipcourse.emulator.callers.CallRecord` list.
    :param idle_engine_s: seconds that live engines spent in no open group.
    :param open_groups: mean number of open groups by model.
    :param first_groups: number of them by model when the traffic began.
    :param violations: what the oracle of the groups saw, as texts.
    :param crashes: :class:`~cowslipcourse.emulator.crashes.CrashFigures` list, one for
        each request that ended engines.
    :param wrongly_quarantined: refusals of requests that end no engine, as if they did.
    """

    records: list[CallRecord]
    idle_engine_s: float
    open_groups: dict[str, float]
    first_groups: dict[str, int]
    violations: list[str]
    crashes: list[CrashFigures]
    wrongly_quarantined: int


class EmulatedSite:
    """Everything of one run.

    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    :param seed: of all luck in the run.
    """

    def __init__(self, settings, seed):
        self._settings = settings
        # Each part has luck of its own: what one policy changes in one part must not
        # change the luck of the others, or runs of the same seed could not be paired.
        self._fault_luck = random.Random(f"faults-{seed}")
        caller_luck = random.Random(f"callers-{seed}")
        daemon_luck = random.Random(f"daemons-{seed}")
        site = settings.site
        models = [EngineModel(**model.model_dump()) for model in site.models]
        quick = [m._replace(load_s=m.load_s * LEAD_LOADS) for m in models]
        self._models = {model.name: model for model in models}
        world_luck = random.Random(f"engines-{seed}")
        self._world = World(
            world_luck,
            NO_FAULTS,
            quick,
            site.domains,
            remembers_models=True,
            loads_take_time=True,
        )
        self._start_luck = random.Random(f"starts-{seed}")
        if not site.register_s:
            for domain in site.domains:
                self._start_engines(domain)
        spec = _spec(site, models)
        table = RouteTable(1, (), (spec,), CallerLimits(), {})
        self._heads = Heads(self._world, spec)
        places = sorted(set(site.domains.values()))
        message_luck = random.Random(f"messages-{seed}")
        self._network = MessageNetwork(site, message_luck)
        self._daemons = [
            EmulatedDaemon(
                f"daemon-{number}",
                places[number % len(places)],
                table,
                self._heads,
                self._network,
                self._tell,
                _scope(number, places, site.daemons),
                daemon_luck.random(),
            )
            for number in range(site.daemons)
        ]
        acting = tuple(d.coordinator for d in self._daemons if d.acts)
        for daemon in self._daemons:
            daemon.coordinators = acting
        self._caller_luck = caller_luck
        self._callers = None
        self._gone_at = {}
        self._began_at = None
        self._idle_engine_s = 0.0
        self._open_groups = {name: [] for name in self._models}

    def _start_engines(self, domain):
        for _ in range(self._settings.site.engines_a_domain):
            self._world.add_engine(domain)

    def _start_engines_later(self):
        """Let the engines be listed domain by domain."""
        site, loop = self._settings.site, asyncio.get_running_loop()
        for domain in site.domains:
            first = self._start_luck.uniform(0.0, site.register_s)
            for _ in range(site.engines_a_domain):
                later = first + self._start_luck.uniform(0.0, SPREAD_S)
                loop.call_later(later, self._world.add_engine, domain)

    async def simulate(self):
        """Play the run and return its :class:`SiteResult`."""
        if self._settings.site.register_s:
            self._start_engines_later()
        running = [self._world.run(), self._heads.run(), self._list()]
        running += [self._heartbeats(), self._count()]
        for daemon in self._daemons:
            running += daemon.coroutines()
        tasks = [asyncio.create_task(coroutine) for coroutine in running]
        await asyncio.sleep(self._settings.site.lead_s)
        self._world.models = self._models
        self._began_at = asyncio.get_running_loop().time()
        tasks += [asyncio.create_task(self._strike(f)) for f in self._settings.faults]
        site = self._settings.site
        callers = Callers(self._daemons, site, self._burst_factor, self._caller_luck)
        self._callers = callers
        await callers.run(self._settings.seconds)
        self._network.stop()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        means = {m: sum(n) / max(1, len(n)) for m, n in self._open_groups.items()}
        records = callers.records
        return SiteResult(
            records,
            self._idle_engine_s,
            means,
            {model: numbers[0] for model, numbers in self._open_groups.items()},
            self._world.violations,
            self._heads.crashing.figures(),
            callers.wrongly_quarantined,
        )

    # What travels.

    def _tell(self, news):
        loop = asyncio.get_running_loop()
        for daemon in self._daemons:
            loop.call_later(2 * LINK_S, daemon.take_news, news)

    async def _heartbeats(self):
        """Bring each daemon what the others had in flight a moment ago."""
        while True:
            told = [dict(daemon.fleet.in_flight) for daemon in self._daemons]
            await asyncio.sleep(HEARTBEAT_S)
            for own, daemon in enumerate(self._daemons):
                total = {}
                for other, in_flight in enumerate(told):
                    if other != own:
                        for target, number in in_flight.items():
                            total[target] = total.get(target, 0) + number
                daemon.fleet.set_peers_in_flight(total)

    async def _list(self):
        """Bring all daemons the list as it was a moment ago."""
        loop = asyncio.get_running_loop()
        site, history, known, lapsing = self._settings.site, deque(), {}, {}
        while True:
            now = loop.time()
            live = {entry.id: entry for entry in self._world.entries()}
            lapsing = {
                engine: entry
                for engine, entry in {**lapsing, **known}.items()
                if engine not in live and now < self._lost_at(engine) + site.lapse_s
            }
            history.append((now, {**lapsing, **live}))
            while len(history) > 1 and history[1][0] <= now - site.list_lag_s:
                history.popleft()
            listed = history[0][1]
            changed = [e for i, e in listed.items() if known.get(i) != e]
            gone = tuple(engine for engine in known if engine not in listed)
            if changed or gone:
                for daemon in self._daemons:
                    daemon.see_list(changed, gone)
            known = listed
            await asyncio.sleep(LIST_S)

    def _lost_at(self, engine):
        return self._gone_at.setdefault(engine, asyncio.get_running_loop().time())

    async def _count(self):
        while True:
            await asyncio.sleep(LOOK_S)
            if self._began_at is None:
                continue
            serving = dict.fromkeys(self._models, 0)
            busy = 0
            for engine in self._world.engines.values():
                if engine.is_unreachable:
                    continue
                if engine.is_open_head and self._world.is_complete(engine):
                    serving[engine.membership.model] += 1
                    busy += len(engine.members)
            live = sum(not e.is_unreachable for e in self._world.engines.values())
            self._idle_engine_s += max(0, live - busy) * LOOK_S
            for model, number in serving.items():
                self._open_groups[model].append(number)

    # Faults.

    async def _strike(self, fault):
        for at_s in fault.times():
            now_s = asyncio.get_running_loop().time() - self._began_at
            await asyncio.sleep(max(0.0, at_s - now_s))
            getattr(self, f"_{fault.kind}")(fault)

    def _joined(self, count):
        """Return engines that are in groups; the same luck strikes the same ones.

        Each engine has a luck of its own, so that two policies lose the same engines
        although their groups differ.
        """
        turn = self._fault_luck.random()
        joined = [e for e in self._world.engines.values() if e.membership is not None]
        joined.sort(key=lambda e: random.Random(f"{turn}-{e.id}").random())
        return joined[:count]

    def _lose(self, fault):
        for engine in self._joined(fault.count):
            engine.is_unreachable = True
            del self._world.engines[engine.id]

    def _end(self, fault):
        for engine in self._joined(fault.count):
            self._world.crash(engine)

    def _restart(self, fault):
        for engine in self._joined(fault.count):
            self._world.restart(engine)

    def _domain(self, fault):
        domains = sorted(self._settings.site.domains)
        if fault.model:
            domains = [d for d in domains if fault.model in self._models_of(d)]
        struck = self._fault_luck.sample(domains, min(fault.count, len(domains)))
        for engine in list(self._world.engines.values()):
            if engine.domain in struck:
                engine.is_unreachable = True
                loop = asyncio.get_running_loop()
                loop.call_later(fault.for_s, self._come_back, engine)

    def _models_of(self, domain):
        """Return the models that the groups of a domain serve."""
        return {
            engine.membership.model
            for engine in self._world.engines.values()
            if engine.domain == domain and engine.is_open_head
        }

    def _come_back(self, engine):
        if self._world.engines.get(engine.id) is engine:
            self._world.restart_under_new_id(engine)

    def _add(self, fault):
        domain = self._fault_luck.choice(sorted(self._settings.site.domains))
        for _ in range(fault.count):
            self._world.add_engine(domain)

    def _crash(self, fault):
        self._callers.crash(fault)

    def _silence(self, fault):
        """Cut some daemons off from the others for a while."""
        for daemon in self._fault_luck.sample(self._daemons, fault.count):
            self._network.cut(daemon.name, fault.for_s)
            self._heads.crashing.note_disturbance(daemon.name, fault.for_s)

    def _forget(self, fault):
        """Start some daemons anew, as far as others' messages go."""
        for daemon in self._fault_luck.sample(self._daemons, fault.count):
            daemon.forget()
            self._heads.crashing.note_disturbance(daemon.name, 0.0)

    def _burst(self, fault):
        """Nothing is to be done when a burst begins: callers ask for the factor."""

    def _burst_factor(self, kind, at_s):
        """Return the factor on the rate of a kind of request at a time."""
        factor = 1.0
        for fault in self._settings.faults:
            is_meant = fault.kind == "burst" and fault.request in ("", kind)
            if is_meant and any(t <= at_s < t + fault.for_s for t in fault.times()):
                factor *= fault.factor
        return factor


def _scope(number, places, daemons):
    """Return the :class:`DataCentreScope` of a daemon: those whose first one it is."""
    own = [places[number]] if number < len(places) else []
    if number == 0:
        own += places[daemons:]
    return DataCentreScope(own, min(len(places), daemons))


def _spec(site, models):
    times = EngineTimes(
        site.step_s,
        site.step_per_request_s,
        site.steps_per_event,
        site.prefill_tokens_per_s,
        site.chunk_tokens,
    )
    return ServiceSpec(
        SERVICE,
        models=tuple(models),
        slots=site.slots,
        open_s=OPEN_DELAY_S,
        loads_per_s=site.loads_per_s,
        times=times,
    )


async def simulate(settings, seed):
    """Play one run of an experiment and return its :class:`SiteResult`."""
    return await EmulatedSite(settings, seed).simulate()
