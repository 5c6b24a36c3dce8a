"""Random runs of requests that crash the targets that run them, in virtual time."""

import random
import tomllib

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.site import simulate
from cowslipcourse.emulator.site_file import ExperimentSettings
from features.support.emulated_site import SITE

__all__ = [
    "MAX_LATE_ARRIVALS",
    "crash_settings",
    "crash_violations",
    "random_series",
    "simulate_crashes",
]

MAX_LATE_ARRIVALS = 3
"""Arrivals at targets allowed once a request has crashed three of them and the limit
for spreading the verdict has passed."""
RUN_S = 20
FAULTS_END_S = 60
"""Later than the end of every run, so that repeated faults never stop."""
DAEMON_COUNT = 8


def crash_settings(duration_s, faults, **site_overrides):
    """Return the :class:`ExperimentSettings` of a run.

    :param duration_s: duration of the run in seconds.
    :param faults: tables of faults.
    :param site_overrides: settings that replace those of the site.
    """
    tables = tomllib.loads('name = "crashes"\n' + SITE)
    tables["site"] |= {"daemons": DAEMON_COUNT} | site_overrides
    tables |= {"seconds": duration_s, "faults": faults}
    return ExperimentSettings.model_validate(tables)


def simulate_crashes(settings, seed):
    """Return the :class:`~cowslipcourse.emulator.site.SiteResult` of a run."""
    return run_in_virtual_time(simulate(settings, seed))


def random_series(rng, kind, first_range_s, intervals_s, **extra):
    """Draw a fault that occurs from a random time on, at one of the intervals."""
    at_s = round(rng.uniform(*first_range_s), 2)
    interval_s = rng.choice(intervals_s)
    return {
        "kind": kind,
        "at_s": at_s,
        "every_s": interval_s,
        "until_s": FAULTS_END_S,
    } | extra


def _random_crash_settings(seed):
    """Draw requests that crash targets, and faults that delay reports and verdicts."""
    rng = random.Random(f"crash-faults-{seed}")
    count = rng.randint(1, 4)
    request = rng.choice(["query", "draft"])
    faults = [
        random_series(
            rng, "crash", (1, 3), [0.5, 1, 2, 3], count=count, request=request
        )
    ]
    if rng.random() < 0.5:
        count = rng.randint(1, 3)
        extra = {"count": count, "request": "query"}
        faults.append(random_series(rng, "crash", (2, 6), [1, 2, 4], **extra))
    if rng.random() < 0.6:
        extra = {"count": rng.randint(1, 3), "for_s": round(rng.uniform(0.3, 3), 2)}
        faults.append(random_series(rng, "silence", (1, 12), [3, 5], **extra))
    if rng.random() < 0.6:
        extra = {"count": rng.choice([1, 2, 8])}
        faults.append(random_series(rng, "forget", (1, 12), [2, 4, 6], **extra))
    for kind in ("lose", "restart"):
        if rng.random() < 0.4:
            count = rng.randint(1, 3)
            faults.append(random_series(rng, kind, (2, 2), [3], count=count))
    message_loss = rng.choice([0, 0.02, 0.1, 0.3])
    message_late_s = rng.choice([0.003, 0.05, 0.3])
    return crash_settings(
        RUN_S, faults, message_loss=message_loss, message_late_s=message_late_s
    )


def crash_violations(seed):
    """Make a random run and return its violations as texts."""
    result = simulate_crashes(_random_crash_settings(seed), seed)
    violations = list(result.violations)
    for crash in result.crashes:
        if crash.late_arrival_count > MAX_LATE_ARRIVALS:
            violations.append(
                f"{crash.late_arrival_count} late arrivals, {crash.crash_count} crashed"
            )
    if result.wrongly_quarantined:
        violations.append(f"{result.wrongly_quarantined} other requests quarantined")
    return violations
