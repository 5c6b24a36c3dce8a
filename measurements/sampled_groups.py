"""How many groups to compare for a request, by how old the daemons' counts are.

Daemons tell each other at intervals how many requests they have at each group. A
request goes to the least loaded of some sampled groups that have room, and queues there
in the order of arrival. What is counted are requests that wait for longer than
:data:`LATE_S` or find no room.

Run: ``.venv/bin/python -m measurements.sampled_groups``
"""

import heapq
import itertools
import math
import random
from typing import NamedTuple

__all__ = ["Site", "late_part", "main"]

LATE_S = 0.1
LOOK_AGAIN_S = 0.02
GIVE_UP_S = 1.5
LENGTH_S = 30.0
SEEDS = (1, 2)
RUN_S = 1.0
SPREAD = 0.7
"""Standard deviation of the logarithm of a request's running time."""


class Site(NamedTuple):
    """A site and its load.

    :param rate: requests a second.
    :param told_s: seconds between what a daemon tells the others.
    :param sample: groups that are compared.
    :param queue: requests that may queue at a group, as a part of what it runs.
    """

    rate: float
    told_s: float
    sample: int
    queue: float
    daemons: int = 82
    groups: int = 17
    slots: int = 15


class _Play:
    def __init__(self, site, seed):
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []
        self._running = [0] * site.groups
        self._queues = [[] for _ in range(site.groups)]
        self._own = [[0] * site.groups for _ in range(site.daemons)]
        self._told = [[0] * site.groups for _ in range(site.daemons)]
        self._total = [0] * site.groups
        self.waits = []

    def run(self):
        for daemon in range(self._site.daemons):
            self._at(self._rng.random() * self._site.told_s, self._tell, daemon)
        self._at(self._rng.expovariate(self._site.rate), self._come, None)
        while self._events:
            now, _, action, value = heapq.heappop(self._events)
            if now > LENGTH_S:
                break
            action(now, value)
        return self.waits

    def _at(self, when, action, value):
        heapq.heappush(self._events, (when, next(self._numbers), action, value))

    def _tell(self, now, daemon):
        own, told = self._own[daemon], self._told[daemon]
        for group in range(self._site.groups):
            self._total[group] += own[group] - told[group]
        self._told[daemon] = own[:]
        self._at(now + self._site.told_s, self._tell, daemon)

    def _come(self, now, _):
        self._at(now + self._rng.expovariate(self._site.rate), self._come, None)
        self._place(now, (self._rng.randrange(self._site.daemons), now))

    def _place(self, now, request):
        daemon, came_at = request
        loads = [
            total - told + own
            for total, told, own in zip(
                self._total, self._told[daemon], self._own[daemon], strict=True
            )
        ]
        most = self._site.slots * (1 + self._site.queue)
        found = [group for group, load in enumerate(loads) if load < most]
        if not found:
            self._wait(now, request)
            return
        sampled = self._rng.sample(found, min(self._site.sample, len(found)))
        group = min(sampled, key=lambda each: (loads[each], self._rng.random()))
        self._own[daemon][group] += 1
        self._queues[group].append((daemon, came_at))
        self._begin(now, group)

    def _wait(self, now, request):
        if now - request[1] < GIVE_UP_S:
            self._at(now + LOOK_AGAIN_S, self._place, request)
        else:
            self.waits.append(math.inf)

    def _begin(self, now, group):
        if self._queues[group] and self._running[group] < self._site.slots:
            daemon, came_at = self._queues[group].pop(0)
            self._running[group] += 1
            self.waits.append(now - came_at)
            mean = math.log(RUN_S) - SPREAD**2 / 2
            run_s = self._rng.lognormvariate(mean, SPREAD)
            self._at(now + run_s, self._end, (daemon, group))

    def _end(self, now, place):
        daemon, group = place
        self._own[daemon][group] -= 1
        self._running[group] -= 1
        self._begin(now, group)


def late_part(site):
    """Return the part of the requests that wait too long, over all seeds.

    :param site: :class:`Site`
    """
    waits = [wait for seed in SEEDS for wait in _Play(site, seed).run()]
    return sum(wait > LATE_S for wait in waits) / len(waits)


def main():
    """Print the part of late requests by rate, age of counts, sample and queue."""
    print("rate told_s sample queue late")
    for rate, told_s in itertools.product((150, 180, 205), (0.3, 0.8, 1.3)):
        for sample, queue in itertools.product((1, 2, 3, 17), (1.0, 0.2, 0.0)):
            late = late_part(Site(rate, told_s, sample, queue))
            print(f"{rate} {told_s} {sample} {queue} {late:.3f}", flush=True)


if __name__ == "__main__":
    main()
