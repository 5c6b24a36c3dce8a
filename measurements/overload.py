"""Admission under overload, against letting everything in.

Run: ``.venv/bin/python -m measurements.overload``
"""

from concurrent.futures import ProcessPoolExecutor

import numpy as np

from cowslipcourse.routing import LeastExpectedWait
from measurements.load_driver import LoadShape, percentile, run_load

SEEDS = 20
LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 4.0)
CROWD = (("flood", 0.9), ("quiet", 0.1))


def one(shape, seed):
    """Return the figures of one run."""
    found = run_load(shape, LeastExpectedWait, seed)
    goodput = found.in_time / (found.capacity_per_s * shape.seconds)
    quiet = found.by_workspace.get("quiet", [])
    served = found.then_served / found.came_back if found.came_back else 1.0
    return (
        goodput,
        percentile(found.first_s, 95),
        percentile(quiet, 95) if quiet else 0.0,
        found.refused / found.offered,
        served,
    )


def table(pool, title, **options):
    """Print goodput over offered load."""
    print(f"\n{title} ({SEEDS} seeds)")
    for load in LOADS:
        shape = LoadShape(load=load, seconds=40.0, **options)
        running = [pool.submit(one, shape, seed) for seed in range(SEEDS)]
        figures = np.array([item.result() for item in running])
        mean = figures.mean(axis=0)
        error = figures.std(axis=0, ddof=1) / np.sqrt(SEEDS)
        print(
            f"  load {load:3.1f}x  goodput {mean[0]:.3f}+-{error[0]:.3f} of capacity  "
            f"first p95 {mean[1]:6.2f} s  quiet p95 {mean[2]:6.2f} s  "
            f"refused {mean[3]:.0%}  served on return {mean[4]:.0%}",
            flush=True,
        )


def main():
    """Print the tables."""
    with ProcessPoolExecutor() as pool:
        table(pool, "everything let in", workspaces=CROWD)
        table(pool, "admission", workspaces=CROWD, admission=True)
        table(
            pool,
            "admission, refused callers come back once when told",
            workspaces=CROWD,
            admission=True,
            come_back=True,
        )


if __name__ == "__main__":
    main()
