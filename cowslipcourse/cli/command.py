"""Base class of the commands, exit codes and output of plans."""

from enum import IntEnum

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from cowslipcourse.cli.client import (
    ApiError,
    ControllersUnreachable,
    client_from_options,
)
from cowslipcourse.exceptions import ConfigurationError, CowslipError, SettingsError

__all__ = ["ExitCode", "OperatorCommand", "print_plan"]


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFIRMATION_REQUIRED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_YET_IN_FORCE = 6


_EXIT_CODES_BY_ERROR_CODE = {
    "confirmation-required": ExitCode.CONFIRMATION_REQUIRED,
    "edit-conflict": ExitCode.CONFLICT,
    "bad-configuration": ExitCode.BAD_INPUT,
    "bad-request": ExitCode.BAD_INPUT,
    "bad-selector": ExitCode.BAD_INPUT,
    "store-unavailable": ExitCode.UNREACHABLE,
    "reply-lost": ExitCode.UNREACHABLE,
}


class OperatorCommand(Command):
    """Base class of the commands that send requests to a controller."""

    options = [
        option("controllers", None, "Comma-separated controller URLs", flag=False),
        option("token-file", None, "File with the operator's token", flag=False),
        option("output", "o", "text or json", flag=False, default="text"),
    ]

    @property
    def client(self):
        """:class:`~cowslipcourse.cli.client.OperatorClient` from the options."""
        return client_from_options(
            self.option("controllers"), self.option("token-file")
        )

    @property
    def wants_json(self):
        """Whether the output format is JSON."""
        return self.option("output") == "json"

    def handle(self):
        """Run the command; report errors as messages and exit codes."""
        if self.option("output") not in ("text", "json"):
            self.line_error("<error>--output is text or json</error>")
            return ExitCode.BAD_INPUT
        try:
            return int(self.perform() or ExitCode.DONE)
        except ApiError as error:
            return self._report_refusal(error)
        except (ConfigurationError, SettingsError) as error:
            for problem in error.problems:
                self.line_error(f"<error>{problem}</error>")
            return ExitCode.BAD_INPUT
        except ControllersUnreachable as error:
            self.line_error(f"<error>no controller responded: {error.detail}</error>")
            return ExitCode.UNREACHABLE
        except CowslipError as error:
            self.line_error(f"<error>{error.detail}</error>")
            return ExitCode.BAD_INPUT

    def perform(self):
        """Perform the command's operation.

        :returns: :class:`ExitCode`, or ``None`` for success.
        """
        raise NotImplementedError

    def print_json(self, value):
        """Print a value as indented JSON."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.io.output.write_line(text.decode(), type=Type.RAW)

    def print_table(self, headers, rows):
        """Print rows as a table with a header line."""
        texts = [["-" if cell is None else str(cell) for cell in row] for row in rows]
        widths = [
            max(len(str(cell)) for cell in column)
            for column in zip(headers, *texts, strict=True)
        ]
        for row in [headers, *texts]:
            cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            self.io.output.write_line("  ".join(cells).rstrip(), type=Type.RAW)

    def _report_refusal(self, error):
        content = error.content
        if self.wants_json:
            self.print_json(content)
        for problem in content.get("problems", ()):
            message = f"{problem['where']}: {problem['message']}"
            self.line_error(f"<error>{message}</error>")
        if not content.get("problems"):
            self.line_error(f"<error>{content.get('error')}: {error.detail}</error>")
        if "plan" in content:
            print_plan(self, content["plan"])
            self.line_error(f"to go on: --confirm {content['plan']['digest']}")
        return int(
            _EXIT_CODES_BY_ERROR_CODE.get(content.get("error"), ExitCode.REFUSED)
        )


PLAN_EFFECT_TITLES = {
    "vms_leaving": "VMs that leave their group",
    "groups_broken": "groups that stop serving",
    "accelerators_idled": "accelerators idled",
    "models_lost": "models left without a group",
    "workspaces_cut": "workspaces cut off from a model",
    "services_lost": "services left without a target",
    "idle_selectors": "selectors that match nothing",
    "reloads": "groups that reload, one after another",
}


def print_plan(command, plan):
    """Print the effects of an edit's plan.

    :param command: :class:`OperatorCommand` to print with.
    :param plan: fields of :class:`~cowslipcourse.config.Plan`.
    """
    printed_lines = 0
    for key, title in PLAN_EFFECT_TITLES.items():
        value = plan.get(key)
        if value:
            effect = value if isinstance(value, int) else ", ".join(value)
            command.line(f"  {title}: {effect}")
            printed_lines += 1
    if not printed_lines:
        command.line("  no group, model or workspace is affected")
