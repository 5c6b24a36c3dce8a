"""Random schedule of the faults that a soak run injects."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["DAEMON_FAULTS", "Fault", "FaultKind", "make_schedule"]

MIN_GAP_S = 0.1
MAX_GAP_S = 1.2
"""Range of the time between fault starts; shorter than most faults, so they overlap."""
REPEAT_KIND_PROBABILITY = 0.3
"""Probability that a fault is followed by another one of its kind."""


class FaultKind(StrEnum):
    """Kinds of faults that are injected from outside."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RELOAD = "reload"
    KILL_ALL = "kill-all"
    CALLERS_RESET = "callers-reset"
    CALLERS_DELAYED = "callers-delayed"
    STORE_LINK_SILENT = "store-link-silent"
    STORE_LINK_ONE_WAY = "store-link-one-way"
    STORE_LINK_RESET = "store-link-reset"
    STORE_AWAY = "store-away"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    ENGINE_DARK = "engine-dark"
    ENGINE_LOST = "engine-lost"
    ENGINE_ADDED = "engine-added"
    ENGINE_LINK_RESET = "engine-link-reset"
    ENGINE_LINK_SILENT = "engine-link-silent"
    TARGET_LEAVES = "target-leaves"
    TARGET_RESETS = "target-resets"
    KEY_CHANGES = "key-changes"
    ENGINE_STARTS_AGAIN = "engine-starts-again"
    ENTRY_SPOILED = "entry-spoiled"
    TARGETS_ENDED = "targets-ended"
    STORE_OLDER = "store-older"
    TARGET_LIMITED = "target-limited"
    TARGET_PAUSES = "target-pauses"
    KEYS_TAKEN_AWAY = "keys-taken-away"
    TARGET_SILENT = "target-silent"
    TARGETS_SLOW = "targets-slow"


_Kind = FaultKind
DAEMON_FAULTS = frozenset(
    (
        _Kind.KILL,
        _Kind.PAUSE,
        _Kind.STOP,
        _Kind.RELOAD,
        _Kind.CALLERS_RESET,
        _Kind.CALLERS_DELAYED,
        _Kind.STORE_LINK_SILENT,
        _Kind.STORE_LINK_ONE_WAY,
        _Kind.STORE_LINK_RESET,
    )
)
RESTART_KINDS = frozenset((_Kind.ENGINE_STARTS_AGAIN, _Kind.ENTRY_SPOILED))
RESTART_KINDS_MIN_SEED = 1000
"""First seed that draws these kinds; schedules of smaller seeds must not change."""
TARGETS_ENDED_MIN_SEED = 2000
STORE_OLDER_MIN_SEED = 3000
TARGET_LIMITED_MIN_SEED = 4000
TARGET_PAUSES_MIN_SEED = 5000
"""First seeds that draw ``TARGETS_ENDED``, ``STORE_OLDER``, ``TARGET_LIMITED`` and
``TARGET_PAUSES``, for the same reason."""
SOUND_TARGET_KINDS = frozenset((_Kind.TARGET_SILENT, _Kind.TARGETS_SLOW))
"""Kinds that are no disturbance: the targets are sound."""
SOUND_TARGET_KINDS_MIN_SEED = 8000
"""First seed that draws these and ``KEYS_TAKEN_AWAY``, for the same reason."""
_WEIGHTS = dict.fromkeys(FaultKind, 2.0) | {
    _Kind.KILL_ALL: 0.3,
    _Kind.ENGINE_LOST: 5,
    _Kind.ENGINE_DARK: 4,
    _Kind.ENGINE_ADDED: 4,
    _Kind.KEY_CHANGES: 4,
    _Kind.ENGINE_STARTS_AGAIN: 6,
    _Kind.ENTRY_SPOILED: 4,
    _Kind.TARGETS_ENDED: 10,
    _Kind.STORE_OLDER: 8,
    _Kind.TARGET_LIMITED: 8,
    _Kind.TARGET_PAUSES: 8,
    _Kind.KEYS_TAKEN_AWAY: 4,
    _Kind.TARGET_SILENT: 14,
    _Kind.TARGETS_SLOW: 8,
}


class Fault(NamedTuple):
    """A fault that is injected into the site.

    :param at_s: seconds since the start of fault injection.
    :param kind: :class:`FaultKind`
    :param victim_fraction: number from 0 to 1 that selects the victim.
    :param duration_s: duration in seconds, for kinds that last.
    """

    at_s: float
    kind: FaultKind
    victim_fraction: float
    duration_s: float


def make_schedule(rng, duration_s, seed):
    """Return the :class:`Fault` list of a run, sorted by time.

    :param rng: :class:`random.Random`
    :param duration_s: seconds within which all faults begin and end.
    :param seed: seed of the run; determines which kinds can be drawn.
    """
    excluded = set(RESTART_KINDS) if seed < RESTART_KINDS_MIN_SEED else set()
    if seed < TARGETS_ENDED_MIN_SEED:
        excluded.add(_Kind.TARGETS_ENDED)
    if seed < STORE_OLDER_MIN_SEED:
        excluded.add(_Kind.STORE_OLDER)
    if seed < TARGET_LIMITED_MIN_SEED:
        excluded.add(_Kind.TARGET_LIMITED)
    if seed < TARGET_PAUSES_MIN_SEED:
        excluded.add(_Kind.TARGET_PAUSES)
    if seed < SOUND_TARGET_KINDS_MIN_SEED:
        excluded |= {*SOUND_TARGET_KINDS, _Kind.KEYS_TAKEN_AWAY}
    weight_by_kind = {
        kind: weight for kind, weight in _WEIGHTS.items() if kind not in excluded
    }
    kinds, weights = zip(*weight_by_kind.items(), strict=True)
    faults, at_s, kind = [], 0.0, None
    while True:
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
        if at_s >= duration_s:
            return faults
        if kind is None or rng.random() > REPEAT_KIND_PROBABILITY:
            kind = rng.choices(kinds, weights)[0]
        fault_duration_s = min(rng.uniform(0.3, 5.0), duration_s - at_s)
        faults.append(
            Fault(round(at_s, 2), kind, rng.random(), round(fault_duration_s, 2))
        )
