"""Weighs which parts of prompts are the cause of the exits of targets. Pure functions.

A part that ends each target which begins to answer it was in flight at every exit that
it caused; any other part is there by coincidence, so that its share of the requests
there is that of all requests in flight. The ratio of the two shares is the likelihood
of the exit if the part caused it, over that if not. Targets may always exit at the same
stage of an answer, so the same is asked of the requests at that stage alone: a cause at
a stage is one more explanation. Besides, exits that follow each other soon are unlikely
without a common cause. Sets of at most three causes are compared, with "none of them"
as one more; exits that a set does not explain have another reason. The result is the
probability of each part over all of these sets.

Targets that exit at nearly the same time may be one loss, whatever ran there. Such a
cluster counts as one event; if a set explains only some of its exits, another reason
must have coincided with it. A retry that was sent after one of its exits and met
another one tells both apart: for the parts of its prompt they are two events.
"""

import itertools
import math
from typing import NamedTuple

__all__ = ["ExitRatios", "part_probabilities", "split_clusters"]

CLUSTER_GAP_S = 0.1
"""Time between two exits up to which they may be one loss."""
OTHER_CLUSTERS_PER_S = 0.03
"""Rate of clusters of exits for other reasons, on a bad day."""
MIN_OTHER_CHANCE = 0.1
"""Least chance that a cluster follows the one before for another reason: such losses
may come in a series too."""
CAUSED_CHANCE = 0.5
"""Chance that a part which ends targets causes the next cluster of exits."""
RETRY_ODDS = 3.0
"""How much likelier a part of a retry ends its target at once than another reason."""
MIXED_CHANCE = 0.02
"""Chance that a cluster for another reason coincides with one that a part causes."""
ANY_STAGE_PRIOR = 0.5
ONE_STAGE_PRIOR = 0.15
"""Probabilities that a part which ends targets does so at any, or at one stage."""
MAX_CAUSES = 3
MAX_CANDIDATES = 12
"""Causes that are combined: the most suspect ones by themselves."""


class ExitRatios(NamedTuple):
    """An exit as evidence.

    :param at: loop time.
    :param ratios: for each cause that was in flight there, its share of the requests
        there over its share of all requests in flight. A cause is a pair of a part and
        the stage of the answer, or ``None`` for any stage.
    :param requests: the requests there, a set-like view.
    :param parts_by_retry: parts of those of them that were retries, by request.
    """

    at: float
    ratios: dict
    requests: object
    parts_by_retry: dict


class _Cluster(NamedTuple):
    """Exits that may be one loss.

    :param exits: dictionaries of ratios by cause, one for each exit.
    :param caused_odds: chance that a part which ends targets causes it, over that of
        another reason so soon after the cluster before.
    :param retried_parts: parts of requests that were at one of the exits, and as a
        retry at another.
    """

    exits: list
    caused_odds: float
    retried_parts: set

    @property
    def causes(self):
        """Set of the causes that were in flight at any of the exits."""
        return set().union(*self.exits)

    def ratios_of(self, cause):
        """Return the ratio of a cause at each exit, 0.0 where it was not in flight."""
        return [ratios.get(cause, 0.0) for ratios in self.exits]

    def likelihood_ratio(self, causes, ratios):
        """Return the likelihood of the cluster if some causes are right, over that if
        not.

        :param ratios: how much likelier each exit is by one of the causes, 0.0 for one
            that they do not explain.
        """
        explained = [ratio for ratio in ratios if ratio]
        if not explained:
            return 1.0
        caused = self.caused_odds * math.prod(explained)
        if len(explained) > 1 and self._has_retry(causes):
            caused *= RETRY_ODDS
        if len(explained) < len(ratios):
            caused *= MIXED_CHANCE
        return 1.0 + caused

    def _has_retry(self, causes):
        """Whether any of some causes is a part of a retry that met a second exit."""
        return any(part in self.retried_parts for part, _ in causes)


def split_clusters(exits):
    """Split exits by time into clusters that may be one loss each.

    :param exits: :class:`ExitRatios` by time.
    """
    clusters = []
    for each in exits:
        if clusters and each.at - clusters[-1][-1].at <= CLUSTER_GAP_S:
            clusters[-1].append(each)
        else:
            clusters.append([each])
    return clusters


