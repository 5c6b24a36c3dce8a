"""A site in virtual time: engines, list, daemons, callers and faults."""

import asyncio
import random
from collections import deque
from typing import NamedTuple

from cowslipcourse.emulator.callers import Callers, CallRecord
from cowslipcourse.emulator.connections import LINK_DELAY_S, GroupHeads
from cowslipcourse.emulator.crashes import CrashFigures
from cowslipcourse.emulator.daemons import DataCentreScope, EmulatedDaemon
from cowslipcourse.emulator.engines import OPEN_DELAY_S, SERVICE
from cowslipcourse.emulator.group_oracle import Faults, World
from cowslipcourse.emulator.limit_oracle import LimitFigures
from cowslipcourse.emulator.messages import MessageNetwork
from cowslipcourse.emulator.pause_oracle import PauseFigures
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    EngineTimes,
    RouteTable,
    ServiceSpec,
)

__all__ = ["EmulatedSite", "SiteResult", "simulate"]

LIST_INTERVAL_S = 0.25
"""Interval at which changes of the list of targets are published."""
HEARTBEAT_INTERVAL_S = 0.25
LEAD_LOAD_FACTOR = 0.1
"""Factor on the durations of loads before the traffic starts."""
REGISTRATION_SPREAD_S = 0.5
"""Time within which all engines of a domain are listed, if domains are listed late."""
SAMPLING_INTERVAL_S = 0.5
"""Interval at which idle engines and open groups are sampled."""
NO_FAULTS = Faults(
    late_order_fraction=0,
    lost_order_fraction=0,
    unanswered_order_fraction=0,
    pause_fraction=0,
    store_failure_fraction=0,
)


class SiteResult(NamedTuple):
    """Results of one run.

    :param records: :class:`~cowslipcourse.emulator.callers.CallRecord` list.
    :param idle_engine_s: total time in seconds that reachable engines spent outside
        serving groups.
    :param open_groups: mean number of serving groups by model.
    :param first_groups: number of serving groups by model in the first sample of the
        traffic.
    :param violations: violations found by the oracle of the groups, as texts.
    :param crashes: :class:`~cowslipcourse.emulator.crashes.CrashFigures` list, one for
        each request that crashed engines.
    :param wrongly_quarantined_at_s: times from the start of the traffic at which a
        request that crashes no engine was refused as quarantined.
    :param limits: :class:`~cowslipcourse.emulator.limit_oracle.LimitFigures` list, one
        for each engine that stated a rate limit.
    :param pauses: :class:`~cowslipcourse.emulator.pause_oracle.PauseFigures` list, one
        for each engine and daemon that it asked for a pause.
    :param departures: the same for each engine and daemon to which it stated that it
        leaves, as an endless pause.
    :param part_crashes: :class:`~cowslipcourse.emulator.crashes.CrashFigures` list, one
        for each part that crashed engines.
    :param traffic_started_at: loop time of the start of the traffic.
    """

    records: list[CallRecord]
    idle_engine_s: float
    open_groups: dict[str, float]
    first_groups: dict[str, int]
    violations: list[str]
    crashes: list[CrashFigures]
    wrongly_quarantined_at_s: list[float]
    limits: list[LimitFigures]
    pauses: list[PauseFigures]
    departures: list[PauseFigures]
    part_crashes: list[CrashFigures]
    traffic_started_at: float

    @property
    def wrongly_quarantined(self):
        """Number of refusals of requests that crash no engine."""
        return len(self.wrongly_quarantined_at_s)


