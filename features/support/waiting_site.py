"""Daemons, groups and callers that compete for slots, in virtual time.

The choosers, views and wait estimators are those of the daemons; groups run the most
urgent requests first, and callers return as they are told.
"""

import asyncio
import heapq
import itertools
import random
from types import SimpleNamespace

from cowslipcourse.admission.prior_wait import PriorWaitEstimator
from cowslipcourse.admission.urgency import urgency
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.stream_target_selection import StreamTargetChooser
from cowslipcourse.platform.headers import CallerHeaders
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
    Workspace,
)

SERVICE, MODEL = "llm", "large"
GROUPS, SLOTS, RUN_S = 8, 13, 1.0
SLOTS_PER_S = GROUPS * SLOTS / RUN_S
TIMEOUT_S, OBJECTIVE_S = 5.0, 0.5
FIRST_EVENT_S = 0.05
LATE_CREDIT = 0.3
MAX_ATTEMPTS = 4
HONOURED_FRACTION = 1 / 3
UNKNOWN_RETRY_AFTER_S = 0.5
"""What a refusal without another time says."""


def route_of(priority):
    return Route(
        f"r{priority}",
        "h",
        f"/{priority}/",
        RequestKind.STREAMING,
        ((SERVICE, 1.0),),
        TIMEOUT_S,
        OBJECTIVE_S,
        priority=priority,
    )


def table_of(priorities):
    model = EngineModel(MODEL, 1, 1.0, 1.0, 1.0, 1.0)
    spec = ServiceSpec(SERVICE, models=(model,), slots=SLOTS)
    routes = [route_of(priority) for priority in priorities]
    return RouteTable(1, routes, [spec], CallerLimits())


class Group:
    """Runs the most urgent requests first, a limited number at once."""

    def __init__(self):
        self._free = SLOTS
        self._queue = []
        self._numbers = itertools.count()

    async def run(self, level, run_s, first_event):
        if not self._free:
            turn = asyncio.Event()
            heapq.heappush(self._queue, (level, next(self._numbers), turn))
            try:
                await turn.wait()
            except asyncio.CancelledError:
                if turn.is_set():
                    self._release()
                else:
                    self._queue = [each for each in self._queue if each[2] is not turn]
                    heapq.heapify(self._queue)
                raise
        else:
            self._free -= 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            first_event()
            await asyncio.sleep(run_s - FIRST_EVENT_S)
        finally:
            self._release()

    def _release(self):
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._free += 1


class Conditions:
    """Every target accepts requests, but for those that are withheld until a time."""

    def __init__(self):
        self.until = {}

    def usable(self, candidates, now):
        return [c for c in candidates if self.until.get(c.entry.id, 0.0) <= now]

    def usable_at(self, candidates):
        return min(
            (self.until.get(c.entry.id, 0.0) for c in candidates),
            default=float("-inf"),
        )


class Daemon:
    """One daemon's view, chooser and wait estimator."""

    def __init__(self, site, seed):
        self.fleet = FleetView()
        self.fleet.apply(site.entries, ())
        self.conditions = Conditions()
        self.rng = random.Random(seed)
        self.is_cut_off = False
        self.counts_seen_at = 0.0
        self.waits = PriorWaitEstimator()
        self.metrics = None
        self.daemon_count = site.daemon_count
        self.placing = SimpleNamespace(cost=None)
        self._table = site.table
        self.chooser = StreamTargetChooser(self)

    def has_priorities(self, service):
        return len(self._table.priorities(service)) > 1

    def service_spec(self, service):
        return self._table.services[service]


class Outcome:
    """What one caller got."""

    def __init__(self, priority, workspace, is_repeater):
        self.priority, self.workspace = priority, workspace
        self.is_repeater = is_repeater
        self.served = False
        self.credit = 0.0
        self.refusals = 0
        self.slot_wait_s = 0.0
        self.kept_to_told = False
        """Whether it has come back, each time when told and not before."""


