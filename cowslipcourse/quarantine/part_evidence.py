"""Evidence on which part of prompts makes the targets of a service exit, without I/O.

Each request that was in flight at a target that exited is evidence, however much of its
answer had arrived: how far an answer gets differs between kinds of targets, and what a
daemon has received is less than what the target has sent. A whole answer to a request
with a part, begun after an exit, shows that the part was not its cause.
"""

import functools
import math
from collections import Counter, OrderedDict
from contextlib import contextmanager
from typing import NamedTuple

from cowslipcourse.quarantine.observed_exits import ObservedExit
from cowslipcourse.quarantine.part_shares import PartShares
from cowslipcourse.quarantine.part_weighing import (
    ExitRatios,
    part_probabilities,
    split_clusters,
)
from cowslipcourse.quarantine.verdicts import PART_SUSPICION_S

__all__ = ["LatestTimes", "PartEvidence", "PartWeight", "WeighingContext"]

MIN_EXITS = 4
"""Exits that convict a part; callers accept five."""
MIN_REQUESTS = 2
"""Different requests that these exits need: a single one is convicted by itself."""
SUSPICION_EXITS = 2
"""Exits from which a part is weighed, and the daemons are asked for answers with it."""
UNANSWERED_PRIOR = 0.03
"""Probability that a part which was never answered ends targets."""
ANSWERED_PRIOR = 0.001
"""The same for one that was answered in the last hour: only new software or new weights
make it end targets."""
MAX_ABSENCE_RATIO = 100.0
"""Most that missing answers say against a part: requests are not as independent as
they are taken to be."""
CONVICTION_PROBABILITY = 0.99
REPORTING_S = 0.05
"""Time from an exit until the daemons have reported it; earlier it is not weighed."""
DRAINING_S = 1.0
"""Time from the hold of a part until most requests with it that were in flight have
ended."""
MAX_EXITS = 128
"""Exits of a service that are kept, about 400 KB; the one reported the longest ago is
dropped."""
MAX_ANSWERED_PARTS = 4_096
"""Parts known to be answered, about 600 KB; the one answered the longest ago is
dropped first."""


class WeighingContext(NamedTuple):
    """What is known beside the exits.

    :param now: loop time.
    :param answered_at: callable that returns when the last whole answer to a request
        with a part was begun, or ``-inf``.
    :param is_asked: callable that returns whether the daemons have been asked for
        answers to requests with a part, and had time to reply.
    :param expected_answers: callable that takes a part and a loop time, and returns how
        many answers with the part would have been begun since then, by the number of
        those without it, if it were sound.
    :param daemon_count: number of daemons.
    :param is_refused: callable that returns whether requests with a part are refused.
    :param held_since: callable that takes a part and a loop time, and returns from
        which loop time on all daemons held the part then, or infinity.
    """

    now: float
    answered_at: object
    is_asked: object
    expected_answers: object
    daemon_count: int
    is_refused: object
    held_since: object


class PartWeight(NamedTuple):
    """What is known of a part at several exits.

    :param part: fingerprint.
    :param probability: probability that it is a cause of the exits.
    :param share: estimated fraction of the requests that have it.
    :param prior: that probability before any exit, as answers to requests with it and
        without it say.
    :param exits: ``(target, incarnation)`` and loop time of its exits.
    :param ratios: its share of the requests at each of these exits over that of all
        requests in flight, by ``(target, incarnation)``; above 1.0 it speaks against
        the part, below for it.
    :param other_exit_count: number of exits at which it was not in flight.
    :param request_count: number of requests with it at them.
    :param was_answered: whether a request with it was answered before.
    :param is_only_stored: whether all its exits were read from the store.
    """

    part: bytes
    probability: float
    prior: float
    share: float
    exits: dict
    ratios: dict
    other_exit_count: int
    request_count: int
    was_answered: bool
    is_only_stored: bool

    @property
    def last_at(self):
        """Loop time of the last of its exits."""
        return max(self.exits.values())

    @property
    def obstacle(self):
        """Why the part is not convicted yet, or ``""`` if nothing is missing."""
        if self.probability < CONVICTION_PROBABILITY:
            return "other-explanations"
        if len(self.exits) < MIN_EXITS:
            return "few-exits"
        if self.request_count < MIN_REQUESTS:
            return "one-request"
        if self.is_only_stored:
            return "only-stored"
        return ""


