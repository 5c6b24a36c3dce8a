"""Pure decisions on parts of prompts, from exits given in words."""

from collections import Counter
from types import SimpleNamespace

from cowslipcourse.quarantine import (
    InFlightRuns,
    Stage,
    make_exit_report,
    part_fingerprints,
)
from cowslipcourse.quarantine.part_evidence import PartEvidence, WeighingContext
from cowslipcourse.quarantine.part_shares import PartSample

__all__ = ["STAGES", "Judge", "part", "words"]

SERVICE = "s"
IN_FLIGHT = 40
"""Requests in flight at all targets together."""
STAGES = {
    "waiting": Stage.WAITING,
    "begun": Stage.BEGUN,
    "first": Stage.FIRST,
    "writing": Stage.WRITING,
}


def part(name):
    """Return the fingerprint of a part."""
    return part_fingerprints(SERVICE, (name,))[0]


def words(text):
    """Return the words of each item of a list; of none if it is ``none``."""
    return [] if text == "none" else [item.split() for item in text.split(", ")]


class Judge:
    """An evaluator of a site with one daemon, without a network.

    :param common_parts: fraction of the requests in flight that have a part, by name;
        other parts are only in the requests of the exits.
    """

    def __init__(self, common_parts):
        self.evidence = PartEvidence()
        self._common_parts = common_parts
        self._answered_at = {}

    def add_exit(self, at, target, runs, retries=()):
        """Record an exit.

        :param runs: request, stage and names of the parts of each request there.
        :param retries: those of the requests that were retries.
        """
        in_flight = InFlightRuns(Counter(), Counter())
        for _, stage, names in runs:
            in_flight.add([part(name) for name in names], STAGES[stage])
        self._add_others(in_flight, IN_FLIGHT - len(runs))
        exited_runs = [
            (
                SimpleNamespace(
                    fingerprint=request.encode().ljust(16),
                    part_fingerprints=tuple(part(name) for name in names),
                ),
                STAGES[stage],
                request in retries,
            )
            for request, stage, names in runs
        ]
        report = make_exit_report(
            "a", (target, 0), exited_runs, in_flight, PartSample()
        )
        self.evidence.add_report(report, at)

    def _add_others(self, in_flight, count):
        """Add requests at other targets, which have the common parts."""
        for number in range(count):
            names = [
                name
                for name, fraction in self._common_parts.items()
                if number < round(fraction * count)
            ]
            in_flight.add([part(name) for name in names], Stage.WRITING)

    def add_answer(self, begun_at, name):
        """Record a whole answer to a request with a part."""
        known_at = self._answered_at.get(part(name), float("-inf"))
        self._answered_at[part(name)] = max(known_at, begun_at)

    def weigh(self, now):
        """Return the weights of the suspected parts."""
        context = WeighingContext(
            now,
            lambda each: self._answered_at.get(each, float("-inf")),
            lambda each: True,
            lambda each, since: 0.0,
            1,
            lambda each: False,
            lambda each, at: float("inf"),
        )
        return self.evidence.weigh(context)

    def convicted(self, now):
        """Return the parts that are to be convicted."""
        return {weight.part for weight in self.weigh(now) if not weight.obstacle}

    def probability(self, name, now):
        """Return the probability that a part is a cause."""
        return {w.part: w.probability for w in self.weigh(now)}.get(part(name), 0.0)
