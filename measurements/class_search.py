"""Search drawn days in the emulator for classes that fall under a floor.

Each seed draws a day of losses, dark domains, restarts and bursts, which overlap at
random moments, and plays it on the site of an experiment. Days are ranked by what the
worst class earns of its worth. With ``--as-written`` the experiment's own faults are
played instead, with other luck.

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

__all__ = ["DayResult", "drawn_faults", "main", "play_day"]

FLOOR = 0.42
"""Highest floor that users set for a class on days like these."""
SHOWN = 8
LOSS_EVERY_S = 3.4
"""Interval at which an engine is lost for good on the users' days."""
DARK_DAYS = (1, 1, 2, 2, 3)
"""Numbers of times that domains go dark in a day, each as likely as the next."""


class DayResult(NamedTuple):
    """One day.

    :param seed: of its faults and its luck.
    :param worst: share of its worth that the worst class earned.
    :param kinds: that share by class.
    :param credit: the same of the whole day.
    :param violations: what the oracle of the groups saw.
    :param faults: what was played, as texts.
    """

    seed: int
    worst: float
    kinds: dict[str, float]
    credit: float
    violations: int
    faults: tuple[str, ...]


def drawn_faults(seed, settings):
    """Return the :class:`~cowslipcourse.emulator.site_file.FaultSettings` of a day.

    :param seed: of the day.
    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    """
    luck = random.Random(f"day-{seed}")
    last_s = settings.seconds - 4.0
    models = ["", *(model.name for model in settings.site.models)]
    faults = [
        FaultSettings(
            kind="domain",
            at_s=luck.uniform(2.0, last_s * 0.6),
            for_s=luck.uniform(6.0, 20.0),
            count=luck.choice((1, 1, 2)),
            model=luck.choice(models),
        )
        for _ in range(luck.choice(DARK_DAYS))
    ]
    faults.append(
        FaultSettings(kind="lose", at_s=2.0, every_s=LOSS_EVERY_S, until_s=last_s)
    )
    for kind in luck.sample(("end", "restart", "add", "burst"), 2):
        faults.append(
            FaultSettings(
                kind=kind,
                at_s=luck.uniform(2.0, last_s),
                for_s=luck.uniform(3.0, 6.0),
                count=luck.randint(1, 4),
                factor=luck.uniform(1.3, 1.8),
            )
        )
    return tuple(faults)


def play_day(path, is_drawn, seed):
    """Play a day and return its :class:`DayResult`.

    :param path: file of an experiment.
    :param is_drawn: whether the day's faults are drawn, too.
    """
    logging.disable(logging.CRITICAL)
    settings = load_settings(path, ExperimentSettings)
    if is_drawn:
        faults = drawn_faults(seed, settings)
        settings = settings.model_copy(update={"faults": faults})
    (run,) = run_experiment(settings, ("as-is",), (seed,))
    return DayResult(
        seed,
        min(run["kinds"].values()),
        run["kinds"],
        run["credit"],
        run["violations"],
        tuple(_text(fault) for fault in settings.faults),
    )


def _text(fault):
    """Return a fault as one word for each thing that differs from the defaults."""
    pairs = fault.model_dump(exclude_defaults=True).items()
    return " ".join(
        f"{key}={round(value, 1) if isinstance(value, float) else value}"
        for key, value in pairs
    )


def main(arguments):
    """Search and print; the exit code is 1 if a class fell under the floor."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("experiment")
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--as-written", action="store_true")
    parser.add_argument("--floor", type=float, default=FLOOR)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args(arguments)
    play = partial(play_day, options.experiment, not options.as_written)
    with ProcessPoolExecutor(options.jobs) as pool:
        days = list(pool.map(play, range(options.first, options.last + 1)))
    _report(days, options.floor)
    return 1 if any(day.worst < options.floor for day in days) else 0


def _report(days, floor):
    ranked = sorted(days, key=lambda day: day.worst)
    for day in ranked[:SHOWN]:
        kinds = ", ".join(f"{kind} {c:.3f}" for kind, c in sorted(day.kinds.items()))
        print(f"seed {day.seed}: {kinds}; {'; '.join(day.faults)}")
    for kind in sorted(days[0].kinds):
        earned = [day.kinds[kind] for day in days]
        print(f"{kind}: least {min(earned):.3f}, mean {statistics.fmean(earned):.3f}")
    credit = statistics.fmean(day.credit for day in days)
    under = [day.seed for day in ranked if day.worst < floor]
    broken = sum(day.violations for day in days)
    print(f"{len(days)} days, credit {credit:.4f}, violations {broken}")
    print(f"under {floor}: {len(under)} days: {under}")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
