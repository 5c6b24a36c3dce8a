"""Random emulated runs with engines that refuse requests and ask for pauses."""

import random

from features.support.limit_runs import limit_settings, simulate_limits

__all__ = ["MAX_ARRIVALS", "pause_violations"]

MAX_ARRIVALS = 2
"""Requests of one daemon that may reach an engine within a pause."""
RUN_S = 14


def _random_pause(rng):
    return {
        "kind": "pause",
        "at_s": round(rng.uniform(0.5, 6), 2),
        "count": rng.randint(1, 6),
        "pause_s": rng.choice([0.3, 0.8, 1.5, 3, 6]),
        "for_s": round(rng.uniform(0.5, 9), 2),
        "model": rng.choice(["", "", "small", "large"]),
    }


def _random_settings(seed, daemon_count):
    rng = random.Random(f"pause-faults-{seed}")
    faults = [_random_pause(rng) for _ in range(rng.randint(1, 3))]
    for kind in ("lose", "restart", "silence", "forget"):
        if rng.random() < 0.35:
            at_s = round(rng.uniform(1, 10), 2)
            count = rng.randint(1, 3)
            faults.append({"kind": kind, "at_s": at_s, "count": count})
    if rng.random() < 0.3:
        burst = {"kind": "burst", "at_s": 3, "for_s": 6, "factor": rng.uniform(1.2, 3)}
        faults.append(burst)
    return limit_settings(RUN_S, faults, daemons=daemon_count)


def pause_violations(seed, daemon_count=8):
    """Make a random run and return its violations as texts."""
    result = simulate_limits(_random_settings(seed, daemon_count), seed)
    violations = list(result.violations)
    for figure in result.pauses:
        if figure.most_arrivals > MAX_ARRIVALS:
            violations.append(
                f"{figure.most_arrivals} requests of {figure.daemon} within a pause of "
                f"{figure.engine}"
            )
    return violations
