"""Requests to rate-limited targets beside what is tolerated, and bytes for limits.

Random runs over the daemons' own links in virtual time. Prints a line for each size.

Run: ``.venv/bin/python -m measurements.limit_cost SIZE FIRST LAST`` with the size 8,
64, 195 or 405.
"""

import logging
import sys

from features.support.limit_network_runs import random_scenario, simulate_network

SHAPES = {8: (2, 4), 64: (4, 16), 195: (5, 39), 405: (15, 27)}
MIN_DURATION_S = 4.0
"""Runs in which a limit was stated for less time say little about its use."""
SATURATION = 2.0
"""Demand of an even share, relative to the limit, from which on its use is counted."""


def _used_fractions(scenario, run):
    even_share_per_s = scenario.demand_per_s / scenario.targets
    if even_share_per_s < SATURATION * scenario.limit_per_s or scenario.restarts:
        return []
    return [
        figure.arrivals / figure.limited_s / figure.limit_per_s
        for figure in run.figures
        if figure.limited_s >= MIN_DURATION_S and not scenario.changes_limit
    ]


def _mean(values):
    return sum(values) / len(values) if values else float("nan")


def main():
    """Simulate the seeds of the command line."""
    logging.disable(logging.CRITICAL)
    size, first, last = map(int, sys.argv[1:])
    excess, used, recovered, bytes_per_s = [], [], [], []
    for seed in range(first, last + 1):
        scenario = random_scenario(seed, *SHAPES[size])
        run = simulate_network(scenario, seed)
        excess += [figure.excess for figure in run.figures]
        used += _used_fractions(scenario, run)
        recovered += [run.recovered_fraction] if run.recovered_fraction else []
        bytes_per_s.append(run.bytes_per_s)
    violations = sum(each > 1 for each in excess)
    print(
        f"{size} daemons, {last - first + 1} runs, {len(excess)} limited targets:"
        f" {violations} above what is tolerated, at most {max(excess):.2f} of it;"
        f" {_mean(used):.2f} of the limit used where demand is twice as high;"
        f" {_mean(recovered):.2f} of an even share 3 s after the end;"
        f" at most {max(bytes_per_s):.0f} bytes/s sent by a daemon",
        flush=True,
    )


if __name__ == "__main__":
    main()
