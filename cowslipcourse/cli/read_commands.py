"""Commands that only read."""

from cleo.commands.command import Command
from cleo.helpers import argument, option

from cowslipcourse.cli.command import ExitCode, OperatorCommand
from cowslipcourse.exceptions import ConfigurationError, Problem, SettingsError
from cowslipcourse.settings import (
    ControllerSettings,
    GatewaySettings,
    StandinSettings,
)
from cowslipcourse.settings_file import load_settings

__all__ = ["AuditCommand", "CheckSettingsCommand", "GetCommand", "StatusCommand"]

MAX_NAMES_SHOWN = 3
SCHEMAS_BY_ROLE = {
    "gateway": GatewaySettings,
    "controller": ControllerSettings,
    "standin": StandinSettings,
}


class StatusCommand(OperatorCommand):
    """Show the state of groups, services and daemons."""

    name = "status"
    description = "Show groups, services, daemons and the revision of each daemon."

    def perform(self):
        """Print the status, faults first."""
        status = self.client.get("/v1/status")
        if self.wants_json:
            self.print_json(status)
        else:
            for line in _summary_lines(status):
                self.line(line)
            self._print_tables(status)
        return ExitCode.REFUSED if _find_faults(status) else ExitCode.DONE

    def _print_tables(self, status):
        self.line("")
        rows = [
            (
                d["declaration"],
                d["wanted"],
                d["formed"],
                d["serving"],
                d["vms_selected"],
            )
            for d in status["declarations"]
        ]
        self.print_table(("GROUPS OF", "WANTED", "FORMED", "SERVING", "VMS"), rows)
        self.line("")
        rows = [
            (
                g["group"],
                g["domain"],
                g["model"],
                g["epoch"],
                "serving" if g["serving"] else g["reason"],
                g["running"],
                g["waiting"],
            )
            for g in status["groups"]
        ]
        headers = ("GROUP", "DOMAIN", "MODEL", "EPOCH", "STATE", "RUNNING", "WAITING")
        self.print_table(headers, rows)
        self.line("")
        rows = [
            (s["service"], s["vm"], "serving" if s["serving"] else s["reason"])
            for s in status["services"]
        ]
        self.print_table(("SERVICE", "VM", "STATE"), rows)
        self.line("")
        rows = [
            (
                d["name"],
                d["role"],
                d["data_centre"],
                d["state"],
                d["revision"],
                d["heard_s"],
            )
            for d in status["daemons"]
        ]
        headers = ("DAEMON", "ROLE", "DATA CENTRE", "STATE", "REVISION", "HEARD S AGO")
        self.print_table(headers, rows)


def _find_faults(status):
    """Return a message for each fault that needs an operator's attention."""
    faults = []
    if not status["table_answers"]:
        faults.append("the table service does not respond: no edits, no repairs")
    if not status["serving"]:
        faults.append(f"{status['from']} is cut off and has stopped")
    for daemon in status["daemons"]:
        if daemon["state"] != "serving":
            faults.append(f"{daemon['name']} is {daemon['state']}")
    for declaration in status["declarations"]:
        not_serving_count = declaration["wanted"] - declaration["serving"]
        if not_serving_count > 0:
            name = declaration["declaration"]
            faults.append(
                f"{name}: {not_serving_count} of {declaration['wanted']} not serving"
            )
    faults.extend(
        f"{service['service']} on {service['vm']}: {service['reason']}"
        for service in status["services"]
        if not service["serving"]
    )
    if status["missing"]:
        missing = ", ".join(status["missing"])
        faults.append(f"revision {status['revision']} is not in force at {missing}")
    faults.extend(status["problems"])
    return faults


def _summary_lines(status):
    faults = _find_faults(status)
    revision, accepted = status["revision"], status["accepted"]
    lines = [f"revision {revision}, in force everywhere: {accepted}"]
    if not faults:
        return [*lines, "everything serves"]
    return [*lines, *(f"ATTENTION {fault}" for fault in faults)]


class GetCommand(OperatorCommand):
    """Show declared objects."""

    name = "get"
    description = "Show declared objects, all of a kind or one."
    arguments = [
        argument("kind", "For example group", optional=True),
        argument("name", "Name of one object", optional=True),
    ]
    options = [
        *OperatorCommand.options,
        option("revision", None, "An earlier revision", flag=False),
    ]

    def perform(self):
        """Print the objects as JSON."""
        response = self.client.get(
            "/v1/configuration", revision=self.option("revision")
        )
        declared_objects = response["configuration"]
        kind, name = self.argument("kind"), self.argument("name")
        if kind is not None:
            declared_objects = declared_objects.get(kind)
        if name is not None and declared_objects is not None:
            declared_objects = declared_objects.get(name)
        if declared_objects is None:
            raise ConfigurationError([Problem(f"{kind}/{name or ''}", "not declared")])
        self.print_json(declared_objects)


class AuditCommand(OperatorCommand):
    """Show the audit records of edits."""

    name = "audit"
    description = "Show who changed what, when, from where, under which plan."
    options = [
        *OperatorCommand.options,
        option("operator", None, "Only this operator's edits", flag=False),
        option("object", None, "Only edits of this object, as kind/name", flag=False),
        option("since", None, "Only this revision and later ones", flag=False),
        option("limit", None, "Maximum number of records", flag=False, default="20"),
    ]

    def perform(self):
        """Print the records, newest first."""
        names = ("operator", "object", "since", "limit")
        filters = {name: self.option(name) for name in names}
        records = self.client.get("/v1/audit", **filters)
        if self.wants_json:
            self.print_json(records)
            return
        rows = [
            (
                record["revision"],
                record["at"],
                record["operator"],
                record["plan"]["digest"] if record["destructive"] else None,
                _shorten_names(record["changed"]),
                record["source"],
            )
            for record in records
        ]
        headers = ("REVISION", "AT", "OPERATOR", "CONFIRMED", "CHANGED", "FROM")
        self.print_table(headers, rows)


def _shorten_names(names):
    """Return the first names and the number of the others."""
    shown_names = ", ".join(names[:MAX_NAMES_SHOWN])
    hidden_count = len(names) - MAX_NAMES_SHOWN
    return f"{shown_names} and {hidden_count} more" if hidden_count > 0 else shown_names


class CheckSettingsCommand(Command):
    """Check a settings file."""

    name = "check-settings"
    description = "Check the settings file of a gateway, controller or stand-in."
    arguments = [argument("file", "TOML file")]
    options = [
        option("role", None, "gateway, controller or standin", flag=False),
    ]

    def handle(self):
        """Print all problems of the file, or that it is valid.

        Without a role, the schema with the fewest problems is reported.
        """
        path = self.argument("file")
        role = self.option("role")
        if role is not None and role not in SCHEMAS_BY_ROLE:
            self.line_error(
                f"<error>--role is one of {', '.join(SCHEMAS_BY_ROLE)}</error>"
            )
            return int(ExitCode.BAD_INPUT)
        fewest_problems = None
        for name in [role] if role else SCHEMAS_BY_ROLE:
            try:
                load_settings(path, SCHEMAS_BY_ROLE[name])
            except SettingsError as error:
                if fewest_problems is None or len(error.problems) < len(
                    fewest_problems
                ):
                    fewest_problems = error.problems
                continue
            self.line(f"{path}: valid settings of a {name}")
            return int(ExitCode.DONE)
        for problem in fewest_problems:
            self.line_error(f"<error>{problem}</error>")
        return int(ExitCode.BAD_INPUT)