class PartEvidence:
    """Exits of the targets of a service, by the requests that were in flight there."""

    def __init__(self):
        self._exits = OrderedDict()
        self._exit_counts = Counter()
        self._shares = PartShares()

    def __len__(self):
        return len(self._exits)

    def add_report(self, report, now):
        """Add what a daemon reports of an exit; repetitions change nothing.

        :param report: :class:`~cowslipcourse.quarantine.ExitReport`
        :param now: loop time.
        """
        at = now - report.age_s
        with self._changing(report.exit_key, at, now) as known:
            known.add_report(report, at)
        for part, _, sampled in report.parts:
            self._shares.add(report.reporter, part, sampled, report.sampled)

    def add_stored(self, stored, now):
        """Add an exit that was read from the store.

        :param stored: :class:`~cowslipcourse.quarantine.StoredExit`
        :param now: loop time.
        """
        with self._changing(stored.exit_key, now - stored.age_s, now) as known:
            known.add_stored(stored)

    @contextmanager
    def _changing(self, exit_key, at, now):
        """Yield the exit to be changed, and keep the counts by part up to date."""
        self._drop_expired(now)
        known = self._exits.get(exit_key)
        if known is None:
            known = self._exits[exit_key] = ObservedExit(exit_key, at)
            if len(self._exits) > MAX_EXITS:
                self._drop(next(iter(self._exits)))
        self._exit_counts.subtract(known.parts)
        yield known
        self._exit_counts.update(known.parts)

    def _drop_expired(self, now):
        while self._exits:
            key, oldest = next(iter(self._exits.items()))
            if now - oldest.at < PART_SUSPICION_S:
                return
            self._drop(key)

    def _drop(self, key):
        dropped = self._exits.pop(key)
        self._exit_counts.subtract(dropped.parts)
        self._exit_counts = +self._exit_counts

    def has_part(self, part):
        """Whether a part was in flight at an exit that is kept."""
        return self._exit_counts[part] > 0

    def suspected_parts(self, answered_at, since):
        """Return the parts at several exits since they were answered, the last later
        than ``since``.

        :param answered_at: see :class:`WeighingContext`.
        """
        exits_by_part = _exits_by_part(self._sorted_exits(), answered_at)
        return [
            part
            for part, exits in exits_by_part.items()
            if len(exits) >= SUSPICION_EXITS and exits[-1].at > since
        ]

    def _sorted_exits(self):
        return sorted(self._exits.values(), key=lambda each: each.at)

    def weigh(self, context):
        """Return the :class:`PartWeight` of the most suspect parts, the worst first.

        :param context: :class:`WeighingContext`
        """
        exits = [
            each
            for each in self._sorted_exits()
            if context.now - each.at >= REPORTING_S
        ]
        exits_by_part = _exits_by_part(exits, context.answered_at)
        suspects = {
            part: exits
            for part, exits in exits_by_part.items()
            if len(exits) >= SUSPICION_EXITS
        }
        if not suspects:
            return []
        priors = self._merged_priors(suspects, context)
        evidence = self._evidence(exits, context)
        probabilities = part_probabilities(split_clusters(evidence), priors)
        ratios_by_key = {
            each.key: ratios.ratios
            for each, ratios in zip(exits, evidence, strict=True)
        }
        weights = [
            self._part_weight(
                part, probability, priors[part], suspects[part], ratios_by_key, context
            )
            for part, probability in probabilities.items()
        ]
        return sorted(weights, key=lambda weight: weight.probability, reverse=True)

    def _part_weight(self, part, probability, prior, exits, ratios_by_key, context):
        return PartWeight(
            part,
            probability,
            prior,
            self._shares.share(part),
            {each.key: each.at for each in exits},
            {each.key: ratios_by_key[each.key][part, None] for each in exits},
            len(ratios_by_key) - len(exits),
            len({request for _, request in _runs_with(part, exits)}),
            context.answered_at(part) > float("-inf"),
            all(each.is_stored for each in exits),
        )

    def _merged_priors(self, suspects, context):
        """Return the prior probabilities, with those of parts that no run tells apart
        added up.

        Refusing one of them is enough: one that is refused already, or else the rarest,
        or else the last in the prompt.

        :param suspects: exits by part.
        """
        alike = {}
        for part, exits in suspects.items():
            alike.setdefault(_runs_with(part, exits), []).append(part)
        merged = {}
        for parts in alike.values():
            order = _order_in_prompt(parts[0], suspects[parts[0]])

            preferences = {
                (context.is_refused(part), -self._shares.share(part), place): part
                for place, part in enumerate(order)
                if part in parts
            }
            chosen = preferences[max(preferences)]
            merged[chosen] = sum(
                _prior(part, suspects[part], context) for part in parts
            )
        return merged

    def _evidence(self, exits, context):
        """Return the :class:`ExitRatios` of some exits."""
        known_share_of = functools.cache(self._shares.share)
        return [self._exit_ratios(each, known_share_of, context) for each in exits]

    def _exit_ratios(self, each, known_share_of, context):
        def share_of(part):
            # Of a part that is held only its probes are in flight.
            is_held = each.at - context.held_since(part, each.at) >= DRAINING_S
            return 0.0 if is_held else known_share_of(part)

        ratios = each.ratios(share_of, context.daemon_count, context.now)
        return ExitRatios(
            each.at,
            {
                (part, stage): ratio
                for (part, stage), ratio in ratios.items()
                if context.answered_at(part) <= each.at
            },
            each.runs.keys(),
            each.parts_by_retry,
        )

    def exits_to_store(self, parts, daemon_count, now):
        """Return what is known of the exits at which any of some parts was.

        :param parts: fingerprints.
        :param daemon_count: number of daemons.
        :returns: list of :class:`~cowslipcourse.quarantine.StoredExit`
        """
        return [
            each.to_store(parts, self._shares.share, daemon_count, now)
            for each in self._exits.values()
            if not parts.isdisjoint(each.parts)
        ]


