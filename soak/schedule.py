"""Random schedule of the faults that a soak run injects."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "DAEMON_FAULTS",
    "PLANNED_KINDS",
    "SERVICE_SILENT_MIN_SEED",
    "TARGETS_FAIL_MIN_SEED",
    "Fault",
    "FaultKind",
    "disturbed_subject",
    "make_schedule",
]

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
    SERVICE_SILENT = "service-silent"
    TARGETS_FAIL = "targets-fail"


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
SOUND_TARGET_KINDS_MIN_SEED = 8000
"""First seed that draws these and ``KEYS_TAKEN_AWAY``, for the same reason."""
SERVICE_SILENT_MIN_SEED = 9000
"""First seed that draws ``SERVICE_SILENT``, for the same reason."""
TARGETS_FAIL_MIN_SEED = 10000
"""First seed that draws ``TARGETS_FAIL``, for the same reason."""
PLANNED_KINDS = frozenset((_Kind.STOP, _Kind.RELOAD))
"""Kinds that are planned maintenance, which must interrupt no request."""
UNDISTURBING_KINDS = frozenset(
    (
        _Kind.TARGET_LIMITED,
        _Kind.TARGET_PAUSES,
        _Kind.KEY_CHANGES,
        _Kind.KEYS_TAKEN_AWAY,
        _Kind.SERVICE_SILENT,
        *SOUND_TARGET_KINDS,
    )
)
"""Kinds that excuse no interrupted request: targets are sound, configurations valid."""
CALM_FRACTION = 0.75
"""Part of a run, from its start, that draws only ``_CALM_WEIGHTS`` from
``SERVICE_SILENT_MIN_SEED`` on. Among other kinds hardly a request is undisturbed."""
_CALM_WEIGHTS = {
    _Kind.SERVICE_SILENT: 6,
    _Kind.RELOAD: 2,
    _Kind.STOP: 1,
    _Kind.KEY_CHANGES: 1,
}
_FAILING_WEIGHTS = {
    _Kind.TARGETS_FAIL: 8,
    _Kind.KILL: 6,
    _Kind.STOP: 3,
    _Kind.KILL_ALL: 2,
    _Kind.RELOAD: 1,
    _Kind.PAUSE: 1,
}
"""Weights in place of ``_CALM_WEIGHTS`` from ``TARGETS_FAIL_MIN_SEED`` on."""
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
    _Kind.SERVICE_SILENT: 14,
    _Kind.TARGETS_FAIL: 8,
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


def disturbed_subject(kind, daemon):
    """Return what a fault disturbs, or ``None`` if it excuses no interrupted request.

    :param kind: :class:`FaultKind`
    :param daemon: name of the daemon that the fault would affect.
    :returns: the daemon's name, ``"store"``, ``"targets"`` or ``None``.
    """
    if kind in DAEMON_FAULTS:
        return daemon
    if kind in UNDISTURBING_KINDS:
        return None
    return "store" if kind.value.startswith("store") else "targets"


def _excluded_kinds(seed):
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
    if seed < SERVICE_SILENT_MIN_SEED:
        excluded.add(_Kind.SERVICE_SILENT)
    if seed < TARGETS_FAIL_MIN_SEED:
        excluded.add(_Kind.TARGETS_FAIL)
    return excluded


def make_schedule(rng, duration_s, seed):
    """Return the :class:`Fault` list of a run, sorted by time.

    :param rng: :class:`random.Random`
    :param duration_s: seconds within which all faults begin and end.
    :param seed: seed of the run; determines which kinds can be drawn.
    """
    excluded = _excluded_kinds(seed)
    weight_by_kind = {
        kind: weight for kind, weight in _WEIGHTS.items() if kind not in excluded
    }
    calm_until_s = CALM_FRACTION * duration_s if seed >= SERVICE_SILENT_MIN_SEED else 0
    first_weights = _FAILING_WEIGHTS if seed >= TARGETS_FAIL_MIN_SEED else _CALM_WEIGHTS
    faults, at_s, kind = [], 0.0, None
    while True:
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
        if at_s >= duration_s:
            return faults
        if kind is None or rng.random() > REPEAT_KIND_PROBABILITY:
            weights = first_weights if at_s < calm_until_s else weight_by_kind
            kind = rng.choices(tuple(weights), tuple(weights.values()))[0]
        fault_duration_s = min(rng.uniform(0.3, 5.0), duration_s - at_s)
        faults.append(
            Fault(round(at_s, 2), kind, rng.random(), round(fault_duration_s, 2))
        )
