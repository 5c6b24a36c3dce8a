"""Goodput under overload with admission control and without it.

Run: ``.venv/bin/python -m measurements.overload``
"""

from concurrent.futures import ProcessPoolExecutor

import numpy as np

from cowslipcourse.load_balancing import LeastExpectedWait
from measurements.load_driver import LoadShape, percentile, simulate_load

SEEDS = 20
LOAD_FACTORS = (0.5, 0.8, 1.0, 1.5, 2.0, 4.0)
WORKSPACE_SHARES = (("flood", 0.9), ("quiet", 0.1))


def measure_run(shape, seed):
    """Return the measured values of one run.

    :param shape: :class:`~measurements.load_driver.LoadShape`
    :param seed: seed of the run.
    """
    result = simulate_load(shape, LeastExpectedWait, seed)
    goodput = result.in_time_count / (result.capacity_requests_per_s * shape.duration_s)
    quiet_first_token_s = result.first_token_s_by_workspace.get("quiet", [])
    admitted_retry_fraction = (
        result.admitted_retry_count / result.retried_count
        if result.retried_count
        else 1.0
    )
    return (
        goodput,
        percentile(result.first_token_s, 95),
        percentile(quiet_first_token_s, 95) if quiet_first_token_s else 0.0,
        result.refused_count / result.offered_count,
        admitted_retry_fraction,
    )


def print_table(pool, title, **options):
    """Print a table of goodput by offered load.

    :param pool: executor of the runs.
    :param title: title of the table.
    :param options: further fields of :class:`~measurements.load_driver.LoadShape`.
    """
    print(f"\n{title} ({SEEDS} seeds)")
    for load_factor in LOAD_FACTORS:
        shape = LoadShape(load_factor=load_factor, duration_s=40.0, **options)
        futures = [pool.submit(measure_run, shape, seed) for seed in range(SEEDS)]
        values = np.array([future.result() for future in futures])
        mean = values.mean(axis=0)
        standard_error = values.std(axis=0, ddof=1) / np.sqrt(SEEDS)
        print(
            f"  load {load_factor:3.1f}x  "
            f"goodput {mean[0]:.3f}+-{standard_error[0]:.3f} "
            f"of capacity  first token p95 {mean[1]:6.2f} s  "
            f"quiet first token p95 {mean[2]:6.2f} s  "
            f"refused {mean[3]:.0%}  retries admitted {mean[4]:.0%}",
            flush=True,
        )


def main():
    """Print a table for each way of admission."""
    with ProcessPoolExecutor() as pool:
        print_table(
            pool, "without admission control", workspace_shares=WORKSPACE_SHARES
        )
        print_table(
            pool, "admission", workspace_shares=WORKSPACE_SHARES, admission_enabled=True
        )
        print_table(
            pool,
            "admission, refused callers retry once after the retry time",
            workspace_shares=WORKSPACE_SHARES,
            admission_enabled=True,
            refused_callers_retry=True,
        )


if __name__ == "__main__":
    main()
