"""Repair policies against failure traces: group downtime and stranded accelerators.

The policies of the controller run on failure traces in simulated time, with the same
trace for each policy. Figures are ratios to first-fit replacement on the same traces.

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
DECISION_INTERVAL_S = 2.0
STEADY_DECISION_INTERVAL_S = 30.0
RECENT_CHANGE_S = 120.0
ACCELERATORS_PER_VM = 8
MAX_FULL_RATE_LOADS = 4


class DomainShape(NamedTuple):
    """One fabric domain and its failures.

    :param vm_count: number of VMs in the domain.
    :param vms_per_group: number of VMs of a group.
    :param group_count: number of groups declared.
    :param load_s: seconds to load one member while at most
        :data:`MAX_FULL_RATE_LOADS` members load.
    :param absences_per_vm_day: mean absences of one VM per day, including pauses.
    :param mean_outage_interval_s: mean seconds between outages of the whole domain.
    :param days: length of the trace in days.
    """

    vm_count: int
    vms_per_group: int
    group_count: int
    load_s: float
    absences_per_vm_day: float
    mean_outage_interval_s: float
    days: float


# 31 failures and 98 restarts per day among 1,200 VMs, and as many pauses as both.
TARGET_ABSENCES_PER_VM_DAY = 2 * 129 / 1200
SHAPES = {
    "today, spares short (25 VMs, 6 groups of 4)": DomainShape(
        25, 4, 6, 60.0, 10 * TARGET_ABSENCES_PER_VM_DAY, 45 * DAY_S, 10
    ),
    "target, remnant only (66 VMs, 4 groups of 16)": DomainShape(
        66, 16, 4, 180.0, TARGET_ABSENCES_PER_VM_DAY, 45 * DAY_S, 20
    ),
    "target, a whole block free (80 VMs, 4 groups of 16)": DomainShape(
        80, 16, 4, 180.0, TARGET_ABSENCES_PER_VM_DAY, 45 * DAY_S, 20
    ),
}
POLICIES = {
    "wait-always": (WaitAlways, Weights(1, 1)),
    "replace-always": (ReplaceAlways, Weights(1, 1)),
    "cost, Atlas (1000:1)": (CostPolicy, Weights(1000.0, 1.0)),
    "cost, even (8:1)": (CostPolicy, Weights(8.0, 1.0)),
    "cost, Incheon (1:10)": (CostPolicy, Weights(1.0, 10.0)),
}
DOWNTIME_WEIGHTS = (1000.0, 30.0, 1.0, 0.1)


def make_trace(shape, seed):
    """Return absences ``(start_s, vm, end_s, keeps_weights)`` in order of time.

    :param shape: :class:`DomainShape`
    :param seed: seed of the absences and outages.
    """
    rng = random.Random(seed)
    trace_end_s = shape.days * DAY_S
    trace = []
    for vm in range(shape.vm_count):
        start_s = 0.0
        while True:
            start_s += rng.expovariate(shape.absences_per_vm_day / DAY_S)
            if start_s > trace_end_s:
                break
            kind = rng.choices(
                DEFAULT_ABSENCES.kinds, [kind.share for kind in DEFAULT_ABSENCES.kinds]
            )[0]
            trace.append(
                (start_s, vm, start_s + rng.expovariate(1 / kind.mean_s), kind[2])
            )
    start_s = rng.expovariate(1 / shape.mean_outage_interval_s)
    while start_s < trace_end_s:
        end_s = start_s + rng.uniform(300, 3600)
        trace += [(start_s, vm, end_s, True) for vm in range(shape.vm_count)]
        start_s += rng.expovariate(1 / shape.mean_outage_interval_s)
    return sorted(trace)


class SimulatedDomain:
    """Simulates one domain under a repair policy."""

    def __init__(self, shape, policy, weights):
        self._shape, self._policy, self._weights = shape, policy, weights
        self.now_s = 0.0
        self._return_s = {}
        self._absent_since_s = {}
        self._loaded_group = {}
        self._load_end_s = {}
        vms_per_group = shape.vms_per_group
        self._groups = {
            f"g{i}": list(range(i * vms_per_group, (i + 1) * vms_per_group))
            for i in range(shape.group_count)
        }
        for name, members in self._groups.items():
            self._loaded_group.update(dict.fromkeys(members, name))
        self._group_numbers = itertools.count(shape.group_count)
        self.downtime_s = self.stranded_s = 0.0
        self.load_count = 0

    def run(self, trace):
        """Simulate a trace.

        :param trace: absences of :func:`make_trace`.
        """
        events = [
            (at_s, "absent", vm, end_s, keeps_weights)
            for at_s, vm, end_s, keeps_weights in trace
        ]
        heapq.heapify(events)
        trace_end_s = self._shape.days * DAY_S
        last_change_s = 0.0
        while self.now_s < trace_end_s:
            all_serving = self._are_all_serving()
            at_s = events[0][0] if events else trace_end_s
            if not all_serving:
                is_recent = self.now_s - last_change_s < RECENT_CHANGE_S
                at_s = min(
                    at_s,
                    self.now_s
                    + (
                        DECISION_INTERVAL_S if is_recent else STEADY_DECISION_INTERVAL_S
                    ),
                )
            self._advance(min(at_s, trace_end_s) - self.now_s)
            while events and events[0][0] <= self.now_s:
                self._handle_event(events, heapq.heappop(events))
                last_change_s = self.now_s
            if not self._are_all_serving():
                self._repair()

    def _handle_event(self, events, event):
        _, kind, vm, end_s, keeps_weights = event
        if kind == "absent":
            if vm in self._absent_since_s:
                return
            self._absent_since_s[vm] = self.now_s
            if not keeps_weights:
                self._loaded_group.pop(vm, None)
            self._load_end_s.pop(vm, None)
            heapq.heappush(events, (end_s, "returned", vm, 0.0, keeps_weights))
        else:
            self._absent_since_s.pop(vm, None)

    def _is_serving(self, name):
        return all(
            vm not in self._absent_since_s
            and self._loaded_group.get(vm) == name
            and self._load_end_s.get(vm, 0.0) <= self.now_s
            for vm in self._groups[name]
        )

    def _are_all_serving(self):
        is_complete = len(self._groups) == self._shape.group_count
        return is_complete and all(self._is_serving(name) for name in self._groups)

    def _advance(self, duration_s):
        serving = {name for name in self._groups if self._is_serving(name)}
        self.downtime_s += (self._shape.group_count - len(serving)) * duration_s
        used_vm_count = sum(len(self._groups[name]) for name in serving)
        healthy_vm_count = self._shape.vm_count - len(self._absent_since_s)
        free_vm_count = len(self._free_vms())
        usable_vm_count = free_vm_count - free_vm_count % self._shape.vms_per_group
        self.stranded_s += (
            (healthy_vm_count - used_vm_count - usable_vm_count)
            * ACCELERATORS_PER_VM
            * duration_s
        )
        self.now_s += duration_s

    def _free_vms(self):
        used_vms = {vm for members in self._groups.values() for vm in members}
        return [
            vm
            for vm in range(self._shape.vm_count)
            if vm not in used_vms and vm not in self._absent_since_s
        ]

    def _current_load_s(self):
        loading_count = sum(at_s > self.now_s for at_s in self._load_end_s.values())
        return self._shape.load_s * max(1.0, (loading_count + 1) / MAX_FULL_RATE_LOADS)

    def _repair(self):
        broken = []
        for name, members in self._groups.items():
            absent = {
                vm: self.now_s - self._absent_since_s[vm]
                for vm in members
                if vm in self._absent_since_s
            }
            if absent:
                broken.append(BrokenGroup(name, tuple(members), absent))
        if broken:
            view = RepairView(
                tuple(broken),
                tuple(self._free_vms()),
                self._shape.vms_per_group,
                ACCELERATORS_PER_VM,
                self._current_load_s(),
                self._weights,
            )
            for decision in self._policy.repair(view):
                if isinstance(decision, Replace):
                    self._replace_members(decision)
        self._form_groups()
        self._start_loads()

    def _replace_members(self, decision):
        if decision.donor:
            del self._groups[decision.donor]
        members = self._groups[decision.group]
        self._groups[decision.group] = [
            decision.replacements.get(vm, vm) for vm in members
        ]

    def _form_groups(self):
        while len(self._groups) < self._shape.group_count:
            free_vms = self._free_vms()
            if len(free_vms) < self._shape.vms_per_group:
                return
            self._groups[f"g{next(self._group_numbers)}"] = free_vms[
                : self._shape.vms_per_group
            ]

    def _start_loads(self):
        for name, members in self._groups.items():
            for vm in members:
                if vm in self._absent_since_s or self._loaded_group.get(vm) == name:
                    continue
                self._load_end_s[vm] = self.now_s + self._current_load_s()
                self._loaded_group[vm] = name
                self.load_count += 1


def run_policy(shape, name, seed, weights=None):
    """Return ``(downtime, stranded, loads)`` of one run: two fractions and a count.

    :param shape: :class:`DomainShape`
    :param name: key of :data:`POLICIES`.
    :param seed: seed of the trace.
    :param weights: :class:`~cowslipcourse.placement.Weights`, by default the policy's.
    """
    policy_type, default_weights = POLICIES[name]
    domain = SimulatedDomain(shape, policy_type(), weights or default_weights)
    domain.run(make_trace(shape, seed))
    total_s = shape.days * DAY_S
    downtime_fraction = domain.downtime_s / (shape.group_count * total_s)
    stranded_fraction = domain.stranded_s / (
        shape.vm_count * ACCELERATORS_PER_VM * total_s
    )
    return downtime_fraction, stranded_fraction, domain.load_count


def run_seeds(shape, name, weights=None):
    """Return the result of :func:`run_policy` for each seed, run in parallel."""
    with ProcessPoolExecutor() as pool:
        futures = [
            pool.submit(run_policy, shape, name, seed, weights) for seed in range(SEEDS)
        ]
        return [future.result() for future in futures]


def mean_and_error(values):
    """Return the mean and its standard error as text."""
    array = np.array(values)
    return f"{array.mean():.3f} +- {array.std(ddof=1) / np.sqrt(len(array)):.3f}"


class MixedGroup(NamedTuple):
    """A group after an outage of its domain.

    :param vm_count: number of VMs of the group.
    :param unloaded: number of members that lost their weights.
    """

    vm_count: int
    unloaded: int


LOAD_ORDER_WEIGHTS = {
    "unordered": None,
    "Atlas (1000:1)": Weights(1000.0, 1.0),
    "Incheon (1:10)": Weights(1.0, 10.0),
}
MAX_CONCURRENT_LOADS = 4
LOAD_S = 60.0


def simulate_domain_return(weights, seed):
    """Return downtime and stranded time of groups that load after a domain outage.

    Large and small groups are mixed.

    :param weights: :class:`~cowslipcourse.placement.Weights` that order the loads;
        ``None`` for unordered.
    :param seed: seed of the mix and of the lost weights.
    """
    rng = random.Random(seed)
    vm_counts = [4] * 8 + [16] * 3
    rng.shuffle(vm_counts)
    groups = {
        f"g{i:02}": MixedGroup(
            vm_count, sum(rng.random() < 0.6 for _ in range(vm_count))
        )
        for i, vm_count in enumerate(vm_counts)
    }
    load_needs = [
        LoadNeed(
            name,
            group.unloaded,
            group.vm_count - group.unloaded,
            False,
            ACCELERATORS_PER_VM,
        )
        for name, group in groups.items()
    ]
    ordered_needs = load_needs if weights is None else load_order(load_needs, weights)
    loader_free_s = [0.0] * MAX_CONCURRENT_LOADS
    downtime_s = stranded_s = 0.0
    for need in ordered_needs:
        group_loaded_s = 0.0
        for _ in range(need.unloaded):
            start_s = heapq.heappop(loader_free_s)
            heapq.heappush(loader_free_s, start_s + LOAD_S)
            group_loaded_s = max(group_loaded_s, start_s + LOAD_S)
        downtime_s += group_loaded_s
        stranded_s += group_loaded_s * groups[need.group].vm_count * ACCELERATORS_PER_VM
    return downtime_s, stranded_s


def print_load_orders():
    """Print downtime and stranded time after a domain outage by order of loads."""
    print(f"\nafter a domain outage: 8 groups of 4, 3 of 16, {SEEDS} seeds")
    baseline = [simulate_domain_return(None, seed) for seed in range(SEEDS)]
    for name, weights in LOAD_ORDER_WEIGHTS.items():
        results = [simulate_domain_return(weights, seed) for seed in range(SEEDS)]
        ratios = [
            mean_and_error(
                [f[i] / b[i] for f, b in zip(results, baseline, strict=True)]
            )
            for i in range(2)
        ]
        print(f"  {name:15} downtime x{ratios[0]}  stranded x{ratios[1]}", flush=True)


def main():
    """Print the policies and the effect of the weights for each shape."""
    print_load_orders()
    for title, shape in SHAPES.items():
        print(f"\n{title}, {SEEDS} seeds, {shape.days} days")
        baseline = run_seeds(shape, "replace-always")
        print(
            f"  replace-always: downtime {np.mean([b[0] for b in baseline]):.5f}, "
            f"stranded {np.mean([b[1] for b in baseline]):.5f}, "
            f"loads {np.mean([b[2] for b in baseline]):.0f}"
        )
        for name in POLICIES:
            if name == "replace-always":
                continue
            results = run_seeds(shape, name)
            ratios = [
                mean_and_error(
                    [f[i] / b[i] for f, b in zip(results, baseline, strict=True)]
                )
                for i in range(3)
            ]
            print(
                f"  {name:22} downtime x{ratios[0]}  stranded x{ratios[1]}  "
                f"loads x{ratios[2]}"
            )
        print("  by downtime weight : stranded weight")
        for weight in DOWNTIME_WEIGHTS:
            weights = Weights(weight, 1.0)
            results = run_seeds(shape, "cost, even (8:1)", weights)
            weight_ratios = [
                mean_and_error(
                    [f[i] / b[i] for f, b in zip(results, baseline, strict=True)]
                )
                for i in range(2)
            ]
            print(
                f"    {weight:7.1f}:1  downtime x{weight_ratios[0]}  "
                f"stranded x{weight_ratios[1]}"
            )


if __name__ == "__main__":
    main()