class WaitingSite:
    """Several daemons in front of a few groups.

    :param has_turns: ``False`` lets the priorities of the routes not count for slots.
    """

    def __init__(self, daemon_count, count_age_s, priorities=(0, 1, 2), has_turns=True):
        self.daemon_count, self.count_age_s = daemon_count, count_age_s
        self.table = table_of(priorities if has_turns else priorities[:1])
        self.routes = {priority: route_of(priority) for priority in priorities}
        self.groups = {f"h{number}": Group() for number in range(GROUPS)}
        self.entries = [
            TargetEntry(
                name,
                SERVICE,
                "10.0.0.1:1",
                "x",
                SLOTS,
                domain="d",
                membership=GroupMembership(f"g-{name}", 1, 0, GroupState.OPEN, MODEL),
                incarnation=1,
            )
            for name in self.groups
        ]
        self.outcomes = []
        self.rng = random.Random(1)
        self.daemons = []
        self.calls = set()

    def run(self, scenario):
        """Run a coroutine function that takes the site, in virtual time."""

        async def run_all():
            self.daemons = [Daemon(self, n) for n in range(self.daemon_count)]
            counting = asyncio.create_task(self._exchange_counts())
            await scenario(self)
            counting.cancel()

        run_in_virtual_time(run_all())

    async def _exchange_counts(self):
        """Give each daemon the counts of the others, as old as they are in a site."""
        while True:
            snapshots = [dict(daemon.fleet.in_flight) for daemon in self.daemons]
            await asyncio.sleep(self.count_age_s / 2)
            total = {}
            for snapshot in snapshots:
                for target, count in snapshot.items():
                    total[target] = total.get(target, 0) + count
            for daemon, own in zip(self.daemons, snapshots, strict=True):
                others = {t: n - own.get(t, 0) for t, n in total.items()}
                daemon.fleet.set_peers_in_flight({} if daemon.is_cut_off else others)
                daemon.fleet.notify_room_changed()
            await asyncio.sleep(self.count_age_s / 2)

    async def offer(self, load_by_priority, duration_s, **options):
        """Let callers come for a while, and wait until all have ended.

        :param load_by_priority: callers as a multiple of what all slots can run.
        """
        total = sum(load_by_priority.values()) * SLOTS_PER_S
        priorities, weights = list(load_by_priority), list(load_by_priority.values())
        end_at = _now() + duration_s
        tasks = []
        while _now() < end_at:
            await asyncio.sleep(self.rng.expovariate(total))
            priority = self.rng.choices(priorities, weights)[0]
            tasks.append(asyncio.create_task(self._caller(priority, **options)))
        await asyncio.gather(*tasks)

    async def _caller(self, priority, repeater_fraction=0.0, big_fraction=0.0):
        is_repeater = self.rng.random() < repeater_fraction
        workspace = (
            "big" if self.rng.random() < big_fraction else f"w{self.rng.randrange(8)}"
        )
        outcome = Outcome(priority, workspace, is_repeater)
        self.outcomes.append(outcome)
        asked_at = _now()
        for attempt in range(MAX_ATTEMPTS):
            left_s = asked_at + TIMEOUT_S - _now()
            if left_s <= 0.01:
                return
            told_s = await self._attempt(outcome, asked_at, left_s)
            if told_s is None:
                return
            outcome.refusals += 1
            if attempt == MAX_ATTEMPTS - 1:
                return
            honoured_s = HONOURED_FRACTION * left_s
            is_as_told = not is_repeater and told_s <= honoured_s
            outcome.kept_to_told = is_as_told and (
                outcome.kept_to_told or outcome.refusals == 1
            )
            await asyncio.sleep(0.03 if is_repeater else min(told_s, honoured_s))

    async def _attempt(self, outcome, asked_at, left_s):
        """Make one attempt; return the time to come back if it is refused."""
        daemon = self.rng.choice(self.daemons)
        route, arrived_at = self.routes[outcome.priority], _now()
        call = SimpleNamespace(
            id="c",
            route=route,
            workspace=Workspace(outcome.workspace),
            workspace_name=outcome.workspace,
            caller_headers=CallerHeaders(model=MODEL),
            arrived_at=arrived_at,
            deadline=arrived_at + left_s,
            waited_elsewhere_s=daemon.waits.observe(route, left_s),
        )
        call.waited_s = lambda now: call.waited_elsewhere_s + now - arrived_at

        def first_event():
            outcome.served = True
            is_on_time = _now() - asked_at <= OBJECTIVE_S
            outcome.credit = 1.0 if is_on_time else LATE_CREDIT

        task = asyncio.current_task()
        self.calls.add(task)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._send(daemon, call, outcome, first_event)
        except TimeoutError:
            return None
        finally:
            self.calls.discard(task)

    async def _send(self, daemon, call, outcome, first_event):
        progress = SimpleNamespace(call=call, has_events=False, slot_wait_s=0.0)
        choice = await daemon.chooser.choose(progress, SERVICE, set())
        outcome.slot_wait_s += progress.slot_wait_s
        if choice.entry is None:
            told_s = choice.retry_after_s
            return UNKNOWN_RETRY_AFTER_S if told_s is None else told_s
        level = urgency(call.route, call.workspace, call.waited_s(_now()))
        run_s = self.rng.uniform(0.5 * RUN_S, 1.5 * RUN_S)
        daemon.fleet.request_started(choice.entry.id)
        try:
            await self.groups[choice.entry.id].run(level, run_s, first_event)
        finally:
            daemon.fleet.request_ended(choice.entry.id)
        return None

    # What callers got.

    def served_fraction(self, **wanted):
        chosen = self.select(**wanted)
        return sum(each.served for each in chosen) / max(1, len(chosen))

    def credit(self, **wanted):
        chosen = self.select(**wanted)
        return sum(each.credit for each in chosen) / max(1, len(chosen))

    def select(self, **wanted):
        return [
            outcome
            for outcome in self.outcomes
            if all(getattr(outcome, name) == value for name, value in wanted.items())
        ]


def _now():
    return asyncio.get_running_loop().time()
