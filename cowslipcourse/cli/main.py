"""Entry point of the program ``cowslip``."""

import sys

from cleo.application import Application

from cowslipcourse import __version__
from cowslipcourse.cli.edit_commands import (
    ApplyCommand,
    DeleteCommand,
    DrainCommand,
    LabelCommand,
    PlanCommand,
    RollbackCommand,
    UndrainCommand,
    UnlabelCommand,
)
from cowslipcourse.cli.read_commands import (
    AuditCommand,
    CheckSettingsCommand,
    GetCommand,
    StatusCommand,
)

__all__ = ["main"]

COMMANDS = (
    ApplyCommand,
    AuditCommand,
    CheckSettingsCommand,
    DeleteCommand,
    DrainCommand,
    GetCommand,
    LabelCommand,
    PlanCommand,
    RollbackCommand,
    StatusCommand,
    UndrainCommand,
    UnlabelCommand,
)


def main():
    """Run the command line."""
    application = Application("cowslip", __version__)
    for command in COMMANDS:
        application.add(command())
    sys.exit(application.run())
