"""Figures of runs, and paired differences between policies."""

import math
import random
import statistics
from collections import Counter
from typing import NamedTuple, NotRequired, TypedDict

from cowslipcourse.emulator.callers import Outcome

__all__ = ["Difference", "RunFigures", "compare", "figures", "table"]

WINDOW_S = 2.0
WORST_WINDOWS = 2
BEST_UNSERVED = 0.001
"""Share of unserved requests that counts as full nines."""
MOST_NINES = 1.0
RESAMPLES = 2000
INTERVAL = 0.95


class RunFigures(TypedDict):
    """Figures of one run, as a line of the results."""

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
    :param pairs: number of seeds that both have.
    :param mean: mean of second minus first.
    :param low: lower end of the interval in which the mean lies by 95%.
    :param high: upper end.
    """

    figure: str
    pairs: int
    mean: float
    low: float
    high: float


def figures(settings, policy, seed, result):
    """Return the :class:`RunFigures` of a run.

    :param result: :class:`~cowslipcourse.emulator.site.SiteResult`
    """
    kinds = {kind.name: kind for kind in settings.site.kinds}
    records = result.records
    outcomes = Counter(record.outcome for record in records)
    number = max(1, len(records))
    unserved = (outcomes[Outcome.REFUSED] + outcomes[Outcome.FAILED]) / number
    by_window, by_kind = {}, {}
    for record in records:
        by_window.setdefault(int(record.at_s / WINDOW_S), []).append(record)
        by_kind.setdefault(record.kind, []).append(record)
    windows = sorted(_credit(kinds, found) for found in by_window.values())
    return RunFigures(
        experiment=settings.name,
        policy=policy,
        seed=seed,
        requests=len(records),
        on_time=outcomes[Outcome.ON_TIME] / number,
        late=outcomes[Outcome.LATE] / number,
        refused=outcomes[Outcome.REFUSED] / number,
        failed=outcomes[Outcome.FAILED] / number,
        credit=_credit(kinds, records),
        worst_windows=statistics.fmean(windows[:WORST_WINDOWS] or [0.0]),
        worst_kind=min((_credit(kinds, f) for f in by_kind.values()), default=0.0),
        nines=_nines(unserved),
        idle_engine_s=result.idle_engine_s,
        open_groups=result.open_groups,
        violations=len(result.violations),
        first_groups=result.first_groups,
        kinds={kind: _credit(kinds, found) for kind, found in by_kind.items()},
    )


def _credit(kinds, records):
    """Return the share of the worth that was earned."""
    owed = sum(kinds[record.kind].worth for record in records)
    earned = sum(_earned(kinds[record.kind], record) for record in records)
    return earned / owed if owed else 1.0


def _earned(kind, record):
    if record.outcome == Outcome.ON_TIME:
        return kind.worth
    return kind.late_worth if record.outcome == Outcome.LATE else 0.0


def _nines(unserved):
    if unserved <= 0:
        return MOST_NINES
    return min(MOST_NINES, math.log10(unserved) / math.log10(BEST_UNSERVED))


def compare(first, second, names):
    """Return the :class:`Difference` of each figure, over the seeds that both have.

    The interval is a bootstrap of the paired differences.

    :param first: list of :class:`RunFigures` of one policy.
    :param second: the same of another one.
    :param names: names of figures.
    """
    by_seed = {run["seed"]: run for run in first}
    pairs = [(by_seed[r["seed"]], r) for r in second if r["seed"] in by_seed]
    return [_difference(name, pairs) for name in names] if pairs else []


def _difference(name, pairs):
    values = [after[name] - before[name] for before, after in pairs]
    rng = random.Random(len(values))
    means = sorted(
        statistics.fmean(rng.choices(values, k=len(values))) for _ in range(RESAMPLES)
    )
    tail = (1 - INTERVAL) / 2
    low, high = means[int(tail * RESAMPLES)], means[int((1 - tail) * RESAMPLES) - 1]
    return Difference(name, len(values), statistics.fmean(values), low, high)


def table(runs, names):
    """Return lines with the mean of each figure by policy.

    :param runs: list of :class:`RunFigures`
    :param names: names of figures.
    """
    policies = list(dict.fromkeys(run["policy"] for run in runs))
    width = max(len(policy) for policy in policies)
    lines = [" ".join(["policy".ljust(width), *(name.rjust(13) for name in names)])]
    for policy in policies:
        own = [run for run in runs if run["policy"] == policy]
        means = [statistics.fmean(run[name] for run in own) for name in names]
        cells = [f"{mean:13.4f}" for mean in means]
        lines.append(" ".join([policy.ljust(width), *cells]))
    return lines
