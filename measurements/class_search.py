"""Search random fault schedules for request classes whose credit is below a floor.

For each seed, a day of engine losses, domain outages, restarts and bursts that overlap
at random times is simulated on the site of an experiment. Days are ranked by the lowest
credit of a class, as a fraction of the possible credit. With ``--as-written``, the
experiment's own faults are simulated instead, with other seeds.

Run: ``.venv/bin/python -m measurements.class_search EXPERIMENT FIRST LAST``
"""

import argparse
import logging
import random
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from cowslipcourse.emulator.main import run_experiment
from cowslipcourse.emulator.site_file import ExperimentSettings, FaultSettings
from cowslipcourse.settings_file import load_settings

__all__ = ["DayResult", "draw_faults", "main", "simulate_day"]

DEFAULT_MIN_CREDIT = 0.42
"""Highest minimum credit that users set for a class on such days."""
PRINTED_DAY_COUNT = 8
ENGINE_LOSS_INTERVAL_S = 3.4
"""Interval at which an engine is lost permanently on the users' days."""
OUTAGE_COUNTS = (1, 1, 2, 2, 3)
"""Numbers of domain outages in a day, drawn with equal probability."""


class DayResult(NamedTuple):
    """Result of one simulated day.

    :param seed: seed of its faults and of the simulation.
    :param min_credit: lowest credit of a class, as a fraction of the possible credit.
    :param credit_by_class: credit fraction by class.
    :param credit: credit fraction of all requests.
    :param violations: number of violations that the oracle of groups found.
    :param faults: descriptions of the faults.
    """

    seed: int
    min_credit: float
    credit_by_class: dict[str, float]
    credit: float
    violations: int
    faults: tuple[str, ...]


def draw_faults(seed, settings):
    """Return the :class:`~cowslipcourse.emulator.site_file.FaultSettings` of a day.

    :param seed: seed of the day.
    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    """
    rng = random.Random(f"day-{seed}")
    last_fault_s = settings.seconds - 4.0
    models = ["", *(model.name for model in settings.site.models)]
    faults = [
        FaultSettings(
            kind="domain",
            at_s=rng.uniform(2.0, last_fault_s * 0.6),
            for_s=rng.uniform(6.0, 20.0),
            count=rng.choice((1, 1, 2)),
            model=rng.choice(models),
        )
        for _ in range(rng.choice(OUTAGE_COUNTS))
    ]
    faults.append(
        FaultSettings(
            kind="lose", at_s=2.0, every_s=ENGINE_LOSS_INTERVAL_S, until_s=last_fault_s
        )
    )
    for kind in rng.sample(("end", "restart", "add", "burst"), 2):
        faults.append(
            FaultSettings(
                kind=kind,
                at_s=rng.uniform(2.0, last_fault_s),
                for_s=rng.uniform(3.0, 6.0),
                count=rng.randint(1, 4),
                factor=rng.uniform(1.3, 1.8),
            )
        )
    return tuple(faults)


def simulate_day(path, draws_faults, seed):
    """Simulate a day and return its :class:`DayResult`.

    :param path: path of the experiment file.
    :param draws_faults: whether faults are drawn instead of the experiment's.
    :param seed: seed of the day.
    """
    logging.disable(logging.CRITICAL)
    settings = load_settings(path, ExperimentSettings)
    if draws_faults:
        faults = draw_faults(seed, settings)
        settings = settings.model_copy(update={"faults": faults})
    (run,) = run_experiment(settings, ("as-is",), (seed,))
    return DayResult(
        seed,
        min(run["kinds"].values()),
        run["kinds"],
        run["credit"],
        run["violations"],
        tuple(_describe_fault(fault) for fault in settings.faults),
    )


def _describe_fault(fault):
    """Return the fields of a fault that differ from their defaults, as text."""
    field_values = fault.model_dump(exclude_defaults=True).items()
    return " ".join(
        f"{key}={round(value, 1) if isinstance(value, float) else value}"
        for key, value in field_values
    )


def main(arguments):
    """Print the search results; return 1 if a class was below the floor, else 0."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("experiment")
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--as-written", action="store_true")
    parser.add_argument("--floor", type=float, default=DEFAULT_MIN_CREDIT)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args(arguments)
    simulate = partial(simulate_day, options.experiment, not options.as_written)
    with ProcessPoolExecutor(options.jobs) as pool:
        days = list(pool.map(simulate, range(options.first, options.last + 1)))
    _print_report(days, options.floor)
    return 1 if any(day.min_credit < options.floor for day in days) else 0


def _print_report(days, floor):
    ranked_days = sorted(days, key=lambda day: day.min_credit)
    for day in ranked_days[:PRINTED_DAY_COUNT]:
        credits_text = ", ".join(
            f"{class_name} {class_credit:.3f}"
            for class_name, class_credit in sorted(day.credit_by_class.items())
        )
        print(f"seed {day.seed}: {credits_text}; {'; '.join(day.faults)}")
    for class_name in sorted(days[0].credit_by_class):
        class_credits = [day.credit_by_class[class_name] for day in days]
        print(
            f"{class_name}: min {min(class_credits):.3f}, "
            f"mean {statistics.fmean(class_credits):.3f}"
        )
    credit = statistics.fmean(day.credit for day in days)
    seeds_below_floor = [day.seed for day in ranked_days if day.min_credit < floor]
    violation_count = sum(day.violations for day in days)
    print(f"{len(days)} days, credit {credit:.4f}, violations {violation_count}")
    print(f"below {floor}: {len(seeds_below_floor)} days, seeds {seeds_below_floor}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
