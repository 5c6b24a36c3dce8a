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
from cowslipcourse.emulator.ablations import active_policy
from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.emulator.report import RunFigures, compare, format_table, run_figures
from cowslipcourse.emulator.site import simulate
from cowslipcourse.emulator.site_file import ExperimentSettings
from cowslipcourse.exceptions import CowslipError, Problem, SettingsError
from cowslipcourse.settings_file import load_settings

__all__ = ["main", "run_experiment"]

EXIT_USAGE = 2
SHOWN_FIGURES = ("credit", "nines", "worst_windows", "worst_kind", "on_time", "failed")


def run_experiment(settings, policies=None, seeds=None):
    """Yield the :class:`~cowslipcourse.emulator.report.RunFigures` of each run.

    :param settings: :class:`~cowslipcourse.emulator.site_file.ExperimentSettings`
    :param policies: names of policies, in place of those in the settings.
    :param seeds: iterable of seeds, in place of those in the settings.
    """
    for policy in policies or settings.policies:
        for seed in seeds if seeds is not None else range(settings.seeds):
            with active_policy(policy):
                result = run_in_virtual_time(simulate(settings, seed))
            yield run_figures(settings, policy, seed, result)


def _read_runs(path):
    """Return the runs in a results file.

    :raises SettingsError: the file has no runs, or a line cannot be read.
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
    """Prints errors and turns them into exit codes."""

    def handle(self):
        """Run the command and return its exit code."""
        try:
            return self.run_command()
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

    def run_command(self):
        """Run the experiment and print a table."""
        settings = load_settings(self.argument("file"), ExperimentSettings)
        policy_override = self.option("policy")
        for policy in (policy_override,) if policy_override else settings.policies:
            active_policy(policy)
        runs = []
        for run in run_experiment(
            settings, (policy_override,) if policy_override else None
        ):
            runs.append(run)
            self.line(f"{run['policy']} {run['seed']}: credit {run['credit']:.4f}")
        if self.option("output"):
            lines = b"\n".join(msgspec.json.encode(run) for run in runs)
            Path(self.option("output")).write_bytes(lines + b"\n")
        for line in format_table(runs, SHOWN_FIGURES):
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

    def run_command(self):
        """Print the differences for each policy that both files have."""
        first = _read_runs(self.argument("first"))
        second = _read_runs(self.argument("second"))
        common_policies = [
            policy for policy in _policies(first) if policy in _policies(second)
        ]
        pairs = [(policy, policy) for policy in common_policies] or [
            (_policies(first)[0], _policies(second)[0])
        ]
        for first_policy, second_policy in pairs:
            self.line(f"{first_policy} -> {second_policy}")
            first_runs = [run for run in first if run["policy"] == first_policy]
            second_runs = [run for run in second if run["policy"] == second_policy]
            for difference in compare(first_runs, second_runs, SHOWN_FIGURES):
                self.line(
                    f"  {difference.figure:14} {difference.mean:+.4f}"
                    f" [{difference.low:+.4f}, {difference.high:+.4f}]"
                    f" over {difference.pairs} pairs"
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
