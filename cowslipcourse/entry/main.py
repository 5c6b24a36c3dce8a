"""Start of ``cowslip-entry``: the daemon at once, all other commands by ``cleo``."""

import importlib
import sys

from cowslipcourse.entry.process import run_daemon
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import SettingsError
from cowslipcourse.platform import settings_path
from cowslipcourse.settings_file import load_settings

__all__ = ["main"]


def main():
    """Run the daemon, or the command that the arguments name."""
    path = _path_to_run(sys.argv[1:])
    if path:
        try:
            settings = load_settings(path, EntrySettings)
        except SettingsError:
            # The command line reads them again and reports what is wrong.
            pass
        else:
            run_daemon(settings, path)
    _run_command_line()


def _path_to_run(arguments):
    """Return the settings file of a plain ``run [FILE]``, or ``None``."""
    if arguments == ["run"]:
        return settings_path()
    match arguments:
        case ["run", path] if not path.startswith("-"):
            return path
    return None


def _run_command_line():
    # Importing it takes time that a daemon does not have before it serves.
    module = importlib.import_module("cowslipcourse.entry.command_line")
    module.run_command_line()
