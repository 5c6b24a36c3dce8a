"""Excludes slow targets from routing, up to a bounded fraction."""

import statistics
from typing import NamedTuple

__all__ = ["StragglerFilter", "StragglerLimits"]


class StragglerLimits(NamedTuple):
    """When a target counts as a straggler.

    :param factor: multiple of its peers' median token time that is too slow.
    :param strikes: consecutive slow reports before it is excluded.
    :param max_excluded_fraction: largest fraction of targets excluded at once.
    :param retry_s: seconds until it is tried again; doubles each time.
    :param max_retry_s: upper bound of the doubling.
    """

    factor: float = 1.8
    strikes: int = 3
    max_excluded_fraction: float = 0.34
    retry_s: float = 10.0
    max_retry_s: float = 160.0


class _Suspect(NamedTuple):
    strikes: int = 0
    excluded_until: float = 0.0
    retry_s: float = 0.0


class StragglerFilter:
    """Counts slow reports of targets and filters their views.

    :param limits: :class:`StragglerLimits`
    """

    def __init__(self, limits=None):
        self._limits = limits or StragglerLimits()
        self._suspects = {}

    def observe(self, token_s_by_target, now):
        """Compare each target's token time with the median of its peers.

        :param token_s_by_target: recent seconds per token; zero means unknown.
        :param now: loop time.
        """
        reported = {name: s for name, s in token_s_by_target.items() if s > 0}
        for name in set(self._suspects) - set(token_s_by_target):
            del self._suspects[name]
        if len(reported) < 3:
            return
        for name, token_s in reported.items():
            peer_token_s = [s for other, s in reported.items() if other != name]
            is_slow = token_s > self._limits.factor * statistics.median(peer_token_s)
            self._record_observation(name, is_slow, now)

    def _record_observation(self, name, is_slow, now):
        suspect = self._suspects.get(name, _Suspect())
        if now < suspect.excluded_until:
            return
        if not is_slow:
            if suspect.strikes or suspect.retry_s:
                self._suspects.pop(name, None)
            return
        strikes = suspect.strikes + 1
        if strikes < self._limits.strikes:
            self._suspects[name] = suspect._replace(strikes=strikes)
            return
        retry_s = suspect.retry_s * 2 or self._limits.retry_s
        retry_s = min(retry_s, self._limits.max_retry_s)
        self._suspects[name] = _Suspect(0, now + retry_s, retry_s)

    def excluded_targets(self, now):
        """Return the names of excluded targets, latest end of exclusion first."""
        names = [
            n for n, suspect in self._suspects.items() if now < suspect.excluded_until
        ]
        return sorted(names, key=lambda name: -self._suspects[name].excluded_until)

    def without_stragglers(self, views, now):
        """Return the views without stragglers, excluding a bounded fraction.

        :param views: list of :class:`~cowslipcourse.load_balancing.TargetView`
        :param now: loop time.
        """
        max_excluded = int(len(views) * self._limits.max_excluded_fraction)
        view_names = {view.name for view in views}
        excluded = set(
            [name for name in self.excluded_targets(now) if name in view_names][
                :max_excluded
            ]
        )
        return [view for view in views if view.name not in excluded]
