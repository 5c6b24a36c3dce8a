"""Program ``cowslip-experiment``: run experiments in virtual time and compare them."""

import logging
import sys
from pathlib import Path
from typing import ClassVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from cowslipcourse import __version__
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.policies import active_policy
from cowslipcourse.emulator.report import RunFigures, compare, figures, table
from cowslipcourse.emulator.site import simulate
from cowslipcourse.emulator.site_file import ExperimentSettings
from cowslipcourse.exceptions import CowslipError, Problem, SettingsError
from cowslipcourse.settings_file import load_settings

__all__ = ["main", "run_experiment"]

EXIT_USAGE = 2
SHOWN = ("credit", "nines", "worst_windows", "worst_kind", "on_time", "failed")


def run_experiment(settings, policies=None, seeds=None):
    """Yield the :class:`~cowslipcourse.emulator.report.RunFigures` of each run.

    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    :param policies: names, in place of the file's.
    :param seeds: iterable of seeds, in place of the file's number.
    """
    for policy in policies or settings.policies:
        for seed in seeds if seeds is not None else range(settings.seeds):
            with active_policy(policy):
                result = run_in_virtual_time(simulate(settings, seed))
            yield figures(settings, policy, seed, result)


def _read_runs(path):
    """Return the runs in a file of results.

    :raises SettingsError: it has none, or a line cannot be read.
    """
    try:
        lines = Path(path).read_bytes().splitlines()
        runs = [msgspec.json.decode(line, type=RunFigures) for line in lines]
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([Problem(str(path), str(error))]) from error
    if not runs:
        raise SettingsError([Problem(str(path), "no runs")])
    return runs


class _ExperimentCommand(Command):
    """Turns failures into lines and exit codes."""

    def handle(self):
        """Do the command's work."""
        try:
            return self.work()
        except CowslipError as error:
            self.line_error(str(error))
            return EXIT_USAGE


class RunCommand(_ExperimentCommand):
    """``cowslip-experiment run FILE``: run each policy of an experiment."""

    name = "run"
    description = "Run the policies of an experiment over its seeds, in virtual time."
    arguments: ClassVar = [argument("file", "Experiment (TOML).")]
    options: ClassVar = [
        option("output", "o", "File for a JSON line a run.", flag=False),
        option("policy", None, "Policy in place of the file's.", flag=False),
    ]

    def work(self):
        """Run and print a table."""
        settings = load_settings(self.argument("file"), ExperimentSettings)
        chosen = self.option("policy")
        for policy in (chosen,) if chosen else settings.policies:
            active_policy(policy)
        runs = []
        for run in run_experiment(settings, (chosen,) if chosen else None):
            runs.append(run)
            self.line(f"{run['policy']} {run['seed']}: credit {run['credit']:.4f}")
        if self.option("output"):
            lines = b"\n".join(msgspec.json.encode(run) for run in runs)
            Path(self.option("output")).write_bytes(lines + b"\n")
        for line in table(runs, SHOWN):
            self.line(line)
        return 0


class CompareCommand(_ExperimentCommand):
    """``cowslip-experiment compare A B``: paired differences of two results."""

    name = "compare"
    description = "Compare two files of results, seed by seed: second minus first."
    arguments: ClassVar = [
        argument("first", "Results, of one policy or of several."),
        argument("second", "Results to compare with."),
    ]

    def work(self):
        """Print the differences of each policy that both files have."""
        first = _read_runs(self.argument("first"))
        second = _read_runs(self.argument("second"))
        both = [p for p in _policies(first) if p in _policies(second)]
        pairs = [(p, p) for p in both] or [(_policies(first)[0], _policies(second)[0])]
        for before, after in pairs:
            self.line(f"{before} -> {after}")
            old = [run for run in first if run["policy"] == before]
            new = [run for run in second if run["policy"] == after]
            for found in compare(old, new, SHOWN):
                self.line(
                    f"  {found.figure:14} {found.mean:+.4f}"
                    f" [{found.low:+.4f}, {found.high:+.4f}] over {found.pairs} pairs"
                )
        return 0


def _policies(runs):
    return list(dict.fromkeys(run["policy"] for run in runs))


def main():
    """Run the command line."""
    logging.disable(logging.CRITICAL)
    application = Application("cowslip-experiment", __version__)
    application.add(RunCommand())
    application.add(CompareCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
