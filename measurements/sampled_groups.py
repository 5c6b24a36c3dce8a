"""Late requests by number of sampled groups and by age of the daemons' counts.

Daemons report to each other at intervals how many requests they have at each group. A
request goes to the least loaded of some sampled groups with free capacity, and queues
there in order of arrival. Requests are late that wait for longer than
:data:`MAX_WAIT_S` or find no free capacity.

Run: ``.venv/bin/python -m measurements.sampled_groups``
"""

import heapq
import itertools
import math
import random
from typing import NamedTuple

__all__ = ["SiteLoad", "main", "measure_late_fraction"]

MAX_WAIT_S = 0.1
RETRY_INTERVAL_S = 0.02
ABANDON_AFTER_S = 1.5
DURATION_S = 30.0
SEEDS = (1, 2)
MEAN_RUN_S = 1.0
RUN_LOG_STDDEV = 0.7
"""Standard deviation of the logarithm of a request's running time."""


class SiteLoad(NamedTuple):
    """A site and its load.

    :param requests_per_s: rate of arrivals.
    :param report_interval_s: seconds between the reports of a daemon to the others.
    :param sample_size: number of groups that are compared.
    :param queue_fraction: requests that may queue at a group, as a fraction of its
        slots.
    :param daemon_count: number of daemons.
    :param group_count: number of groups.
    :param slots_per_group: requests that a group runs at once.
    """

    requests_per_s: float
    report_interval_s: float
    sample_size: int
    queue_fraction: float
    daemon_count: int = 82
    group_count: int = 17
    slots_per_group: int = 15


class _Simulation:
    def __init__(self, site, seed):
        self._site = site
        self._rng = random.Random(seed)
        self._event_numbers = itertools.count()
        self._events = []
        self._running = [0] * site.group_count
        self._queues = [[] for _ in range(site.group_count)]
        self._counts = [[0] * site.group_count for _ in range(site.daemon_count)]
        self._reported_counts = [
            [0] * site.group_count for _ in range(site.daemon_count)
        ]
        self._total_reported = [0] * site.group_count
        self.waits_s = []

    def run(self):
        for daemon in range(self._site.daemon_count):
            self._schedule(
                self._rng.random() * self._site.report_interval_s, self._report, daemon
            )
        self._schedule(
            self._rng.expovariate(self._site.requests_per_s), self._handle_arrival, None
        )
        while self._events:
            now_s, _, action, value = heapq.heappop(self._events)
            if now_s > DURATION_S:
                break
            action(now_s, value)
        return self.waits_s

    def _schedule(self, at_s, action, value):
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action, value))

    def _report(self, now_s, daemon):
        counts, reported_counts = self._counts[daemon], self._reported_counts[daemon]
        for group in range(self._site.group_count):
            self._total_reported[group] += counts[group] - reported_counts[group]
        self._reported_counts[daemon] = counts[:]
        self._schedule(now_s + self._site.report_interval_s, self._report, daemon)

    def _handle_arrival(self, now_s, _):
        self._schedule(
            now_s + self._rng.expovariate(self._site.requests_per_s),
            self._handle_arrival,
            None,
        )
        self._route(now_s, (self._rng.randrange(self._site.daemon_count), now_s))

    def _route(self, now_s, request):
        daemon, arrived_s = request
        loads = [
            total - reported + current
            for total, reported, current in zip(
                self._total_reported,
                self._reported_counts[daemon],
                self._counts[daemon],
                strict=True,
            )
        ]
        max_load = self._site.slots_per_group * (1 + self._site.queue_fraction)
        groups_with_capacity = [
            group for group, load in enumerate(loads) if load < max_load
        ]
        if not groups_with_capacity:
            self._retry_or_abandon(now_s, request)
            return
        sampled_groups = self._rng.sample(
            groups_with_capacity, min(self._site.sample_size, len(groups_with_capacity))
        )
        group = min(
            sampled_groups, key=lambda candidate: (loads[candidate], self._rng.random())
        )
        self._counts[daemon][group] += 1
        self._queues[group].append((daemon, arrived_s))
        self._start_next(now_s, group)

    def _retry_or_abandon(self, now_s, request):
        if now_s - request[1] < ABANDON_AFTER_S:
            self._schedule(now_s + RETRY_INTERVAL_S, self._route, request)
        else:
            self.waits_s.append(math.inf)

    def _start_next(self, now_s, group):
        if self._queues[group] and self._running[group] < self._site.slots_per_group:
            daemon, arrived_s = self._queues[group].pop(0)
            self._running[group] += 1
            self.waits_s.append(now_s - arrived_s)
            log_mean = math.log(MEAN_RUN_S) - RUN_LOG_STDDEV**2 / 2
            run_s = self._rng.lognormvariate(log_mean, RUN_LOG_STDDEV)
            self._schedule(now_s + run_s, self._finish, (daemon, group))

    def _finish(self, now_s, run):
        daemon, group = run
        self._counts[daemon][group] -= 1
        self._running[group] -= 1
        self._start_next(now_s, group)


def measure_late_fraction(site):
    """Return the fraction of late requests, over all seeds.

    :param site: :class:`SiteLoad`
    """
    waits_s = [wait_s for seed in SEEDS for wait_s in _Simulation(site, seed).run()]
    return sum(wait_s > MAX_WAIT_S for wait_s in waits_s) / len(waits_s)


def main():
    """Print the late fraction by rate, report interval, sample size and queue."""
    print("requests_per_s report_interval_s sample_size queue_fraction late_fraction")
    for requests_per_s, report_interval_s in itertools.product(
        (150, 180, 205), (0.3, 0.8, 1.3)
    ):
        for sample_size, queue_fraction in itertools.product(
            (1, 2, 3, 17), (1.0, 0.2, 0.0)
        ):
            late_fraction = measure_late_fraction(
                SiteLoad(requests_per_s, report_interval_s, sample_size, queue_fraction)
            )
            print(
                f"{requests_per_s} {report_interval_s} {sample_size} {queue_fraction} "
                f"{late_fraction:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
