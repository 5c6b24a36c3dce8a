"""Routing policies: time to first token, goodput and cache use in simulated load.

Times to first token are also given as ratios to random choice with the same seeds.

Run: ``.venv/bin/python -m measurements.routing``
"""

from concurrent.futures import ProcessPoolExecutor

import numpy as np

from cowslipcourse.load_balancing import (
    LeastExpectedWait,
    LeastInFlight,
    RandomChoice,
    RoundRobin,
)
from measurements.load_driver import LoadShape, percentile, simulate_load

SEEDS = 20
POLICIES = (RandomChoice, RoundRobin, LeastInFlight, LeastExpectedWait)
SHAPES = {
    "1 gateway": LoadShape(gateway_count=1),
    "8 gateways": LoadShape(gateway_count=8),
    "64 gateways": LoadShape(gateway_count=64),
    "64 gateways, lag 0.2 s": LoadShape(gateway_count=64, report_lag_s=0.2),
    "64 gateways, lag 5 s": LoadShape(gateway_count=64, report_lag_s=5.0),
    "8 gateways, 2 stragglers at 3x": LoadShape(gateway_count=8, straggler_count=2),
    "8 gateways, 200 shared prefixes": LoadShape(gateway_count=8, prefix_count=200),
    "8 gateways, one target fails": LoadShape(
        gateway_count=8, target_fails=True, load_factor=0.6
    ),
}


def measure_run(shape, policy_type, seed):
    """Return the measured values of one run.

    :param shape: :class:`~measurements.load_driver.LoadShape`
    :param policy_type: type of the routing policy.
    :param seed: seed of the run.
    """
    result = simulate_load(shape, policy_type, seed)
    return (
        percentile(result.first_token_s, 50),
        percentile(result.first_token_s, 95),
        percentile(result.first_token_s, 99),
        result.in_time_count / result.offered_count,
        result.prefill_tokens / max(1, result.prompt_tokens),
        result.busiest_target_ratio,
    )


def main():
    """Print a table of all policies for each shape."""
    with ProcessPoolExecutor() as pool:
        for title, shape in SHAPES.items():
            print(
                f"\n{title} (load {shape.load_factor}, lag {shape.report_lag_s} s, "
                f"{SEEDS} seeds)"
            )
            baseline = None
            for policy_type in POLICIES:
                futures = [
                    pool.submit(measure_run, shape, policy_type, seed)
                    for seed in range(SEEDS)
                ]
                values = np.array([future.result() for future in futures])
                baseline = values if baseline is None else baseline
                ratios_by_seed = values[:, :3] / baseline[:, :3]
                standard_error = ratios_by_seed.std(axis=0, ddof=1) / np.sqrt(SEEDS)
                mean = values.mean(axis=0)
                ratios_text = "  ".join(
                    f"x{ratio:.2f}+-{error:.2f}"
                    for ratio, error in zip(
                        ratios_by_seed.mean(axis=0), standard_error, strict=True
                    )
                )
                print(
                    f"  {policy_type.__name__:18} first token p50/95/99 "
                    f"{mean[0]:.2f} {mean[1]:.2f} {mean[2]:.2f} s ({ratios_text})  "
                    f"in time {mean[3]:.1%}  prefill {mean[4]:.0%}  "
                    f"busiest {mean[5]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
