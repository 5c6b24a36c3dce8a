"""An exit of a target as all daemons together have seen it."""

from collections import Counter
from typing import NamedTuple

from cowslipcourse.quarantine.exit_reports import ExitRun, Stage, StoredExit, StoredPart

__all__ = ["CAUSE_STAGES", "ObservedExit"]

CAUSE_STAGES = (Stage.BEGUN, Stage.FIRST, Stage.WRITING)
"""Stages at which targets may always exit. One that exits before its head has sent
nothing by which requests in its queue could be told apart."""
MAX_RUNS = 64
MIN_RATIO = 0.1
MAX_RATIO = 30.0
"""Bounds of the evidence of one exit: shares are estimates, and reports may be lost."""
SETTLED_S = 8.0
"""Age from which on no daemon sends a report of an exit again."""


class _Run(NamedTuple):
    parts: tuple
    stage: Stage
    is_retry: bool


class _Sums:
    """Requests in flight at all daemons that have reported an exit.

    They are summed up by the stage that they had reached or passed; with ``None``, all
    of them are.
    """

    def __init__(self, reports):
        self.run_count = sum(report.run_count for report in reports)
        self.in_flight = Counter()
        self.with_part = Counter()
        for report in reports:
            self.in_flight.update(_reached(report.in_flight))
            for count in report.parts:
                for stage, number in _reached(count.in_flight).items():
                    self.with_part[count.part, stage] += number


def _reached(counts):
    """Return the number of requests that had reached each stage, or ``None`` for any.

    :param counts: numbers of requests by stage.
    """
    reached = {stage: sum(counts[stage:]) for stage in CAUSE_STAGES}
    return {None: sum(counts), **reached}


class ObservedExit:
    """A target that exited, and the requests that were in flight there.

    :param key: id and incarnation of the target.
    :param at: loop time.
    """

    def __init__(self, key, at):
        self.key = key
        self.at = at
        self.runs = {}
        """The requests there, each with ``parts``, ``stage`` and ``is_retry``."""
        self._requests_by_part = {}
        self._reports = {}
        self._stored_ratios = {}
        self._settled_ratios = None

    @property
    def is_stored(self):
        """Whether it is only known from the store."""
        return not self._reports

    @property
    def parts(self):
        """The parts that were in flight, a set-like view."""
        return self._requests_by_part.keys()

    @property
    def parts_by_retry(self):
        """The parts of each request there that was a retry, by request."""
        return {
            request: run.parts for request, run in self.runs.items() if run.is_retry
        }

    def requests_with(self, part):
        """Return the set of the requests there with a part."""
        return self._requests_by_part.get(part, frozenset())

    def add_report(self, report, at):
        """Add what a daemon reports.

        :param report: :class:`~cowslipcourse.quarantine.ExitReport`
        :param at: loop time of the exit by this report.
        """
        self.at = min(self.at, at)
        self._reports[report.reporter] = report
        self._settled_ratios = None
        self._add_runs(report)

    def add_stored(self, stored):
        """Add what was stored.

        :param stored: :class:`~cowslipcourse.quarantine.StoredExit`
        """
        self._stored_ratios |= {
            (each.part, each.stage): each.ratio for each in stored.parts
        }
        self._add_runs(stored)

    def _add_runs(self, source):
        for request, stage, places, is_retry in source.runs:
            if len(self.runs) < MAX_RUNS or request in self.runs:
                # Places that the list does not have are left out.
                parts = tuple(
                    source.parts[place].part
                    for place in places
                    if place < len(source.parts)
                )
                self.runs[request] = _Run(parts, stage, is_retry)
                for part in parts:
                    self._requests_by_part.setdefault(part, set()).add(request)

    def ratios(self, share_of, daemon_count, now):
        """Return how much more common each part is here than among all in flight.

        A part that ends targets at a stage of an answer is in no request that has
        passed that stage. So requests here that are at the stage are compared with all
        that have reached it.

        :param share_of: callable that returns the share of a part of the requests in
            flight at daemons that have not reported.
        :param daemon_count: number of daemons; those that have not reported are taken
            to have as many requests in flight as the others.
        :param now: loop time.
        :returns: dictionary by pair of part and one of :data:`CAUSE_STAGES`, or
            ``None`` for any stage.
        """
        if self.is_stored:
            return self._stored_ratios
        if self._settled_ratios is not None:
            return self._settled_ratios
        ratios = self._reported_ratios(share_of, daemon_count)
        if now - self.at >= SETTLED_S:
            self._settled_ratios = ratios
        return ratios

    def _reported_ratios(self, share_of, daemon_count):
        sums = _Sums(self._reports.values())
        silent_count = max(0, daemon_count - len(self._reports))
        silent_fraction = silent_count / len(self._reports)
        in_flight = sums.in_flight[None] * (1 + silent_fraction)
        ratios = {}
        for (part, stage), here in self._counts().items():
            reported = max(sums.with_part[part, stage], here)
            unreported = sums.in_flight[stage] * silent_fraction * share_of(part)
            share_here = here / max(sums.run_count, len(self.runs))
            share = (reported + unreported) / max(in_flight, reported + unreported)
            ratios[part, stage] = min(max(share_here / share, MIN_RATIO), MAX_RATIO)
        return ratios

    def _counts(self):
        """Return the numbers of requests here by pair of part and stage or ``None``."""
        counts = Counter()
        for run in self.runs.values():
            for part in set(run.parts):
                counts[part, None] += 1
                if run.stage in CAUSE_STAGES:
                    counts[part, run.stage] += 1
        return counts

    def to_store(self, parts, share_of, daemon_count, now):
        """Return what is to be stored of some parts.

        :param parts: fingerprints of suspected parts.
        :param share_of: see :meth:`ratios`.
        :param daemon_count: see :meth:`ratios`.
        :param now: loop time.
        :returns: :class:`~cowslipcourse.quarantine.StoredExit`
        """
        ratios = self.ratios(share_of, daemon_count, now)
        stored_parts = [
            StoredPart(part, stage, ratio)
            for (part, stage), ratio in ratios.items()
            if part in parts
        ]
        places = {each.part: place for place, each in enumerate(stored_parts)}
        runs = [
            ExitRun(
                request,
                run.stage,
                tuple(places[part] for part in run.parts if part in places),
                run.is_retry,
            )
            for request, run in self.runs.items()
            if not parts.isdisjoint(run.parts)
        ]
        age_s = max(0.0, now - self.at)
        return StoredExit(*self.key, age_s, tuple(stored_parts), tuple(runs))
