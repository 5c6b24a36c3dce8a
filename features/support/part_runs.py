"""Runs of parts of prompts that crash the targets that answer them, in virtual time."""

import random
from typing import NamedTuple

from cowslipcourse.emulator.batches import CrashForm
from cowslipcourse.emulator.callers import Outcome
from features.support.crash_runs import (
    FAULTS_END_S,
    crash_settings,
    random_series,
    simulate_crashes,
)

__all__ = [
    "FIRST_REQUEST_S",
    "MAX_LATE_ARRIVALS",
    "PartRun",
    "part_fault",
    "part_form_violations",
    "part_violations",
    "simulate_part_crashes",
]

MAX_LATE_ARRIVALS = 3
"""Arrivals allowed later than the limit for spreading the verdict after the fifth
crash."""
FIRST_REQUEST_S = 4.0
SETTLING_S = 6.0
"""Time from the fifth crash, or from the last one, until sound requests are served."""
RUN_S = 24
SUBJECTS = 60
KIND = "query"
PART = "bad"


class PartRun(NamedTuple):
    """Results of a run.

    :param crashes: :class:`~cowslipcourse.emulator.crashes.CrashFigures` of each part.
    :param share_before: share of the sound requests of the kind that were answered at
        the first attempt before the first request with the part.
    :param share_after: the same from :data:`SETTLING_S` after the fifth crash on;
        ``None`` if the run ended before.
    :param wrongly_quarantined: refusals of sound requests from then on.
    :param all_wrongly_quarantined: all refusals of sound requests.
    :param violations: violations of the oracle of the groups.
    """

    crashes: list
    share_before: float
    share_after: float | None
    wrongly_quarantined: int
    all_wrongly_quarantined: int
    violations: list


def part_fault(count, interval_s, **extra):
    """Return the fault of a part that comes with new requests at intervals."""
    fault = {"kind": "crash_part", "request": KIND, "part": PART, "count": count}
    times = {"at_s": FIRST_REQUEST_S, "every_s": interval_s, "until_s": FAULTS_END_S}
    return fault | times | extra


def _random_faults(rng):
    """Draw parts that crash targets, and faults that delay reports and verdicts."""
    parts = [PART, f"{KIND}-{rng.randint(0, 5)}", "bad-too"]
    faults = [
        part_fault(
            rng.randint(1, 5),
            rng.choice([0.3, 0.5, 1, 2, 3]),
            part=part,
            is_first_part=rng.random() < 0.2,
            at_s=FIRST_REQUEST_S + round(rng.uniform(0, 2), 2),
        )
        for part in rng.sample(parts, rng.choice([1, 1, 1, 2]))
    ]
    if rng.random() < 0.4:
        extra = {"count": rng.randint(1, 3), "for_s": round(rng.uniform(0.3, 3), 2)}
        faults.append(random_series(rng, "silence", (1, 12), [3, 5], **extra))
    if rng.random() < 0.4:
        extra = {"count": rng.choice([1, 2, 8])}
        faults.append(random_series(rng, "forget", (1, 12), [2, 4, 6], **extra))
    if rng.random() < 0.4:
        kind = rng.choice(["end", "restart"])
        extra = {"count": rng.choice([1, 3, 8])}
        faults.append(random_series(rng, kind, (2, 6), [3, 5], **extra))
    return faults


def part_violations(seed):
    """Make a random run and return its violations as texts."""
    rng = random.Random(f"part-faults-{seed}")
    faults = _random_faults(rng)
    run = simulate_part_crashes(
        RUN_S,
        faults,
        seed,
        message_loss=rng.choice([0, 0.02, 0.1]),
        message_late_s=rng.choice([0.003, 0.05, 0.3]),
    )
    return _violations(run, faults)


def part_form_violations(seed):
    """Make a random run in which engines crash at other points of their answers too,
    and prompts share one to four parts; return its violations as texts.
    """
    rng = random.Random(f"part-forms-{seed}")
    faults = _random_faults(rng)
    for fault in faults:
        if fault["kind"] == "crash_part":
            fault["crash_form"] = rng.choice(list(CrashForm)).value
    shared_parts = rng.randint(1, 4)
    if rng.random() < 0.2:
        all_heads = {"count": 32, "for_s": 0.0}
        faults.append(random_series(rng, "end", (2, 10), [30], **all_heads))
    run = simulate_part_crashes(
        RUN_S,
        faults,
        seed,
        shared_parts,
        message_loss=rng.choice([0, 0.02, 0.1]),
        message_late_s=rng.choice([0.003, 0.05]),
    )
    violations = _violations(run, faults)
    if run.all_wrongly_quarantined:
        count = run.all_wrongly_quarantined
        violations.append(f"{count} sound requests quarantined at any time")
    return violations


def _violations(run, faults):
    violations = list(run.violations)
    for crash in run.crashes:
        if crash.late_arrival_count > MAX_LATE_ARRIVALS:
            violations.append(
                f"{crash.late_arrival_count} late arrivals, {crash.crash_count} crashed"
            )
    if run.wrongly_quarantined:
        violations.append(f"{run.wrongly_quarantined} sound requests quarantined")
    # While engines are lost the share says nothing about quarantines.
    loses_engines = any(fault["kind"] in ("end", "restart") for fault in faults)
    has_settled = run.share_after is not None
    if has_settled and run.share_after < run.share_before / 2 and not loses_engines:
        violations.append(
            f"{run.share_after:.2f} of the sound requests served, "
            f"{run.share_before:.2f} before"
        )
    return violations


def _settings(seconds, faults, shared_parts, **site_overrides):
    settings = crash_settings(seconds, faults, **site_overrides)
    kinds = tuple(
        kind.model_copy(update={"subjects": SUBJECTS, "shared_parts": shared_parts})
        for kind in settings.site.kinds
    )
    return settings.model_copy(
        update={"site": settings.site.model_copy(update={"kinds": kinds})}
    )


def simulate_part_crashes(seconds, faults, seed, shared_parts=2, **site_overrides):
    """Return the :class:`PartRun` of a site with faults.

    :param shared_parts: number of parts of each prompt that others share.
    """
    settings = _settings(seconds, faults, shared_parts, **site_overrides)
    result = simulate_crashes(settings, seed)
    settled_s = _settled_s(result)
    return PartRun(
        result.part_crashes,
        _first_attempt_share(result.records, 0.0, FIRST_REQUEST_S),
        _first_attempt_share(result.records, settled_s, seconds),
        sum(at_s > settled_s for at_s in result.wrongly_quarantined_at_s),
        result.wrongly_quarantined,
        result.violations,
    )


def _settled_s(result):
    """Return when sound requests must be served again, from the start of traffic."""
    detected = [
        figures.detected_by - result.traffic_started_at
        for figures in result.part_crashes
        if figures.detected_by is not None
    ]
    return max(detected, default=FIRST_REQUEST_S) + SETTLING_S


def _first_attempt_share(records, from_s, to_s):
    """Return the share of requests of the kind answered at the first attempt.

    :returns: the share, or ``None`` without requests.
    """
    chosen = [r for r in records if r.kind == KIND and from_s <= r.at_s < to_s]
    answered = [
        r
        for r in chosen
        if r.attempt_count == 1 and r.outcome in (Outcome.ON_TIME, Outcome.LATE)
    ]
    return len(answered) / len(chosen) if chosen else None
