"""Weighs parts of prompts by the rule as it is written down, without shortcuts."""

import itertools
import math
import random

from cowslipcourse.quarantine import Stage
from cowslipcourse.quarantine.part_weighing import (
    ANY_STAGE_PRIOR,
    CAUSED_CHANCE,
    MAX_CAUSES,
    MIN_OTHER_CHANCE,
    MIXED_CHANCE,
    ONE_STAGE_PRIOR,
    OTHER_CLUSTERS_PER_S,
    RETRY_ODDS,
    ExitRatios,
)

__all__ = ["oracle_probabilities", "random_clusters"]


def _log_weight(clusters, priors, causes):
    total = sum(
        math.log(priors[part])
        + math.log(ANY_STAGE_PRIOR if stage is None else ONE_STAGE_PRIOR)
        for part, stage in causes
    )
    previous_at = None
    for cluster in clusters:
        other = 1.0
        if previous_at is not None:
            gap_s = cluster[0].at - previous_at
            other = max(MIN_OTHER_CHANCE, 1 - math.exp(-OTHER_CLUSTERS_PER_S * gap_s))
        previous_at = cluster[-1].at
        best = [
            max((each.ratios.get(cause, 0.0) for cause in causes), default=0.0)
            for each in cluster
        ]
        likelihood = 1.0
        if any(best):
            caused = CAUSED_CHANCE / other
            for ratio in best:
                caused *= ratio or 1.0
            if len([ratio for ratio in best if ratio]) > 1:
                caused *= RETRY_ODDS if _meets_retry(cluster, causes) else 1.0
            likelihood += caused if all(best) else caused * MIXED_CHANCE
        total += math.log(likelihood)
    return total


def _meets_retry(cluster, causes):
    for each in cluster:
        for request, parts in each.parts_by_retry.items():
            others = [other for other in cluster if other is not each]
            is_elsewhere = any(request in other.requests for other in others)
            if is_elsewhere and any(part in parts for part, _ in causes):
                return True
    return False


def oracle_probabilities(clusters, priors):
    """Return the probability of each part by all sets of causes.

    :param clusters: lists of :class:`ExitRatios`.
    :param priors: prior probabilities by part.
    """
    causes = sorted(
        {cause for cluster in clusters for each in cluster for cause in each.ratios},
        key=lambda cause: (cause[0], -1 if cause[1] is None else cause[1]),
    )
    weights = {(): 1.0}
    for size in range(1, MAX_CAUSES + 1):
        for chosen in itertools.combinations(causes, size):
            if len({part for part, _ in chosen}) == size:
                weights[chosen] = math.exp(_log_weight(clusters, priors, chosen))
    total = sum(weights.values())
    return {
        part: sum(w for chosen, w in weights.items() if part in dict(chosen)) / total
        for part in priors
    }


def random_clusters(seed):
    """Draw exits and prior probabilities.

    :returns: clusters and priors; the numbers of parts and stages are small enough for
        all sets to be compared.
    """
    rng = random.Random(f"weighing-{seed}")
    parts = [bytes([n]) * 16 for n in range(rng.randint(1, 4))]
    priors = {part: rng.choice([0.03, 0.001]) for part in parts}
    clusters, at = [], 0.0
    for _ in range(rng.randint(1, 6)):
        at += rng.choice([0.2, 0.7, 5.0, 60.0])
        cluster = []
        for _ in range(rng.choice([1, 1, 2, 4])):
            present = rng.sample(parts, rng.randint(0, len(parts)))
            ratios = {(each, None): rng.uniform(0.2, 12) for each in present}
            if rng.random() < 0.5:
                ratios |= {
                    (each, rng.choice(list(Stage))): rng.uniform(0.2, 30)
                    for each in present
                }
            requests = {f"r{n}" for n in range(3) if rng.random() < 0.5}
            parts_by_retry = {
                request: tuple(rng.sample(parts, rng.randint(1, len(parts))))
                for request in sorted(requests)
                if rng.random() < 0.5
            }
            cluster.append(ExitRatios(at, ratios, requests, parts_by_retry))
            at += 0.01
        clusters.append(cluster)
    return clusters, priors
