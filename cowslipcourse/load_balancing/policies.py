"""Routing policies.

:class:`LeastExpectedWait` is the one in use. The others are baselines that
measurements compare it with.
"""

import itertools
from typing import Protocol

__all__ = [
    "LeastExpectedWait",
    "LeastInFlight",
    "RandomChoice",
    "RoundRobin",
    "RoutingPolicy",
]

PREFILL_TOKENS_PER_S = 8000.0
DISTANCE_COST_S = 0.02
QUEUED_REQUEST_COST_S = 0.05


class RoutingPolicy(Protocol):
    """Chooses one of several targets."""

    def choose(self, views, rng):
        """Return the chosen view.

        :param views: non-empty list of
            :class:`~cowslipcourse.load_balancing.TargetView`
        :param rng: :class:`random.Random`
        """


class RandomChoice:
    """Baseline: any target."""

    def choose(self, views, rng):
        """Choose uniformly."""
        return rng.choice(views)


class RoundRobin:
    """Baseline: targets in turn."""

    def __init__(self):
        self._counter = itertools.count()

    def choose(self, views, rng):
        """Choose the next target in order of name."""
        ordered = sorted(views, key=lambda view: view.name)
        return ordered[next(self._counter) % len(ordered)]


class LeastInFlight:
    """Baseline: the target that has fewest requests of this gateway."""

    def choose(self, views, rng):
        """Choose the fewest, ties at random."""
        fewest = min(view.own_in_flight for view in views)
        return rng.choice([view for view in views if view.own_in_flight == fewest])


class LeastExpectedWait:
    """Least expected wait among a few sampled targets.

    Reports lag, and gateways do not see each other's newest requests. Choosing the
    best of all would send every gateway to the same target; the best of a few
    sampled ones, one of which may be chosen for its cached prefix, does not.

    :param sample: number of targets sampled.
    :param half_life_s: age at which a report has half its weight.
    """

    def __init__(self, sample=3, half_life_s=1.0):
        self._sample = sample
        self._half_life_s = half_life_s

    def choose(self, views, rng):
        """Choose the least expected wait, the saved prefill deducted."""
        sampled = list(views)
        if len(sampled) > self._sample:
            sampled = rng.sample(sampled, self._sample)
            best_cached = max(views, key=lambda view: view.prefix_tokens)
            if best_cached.prefix_tokens and best_cached not in sampled:
                sampled.append(best_cached)
        return min(sampled, key=lambda view: (self._routing_cost_s(view), rng.random()))

    def expected_wait_s(self, view):
        """Return the expected seconds until the target's first token."""
        return self._wait_s(view, self._estimated_occupancy(view))

    def _estimated_occupancy(self, view):
        """Return the gateways' request count, corrected by the age-weighted report.

        The gateways' counts are newer than a report, but lack the requests of gateways
        that cannot be reached.
        """
        known_in_flight = view.own_in_flight + view.peers_in_flight
        reported_requests = view.load.running + view.load.waiting + view.own_unreported
        report_weight = 0.5 ** (view.load_age_s / self._half_life_s)
        return known_in_flight + report_weight * max(
            0, reported_requests - known_in_flight
        )

    def _routing_cost_s(self, view):
        occupied = self._estimated_occupancy(view)
        saved_s = view.prefix_tokens / PREFILL_TOKENS_PER_S
        return self._wait_s(view, occupied) + view.distance * DISTANCE_COST_S - saved_s

    def _wait_s(self, view, occupied):
        batch_limit = max(view.load.batch_limit, 1)
        token_s = view.load.token_s or 0.03
        # A fuller batch makes every step slower; a queue waits for whole answers.
        step_s = token_s * (1 + occupied / batch_limit)
        queued_requests = max(0.0, occupied + 1 - batch_limit)
        return (
            step_s
            + QUEUED_REQUEST_COST_S * queued_requests
            + occupied * token_s / batch_limit
        )
