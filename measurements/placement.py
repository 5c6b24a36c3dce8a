"""Repair policies against failure traces: group downtime and stranded accelerators.

The real policies are driven through failure traces in fake time, the same trace for
each policy. Every figure is a ratio to first-fit replacement in the same run.

Run: ``.venv/bin/python -m measurements.placement``
"""

import heapq
import itertools
import random
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import numpy as np

from cowslipcourse.placement import (
    BrokenGroup,
    CostPolicy,
    LoadNeed,
    RepairView,
    Replace,
    ReplaceAlways,
    WaitAlways,
    Weights,
    load_order,
)
from cowslipcourse.placement.absence import DEFAULT_ABSENCES

DAY_S = 86_400.0
SEEDS = 20
DECIDE_S = 2.0
DECIDE_SELDOM_S = 30.0
RECENT_S = 120.0
ACCELERATORS = 8
FULL_RATE_LOADS = 4


class Shape(NamedTuple):
    """One fabric domain and its failures.

    :param vms: VMs of the domain.
    :param size: VMs of a group.
    :param groups: groups declared.
    :param load_s: seconds to load one member while few load.
    :param absences_a_day: absences of one VM a day, pauses included.
    :param dark_every_s: mean seconds between the whole domain going dark.
    :param days: length of the trace.
    """

    vms: int
    size: int
    groups: int
    load_s: float
    absences_a_day: float
    dark_every_s: float
    days: float


# 31 failures and 98 restarts a day over 1,200 VMs, as many pauses again.
TARGET_RATE = 2 * 129 / 1200
SHAPES = {
    "today, spares short (25 VMs, 6 groups of 4)": Shape(
        25, 4, 6, 60.0, 10 * TARGET_RATE, 45 * DAY_S, 10
    ),
    "target, remnant only (66 VMs, 4 groups of 16)": Shape(
        66, 16, 4, 180.0, TARGET_RATE, 45 * DAY_S, 20
    ),
    "target, a whole block free (80 VMs, 4 groups of 16)": Shape(
        80, 16, 4, 180.0, TARGET_RATE, 45 * DAY_S, 20
    ),
}
POLICIES = {
    "wait-always": (WaitAlways, Weights(1, 1)),
    "replace-always": (ReplaceAlways, Weights(1, 1)),
    "cost, Atlas (1000:1)": (CostPolicy, Weights(1000.0, 1.0)),
    "cost, even (8:1)": (CostPolicy, Weights(8.0, 1.0)),
    "cost, Incheon (1:10)": (CostPolicy, Weights(1.0, 10.0)),
}
CURVE = (1000.0, 30.0, 1.0, 0.1)


def make_trace(shape, seed):
    """Return absences ``(at, vm, back at, keeps weights)`` in order of time."""
    rng = random.Random(seed)
    end = shape.days * DAY_S
    trace = []
    for vm in range(shape.vms):
        at = 0.0
        while True:
            at += rng.expovariate(shape.absences_a_day / DAY_S)
            if at > end:
                break
            kind = rng.choices(
                DEFAULT_ABSENCES.kinds, [kind.share for kind in DEFAULT_ABSENCES.kinds]
            )[0]
            trace.append((at, vm, at + rng.expovariate(1 / kind.mean_s), kind[2]))
    at = rng.expovariate(1 / shape.dark_every_s)
    while at < end:
        back = at + rng.uniform(300, 3600)
        trace += [(at, vm, back, True) for vm in range(shape.vms)]
        at += rng.expovariate(1 / shape.dark_every_s)
    return sorted(trace)


