"""Routing policies: first token and goodput, as ratios to random choice.

Run: ``.venv/bin/python -m measurements.routing``
"""

from concurrent.futures import ProcessPoolExecutor

import numpy as np

from cowslipcourse.routing import (
    LeastExpectedWait,
    LeastInFlight,
    RandomChoice,
    RoundRobin,
)
from measurements.load_driver import LoadShape, percentile, run_load

SEEDS = 20
POLICIES = (RandomChoice, RoundRobin, LeastInFlight, LeastExpectedWait)
SHAPES = {
    "1 gateway": LoadShape(gateways=1),
    "8 gateways": LoadShape(gateways=8),
    "64 gateways": LoadShape(gateways=64),
    "64 gateways, lag 0.2 s": LoadShape(gateways=64, lag_s=0.2),
    "64 gateways, lag 5 s": LoadShape(gateways=64, lag_s=5.0),
    "8 gateways, 2 stragglers at 3x": LoadShape(gateways=8, stragglers=2),
    "8 gateways, 200 shared prefixes": LoadShape(gateways=8, prefixes=200),
    "8 gateways, one target dies": LoadShape(gateways=8, dying=True, load=0.6),
}


def one(shape, policy_type, seed):
    """Return the figures of one run."""
    found = run_load(shape, policy_type, seed)
    return (
        percentile(found.first_s, 50),
        percentile(found.first_s, 95),
        percentile(found.first_s, 99),
        found.in_time / found.offered,
        found.prefill_tokens / max(1, found.prompt_tokens),
        found.busiest,
    )


def main():
    """Print a table for each shape."""
    with ProcessPoolExecutor() as pool:
        for title, shape in SHAPES.items():
            print(f"\n{title} (load {shape.load}, lag {shape.lag_s} s, {SEEDS} seeds)")
            base = None
            for policy_type in POLICIES:
                running = [
                    pool.submit(one, shape, policy_type, s) for s in range(SEEDS)
                ]
                figures = np.array([item.result() for item in running])
                base = figures if base is None else base
                ratio = figures[:, :3] / base[:, :3]
                error = ratio.std(axis=0, ddof=1) / np.sqrt(SEEDS)
                mean = figures.mean(axis=0)
                ratios = "  ".join(
                    f"x{r:.2f}+-{e:.2f}"
                    for r, e in zip(ratio.mean(axis=0), error, strict=True)
                )
                print(
                    f"  {policy_type.__name__:18} first p50/95/99 "
                    f"{mean[0]:.2f} {mean[1]:.2f} {mean[2]:.2f} s ({ratios})  in time "
                    f"{mean[3]:.1%}  prefill {mean[4]:.0%}  busiest {mean[5]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
