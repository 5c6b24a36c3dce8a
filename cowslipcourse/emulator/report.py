"""Figures of runs, and paired differences between policies."""

import math
import random
import statistics
from collections import Counter
from typing import NamedTuple, NotRequired, TypedDict

from cowslipcourse.emulator.callers import Outcome

__all__ = ["Difference", "RunFigures", "compare", "format_table", "run_figures"]

WINDOW_S = 2.0
WORST_WINDOW_COUNT = 2
MIN_UNSERVED_FRACTION = 0.001
"""Fraction of unserved requests at which the nines reach their maximum."""
MAX_NINES = 1.0
BOOTSTRAP_RESAMPLES = 2000
CONFIDENCE_LEVEL = 0.95


class RunFigures(TypedDict):
    """Figures of one run; one line of the results file."""

    experiment: str
    policy: str
    seed: int
    requests: int
    on_time: float
    late: float
    refused: float
    failed: float
    credit: float
    worst_windows: float
    worst_kind: float
    nines: float
    idle_engine_s: float
    open_groups: dict[str, float]
    violations: int
    kinds: NotRequired[dict[str, float]]
    first_groups: NotRequired[dict[str, int]]


class Difference(NamedTuple):
    """A paired difference between two policies.

    :param figure: name of the figure.
    :param pairs: number of seeds that both policies have.
    :param mean: mean of the second minus the first.
    :param low: lower bound of the 95% confidence interval of the mean.
    :param high: upper bound of the interval.
    """

    figure: str
    pairs: int
    mean: float
    low: float
    high: float


def run_figures(settings, policy, seed, result):
    """Return the :class:`RunFigures` of a run.

    :param result: :class:`~cowslipcourse.emulator.site.SiteResult`
    """
    kinds = {kind.name: kind for kind in settings.site.kinds}
    records = result.records
    outcomes = Counter(record.outcome for record in records)
    record_count = max(1, len(records))
    unserved_fraction = (
        outcomes[Outcome.REFUSED] + outcomes[Outcome.FAILED]
    ) / record_count
    by_window, by_kind = {}, {}
    for record in records:
        by_window.setdefault(int(record.at_s / WINDOW_S), []).append(record)
        by_kind.setdefault(record.kind, []).append(record)
    windows = sorted(
        _credit(kinds, group_records) for group_records in by_window.values()
    )
    return RunFigures(
        experiment=settings.name,
        policy=policy,
        seed=seed,
        requests=len(records),
        on_time=outcomes[Outcome.ON_TIME] / record_count,
        late=outcomes[Outcome.LATE] / record_count,
        refused=outcomes[Outcome.REFUSED] / record_count,
        failed=outcomes[Outcome.FAILED] / record_count,
        credit=_credit(kinds, records),
        worst_windows=statistics.fmean(windows[:WORST_WINDOW_COUNT] or [0.0]),
        worst_kind=min(
            (_credit(kinds, kind_records) for kind_records in by_kind.values()),
            default=0.0,
        ),
        nines=_nines(unserved_fraction),
        idle_engine_s=result.idle_engine_s,
        open_groups=result.open_groups,
        violations=len(result.violations),
        first_groups=result.first_groups,
        kinds={
            kind: _credit(kinds, group_records)
            for kind, group_records in by_kind.items()
        },
    )


def _credit(kinds, records):
    """Return the earned fraction of the possible credit."""
    possible_credit = sum(kinds[record.kind].worth for record in records)
    earned_credit = sum(
        _earned_credit(kinds[record.kind], record) for record in records
    )
    return earned_credit / possible_credit if possible_credit else 1.0


def _earned_credit(kind, record):
    if record.outcome == Outcome.ON_TIME:
        return kind.worth
    return kind.late_worth if record.outcome == Outcome.LATE else 0.0


def _nines(unserved_fraction):
    if unserved_fraction <= 0:
        return MAX_NINES
    return min(
        MAX_NINES, math.log10(unserved_fraction) / math.log10(MIN_UNSERVED_FRACTION)
    )


def compare(first, second, names):
    """Return the :class:`Difference` of each figure, over the seeds that both have.

    The confidence interval is a bootstrap of the paired differences.

    :param first: list of :class:`RunFigures` of one policy.
    :param second: list of :class:`RunFigures` of another policy.
    :param names: names of figures.
    """
    by_seed = {run["seed"]: run for run in first}
    pairs = [(by_seed[r["seed"]], r) for r in second if r["seed"] in by_seed]
    return [_difference(name, pairs) for name in names] if pairs else []


def _difference(name, pairs):
    values = [after[name] - before[name] for before, after in pairs]
    rng = random.Random(len(values))
    means = sorted(
        statistics.fmean(rng.choices(values, k=len(values)))
        for _ in range(BOOTSTRAP_RESAMPLES)
    )
    tail = (1 - CONFIDENCE_LEVEL) / 2
    low, high = (
        means[int(tail * BOOTSTRAP_RESAMPLES)],
        means[int((1 - tail) * BOOTSTRAP_RESAMPLES) - 1],
    )
    return Difference(name, len(values), statistics.fmean(values), low, high)


def format_table(runs, names):
    """Return the lines of a table with the mean of each figure by policy.

    :param runs: list of :class:`RunFigures`
    :param names: names of figures.
    """
    policies = list(dict.fromkeys(run["policy"] for run in runs))
    width = max(len(policy) for policy in policies)
    lines = [" ".join(["policy".ljust(width), *(name.rjust(13) for name in names)])]
    for policy in policies:
        policy_runs = [run for run in runs if run["policy"] == policy]
        means = [statistics.fmean(run[name] for run in policy_runs) for name in names]
        cells = [f"{mean:13.4f}" for mean in means]
        lines.append(" ".join([policy.ljust(width), *cells]))
    return lines
