"""Command line of ``cowslip-entry``, the daemon of an entry VM."""

import asyncio
import os
import signal
import sys
from typing import ClassVar

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument

from cowslipcourse import __version__
from cowslipcourse.adapters.log import get_logger, set_up_queued_logging
from cowslipcourse.entry.daemon import EntryDaemon
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import CowslipError, SettingsError
from cowslipcourse.platform import SETTINGS_VARIABLE
from cowslipcourse.settings_file import load_settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_USAGE = 2

log = get_logger(__name__)


async def _run(settings, path):
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    entry = EntryDaemon(settings, path)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: entry.settings_watcher.reload("SIGHUP")
    )
    await entry.run(stopping)


def _load_settings(command):
    """Return the settings and path named by a command, or ``None`` if invalid."""
    path = command.argument("settings") or os.environ.get(SETTINGS_VARIABLE)
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
        settings, path = loaded
        log_listener = set_up_queued_logging(settings.log)
        exit_code = 0
        try:
            asyncio.run(_run(settings, path))
        except CowslipError as error:
            log.warning("daemon-failed", code=error.code, detail=error.detail)
            exit_code = EXIT_FAILED
        finally:
            log_listener.stop()
        sys.stdout.flush()
        # Interpreter shutdown would take tenths of a second of the remaining grace
        # period on a busy VM, and no state is left to save.
        os._exit(exit_code)


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


def main():
    """Run the command line."""
    application = Application("cowslip-entry", __version__)
    application.add(RunCommand())
    application.add(CheckCommand())
    sys.exit(application.run())
