"""What goes wrong in a run, and when: drawn from a seed, in series that overlap."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["DAEMON_FAULTS", "Fault", "FaultKind", "make_schedule"]

LEAST_GAP_S = 0.1
LONGEST_GAP_S = 1.2
"""Gaps between the begins of faults: shorter than most faults last, so they overlap."""
SERIES_SHARE = 0.3
"""Share of faults that are followed by another of their kind."""


class FaultKind(StrEnum):
    """What is done from outside."""

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


K = FaultKind
DAEMON_FAULTS = frozenset(
    (
        K.KILL,
        K.PAUSE,
        K.STOP,
        K.RELOAD,
        K.CALLERS_RESET,
        K.CALLERS_DELAYED,
        K.STORE_LINK_SILENT,
        K.STORE_LINK_ONE_WAY,
        K.STORE_LINK_RESET,
    )
)
LATER_KINDS = frozenset((K.ENGINE_STARTS_AGAIN, K.ENTRY_SPOILED))
LATER_KINDS_FROM = 1000
"""First seed that draws the kinds added later: earlier seeds stay as they are."""
ENDED_FROM = 2000
OLDER_FROM = 3000
"""The same for the kinds that came after those, one by one."""
_WEIGHTS = dict.fromkeys(FaultKind, 2.0) | {
    K.KILL_ALL: 0.3,
    K.ENGINE_LOST: 5,
    K.ENGINE_DARK: 4,
    K.ENGINE_ADDED: 4,
    K.KEY_CHANGES: 4,
    K.ENGINE_STARTS_AGAIN: 6,
    K.ENTRY_SPOILED: 4,
    K.TARGETS_ENDED: 10,
    K.STORE_OLDER: 8,
}


class Fault(NamedTuple):
    """Something that is done to the site.

    :param at_s: seconds from the start of the faults.
    :param kind: :class:`FaultKind`
    :param luck: between 0 and 1; picks the victim.
    :param for_s: seconds that it lasts, where it lasts.
    """

    at_s: float
    kind: FaultKind
    luck: float
    for_s: float


def make_schedule(rng, duration_s, seed):
    """Return the list of :class:`Fault` of a run, by time.

    :param rng: :class:`random.Random`
    :param duration_s: seconds within which faults begin and end.
    :param seed: decides which kinds are drawn.
    """
    left_out = set(LATER_KINDS) if seed < LATER_KINDS_FROM else set()
    if seed < ENDED_FROM:
        left_out.add(K.TARGETS_ENDED)
    if seed < OLDER_FROM:
        left_out.add(K.STORE_OLDER)
    drawn = {kind: w for kind, w in _WEIGHTS.items() if kind not in left_out}
    kinds, weights = zip(*drawn.items(), strict=True)
    faults, at_s, kind = [], 0.0, None
    while True:
        at_s += rng.uniform(LEAST_GAP_S, LONGEST_GAP_S)
        if at_s >= duration_s:
            return faults
        if kind is None or rng.random() > SERIES_SHARE:
            kind = rng.choices(kinds, weights)[0]
        for_s = min(rng.uniform(0.3, 5.0), duration_s - at_s)
        faults.append(Fault(round(at_s, 2), kind, rng.random(), round(for_s, 2)))