class EmulatedSite:
    """An emulated site for one run.

    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    :param seed: seed of all random choices in the run.
    """

    def __init__(self, settings, seed):
        self._settings = settings
        # Each part has a random generator of its own, so that what a policy changes in
        # one part does not change the draws of the others. Otherwise runs of the same
        # seed could not be compared in pairs.
        self._fault_rng = random.Random(f"faults-{seed}")
        caller_rng = random.Random(f"callers-{seed}")
        daemon_rng = random.Random(f"daemons-{seed}")
        site = settings.site
        models = [EngineModel(**model.model_dump()) for model in site.models]
        lead_models = [m._replace(load_s=m.load_s * LEAD_LOAD_FACTOR) for m in models]
        self._models = {model.name: model for model in models}
        engine_rng = random.Random(f"engines-{seed}")
        self._world = World(
            engine_rng,
            NO_FAULTS,
            lead_models,
            site.domains,
            remembers_models=True,
            loads_take_time=True,
        )
        self._start_rng = random.Random(f"starts-{seed}")
        if not site.register_s:
            for domain in site.domains:
                self._start_engines(domain)
        spec = _service_spec(site, models)
        table = RouteTable(1, (), (spec,), CallerLimits())
        self._heads = GroupHeads(self._world, spec)
        data_centres = sorted(set(site.domains.values()))
        message_rng = random.Random(f"messages-{seed}")
        self._network = MessageNetwork(site, message_rng)
        self._daemons = [
            EmulatedDaemon(
                f"daemon-{number}",
                data_centres[number % len(data_centres)],
                table,
                self._heads,
                self._network,
                self._broadcast,
                _coordination_scope(number, data_centres, site.daemons),
                daemon_rng.random(),
            )
            for number in range(site.daemons)
        ]
        coordinators = tuple(d.coordinator for d in self._daemons if d.is_coordinator)
        for daemon in self._daemons:
            daemon.coordinators = coordinators
        self._caller_rng = caller_rng
        self._part_rng = random.Random(f"parts-{seed}")
        self._callers = None
        self._unreachable_since = {}
        self._traffic_started_at = None
        self._idle_engine_s = 0.0
        self._open_group_counts = {name: [] for name in self._models}

    def _start_engines(self, domain):
        for _ in range(self._settings.site.engines_a_domain):
            self._world.add_engine(domain)

    def _schedule_engine_starts(self):
        """Schedule the listing of engines, domain by domain."""
        site, loop = self._settings.site, asyncio.get_running_loop()
        for domain in site.domains:
            first_delay_s = self._start_rng.uniform(0.0, site.register_s)
            for _ in range(site.engines_a_domain):
                delay_s = first_delay_s + self._start_rng.uniform(
                    0.0, REGISTRATION_SPREAD_S
                )
                loop.call_later(delay_s, self._world.add_engine, domain)

    async def simulate(self):
        """Run the site and return its :class:`SiteResult`."""
        if self._settings.site.register_s:
            self._schedule_engine_starts()
        coroutines = [self._world.run(), self._heads.run(), self._run_list()]
        coroutines += [self._run_heartbeats(), self._run_sampling()]
        for daemon in self._daemons:
            coroutines += daemon.coroutines()
        tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        await asyncio.sleep(self._settings.site.lead_s)
        self._world.models = self._models
        self._traffic_started_at = asyncio.get_running_loop().time()
        tasks += [
            asyncio.create_task(self._inject_fault(f)) for f in self._settings.faults
        ]
        site = self._settings.site
        callers = Callers(
            self._daemons,
            site,
            self._burst_factor,
            self._caller_rng,
            self._part_rng,
        )
        self._callers = callers
        await callers.run(self._settings.seconds)
        self._network.stop()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        means = {m: sum(n) / max(1, len(n)) for m, n in self._open_group_counts.items()}
        records = callers.records
        return SiteResult(
            records,
            self._idle_engine_s,
            means,
            {model: numbers[0] for model, numbers in self._open_group_counts.items()},
            self._world.violations,
            self._heads.crash_oracle.figures(),
            [at - self._traffic_started_at for at in callers.wrongly_quarantined_at],
            self._heads.limit_oracle.figures(),
            self._heads.pause_oracle.figures(),
            self._heads.leaving_oracle.figures(),
            self._heads.part_oracle.figures(),
            self._traffic_started_at,
        )

    # Messages between daemons, and the list of targets.

    def _broadcast(self, update):
        loop = asyncio.get_running_loop()
        for daemon in self._daemons:
            loop.call_later(2 * LINK_DELAY_S, daemon.apply_group_update, update)

    async def _run_heartbeats(self):
        """Send each daemon the in-flight counts of the others, one interval late."""
        while True:
            in_flight_by_daemon = [
                dict(daemon.fleet.in_flight) for daemon in self._daemons
            ]
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for daemon_index, daemon in enumerate(self._daemons):
                total = {}
                for other_index, in_flight in enumerate(in_flight_by_daemon):
                    if other_index != daemon_index:
                        for target, number in in_flight.items():
                            total[target] = total.get(target, 0) + number
                daemon.fleet.set_peers_in_flight(total)

    async def _run_list(self):
        """Send all daemons changes of the list as of ``list_lag_s`` ago."""
        loop = asyncio.get_running_loop()
        site, history, last_listed, unreachable_entries = (
            self._settings.site,
            deque(),
            {},
            {},
        )
        while True:
            now = loop.time()
            reachable = {entry.id: entry for entry in self._world.entries()}
            unreachable_entries = {
                engine: entry
                for engine, entry in {**unreachable_entries, **last_listed}.items()
                if engine not in reachable
                and now < self._record_unreachable_since(engine) + site.lapse_s
            }
            history.append((now, {**unreachable_entries, **reachable}))
            while len(history) > 1 and history[1][0] <= now - site.list_lag_s:
                history.popleft()
            listed = history[0][1]
            changed = [e for i, e in listed.items() if last_listed.get(i) != e]
            removed = tuple(engine for engine in last_listed if engine not in listed)
            if changed or removed:
                for daemon in self._daemons:
                    daemon.update_entries(changed, removed)
            last_listed = listed
            await asyncio.sleep(LIST_INTERVAL_S)

    def _record_unreachable_since(self, engine):
        return self._unreachable_since.setdefault(
            engine, asyncio.get_running_loop().time()
        )

    async def _run_sampling(self):
        while True:
            await asyncio.sleep(SAMPLING_INTERVAL_S)
            if self._traffic_started_at is None:
                continue
            open_group_counts = dict.fromkeys(self._models, 0)
            serving_engine_count = 0
            for engine in self._world.engines.values():
                if engine.is_unreachable:
                    continue
                if engine.is_open_head and self._world.is_complete(engine):
                    open_group_counts[engine.membership.model] += 1
                    serving_engine_count += len(engine.members)
            reachable_count = sum(
                not e.is_unreachable for e in self._world.engines.values()
            )
            self._idle_engine_s += (
                max(0, reachable_count - serving_engine_count) * SAMPLING_INTERVAL_S
            )
            for model, number in open_group_counts.items():
                self._open_group_counts[model].append(number)

    # Faults.

    async def _inject_fault(self, fault):
        for at_s in fault.times():
            now_s = asyncio.get_running_loop().time() - self._traffic_started_at
            await asyncio.sleep(max(0.0, at_s - now_s))
            getattr(self, f"_{fault.kind}")(fault)

    def _pick_group_engines(self, count):
        """Return up to ``count`` random engines that are in groups.

        The order is drawn per engine id, so that faults affect the same engines under
        two policies although their groups differ.
        """
        order_seed = self._fault_rng.random()
        group_engines = [
            e for e in self._world.engines.values() if e.membership is not None
        ]
        group_engines.sort(key=lambda e: random.Random(f"{order_seed}-{e.id}").random())
        return group_engines[:count]

    def _lose(self, fault):
        for engine in self._pick_group_engines(fault.count):
            self._remove_engine(engine)

    def _end(self, fault):
        for engine in self._pick_group_engines(fault.count):
            self._world.crash(engine)

    def _restart(self, fault):
        for engine in self._pick_group_engines(fault.count):
            self._world.restart(engine)

    def _domain(self, fault):
        domains = sorted(self._settings.site.domains)
        if fault.model:
            domains = [d for d in domains if fault.model in self._models_of(d)]
        affected_domains = self._fault_rng.sample(
            domains, min(fault.count, len(domains))
        )
        for engine in list(self._world.engines.values()):
            if engine.domain in affected_domains:
                engine.is_unreachable = True
                loop = asyncio.get_running_loop()
                loop.call_later(fault.for_s, self._restart_unreachable, engine)

    def _models_of(self, domain):
        """Return the models that the open groups of a domain serve."""
        return {
            engine.membership.model
            for engine in self._world.engines.values()
            if engine.domain == domain and engine.is_open_head
        }

    def _restart_unreachable(self, engine):
        if self._world.engines.get(engine.id) is engine:
            self._world.restart_under_new_id(engine)

    def _add(self, fault):
        domain = self._fault_rng.choice(sorted(self._settings.site.domains))
        for _ in range(fault.count):
            self._world.add_engine(domain)

    def _crash(self, fault):
        self._callers.send_crashing_requests(fault)

    def _crash_part(self, fault):
        self._callers.send_requests_with_part(fault)

    def _silence(self, fault):
        """Isolate some daemons from the others for a while."""
        for daemon in self._fault_rng.sample(self._daemons, fault.count):
            self._network.isolate(daemon.name, fault.for_s)
            self._heads.crash_oracle.record_disturbance(daemon.name, fault.for_s)
            self._heads.part_oracle.record_disturbance(daemon.name, fault.for_s)
            self._heads.limit_oracle.record_disturbance(daemon.name, fault.for_s)
            self._heads.pause_oracle.record_disturbance(daemon.name, fault.for_s)

    def _forget(self, fault):
        """Make some daemons forget what they know, as a restart does."""
        for daemon in self._fault_rng.sample(self._daemons, fault.count):
            daemon.forget()
            self._heads.crash_oracle.record_disturbance(daemon.name, 0.0)
            self._heads.part_oracle.record_disturbance(daemon.name, 0.0)
            self._heads.limit_oracle.record_disturbance(daemon.name, 0.0)
            self._heads.pause_oracle.record_disturbance(daemon.name, 0.0)

    def _limit(self, fault):
        """Make heads of open groups state a rate limit for a while."""
        for head in self._pick_open_heads(fault):
            head.rate_limit_per_s = fault.limit_per_s
            loop = asyncio.get_running_loop()
            loop.call_later(fault.for_s, setattr, head, "rate_limit_per_s", None)

    def _pause(self, fault):
        """Make heads of open groups refuse all requests for a while."""
        for head in self._pick_open_heads(fault):
            head.pause_s = fault.pause_s
            loop = asyncio.get_running_loop()
            loop.call_later(fault.for_s, setattr, head, "pause_s", None)

    def _leave(self, fault):
        """Make heads of open groups state that they leave, and stop after a while."""
        for head in self._pick_open_heads(fault):
            head.states_leaving = True
            loop = asyncio.get_running_loop()
            loop.call_later(fault.for_s, self._remove_engine, head)

    def _remove_engine(self, engine):
        engine.is_unreachable = True
        if self._world.engines.get(engine.id) is engine:
            del self._world.engines[engine.id]

    def _pick_open_heads(self, fault):
        """Return up to ``fault.count`` random heads of open groups of its model."""
        heads = [
            engine
            for engine in self._world.engines.values()
            if engine.is_open_head and fault.model in ("", engine.membership.model)
        ]
        order_seed = self._fault_rng.random()
        heads.sort(key=lambda e: random.Random(f"{order_seed}-{e.id}").random())
        return heads[: fault.count]

    def _burst(self, fault):
        """Do nothing when a burst begins; callers query :meth:`_burst_factor`."""

    def _burst_factor(self, kind, at_s):
        """Return the factor on the request rate of a kind at a time."""
        factor = 1.0
        for fault in self._settings.faults:
            affects_kind = fault.kind == "burst" and fault.request in ("", kind)
            if affects_kind and any(t <= at_s < t + fault.for_s for t in fault.times()):
                factor *= fault.factor
        return factor


def _coordination_scope(number, data_centres, daemon_count):
    """Return the :class:`DataCentreScope` of a daemon.

    Each daemon coordinates the data centre of its number, and the first one also those
    beyond the number of daemons.
    """
    coordinated = [data_centres[number]] if number < len(data_centres) else []
    if number == 0:
        coordinated += data_centres[daemon_count:]
    return DataCentreScope(coordinated, min(len(data_centres), daemon_count))


def _service_spec(site, models):
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
    """Simulate one run of an experiment and return its :class:`SiteResult`."""
    return await EmulatedSite(settings, seed).simulate()