class Domain:
    """One domain under a policy."""

    def __init__(self, shape, policy, weights):
        self._shape, self._policy, self._weights = shape, policy, weights
        self.now = 0.0
        self._back_at = {}
        self._absent_since = {}
        self._loaded_for = {}
        self._ready_at = {}
        size = shape.size
        self._groups = {
            f"g{i}": list(range(i * size, (i + 1) * size)) for i in range(shape.groups)
        }
        for name, members in self._groups.items():
            self._loaded_for.update(dict.fromkeys(members, name))
        self._ids = itertools.count(shape.groups)
        self.downtime_s = self.stranded_s = 0.0
        self.loads = 0

    def run(self, trace):
        """Run through a trace."""
        events = [(at, "away", vm, back, keeps) for at, vm, back, keeps in trace]
        heapq.heapify(events)
        end = self._shape.days * DAY_S
        changed_at = 0.0
        while self.now < end:
            quiet = self._all_serve()
            at = events[0][0] if events else end
            if not quiet:
                recent = self.now - changed_at < RECENT_S
                at = min(at, self.now + (DECIDE_S if recent else DECIDE_SELDOM_S))
            self._let_pass(min(at, end) - self.now)
            while events and events[0][0] <= self.now:
                self._event(events, heapq.heappop(events))
                changed_at = self.now
            if not self._all_serve():
                self._decide()

    def _event(self, events, event):
        _, what, vm, back, keeps = event
        if what == "away":
            if vm in self._absent_since:
                return
            self._absent_since[vm] = self.now
            if not keeps:
                self._loaded_for.pop(vm, None)
            self._ready_at.pop(vm, None)
            heapq.heappush(events, (back, "back", vm, 0.0, keeps))
        else:
            self._absent_since.pop(vm, None)

    def _serves(self, name):
        return all(
            vm not in self._absent_since
            and self._loaded_for.get(vm) == name
            and self._ready_at.get(vm, 0.0) <= self.now
            for vm in self._groups[name]
        )

    def _all_serve(self):
        whole = len(self._groups) == self._shape.groups
        return whole and all(self._serves(name) for name in self._groups)

    def _let_pass(self, seconds):
        serving = {name for name in self._groups if self._serves(name)}
        self.downtime_s += (self._shape.groups - len(serving)) * seconds
        used = sum(len(self._groups[name]) for name in serving)
        healthy = self._shape.vms - len(self._absent_since)
        free = len(self._free())
        usable = free - free % self._shape.size
        self.stranded_s += (healthy - used - usable) * ACCELERATORS * seconds
        self.now += seconds

    def _free(self):
        taken = {vm for members in self._groups.values() for vm in members}
        return [
            vm
            for vm in range(self._shape.vms)
            if vm not in taken and vm not in self._absent_since
        ]

    def _load_s(self):
        loading = sum(at > self.now for at in self._ready_at.values())
        return self._shape.load_s * max(1.0, (loading + 1) / FULL_RATE_LOADS)

    def _decide(self):
        broken = []
        for name, members in self._groups.items():
            absent = {
                vm: self.now - self._absent_since[vm]
                for vm in members
                if vm in self._absent_since
            }
            if absent:
                broken.append(BrokenGroup(name, tuple(members), absent))
        if broken:
            view = RepairView(
                tuple(broken),
                tuple(self._free()),
                self._shape.size,
                ACCELERATORS,
                self._load_s(),
                self._weights,
            )
            for decision in self._policy.repair(view):
                if isinstance(decision, Replace):
                    self._replace(decision)
        self._form()
        self._load()

    def _replace(self, decision):
        if decision.donor:
            del self._groups[decision.donor]
        members = self._groups[decision.group]
        self._groups[decision.group] = [
            decision.replacements.get(vm, vm) for vm in members
        ]

    def _form(self):
        while len(self._groups) < self._shape.groups:
            free = self._free()
            if len(free) < self._shape.size:
                return
            self._groups[f"g{next(self._ids)}"] = free[: self._shape.size]

    def _load(self):
        for name, members in self._groups.items():
            for vm in members:
                if vm in self._absent_since or self._loaded_for.get(vm) == name:
                    continue
                self._ready_at[vm] = self.now + self._load_s()
                self._loaded_for[vm] = name
                self.loads += 1


def run_policy(shape, name, seed, weights=None):
    """Return ``(downtime, stranded, loads)`` as fractions and a count."""
    policy_type, default = POLICIES[name]
    domain = Domain(shape, policy_type(), weights or default)
    domain.run(make_trace(shape, seed))
    total_s = shape.days * DAY_S
    downtime = domain.downtime_s / (shape.groups * total_s)
    stranded = domain.stranded_s / (shape.vms * ACCELERATORS * total_s)
    return downtime, stranded, domain.loads


