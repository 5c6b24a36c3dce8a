"""Runs of several daemons that place requests at simple fake targets."""

import heapq
import itertools
import random
from typing import NamedTuple

from cowslipcourse.load_balancing import Candidate, RequestSize
from cowslipcourse.load_balancing.expected_time import ExpectedTime, expected_times
from cowslipcourse.load_balancing.stated_loads import StatedLoads
from cowslipcourse.load_balancing.target_selection import choose_group, choose_target
from cowslipcourse.load_balancing.target_speeds import TargetSpeeds
from cowslipcourse.load_balancing.told_speeds import LocalReports, ToldSpeeds
from cowslipcourse.ports import GroupMembership, GroupState, TargetEntry
from cowslipcourse.routes import EngineModel, EngineTimes, ServiceSpec

MODEL = EngineModel("large", 4, 1.0, 1.0, 16.0, 1.6)
GROUPS = ServiceSpec(
    "llm",
    models=(MODEL,),
    slots=13,
    times=EngineTimes(0.006, 0.0005, 4, 46_000.0, 2048),
    usual_prompt_tokens=1000,
    usual_answer_tokens=100,
)
PLAIN = ServiceSpec("plain")
PLAIN_ANSWER_S = 0.08
STEPS_PER_EVENT = 4
RETRY_S = 0.02
MAX_WAIT_S = 1.5
TICK_S = 0.25
LOCAL_DELAY_S = 0.1
REMOTE_DELAY_S = 0.6
DAEMONS_PER_DATA_CENTRE = 10


class Load(NamedTuple):
    """A load and the targets that it meets.

    :param daemons: number of daemons.
    :param targets: number of targets.
    :param rate_per_s: requests per second of all daemons together.
    :param duration_s: seconds for which requests come.
    :param count_age_s: age of the counts of other daemons.
    :param objective_s: seconds to the first event after which a request is late.
    :param pause_limit_s: mean seconds between two events above which it is late, too.
    :param slow: function of target number and time that returns the factor on its
        times.
    :param spec: the service.
    :param slots: requests that a target runs at once.
    :param seed: seed of arrivals, sizes and choices.
    :param liars: daemons that tell that all targets are slow.
    :param counts_stop_at: time at which counts of other daemons stop arriving.
    :param cold: number of targets that have just started.
    """

    daemons: int = 8
    targets: int = 12
    rate_per_s: float = 100.0
    duration_s: float = 12.0
    count_age_s: float = 1.0
    objective_s: float = 0.5
    pause_limit_s: float = 0.1
    slow: object = lambda number, now: 1.0
    spec: ServiceSpec = GROUPS
    slots: int = 13
    seed: int = 1
    liars: int = 0
    counts_stop_at: float = float("inf")
    cold: int = 0
    shares_hints: bool = True


class _Request:
    def __init__(self, daemon, arrived_at, size, events):
        self.daemon = daemon
        self.arrived_at = arrived_at
        self.size = size
        self.events_left = events
        self.target = None
        self.sent_at = None
        self.first_s = None
        self.events_seen = 0
        self.ended_s = None
        self.observed = None


class _Target:
    def __init__(self, number, load):
        membership = GroupMembership("g", 1, 0, GroupState.OPEN, MODEL.name)
        self.number = number
        self.entry = TargetEntry(
            f"t{number:02}",
            load.spec.name,
            "a:1",
            f"dc{number % 3}",
            load.slots,
            membership=membership if load.spec.models else None,
            cold_left_s=9.0 if number < load.cold else 0.0,
        )
        self.running = set()
        self.queue = []
        self.sent = 0


class _Daemon:
    def __init__(self, number, load):
        self.data_centre = number // DAEMONS_PER_DATA_CENTRE
        self.own = {}
        self.told = ToldSpeeds()
        self.speeds = TargetSpeeds(self.told)
        self.cost = ExpectedTime(
            self.speeds, StatedLoads(), lambda service: load.spec, "dc0"
        )