def part_probabilities(clusters, priors):
    """Return the probability of each candidate to be a cause of the exits.

    :param clusters: lists of :class:`ExitRatios`, by time.
    :param priors: probability of each part before any exit.
    :returns: dictionary of probabilities by part.
    """
    clusters = _with_odds(clusters)
    cause_priors = _cause_priors(clusters, priors)
    weight_by_cause = _single_weights(clusters, cause_priors)
    weight_by_set = {(): 1.0}
    weight_by_set |= {(cause,): weight for cause, weight in weight_by_cause.items()}
    candidates = _Candidates(clusters, cause_priors, _most_suspect(weight_by_cause))
    weight_by_set |= candidates.combined_weights()
    total = math.fsum(weight_by_set.values())
    probabilities = dict.fromkeys(priors, 0.0)
    for causes, weight in weight_by_set.items():
        for part, _ in causes:
            probabilities[part] += weight / total
    return probabilities


def _with_odds(clusters):
    """Return the :class:`_Cluster` of each list of :class:`ExitRatios`."""
    with_odds = []
    last_at = float("-inf")
    for cluster in clusters:
        since_last_s = cluster[0].at - last_at
        other_chance = -math.expm1(-OTHER_CLUSTERS_PER_S * since_last_s)
        odds = CAUSED_CHANCE / max(other_chance, MIN_OTHER_CHANCE)
        ratios = [each.ratios for each in cluster]
        with_odds.append(_Cluster(ratios, odds, _retried_parts(cluster)))
        last_at = cluster[-1].at
    return with_odds


def _retried_parts(cluster):
    """Return the parts of retries at one exit that were at another one before.

    :param cluster: :class:`ExitRatios` list.
    """
    return {
        part
        for each, other in itertools.permutations(cluster, 2)
        for request, parts in each.parts_by_retry.items()
        if request in other.requests
        for part in parts
    }


def _cause_priors(clusters, priors):
    """Return the prior probability of each cause that was in flight at an exit."""
    causes = set().union(*(cluster.causes for cluster in clusters))
    return {
        (part, stage): priors[part]
        * (ANY_STAGE_PRIOR if stage is None else ONE_STAGE_PRIOR)
        for part, stage in causes
        if part in priors
    }


def _single_weights(clusters, cause_priors):
    """Return the weight of each cause alone, relative to that of no cause."""
    weights = dict(cause_priors)
    for cluster in clusters:
        for cause in cluster.causes & weights.keys():
            ratios = cluster.ratios_of(cause)
            weights[cause] *= cluster.likelihood_ratio((cause,), ratios)
    return weights


def _most_suspect(weights):
    """Return the causes that explain most by themselves, the best first."""
    # The stage makes the order the same at all evaluators.
    ranked = sorted(
        weights, key=lambda cause: (-weights[cause], cause[0], cause[1] or 0)
    )
    return ranked[:MAX_CANDIDATES]


class _Candidates:
    """The causes of which sets are compared.

    The likelihood ratio of a cluster of one exit by a set of causes is the largest one
    of these causes, so that those of all such clusters are computed beforehand.

    :param clusters: :class:`_Cluster` list.
    :param priors: prior probability of each cause.
    :param causes: the candidates.
    """

    def __init__(self, clusters, priors, causes):
        self._priors = priors
        self._causes = causes
        single = [cluster for cluster in clusters if len(cluster.exits) == 1]
        self._larger = [cluster for cluster in clusters if len(cluster.exits) > 1]
        self._single_ratios = {
            cause: [
                each.likelihood_ratio((cause,), each.ratios_of(cause))
                for each in single
            ]
            for cause in causes
        }
        self._larger_ratios = {
            cause: [cluster.ratios_of(cause) for cluster in self._larger]
            for cause in causes
        }

    def combined_weights(self):
        """Return the weight of each set of several parts, relative to no cause."""
        return {
            causes: self._weight(causes)
            for size in range(2, MAX_CAUSES + 1)
            for causes in itertools.combinations(self._causes, size)
            if len({part for part, _ in causes}) == size
        }

    def _weight(self, causes):
        weight = math.prod(self._priors[cause] for cause in causes)
        weight *= math.prod(map(max, *(self._single_ratios[each] for each in causes)))
        by_cluster = zip(*(self._larger_ratios[each] for each in causes), strict=True)
        for cluster, ratios in zip(self._larger, by_cluster, strict=True):
            weight *= cluster.likelihood_ratio(causes, list(map(max, *ratios)))
        return weight