def run_seeds(shape, name, weights=None):
    """Run a policy over all seeds, several at a time."""
    with ProcessPoolExecutor() as pool:
        running = [
            pool.submit(run_policy, shape, name, seed, weights) for seed in range(SEEDS)
        ]
        return [item.result() for item in running]


def spread(values):
    """Return mean and standard error as text."""
    array = np.array(values)
    return f"{array.mean():.3f} +- {array.std(ddof=1) / np.sqrt(len(array)):.3f}"


class MixedGroup(NamedTuple):
    """A group after its domain came back.

    :param size: VMs of the group.
    :param lacking: members that lost their weights.
    """

    size: int
    lacking: int


ORDERS = {
    "first come": None,
    "Atlas (1000:1)": Weights(1000.0, 1.0),
    "Incheon (1:10)": Weights(1.0, 10.0),
}
LOADS_AT_ONCE = 4
LOAD_S = 60.0


def dark_domain_returns(weights, seed):
    """Load a mix of large and small groups; return downtime and stranded time."""
    rng = random.Random(seed)
    sizes = [4] * 8 + [16] * 3
    rng.shuffle(sizes)
    groups = {
        f"g{i:02}": MixedGroup(size, sum(rng.random() < 0.6 for _ in range(size)))
        for i, size in enumerate(sizes)
    }
    needs = [
        LoadNeed(name, group.lacking, group.size - group.lacking, False, ACCELERATORS)
        for name, group in groups.items()
    ]
    ordered = needs if weights is None else load_order(needs, weights)
    free_at = [0.0] * LOADS_AT_ONCE
    downtime_s = stranded_s = 0.0
    for need in ordered:
        done_at = 0.0
        for _ in range(need.unloaded):
            start = heapq.heappop(free_at)
            heapq.heappush(free_at, start + LOAD_S)
            done_at = max(done_at, start + LOAD_S)
        downtime_s += done_at
        stranded_s += done_at * groups[need.group].size * ACCELERATORS
    return downtime_s, stranded_s


def show_orders():
    """Print what the order of loads is worth after a dark domain came back."""
    print(f"\ndark domain returns: 8 groups of 4, 3 of 16, {SEEDS} seeds")
    base = [dark_domain_returns(None, seed) for seed in range(SEEDS)]
    for name, weights in ORDERS.items():
        found = [dark_domain_returns(weights, seed) for seed in range(SEEDS)]
        ratios = [
            spread([f[i] / b[i] for f, b in zip(found, base, strict=True)])
            for i in range(2)
        ]
        print(f"  {name:15} downtime x{ratios[0]}  stranded x{ratios[1]}", flush=True)


def main():
    """Print a table for each shape and the curve over the weights."""
    show_orders()
    for title, shape in SHAPES.items():
        print(f"\n{title}, {SEEDS} seeds, {shape.days} days")
        base = run_seeds(shape, "replace-always")
        print(
            f"  replace-always: downtime {np.mean([b[0] for b in base]):.5f}, "
            f"stranded {np.mean([b[1] for b in base]):.5f}, "
            f"loads {np.mean([b[2] for b in base]):.0f}"
        )
        for name in POLICIES:
            if name == "replace-always":
                continue
            found = run_seeds(shape, name)
            ratios = [
                spread([f[i] / b[i] for f, b in zip(found, base, strict=True)])
                for i in range(3)
            ]
            print(
                f"  {name:22} downtime x{ratios[0]}  stranded x{ratios[1]}  "
                f"loads x{ratios[2]}"
            )
        print("  curve over downtime weight : stranded weight")
        for weight in CURVE:
            weights = Weights(weight, 1.0)
            found = run_seeds(shape, "cost, even (8:1)", weights)
            parts = [
                spread([f[i] / b[i] for f, b in zip(found, base, strict=True)])
                for i in range(2)
            ]
            print(f"    {weight:7.1f}:1  downtime x{parts[0]}  stranded x{parts[1]}")


if __name__ == "__main__":
    main()
