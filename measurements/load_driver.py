"""Simulate gateways and targets, for measurements of routing and admission.

Routing and admission are the production code; targets are queues with slots, prefix
caches and delayed load reports. A gateway knows at once only of its own requests.
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
from cowslipcourse.load_balancing import (
    InFlight,
    LeastExpectedWait,
    PrefixMap,
    StragglerFilter,
    TargetView,
)
from cowslipcourse.ports import EngineLoad

__all__ = ["LoadResult", "LoadShape", "simulate_load"]

PREFILL_TOKENS_PER_S = 8000.0
BLOCK_TOKENS = 64
PUBLISH_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.3


class LoadShape(NamedTuple):
    """One simulated experiment.

    :param target_count: number of targets.
    :param slots_per_target: sequences that a target runs at once.
    :param token_s: seconds per token of a single sequence.
    :param mean_answer_tokens: mean number of tokens of an answer.
    :param gateway_count: number of gateways.
    :param load_factor: offered load as a multiple of the capacity of the targets.
    :param duration_s: length of the run in seconds.
    :param report_lag_s: age of load reports in seconds.
    :param straggler_count: number of targets that are three times slower.
    :param prefix_count: number of different prompt prefixes; 0 for none shared.
    :param cached_prefixes_per_target: number of prefixes that a target caches.
    :param event_loss_fraction: fraction of cache events that are lost.
    :param first_token_limit_s: seconds within which a first token is in time.
    :param admission_enabled: whether gateways refuse requests that exceed capacity.
    :param workspace_shares: pairs of a workspace and its share of the offered load.
    :param refused_callers_retry: whether refused callers retry once, after the time
        that the refusal tells.
    :param target_fails: whether one target fails for a third of the run and restarts
        with an empty cache.
    """

    target_count: int = 16
    slots_per_target: int = 16
    token_s: float = 0.03
    mean_answer_tokens: int = 60
    gateway_count: int = 8
    load_factor: float = 0.7
    duration_s: float = 60.0
    report_lag_s: float = 1.0
    straggler_count: int = 0
    prefix_count: int = 0
    cached_prefixes_per_target: int = 20
    event_loss_fraction: float = 0.2
    first_token_limit_s: float = 1.0
    admission_enabled: bool = False
    workspace_shares: tuple = (("one", 1.0),)
    refused_callers_retry: bool = False
    target_fails: bool = False
    retry_always: bool = False


class LoadResult(NamedTuple):
    """Results of one run.

    :param first_token_s: seconds to the first token of every served request.
    :param first_token_s_by_workspace: the same by workspace.
    :param offered_count: number of requests offered.
    :param in_time_count: number of requests whose first token was in time.
    :param refused_count: number of refusals.
    :param retried_count: number of refused callers that retried.
    :param admitted_retry_count: number of retries that were admitted, including those
        of requests that waited at a target when it failed.
    :param prefill_tokens: prompt tokens that were computed.
    :param prompt_tokens: prompt tokens of all requests.
    :param busiest_target_ratio: requests of the busiest target, as a multiple of the
        mean over the targets.
    :param capacity_requests_per_s: requests per second that the targets can serve.
    """

    first_token_s: list
    first_token_s_by_workspace: dict
    offered_count: int
    in_time_count: int
    refused_count: int
    retried_count: int
    admitted_retry_count: int
    prefill_tokens: int
    prompt_tokens: int
    busiest_target_ratio: float
    capacity_requests_per_s: float


class _Request(NamedTuple):
    """A request, or the retry of one."""

    number: int
    arrived_s: float
    gateway_index: int
    workspace: str
    prefix_index: int
    prompt_blocks: int
    answer_tokens: int
    is_retry: bool = False


class _Target:
    """A simulated target: a queue with slots."""

    def __init__(self, name, shape, slowdown):
        self.name, self._shape, self._slowdown = name, shape, slowdown
        self.running, self.waiting = 0, deque()
        self.is_failed = False
        self.load_history = deque(
            [(0.0, EngineLoad(0, 0, shape.slots_per_target, shape.token_s))]
        )
        self.cached_prefixes = OrderedDict()
        self.request_count = 0
        self.generation = 0

    def token_s(self):
        """Return the seconds per token, which grow with the running sequences."""
        occupancy = self.running / self._shape.slots_per_target
        return self._shape.token_s * self._slowdown * (1 + 0.5 * occupancy)

    def record_load(self, now_s):
        """Record the current load, to be reported later."""
        load = EngineLoad(
            self.running,
            len(self.waiting),
            self._shape.slots_per_target,
            self.token_s(),
        )
        self.load_history.append((now_s, load))

    def delayed_report(self, now_s):
        """Return the load as of ``report_lag_s`` ago."""
        reported_at_s = now_s - self._shape.report_lag_s
        while len(self.load_history) > 1 and self.load_history[1][0] <= reported_at_s:
            self.load_history.popleft()
        return self.load_history[0][1]

    def prefill_tokens(self, request):
        """Cache the prefix; return the number of prompt tokens to be computed."""
        prompt_tokens = request.prompt_blocks * BLOCK_TOKENS
        if not self._shape.prefix_count:
            return prompt_tokens
        is_cached = request.prefix_index in self.cached_prefixes
        self.cached_prefixes[request.prefix_index] = True
        self.cached_prefixes.move_to_end(request.prefix_index)
        if len(self.cached_prefixes) > self._shape.cached_prefixes_per_target:
            self.cached_prefixes.popitem(last=False)
        return BLOCK_TOKENS if is_cached else prompt_tokens


class _Gateway:
    """A simulated gateway, with its own requests in flight and published counts."""

    def __init__(self, rng, policy):
        self.in_flight, self.policy, self.rng = InFlight(), policy, rng
        self.prefix_map, self.straggler_filter = PrefixMap(), StragglerFilter()
        self.admission = AdmissionControl(AdmissionLimits(), rng)
        self.retry_budget = RetryBudget()
        self.in_flight_by_workspace = {}
        self.published_counts = ({}, {})
        self.stragglers_observed_s = 0.0


class _Simulation:
    """One run: events in order of simulated time."""

    def __init__(self, shape, policy_type, seed):
        self.shape = shape
        self.rng = random.Random(seed)
        self.targets = [
            _Target(f"t{i}", shape, 3.0 if i < shape.straggler_count else 1.0)
            for i in range(shape.target_count)
        ]
        self.by_name = {target.name: target for target in self.targets}
        self.gateways = [
            _Gateway(random.Random(f"{seed}/{i}"), policy_type())
            for i in range(shape.gateway_count)
        ]
        self.events, self.event_numbers = [], itertools.count()
        mean_answer_s = shape.mean_answer_tokens * shape.token_s * 1.5 + 0.15
        self.capacity_requests_per_s = (
            shape.target_count * shape.slots_per_target / mean_answer_s
        )
        self.mean_answer_s = mean_answer_s
        self.now_s = 0.0
        self.first_token_s, self.first_token_s_by_workspace = [], {}
        self.offered_count = self.in_time_count = self.refused_count = 0
        self.retried_count = self.admitted_retry_count = 0
        self.prefill_tokens_sum = self.prompt_tokens_sum = 0

    def schedule(self, at_s, action, *arguments):
        heapq.heappush(self.events, (at_s, next(self.event_numbers), action, arguments))

    def run(self):
        shape = self.shape
        requests_per_s = self.capacity_requests_per_s * shape.load_factor
        at_s, number = 0.0, 0
        names = [name for name, _ in shape.workspace_shares]
        weights = [weight for _, weight in shape.workspace_shares]
        while at_s < shape.duration_s:
            at_s += self.rng.expovariate(requests_per_s)
            number += 1
            prefix = min(int(self.rng.paretovariate(0.8)), shape.prefix_count)
            request = _Request(
                number,
                at_s,
                self.rng.randrange(shape.gateway_count),
                self.rng.choices(names, weights)[0],
                prefix,
                16 + prefix % 32,
                max(4, int(self.rng.expovariate(1 / shape.mean_answer_tokens))),
            )
            self.schedule(at_s, self.handle_arrival, request)
        self.schedule(0.0, self.publish_counts)
        if shape.target_fails:
            self.schedule(shape.duration_s / 3, self.fail_target, self.targets[-1])
            self.schedule(
                2 * shape.duration_s / 3, self.restore_target, self.targets[-1]
            )
        while self.events:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            if self.now_s > 2 * shape.duration_s:
                break
            action(*arguments)
        return self.build_result()

    def publish_counts(self):
        for gateway in self.gateways:
            in_flight_by_target = gateway.in_flight.snapshot()
            gateway.published_counts = (
                in_flight_by_target,
                dict(gateway.in_flight_by_workspace),
            )
        by_target, by_workspace = {}, {}
        for gateway in self.gateways:
            for total, gateway_counts in zip(
                (by_target, by_workspace), gateway.published_counts, strict=True
            ):
                for name, count in gateway_counts.items():
                    total[name] = total.get(name, 0) + count
        self.total_counts = (by_target, by_workspace)
        if self.now_s < 2 * self.shape.duration_s:
            self.schedule(self.now_s + PUBLISH_INTERVAL_S, self.publish_counts)

    def build_views(self, gateway, hashes):
        cached = gateway.prefix_map.cached_tokens(hashes, self.now_s)
        report_s = self.now_s - self.shape.report_lag_s
        views = []
        for target in self.targets:
            if target.is_failed:
                continue
            name = target.name
            peers_in_flight = self.total_counts[0].get(
                name, 0
            ) - gateway.published_counts[0].get(name, 0)
            views.append(
                TargetView(
                    name,
                    target.delayed_report(self.now_s),
                    self.shape.report_lag_s,
                    gateway.in_flight.count(name),
                    gateway.in_flight.count_since(name, report_s),
                    peers_in_flight,
                    0,
                    cached.get(name, 0),
                )
            )
        return views

    def admit(self, gateway, request, views):
        if not self.shape.admission_enabled:
            return
        in_flight = dict(gateway.in_flight_by_workspace)
        for name, count in self.total_counts[1].items():
            peers_in_flight = count - gateway.published_counts[1].get(name, 0)
            in_flight[name] = in_flight.get(name, 0) + peers_in_flight
        policy = LeastExpectedWait()
        view = CapacityView(
            sum(v.load.batch_limit for v in views),
            in_flight,
            {},
            self.mean_answer_s,
            min(policy.expected_wait_s(v) for v in views),
            self.estimate_unreported(gateway),
        )
        gateway.admission.admit(request.workspace, Priority.NORMAL, None, view)

    def estimate_unreported(self, gateway):
        """Return the estimated number of unpublished requests of other gateways.

        As in the production gateway, each is assumed to admit as many as this one.
        """
        own_count = sum(gateway.in_flight_by_workspace.values())
        unpublished_count = own_count - sum(gateway.published_counts[1].values())
        return max(0, unpublished_count) * (self.shape.gateway_count - 1)

    def handle_arrival(self, request):
        gateway = self.gateways[request.gateway_index]
        if not request.is_retry:
            self.offered_count += 1
        hashes = [f"{request.prefix_index}/{i}" for i in range(request.prompt_blocks)]
        if not self.shape.prefix_count:
            hashes = []
        views = self.build_views(gateway, hashes)
        try:
            self.admit(gateway, request, views)
        except (AdmissionError, DeadlinePassed) as error:
            self.refused_count += 1
            if self.shape.refused_callers_retry and not request.is_retry:
                self.retried_count += 1
                retry = request._replace(is_retry=True)
                self.schedule(
                    self.now_s + error.retry_after_s, self.handle_arrival, retry
                )
            return
        if request.is_retry:
            self.admitted_retry_count += 1
        if self.now_s - gateway.stragglers_observed_s > 1.0:
            gateway.stragglers_observed_s = self.now_s
            times = {view.name: view.load.token_s for view in views}
            gateway.straggler_filter.observe(times, self.now_s)
        if isinstance(gateway.policy, LeastExpectedWait):
            views = gateway.straggler_filter.without_stragglers(views, self.now_s)
        chosen = gateway.policy.choose(views, gateway.rng)
        if hashes:
            gateway.prefix_map.add(chosen.name, hashes, self.now_s)
        target = self.by_name[chosen.name]
        started_s = gateway.in_flight.start(chosen.name, self.now_s)
        names = gateway.in_flight_by_workspace
        names[request.workspace] = names.get(request.workspace, 0) + 1
        target.request_count += 1
        target.waiting.append((request, started_s))
        self.start_waiting_requests(target)

    def start_waiting_requests(self, target):
        while (
            target.waiting
            and target.running < self.shape.slots_per_target
            and not target.is_failed
        ):
            request, started_s = target.waiting.popleft()
            target.running += 1
            tokens = target.prefill_tokens(request)
            self.prefill_tokens_sum += tokens
            self.prompt_tokens_sum += request.prompt_blocks * BLOCK_TOKENS
            first_token_at_s = (
                self.now_s + tokens / PREFILL_TOKENS_PER_S + target.token_s()
            )
            self.record_first_token(request, first_token_at_s - request.arrived_s)
            end_s = first_token_at_s + request.answer_tokens * target.token_s()
            self.schedule(
                end_s,
                self.finish_request,
                target,
                target.generation,
                request,
                started_s,
            )
        target.record_load(self.now_s)

    def record_first_token(self, request, wait_s):
        self.first_token_s.append(wait_s)
        self.first_token_s_by_workspace.setdefault(request.workspace, []).append(wait_s)
        self.in_time_count += wait_s <= self.shape.first_token_limit_s

    def finish_request(self, target, generation, request, started_s):
        gateway = self.gateways[request.gateway_index]
        gateway.in_flight.finish(target.name, started_s)
        gateway.in_flight_by_workspace[request.workspace] -= 1
        if generation != target.generation:
            return
        target.running -= 1
        self.start_waiting_requests(target)

    def fail_target(self, target):
        target.is_failed = True
        target.generation += 1
        target.running = 0
        target.cached_prefixes.clear()
        waiting, target.waiting = target.waiting, deque()
        for request, started_s in waiting:
            gateway = self.gateways[request.gateway_index]
            gateway.in_flight.finish(target.name, started_s)
            gateway.in_flight_by_workspace[request.workspace] -= 1
            self.schedule(
                self.now_s + RETRY_DELAY_S,
                self.handle_arrival,
                request._replace(is_retry=True),
            )

    def restore_target(self, target):
        target.is_failed = False
        target.record_load(self.now_s)

    def build_result(self):
        total_requests = sum(target.request_count for target in self.targets)
        busiest_share = (
            max(target.request_count for target in self.targets) / total_requests
        )
        return LoadResult(
            self.first_token_s,
            self.first_token_s_by_workspace,
            self.offered_count,
            self.in_time_count,
            self.refused_count,
            self.retried_count,
            self.admitted_retry_count,
            self.prefill_tokens_sum,
            self.prompt_tokens_sum,
            busiest_share * len(self.targets),
            self.capacity_requests_per_s,
        )


def simulate_load(shape, policy_type, seed):
    """Simulate one experiment.

    :param shape: :class:`LoadShape`
    :param policy_type: type that implements
        :class:`~cowslipcourse.load_balancing.RoutingPolicy`.
    :param seed: seed of all random numbers.
    :returns: :class:`LoadResult`
    """
    return _Simulation(shape, policy_type, seed).run()


def percentile(values, percent):
    """Return a percentile, or infinity if nothing was served.

    :param values: times of served requests.
    :param percent: which percentile, from 0 to 100.
    """
    return float(np.percentile(values, percent)) if values else float("inf")
