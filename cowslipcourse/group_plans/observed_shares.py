"""Decides the models' shares of the engines by the work that is observed; pure.

Operators declare shares before the work is known. Requests in flight by model show the
engines that each model keeps busy. Shares in proportion to these give all models the
same utilisation, so the model that would run out first gains the most room for waves
and for lost engines.
"""

import math
from collections import deque
from typing import NamedTuple

from cowslipcourse.group_plans.balance import MIN_DONOR_DOMAINS

__all__ = ["ModelLoad", "ObservedWork", "choose_shares", "utilisations"]

WINDOW_S = 8.0
"""Time over which a level of work is observed."""
HELD_S = 5.0
"""Time of the window for which work must reach a level. A burst of 4 s, and its queue
that drains afterwards, is shorter."""
PEAK_HOLD_S = 20.0
"""Time for which a level counts after it was held: longer than the period of a
wave, between whose crests no groups shall move to and fro."""
MAX_SAMPLE_S = 0.5
"""Longest time for which one sample counts; pauses of the observer add nothing."""
FULL_UTILISATION = 0.9
"""Utilisation from which on requests wait or are refused, so that more is demanded than
is in flight."""
UNSEEN_DEMAND_FACTOR = 1.5
"""Demand of a model whose groups are full, relative to what is in flight. If that is
too little, its groups are full again after the move."""
BUSY_UTILISATION = 0.45
"""Utilisation below which a model gains nothing: bursts that double its work still find
room."""
MIN_UTILISATION_RATIO = 1.25
"""Ratio of the highest to the lowest utilisation from which on shares are changed."""
FLOOR_RATIO = 0.5
"""Part of the declared groups that each model keeps."""
SHARE_DIGITS = 4


class ModelLoad(NamedTuple):
    """Load of a model's groups at one time.

    :param in_flight: requests of all daemons in flight.
    :param domains: fabric domain of each serving group.
    """

    in_flight: int
    domains: tuple[str, ...]

    @property
    def groups(self):
        """Number of serving groups."""
        return len(self.domains)


class _Sample(NamedTuple):
    at: float
    duration_s: float
    demand: float


class ObservedWork:
    """Engines that each model has demanded lastingly."""

    def __init__(self):
        self._samples = {}
        self._levels = {}

    def observe(self, loads, models, slots, now):
        """Record the load of all models.

        :param loads: :class:`ModelLoad` by model.
        :param models: iterable of :class:`~cowslipcourse.routes.EngineModel`
        :param slots: requests that one group runs at once.
        :param now: loop time.
        """
        for model in models:
            load = loads[model.name]
            # Without groups nothing is in flight, whatever callers ask for.
            if load.groups:
                self._add_sample(model, _demand(load, model.size, slots), now)

    def _add_sample(self, model, demand, now):
        samples = self._samples.setdefault(model.name, deque())
        elapsed_s = now - samples[-1].at if samples else 0.0
        samples.append(_Sample(now, min(elapsed_s, MAX_SAMPLE_S), demand))
        while samples[0].at <= now - WINDOW_S:
            samples.popleft()
        level = _held_level(samples)
        if level is None:
            return
        levels = self._levels.setdefault(model.name, deque())
        # Lower levels that are older never count again.
        while levels and levels[-1][1] <= level:
            levels.pop()
        levels.append((now, level))
        while levels[0][0] <= now - PEAK_HOLD_S:
            levels.popleft()

    def demands(self, models):
        """Return the demanded engines by model.

        :returns: ``None`` until each model has been observed for long enough.
        """
        if not all(self._levels.get(model.name) for model in models):
            return None
        return {model.name: self._levels[model.name][0][1] for model in models}


def _demand(load, size, slots):
    """Return the engines that a model demands; more than it has if they are full."""
    in_flight = max(load.in_flight, 0)
    is_full = in_flight >= FULL_UTILISATION * load.groups * slots
    factor = UNSEEN_DEMAND_FACTOR if is_full else 1.0
    return in_flight / slots * size * factor


def _held_level(samples):
    """Return the highest demand reached for ``HELD_S``; ``None`` if observed less."""
    held_s = 0.0
    for sample in sorted(samples, key=lambda sample: -sample.demand):
        held_s += sample.duration_s
        if held_s >= HELD_S:
            return sample.demand
    return None


def utilisations(demands, shares, engines):
    """Return the demanded part of each model's share of the engines.

    :param demands: demanded engines by model.
    :param shares: share by model.
    :param engines: engines of all groups.
    """
    total = sum(shares.values())
    return {
        name: demand / max(shares[name] / total * engines, 1e-9)
        for name, demand in demands.items()
    }


def choose_shares(demands, loads, models, shares):
    """Return new shares by model; ``None`` if those in force shall stay.

    :param demands: demanded engines by model.
    :param loads: :class:`ModelLoad` by model.
    :param models: iterable of :class:`~cowslipcourse.routes.EngineModel` with their
        declared shares.
    :param shares: shares in force by model.
    """
    engines = sum(loads[model.name].groups * model.size for model in models)
    if len(models) < 2 or not engines or sum(model.share for model in models) <= 0:
        return None
    used = utilisations(demands, shares, engines)
    busiest = max(used, key=lambda name: (used[name], name))
    if used[busiest] < BUSY_UTILISATION:
        return None
    if used[busiest] < MIN_UTILISATION_RATIO * min(used.values()):
        return None
    present = _by_share(shares, engines)
    floors = _floors(loads, models, engines)
    chosen = _proportional(demands, floors, engines)
    if chosen[busiest] - present[busiest] < max(model.size for model in models):
        return None
    return {name: round(chosen[name] / engines, SHARE_DIGITS) for name in chosen}


def _by_share(shares, engines):
    total = sum(shares.values())
    return {name: share / total * engines for name, share in shares.items()}


def _floors(loads, models, engines):
    """Return the engines that each model keeps.

    They are half of its declared groups, and a group in each of as many domains as it
    takes for one to survive the loss of any two.
    """
    declared = _by_share({model.name: model.share for model in models}, engines)
    floors = {}
    for model in models:
        half = math.ceil(FLOOR_RATIO * declared[model.name] / model.size) * model.size
        domain_count = min(len(set(loads[model.name].domains)), MIN_DONOR_DOMAINS)
        floors[model.name] = max(half, domain_count * model.size)
    return floors


def _proportional(demands, floors, engines):
    """Return engines by model in proportion to demands, but none below its floor."""
    chosen = dict(floors)
    free = dict(demands)
    while free:
        remaining = engines - sum(chosen[name] for name in chosen if name not in free)
        total = sum(free.values())
        if remaining <= 0 or total <= 0:
            break
        part = {name: demand / total * remaining for name, demand in free.items()}
        low = [name for name in free if part[name] < floors[name]]
        if not low:
            chosen.update(part)
            break
        for name in low:
            del free[name]
    return chosen
