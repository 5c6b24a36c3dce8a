"""Streams at random targets, with a check of each run."""

import random

from features.support.scripted_streams import (
    EVENT_COUNT,
    UNLISTING_DELAY_S,
    TargetScript,
)
from features.support.silent_targets import stream_at_targets

__all__ = ["silence_violations"]

HARMLESS_CHANGES = (
    "its entry",
    "no entry",
    "no incarnation",
    "no group",
    "it as leaving",
)
"""Changes of the list that a target may outlive."""
END_CHANGES = (
    "no entry",
    "an earlier incarnation",
    "a later incarnation",
    "another target at its address",
    "its group as broken",
    "a later group",
)
"""Changes of the list after a target has ended. The first two need its host as well."""


def _random_script(rng):
    silences, at_s = [], 0.0
    for _ in range(rng.randint(0, 2)):
        at_s += rng.uniform(0.0, 1.0)
        duration_s = rng.uniform(0.2, 1.5)
        silences.append((at_s, duration_s))
        at_s += duration_s
    is_lost = rng.random() < 0.25
    return TargetScript(
        tuple(silences),
        ends_at_s=rng.uniform(0.0, 2.0) if is_lost else None,
        status=rng.choice([200] * 8 + [503, 500]),
        first_event_s=rng.choice([0.06, 0.06, 0.5, 1.2]),
    )


def _is_always_there(script):
    """Whether a target is always listed, and its host always accepts connections."""
    changes = [change for _, change in script.list_changes]
    return script.ends_at_s is None and "no entry" not in changes


def _with_random_list(script, rng):
    """Return a script whose target is listed as it may be at any time."""
    if rng.random() < 0.5:
        return script
    if script.ends_at_s is not None:
        shown_at = script.ends_at_s + UNLISTING_DELAY_S
        return script._replace(listed=((shown_at, rng.choice(END_CHANGES)),))
    times = sorted(rng.uniform(0.0, 2.5) for _ in range(rng.randint(1, 3)))
    return script._replace(
        listed=tuple((at_s, rng.choice(HARMLESS_CHANGES)) for at_s in times)
    )


def silence_violations(seed):
    """Forward a stream to random targets and return its violations as texts."""
    rng, list_rng = random.Random(f"silence-{seed}"), random.Random(f"list-{seed}")
    scripts = [_random_script(rng) for _ in range(rng.randint(1, 4))]
    scripts = [_with_random_list(script, list_rng) for script in scripts]
    is_resumable, max_attempts = rng.random() < 0.7, rng.randint(1, 3)
    result = stream_at_targets(
        scripts,
        is_resumable,
        max_attempts,
        has_retry_budget=rng.random() < 0.8,
        caller_send_s=rng.choice([0.0, 0.0, 0.01, 0.05]),
    )
    violations = []
    if result.event_ids != list(range(1, len(result.event_ids) + 1)):
        violations.append(f"events out of order: {result.event_ids}")
    if result.is_complete and len(result.event_ids) not in (0, EVENT_COUNT):
        violations.append(f"complete after {len(result.event_ids)} events")
    if result.error == "DeadlineWhileRunning" and any(map(_is_always_there, scripts)):
        violations.append("waited for lost targets until its deadline")
    if result.left_open:
        violations.append(f"still running at {result.left_open}")
    runs = [number for number in result.sent_to if scripts[number].status != 503]
    if len(runs) > (max_attempts if is_resumable else 1):
        violations.append(f"ran at {runs}, {max_attempts} allowed")
    has_sound_run = any(
        scripts[number].status == 200 and scripts[number].ends_at_s is None
        for number in runs
        if runs.count(number) > result.superseded.count(number)
    )
    if has_sound_run and not result.is_complete:
        violations.append(f"cut with {result.error} although a target was sound")
    return violations
