"""Gateways and targets in fake time, for measurements of routing and admission.

The decisions are the real ones; targets are queues with slots, prefix caches and
reports that lag. Each gateway sees only its own requests at once.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from typing import NamedTuple

import numpy as np

from cowslipcourse.admission import (
    AdmissionControl,
    AdmissionLimits,
    CapacityView,
    Priority,
    RetryBudget,
)
from cowslipcourse.exceptions import AdmissionError, DeadlinePassed
from cowslipcourse.ports import EngineLoad
from cowslipcourse.routing import (
    InFlight,
    LeastExpectedWait,
    PrefixMap,
    StragglerFilter,
    TargetView,
)

__all__ = ["LoadShape", "Result", "run_load"]

PREFILL_TOKENS_PER_S = 8000.0
BLOCK_TOKENS = 64
PEERS_EVERY_S = 0.5
GAP_S = 0.3


class LoadShape(NamedTuple):
    """One experiment.

    :param targets: number of targets.
    :param slots: sequences that a target runs at once.
    :param token_s: seconds per token of a lone sequence.
    :param tokens: mean tokens of an answer.
    :param gateways: number of gateways.
    :param load: offered load as a multiple of what the targets can do.
    :param seconds: length of the run.
    :param lag_s: lag of load reports.
    :param stragglers: number of targets that are three times slower.
    :param prefixes: number of different prompt beginnings; 0 for none shared.
    :param cache: prefixes that a target keeps.
    :param event_loss: fraction of cache events that never come.
    :param in_time_s: seconds within which a first token is in time.
    :param admission: whether gateways refuse what does not fit.
    :param workspaces: share of the offered load by workspace.
    :param come_back: whether refused callers come back when they were told to.
    :param dying: whether one target dies for a third of the run and comes back cold.
    :param overload_until: fraction of the run after which the load is halved.
    """

    targets: int = 16
    slots: int = 16
    token_s: float = 0.03
    tokens: int = 60
    gateways: int = 8
    load: float = 0.7
    seconds: float = 60.0
    lag_s: float = 1.0
    stragglers: int = 0
    prefixes: int = 0
    cache: int = 20
    event_loss: float = 0.2
    in_time_s: float = 1.0
    admission: bool = False
    workspaces: tuple = (("one", 1.0),)
    come_back: bool = False
    dying: bool = False
    retry_always: bool = False


class Result(NamedTuple):
    """What one run showed.

    :param first_s: seconds to the first token of every served request.
    :param by_workspace: the same by workspace.
    :param offered: requests offered.
    :param in_time: requests whose first token was in time.
    :param refused: refusals.
    :param came_back: callers that came back when told to.
    :param then_served: of those, served on their return.
    :param prefill_tokens: prompt tokens computed.
    :param prompt_tokens: prompt tokens in all.
    :param busiest: largest share of the requests that one target got.
    :param capacity_per_s: requests a second that the targets can do.
    """

    first_s: list
    by_workspace: dict
    offered: int
    in_time: int
    refused: int
    came_back: int
    then_served: int
    prefill_tokens: int
    prompt_tokens: int
    busiest: float
    capacity_per_s: float


class _Request(NamedTuple):
    number: int
    at: float
    gateway: int
    workspace: str
    prefix: int
    prompt_blocks: int
    tokens: int
    returned: bool = False


class _Target:
    """A queue with slots, in fake time."""

    def __init__(self, name, shape, slow):
        self.name, self._shape, self._slow = name, shape, slow
        self.running, self.waiting = 0, deque()
        self.dead = False
        self.history = deque([(0.0, EngineLoad(0, 0, shape.slots, shape.token_s))])
        self.cache = OrderedDict()
        self.taken = 0
        self.generation = 0

    def token_s(self):
        """Seconds per token at the present fill."""
        fill = self.running / self._shape.slots
        return self._shape.token_s * self._slow * (1 + 0.5 * fill)

    def note(self, now):
        """Keep a report for later."""
        load = EngineLoad(
            self.running, len(self.waiting), self._shape.slots, self.token_s()
        )
        self.history.append((now, load))

    def report(self, now):
        """Return the report as it was one lag ago."""
        seen = now - self._shape.lag_s
        while len(self.history) > 1 and self.history[1][0] <= seen:
            self.history.popleft()
        return self.history[0][1]

    def prefill_tokens(self, request):
        """Return the prompt tokens to be computed, and cache the prefix."""
        tokens = request.prompt_blocks * BLOCK_TOKENS
        if not self._shape.prefixes:
            return tokens
        cached = request.prefix in self.cache
        self.cache[request.prefix] = True
        self.cache.move_to_end(request.prefix)
        if len(self.cache) > self._shape.cache:
            self.cache.popitem(last=False)
        return BLOCK_TOKENS if cached else tokens


class _Gateway:
    def __init__(self, rng, policy):
        self.in_flight, self.policy, self.rng = InFlight(), policy, rng
        self.prefixes, self.stragglers = PrefixMap(), StragglerFilter()
        self.admission = AdmissionControl(AdmissionLimits(), rng)
        self.retries = RetryBudget()
        self.by_workspace = {}
        self.published = ({}, {})
        self.looked_at = 0.0


class _Run:
    def __init__(self, shape, policy_type, seed):
        self.shape = shape
        self.rng = random.Random(seed)
        self.targets = [
            _Target(f"t{i}", shape, 3.0 if i < shape.stragglers else 1.0)
            for i in range(shape.targets)
        ]
        self.by_name = {target.name: target for target in self.targets}
        self.gateways = [
            _Gateway(random.Random(f"{seed}/{i}"), policy_type())
            for i in range(shape.gateways)
        ]
        self.events, self.order = [], itertools.count()
        answer_s = shape.tokens * shape.token_s * 1.5 + 0.15
        self.capacity = shape.targets * shape.slots / answer_s
        self.answer_s = answer_s
        self.now = 0.0
        self.first, self.by_workspace = [], {}
        self.offered = self.in_time = self.refused = 0
        self.came_back = self.then_served = 0
        self.prefill = self.prompt = 0

    def push(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def run(self):
        shape = self.shape
        rate = self.capacity * shape.load
        at, number = 0.0, 0
        names = [name for name, _ in shape.workspaces]
        weights = [weight for _, weight in shape.workspaces]
        while at < shape.seconds:
            at += self.rng.expovariate(rate)
            number += 1
            prefix = min(int(self.rng.paretovariate(0.8)), shape.prefixes)
            request = _Request(
                number,
                at,
                self.rng.randrange(shape.gateways),
                self.rng.choices(names, weights)[0],
                prefix,
                16 + prefix % 32,
                max(4, int(self.rng.expovariate(1 / shape.tokens))),
            )
            self.push(at, self.arrive, request)
        self.push(0.0, self.publish)
        if shape.dying:
            self.push(shape.seconds / 3, self.die, self.targets[-1])
            self.push(2 * shape.seconds / 3, self.revive, self.targets[-1])
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > 2 * shape.seconds:
                break
            action(*arguments)
        return self.result()

    def publish(self):
        for gateway in self.gateways:
            flights = gateway.in_flight.snapshot()
            gateway.published = (flights, dict(gateway.by_workspace))
        groups, workspaces = {}, {}
        for gateway in self.gateways:
            for total, own in zip((groups, workspaces), gateway.published, strict=True):
                for name, count in own.items():
                    total[name] = total.get(name, 0) + count
        self.totals = (groups, workspaces)
        if self.now < 2 * self.shape.seconds:
            self.push(self.now + PEERS_EVERY_S, self.publish)

    def views(self, gateway, hashes):
        cached = gateway.prefixes.cached_tokens(hashes, self.now)
        since = self.now - self.shape.lag_s
        views = []
        for target in self.targets:
            if target.dead:
                continue
            name = target.name
            peers = self.totals[0].get(name, 0) - gateway.published[0].get(name, 0)
            views.append(
                TargetView(
                    name,
                    target.report(self.now),
                    self.shape.lag_s,
                    gateway.in_flight.count(name),
                    gateway.in_flight.count_since(name, since),
                    peers,
                    0,
                    cached.get(name, 0),
                )
            )
        return views

    def admit(self, gateway, request, views):
        if not self.shape.admission:
            return
        in_flight = dict(gateway.by_workspace)
        for name, count in self.totals[1].items():
            others = count - gateway.published[1].get(name, 0)
            in_flight[name] = in_flight.get(name, 0) + others
        policy = LeastExpectedWait()
        view = CapacityView(
            sum(v.load.batch_limit for v in views),
            in_flight,
            {},
            self.answer_s,
            min(policy.expected_wait_s(v) for v in views),
            self.unseen(gateway),
        )
        gateway.admission.admit(request.workspace, Priority.NORMAL, None, view)

    def unseen(self, gateway):
        """Return what the real gateway reckons that the others let in unseen."""
        own = sum(gateway.by_workspace.values())
        grown = own - sum(gateway.published[1].values())
        return max(0, grown) * (self.shape.gateways - 1)

    def arrive(self, request):
        gateway = self.gateways[request.gateway]
        if not request.returned:
            self.offered += 1
        hashes = [f"{request.prefix}/{i}" for i in range(request.prompt_blocks)]
        if not self.shape.prefixes:
            hashes = []
        views = self.views(gateway, hashes)
        try:
            self.admit(gateway, request, views)
        except (AdmissionError, DeadlinePassed) as error:
            self.refused += 1
            if self.shape.come_back and not request.returned:
                self.came_back += 1
                back = request._replace(returned=True)
                self.push(self.now + error.retry_after_s, self.arrive, back)
            return
        if request.returned:
            self.then_served += 1
        if self.now - gateway.looked_at > 1.0:
            gateway.looked_at = self.now
            times = {view.name: view.load.token_s for view in views}
            gateway.stragglers.observe(times, self.now)
        if isinstance(gateway.policy, LeastExpectedWait):
            views = gateway.stragglers.without_stragglers(views, self.now)
        chosen = gateway.policy.choose(views, gateway.rng)
        if hashes:
            gateway.prefixes.add(chosen.name, hashes, self.now)
        target = self.by_name[chosen.name]
        started = gateway.in_flight.start(chosen.name, self.now)
        names = gateway.by_workspace
        names[request.workspace] = names.get(request.workspace, 0) + 1
        target.taken += 1
        target.waiting.append((request, started))
        self.serve(target)

    def serve(self, target):
        while target.waiting and target.running < self.shape.slots and not target.dead:
            request, started = target.waiting.popleft()
            target.running += 1
            tokens = target.prefill_tokens(request)
            self.prefill += tokens
            self.prompt += request.prompt_blocks * BLOCK_TOKENS
            first_at = self.now + tokens / PREFILL_TOKENS_PER_S + target.token_s()
            self.served(request, first_at - request.at)
            end = first_at + request.tokens * target.token_s()
            self.push(end, self.finish, target, target.generation, request, started)
        target.note(self.now)

    def served(self, request, took_s):
        self.first.append(took_s)
        self.by_workspace.setdefault(request.workspace, []).append(took_s)
        self.in_time += took_s <= self.shape.in_time_s

    def finish(self, target, generation, request, started):
        gateway = self.gateways[request.gateway]
        gateway.in_flight.finish(target.name, started)
        gateway.by_workspace[request.workspace] -= 1
        if generation != target.generation:
            return
        target.running -= 1
        self.serve(target)

    def die(self, target):
        target.dead = True
        target.generation += 1
        target.running = 0
        target.cache.clear()
        waiting, target.waiting = target.waiting, deque()
        for request, started in waiting:
            gateway = self.gateways[request.gateway]
            gateway.in_flight.finish(target.name, started)
            gateway.by_workspace[request.workspace] -= 1
            self.push(self.now + GAP_S, self.arrive, request._replace(returned=True))

    def revive(self, target):
        target.dead = False
        target.note(self.now)

    def result(self):
        taken = sum(target.taken for target in self.targets)
        busiest = max(target.taken for target in self.targets) / taken
        return Result(
            self.first,
            self.by_workspace,
            self.offered,
            self.in_time,
            self.refused,
            self.came_back,
            self.then_served,
            self.prefill,
            self.prompt,
            busiest * len(self.targets),
            self.capacity,
        )


def run_load(shape, policy_type, seed):
    """Run one experiment.

    :param shape: :class:`LoadShape`
    :param policy_type: type that meets :class:`~cowslipcourse.routing.RoutingPolicy`.
    :param seed: seed of everything random.
    :returns: :class:`Result`
    """
    return _Run(shape, policy_type, seed).run()


def percentile(values, share):
    """Return a percentile, infinite if nothing was served."""
    return float(np.percentile(values, share)) if values else float("inf")
