"""Speeds of targets as other daemons tell them."""

from typing import NamedTuple

__all__ = ["LocalReports", "ToldSpeed", "ToldSpeeds"]

MAX_AGE_S = 2.0
"""Age at which what was told counts no longer."""
REPORT_MAX_AGE_S = 0.6
"""The same for a daemon's report at the reporter: more than two reports may be lost."""
MIN_FACTOR, MAX_FACTOR = 1.0, 4.0
"""Bounds of a told factor: a daemon whose own link is slow finds all targets slow."""
MAX_TARGETS = 64
"""Targets that are accepted from one source."""
MAX_SLOW_FRACTION = 0.5
"""Fraction of all targets that a daemon may find slow; beyond it the daemon itself, or
its link, is more likely to be."""
MIN_SLOW_LIMIT = 3
"""Slow targets that it may find however few there are."""
MERGE_INTERVAL_S = 0.1
"""Interval at which the sources are merged, whatever the number of requests."""


class ToldSpeed(NamedTuple):
    """What other daemons say about a target.

    :param factor: factor on its times; 1 for a normal one.
    :param weight: weight compared to an own observation.
    """

    factor: float
    weight: float


class _Told(NamedTuple):
    factors: dict[str, float]
    at: float


class ToldSpeeds:
    """The newest factors by source: a daemon, or the reporter of a data centre.

    Of several sources the median counts, so that a single one that is wrong gives way
    to those that have seen the target, too.

    :param max_age_s: age at which a factor counts no longer; its weight falls linearly
        from half that age.
    """

    def __init__(self, max_age_s=MAX_AGE_S):
        self._max_age_s = max_age_s
        self._told_by_source = {}
        self._merged = {}
        self._merged_at = float("-inf")

    def record(self, source, factors, now):
        """Replace what a source has told.

        :param source: any key.
        :param factors: factors by target id.
        :param now: loop time.
        """
        accepted = {
            target: min(max(factor, MIN_FACTOR), MAX_FACTOR)
            for target, factor in list(factors.items())[:MAX_TARGETS]
        }
        self._told_by_source[source] = _Told(accepted, now)

    def merged(self, now):
        """Return :class:`ToldSpeed` by target id.

        :param now: loop time.
        """
        voices = {}
        for source, told in list(self._told_by_source.items()):
            if now - told.at >= self._max_age_s:
                del self._told_by_source[source]
                continue
            weight = min(1.0, 2 * (1 - (now - told.at) / self._max_age_s))
            for target, factor in told.factors.items():
                voices.setdefault(target, []).append(ToldSpeed(factor, weight))
        return {target: _merge(told) for target, told in voices.items()}

    def get(self, target, now):
        """Return the :class:`ToldSpeed` of a target, or ``None``.

        :param target: id of the target.
        :param now: loop time.
        """
        return self.all(now).get(target)

    def all(self, now):
        """Return :class:`ToldSpeed` by target id, merged a moment ago at most.

        :param now: loop time.
        """
        if now - self._merged_at >= MERGE_INTERVAL_S:
            self._merged, self._merged_at = self.merged(now), now
        return self._merged


class LocalReports:
    """What the daemons of one data centre tell its reporter."""

    def __init__(self):
        self._told = ToldSpeeds(REPORT_MAX_AGE_S)

    def record(self, daemon, factors, target_count, now):
        """Replace what a daemon has told; ignore it if it finds most targets slow.

        :param daemon: name of the daemon.
        :param factors: factors by target id.
        :param target_count: number of targets that there are.
        :param now: loop time.
        :returns: whether it was accepted.
        """
        slow_count = sum(factor > MIN_FACTOR for factor in factors.values())
        limit = max(MIN_SLOW_LIMIT, MAX_SLOW_FRACTION * target_count)
        if slow_count > limit:
            factors = {}
        self._told.record(daemon, factors, now)
        return slow_count <= limit

    def summary(self, now):
        """Return the factors that other daemons are told, by target id."""
        merged = self._told.merged(now)
        slowest = sorted(merged, key=lambda t: merged[t].factor, reverse=True)
        return {target: merged[target].factor for target in slowest[:MAX_TARGETS]}


def _merge(voices):
    factors = sorted(voice.factor for voice in voices)
    lower_median = factors[(len(factors) - 1) // 2]
    return ToldSpeed(
        lower_median,
        max(voice.weight for voice in voices),
    )