def _prior(part, exits, context):
    """Return the probability that a part ends targets, by the answers to others.

    A common part that no target answers, while they answer requests without it, is
    likelier to do so.

    :param exits: exits that it may have caused, by time.
    """
    was_answered = context.answered_at(part) > float("-inf")
    is_unanswered = not was_answered and context.is_asked(part)
    prior = UNANSWERED_PRIOR if is_unanswered else ANSWERED_PRIOR
    expected = context.expected_answers(part, exits[0].at)
    return prior * min(math.exp(expected), MAX_ABSENCE_RATIO)


def _exits_by_part(exits, answered_at):
    """Return those of some exits, by time, that each part may have caused."""
    exits_by_part = {}
    for each in exits:
        for part in each.parts:
            if answered_at(part) <= each.at:
                exits_by_part.setdefault(part, []).append(each)
    return exits_by_part


def _runs_with(part, exits):
    """Return the runs with a part, as pairs of exit and request."""
    return frozenset(
        (each, request) for each in exits for request in each.requests_with(part)
    )


def _order_in_prompt(part, exits):
    """Return the parts of a run with a part, in the order of its prompt."""
    runs = exits[0].runs.values()
    return next(run.parts for run in runs if part in run.parts)


class LatestTimes:
    """The latest of the times recorded for each key, of a bounded number of keys."""

    def __init__(self, max_keys=MAX_ANSWERED_PARTS):
        self._max_keys = max_keys
        self._times = OrderedDict()

    def record(self, key, at):
        """Record a time; earlier ones than that recorded last change nothing."""
        self._times[key] = max(at, self.get(key))
        self._times.move_to_end(key)
        if len(self._times) > self._max_keys:
            self._times.popitem(last=False)

    def get(self, key):
        """Return the latest time recorded for a key, or ``-inf``."""
        return self._times.get(key, float("-inf"))
