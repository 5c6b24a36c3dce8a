"""Time that a weighing of the parts of prompts takes, by the exits that are kept.

Run: ``.venv/bin/python -m measurements.weighing_cost``
"""

import itertools
import random
import time

from features.support.part_judging import STAGES, Judge

EXIT_COUNTS = (3, 8, 24, 60, 120)
CHAINS = (1, 3)
RUNS_PER_EXIT = 12
PARTS = 60
INTERVAL_S = 0.3
SETTLING_S = 20.0
"""Time after the last exit, as from a second weighing on."""


def main():
    """Weigh exits of requests with random parts, twice, and time the second time."""
    for chain, exit_count in itertools.product(CHAINS, EXIT_COUNTS):
        judge = Judge({})
        rng = random.Random(exit_count)
        names = [f"p{number}" for number in range(PARTS)]
        for number in range(exit_count):
            runs = [
                (
                    f"r{number}-{run}",
                    rng.choice(list(STAGES)),
                    rng.choices(names, k=chain),
                )
                for run in range(RUNS_PER_EXIT)
            ]
            judge.add_exit(number * INTERVAL_S, f"t{number}", runs)
        now = exit_count * INTERVAL_S + SETTLING_S
        judge.weigh(now)
        started_at = time.perf_counter()
        judge.weigh(now)
        took_ms = (time.perf_counter() - started_at) * 1000
        print(f"{exit_count} exits, {chain} shared parts each: {took_ms:.1f} ms")


if __name__ == "__main__":
    main()