class PlacingRun:
    """One run; :meth:`run` returns it when all requests have ended.

    :param load: :class:`Load`
    :param rule: ``in-flight``, ``expected-time`` or ``perfect``, which knows the true
        counts and factors and compares all targets.
    """

    def __init__(self, load, rule):
        self.load = load
        self.rule = rule
        self._rng = random.Random(load.seed)
        self._choice_rng = random.Random(load.seed + 1000)
        self._sequence = itertools.count()
        self._heap = []
        self._snapshots = []
        self.targets = [_Target(number, load) for number in range(load.targets)]
        self.daemons = [_Daemon(number, load) for number in range(load.daemons)]
        centres = {daemon.data_centre for daemon in self.daemons}
        self._reports = {centre: LocalReports() for centre in centres}
        self.requests = []
        self.sent = []
        self.peaks = []

    # Time.

    def _at(self, due_at, action, *arguments):
        heapq.heappush(self._heap, (due_at, next(self._sequence), action, arguments))

    def run(self):
        """Run until all requests have ended."""
        now = 0.0
        while (now := now + self._rng.expovariate(self.load.rate_per_s)) < (
            self.load.duration_s
        ):
            self._at(now, self._dispatch, self._new_request(now))
        for index in range(int(self.load.duration_s / TICK_S)):
            self._at(index * TICK_S, self._tick)
        while self._heap:
            now, _, action, arguments = heapq.heappop(self._heap)
            action(now, *arguments)
        return self

    def _new_request(self, now):
        prompt = min(5880, max(40, int(self._rng.lognormvariate(6.6, 0.9))))
        events = self._rng.randint(1, 70) if self.load.spec.models else 0
        request = _Request(
            self._rng.randrange(self.load.daemons),
            now,
            RequestSize(prompt, max(1, events) * STEPS_PER_EVENT),
            events,
        )
        self.requests.append(request)
        return request

    # What daemons know.

    def _tick(self, now):
        if now < self.load.counts_stop_at:
            totals = {t.entry.id: len(t.running) + len(t.queue) for t in self.targets}
            own = [dict(daemon.own) for daemon in self.daemons]
            self._snapshots.append((now, totals, own))
        loads = [len(t.running) + len(t.queue) for t in self.targets]
        self.peaks.append(max(loads) / max(1.0, sum(loads) / len(loads)))
        if self.rule == "expected-time" and self.load.shares_hints:
            self._tell(now)

    def _tell(self, now):
        for number, daemon in enumerate(self.daemons):
            factors = daemon.speeds.to_tell(now)
            if number < self.load.liars:
                factors = {target.entry.id: 1e9 for target in self.targets}
            self._reports[daemon.data_centre].record(
                number, factors, self.load.targets, now
            )
        for centre, reports in self._reports.items():
            summary = reports.summary(now)
            for daemon in self.daemons:
                is_local = daemon.data_centre == centre
                delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
                self._at(now + delay_s, self._be_told, daemon, centre, summary)

    def _be_told(self, now, daemon, centre, summary):
        daemon.told.record(centre, summary, now)

    def _others(self, now, number):
        """Return the counts of the other daemons as a daemon knows them."""
        cutoff = now - self.load.count_age_s + TICK_S
        known = [s for s in self._snapshots[-12:] if s[0] <= cutoff]
        if not known:
            return {}
        _, totals, own = known[-1]
        return {t: n - own[number].get(t, 0) for t, n in totals.items()}

    # Requests.

    def _dispatch(self, now, request):
        target = self._choose(now, request)
        if target is None:
            if now - request.arrived_at < MAX_WAIT_S:
                self._at(now + RETRY_S, self._dispatch, request)
            return
        daemon = self.daemons[request.daemon]
        entry = target.entry
        daemon.own[entry.id] = daemon.own.get(entry.id, 0) + 1
        request.target, request.sent_at = target, now
        target.sent += 1
        self.sent.append((now, target.number))
        if self.rule == "expected-time":
            candidate = self._candidate(now, request, target)
            candidate = candidate._replace(in_flight=candidate.in_flight - 1)
            expected = daemon.cost.times(candidate, request.size, now)
            request.observed = daemon.speeds.start(
                entry, entry.service, expected, sum(request.size), now
            )
        target.queue.append(request)
        self._start_next(now, target)

    def _candidate(self, now, request, target):
        own = self.daemons[request.daemon].own
        others = self._others(now, request.daemon)
        count = own.get(target.entry.id, 0) + others.get(target.entry.id, 0)
        return Candidate(target.entry, max(0, count), self.load.slots)

    def _choose(self, now, request):
        if self.rule == "perfect":
            return self._best(now, request)
        own = self.daemons[request.daemon].own
        others = self._others(now, request.daemon)
        candidates = [
            Candidate(
                target.entry,
                max(0, own.get(target.entry.id, 0) + others.get(target.entry.id, 0)),
                self.load.slots,
            )
            for target in self.targets
        ]
        cost = None
        if self.rule == "expected-time":
            cost = self.daemons[request.daemon].cost
        arguments = {"cost": cost, "size": request.size, "now": now}
        if self.load.spec.models:
            chosen = choose_group(candidates, set(), self._choice_rng, **arguments)
        else:
            chosen = choose_target(
                candidates, set(), "dc0", self._choice_rng, **arguments
            )
        return None if chosen is None else self.targets[candidates.index(chosen)]

    def _best(self, now, request):
        def cost(target):
            in_flight = len(target.running) + len(target.queue)
            times = expected_times(
                self.load.spec, MODEL.name, request.size, in_flight, self.load.slots
            )
            factor = self._factor(target, now)
            return factor * times.answer_s, self._choice_rng.random()

        return min(self.targets, key=cost)

    def _factor(self, target, now):
        factor = self.load.slow(target.number, now)
        return max(factor, 3.0) if target.number < self.load.cold else factor

    # Targets.

    def _start_next(self, now, target):
        while target.queue and len(target.running) < self.load.slots:
            request = target.queue.pop(0)
            target.running.add(request)
            factor = self._factor(target, now)
            if not self.load.spec.models:
                answer_s = PLAIN_ANSWER_S * self._rng.uniform(0.7, 1.3) * factor
                self._at(now + answer_s, self._end, request)
                continue
            read_s = request.size.prompt_tokens / 46_000.0
            step_s = 0.006 + 0.0005 * len(target.running)
            self._at(now + (read_s + step_s) * factor, self._event, request)

    def _event(self, now, request):
        if request.first_s is None:
            request.first_s = now - request.arrived_at
        if request.observed is not None:
            request.observed.record_events(1, now)
        request.events_left -= 1
        request.events_seen += 1
        if request.events_left <= 0:
            self._end(now, request)
            return
        step_s = 0.006 + 0.0005 * len(request.target.running)
        gap_s = STEPS_PER_EVENT * step_s * self._factor(request.target, now)
        self._at(now + gap_s * self._rng.uniform(0.8, 1.2), self._event, request)

    def _end(self, now, request):
        if request.first_s is None:
            request.first_s = now - request.arrived_at
            if request.observed is not None:
                request.observed.record_answer(now)
        if request.observed is not None:
            request.observed.end(now)
        request.ended_s = now - request.arrived_at
        daemon, target = self.daemons[request.daemon], request.target
        daemon.own[target.entry.id] -= 1
        target.running.discard(request)
        self._start_next(now, target)

    # Figures.

    @property
    def late(self):
        """Requests that are late or have found no target."""
        return sum(self._is_late(request) for request in self.requests)

    def _is_late(self, request):
        if request.first_s is None or request.first_s > self.load.objective_s:
            return True
        if not self.load.spec.models:
            return False
        pauses_s = request.ended_s - request.first_s
        pause_count = request.events_seen - 1
        return pause_count > 0 and pauses_s / pause_count > self.load.pause_limit_s

    @property
    def busiest(self):
        """Busiest target's requests in flight over the mean, 95th percentile."""
        peaks = sorted(self.peaks[8:])
        return peaks[int(0.95 * (len(peaks) - 1))]

    def share_sent(self, numbers, start_s, end_s):
        """Return the share of the requests of a time that some targets got."""
        sent = [number for at, number in self.sent if start_s <= at < end_s]
        return sum(number in numbers for number in sent) / max(1, len(sent))
