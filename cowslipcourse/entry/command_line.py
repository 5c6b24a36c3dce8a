"""Command line of ``cowslip-entry``: checks, help and messages about wrong use."""

import sys
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from cowslipcourse import __version__
from cowslipcourse.entry.process import run_daemon
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import SettingsError
from cowslipcourse.platform import SETTINGS_VARIABLE, settings_path
from cowslipcourse.settings_file import load_settings

__all__ = ["run_command_line"]

EXIT_USAGE = 2


def _load_settings(command):
    """Return the settings and path named by a command, or ``None`` if invalid."""
    path = command.argument("settings") or settings_path()
    if not path:
        command.line_error(f"Name a settings file or set {SETTINGS_VARIABLE}.")
        return None
    try:
        return load_settings(path, EntrySettings), path
    except SettingsError as error:
        for problem in error.problems:
            command.line_error(str(problem))
        return None


_SETTINGS_ARGUMENT = argument(
    "settings",
    f"Settings file (TOML); by default the one that {SETTINGS_VARIABLE} names.",
    optional=True,
)


class RunCommand(Command):
    """``cowslip-entry run``: run the daemon of one entry VM."""

    name = "run"
    description = "Serve callers and take part in control on one entry VM."
    arguments: ClassVar = [_SETTINGS_ARGUMENT]

    def handle(self):
        """Run until SIGTERM; exit with a non-zero code on failure."""
        loaded = _load_settings(self)
        if loaded is None:
            return EXIT_USAGE
        run_daemon(*loaded)
        return 0


class CheckCommand(Command):
    """``cowslip-entry check``: check a settings file."""

    name = "check"
    description = "Check a settings file and report its errors."
    arguments: ClassVar = [_SETTINGS_ARGUMENT]

    def handle(self):
        """Check the settings file; return 0 if it is valid."""
        if _load_settings(self) is None:
            return EXIT_USAGE
        self.line("The settings are valid.")
        return 0


def run_command_line():
    """Run the command that the arguments of the process name."""
    application = Application("cowslip-entry", __version__)
    application.add(RunCommand())
    application.add(CheckCommand())
    sys.exit(application.run())
