"""Commands that change the configuration."""

import getpass
import hashlib
import secrets
import socket
from pathlib import Path

from cleo.helpers import argument, option

from cowslipcourse.cli.command import ExitCode, OperatorCommand, print_plan
from cowslipcourse.config import parse_documents
from cowslipcourse.config.objects import KINDS
from cowslipcourse.exceptions import ConfigurationError, Problem
from cowslipcourse.fleet import parse_selector

__all__ = [
    "ApplyCommand",
    "DeleteCommand",
    "DrainCommand",
    "LabelCommand",
    "PlanCommand",
    "RollbackCommand",
    "UndrainCommand",
    "UnlabelCommand",
]

EDIT_ID_BYTES = 9
RULE_NAME_HASH_CHARS = 8


def _edit_source(subject):
    return f"{getpass.getuser()}@{socket.gethostname()} {subject}".strip()


def _read_configuration_files(path):
    root = Path(path)
    files = sorted(root.glob("*.toml")) if root.is_dir() else [root]
    if not files:
        raise ConfigurationError([Problem(path, "no .toml file in this directory")])
    try:
        return {str(file): file.read_text() for file in files}
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([Problem(path, str(error))]) from error


def _change_content(kind, name, value):
    return {"kind": kind, "name": name, "value": value}


def _configuration_changes(current_configuration, target_configuration):
    """Return the changes that turn one configuration into another.

    :param current_configuration: values by kind and name.
    :param target_configuration: the same, as it is to become.
    """
    changes = []
    for kind in KINDS:
        current_objects, target_objects = (
            current_configuration.get(kind, {}),
            target_configuration.get(kind, {}),
        )
        for name in sorted({*current_objects, *target_objects}):
            if current_objects.get(name) != target_objects.get(name):
                changes.append(_change_content(kind, name, target_objects.get(name)))
    return changes


class EditCommand(OperatorCommand):
    """Base class of the commands that send an edit.

    :cvar trial: whether the edit is only planned, not applied.
    """

    options = [
        *OperatorCommand.options,
        option("confirm", None, "Digest of the plan to confirm", flag=False),
        option("base-revision", None, "Revision that the edit refers to", flag=False),
        option("edit-id", None, "Id of the edit, to send it again", flag=False),
        option(
            "wait", None, "Seconds to wait until in force", flag=False, default="20"
        ),
    ]
    trial = False

    def send_edit(self, changes, base_revision, source):
        """Send an edit and print its result.

        :param changes: list of changes with kind, name and value.
        :param base_revision: revision to which the changes refer.
        :param source: origin of the edit, for the audit log.
        """
        if not changes:
            self.line("nothing to change")
            return ExitCode.DONE
        base_revision = int(self._number_option("base-revision", base_revision))
        edit_id = self.option("edit-id") or secrets.token_hex(EDIT_ID_BYTES)
        edit_body = {
            "edit_id": edit_id,
            "base_revision": base_revision,
            "changes": changes,
            "source": _edit_source(source),
            "confirm": self.option("confirm") or "",
            "trial": self.trial,
            "wait_s": self._number_option("wait", 0),
        }
        response = self.client.post("/v1/edits", edit_body)
        if self.wants_json:
            self.print_json({**response, "edit_id": edit_id})
        else:
            self._print_result(response, changes)
        in_force = self.trial or response["accepted"]
        return ExitCode.DONE if in_force else ExitCode.NOT_YET_IN_FORCE

    def _number_option(self, name, default):
        """Return the number given as an option, or the default.

        :raises ConfigurationError: the option is not a number.
        """
        text = self.option(name)
        try:
            return default if text is None else float(text)
        except ValueError as error:
            problem = Problem(f"--{name}", "expected a number")
            raise ConfigurationError([problem]) from error

    def _print_result(self, response, changes):
        for change in changes:
            verb = "remove" if change["value"] is None else "set"
            self.line(f"{verb} {change['kind']}/{change['name']}")
        print_plan(self, response["plan"])
        if self.trial:
            destructive_note = (
                "destructive, " if response["plan"]["destructive"] else ""
            )
            self.line(
                f"plan {response['plan']['digest']} ({destructive_note}not applied)"
            )
        elif response["accepted"]:
            self.line(f"revision {response['revision']} is in force everywhere")
        else:
            lagging = ", ".join(response["missing"]) or "waiting"
            self.line(
                f"revision {response['revision']} is not in force yet at: {lagging}"
            )


class ApplyCommand(EditCommand):
    """Apply declared objects from files."""

    name = "apply"
    description = "Apply a TOML file, or every .toml file of a directory."
    arguments = [argument("path", "File or directory")]
    options = [
        *EditCommand.options,
        option("prune", None, "Remove objects that the files do not declare"),
    ]

    def perform(self):
        """Send the differences from the newest configuration."""
        path = self.argument("path")
        changes = parse_documents(_read_configuration_files(path))
        response = self.client.get("/v1/configuration")
        current_configuration = response["configuration"]
        target_configuration = (
            {}
            if self.option("prune")
            else {k: dict(v) for k, v in current_configuration.items()}
        )
        for object_ref, value in changes:
            target_configuration.setdefault(object_ref.kind, {})[object_ref.name] = (
                value.model_dump(mode="json")
            )
        configuration_changes = _configuration_changes(
            current_configuration, target_configuration
        )
        return self.send_edit(configuration_changes, response["revision"], path)


class PlanCommand(ApplyCommand):
    """Show the effects of applying files."""

    name = "plan"
    description = "Show what applying a file or directory would do, without doing it."
    trial = True


class LabelCommand(EditCommand):
    """Set labels on the objects that a selector matches."""

    name = "label"
    description = "Set labels on all VMs or workspaces that a selector matches."
    arguments = [
        argument("subject", "vm or workspace"),
        argument("selector", "For example 'domain=a1, !role'"),
        argument("labels", "key=value ...", multiple=True),
    ]
    options = [
        *EditCommand.options,
        option("name", None, "Name of the rule", flag=False),
    ]

    def perform(self):
        """Declare a label rule, or add labels to an existing one."""
        subject, selector = self.argument("subject"), self.argument("selector")
        parse_selector(selector)
        label_parts = [text.partition("=") for text in self.argument("labels")]
        if not all(
            separator and key and value for key, separator, value in label_parts
        ):
            raise ConfigurationError([Problem("labels", "expected key=value")])
        digest = hashlib.sha256(f"{subject}|{selector}".encode()).hexdigest()
        name = self.option("name") or f"cli-{digest[:RULE_NAME_HASH_CHARS]}"
        response = self.client.get("/v1/configuration")
        existing_rule = response["configuration"].get("label", {}).get(name, {})
        labels = {
            **existing_rule.get("set", {}),
            **{key: value for key, _, value in label_parts},
        }
        value = {"on": subject, "selector": selector, "set": labels}
        changes = [_change_content("label", name, value)]
        return self.send_edit(changes, response["revision"], "label")


class UnlabelCommand(EditCommand):
    """Remove a label rule."""

    name = "unlabel"
    description = "Remove a label rule."
    arguments = [argument("name", "Name of the rule")]

    def perform(self):
        """Remove the rule."""
        response = self.client.get("/v1/configuration")
        changes = [_change_content("label", self.argument("name"), None)]
        return self.send_edit(changes, response["revision"], "unlabel")


class DeleteCommand(EditCommand):
    """Remove a declared object."""

    name = "delete"
    description = "Remove a declared object."
    arguments = [argument("kind", "For example group"), argument("name", "Its name")]

    def perform(self):
        """Remove the object."""
        response = self.client.get("/v1/configuration")
        changes = [_change_content(self.argument("kind"), self.argument("name"), None)]
        return self.send_edit(changes, response["revision"], "delete")


class DrainCommand(EditCommand):
    """Take VMs out of service gracefully."""

    name = "drain"
    description = "Drain what a selector matches: a VM, a target, a whole domain."
    arguments = [
        argument("name", "Name of the drain, for undrain"),
        argument("selector", "For example domain=a1"),
        argument("reason", "Why", optional=True, default=""),
    ]

    def perform(self):
        """Declare a drain."""
        parse_selector(self.argument("selector"))
        response = self.client.get("/v1/configuration")
        value = {
            "selector": self.argument("selector"),
            "reason": self.argument("reason"),
        }
        changes = [_change_content("drain", self.argument("name"), value)]
        return self.send_edit(changes, response["revision"], "drain")


class UndrainCommand(EditCommand):
    """Put drained VMs back into service."""

    name = "undrain"
    description = "Put drained VMs back into service."
    arguments = [argument("name", "Name of the drain")]

    def perform(self):
        """Remove the drain."""
        response = self.client.get("/v1/configuration")
        changes = [_change_content("drain", self.argument("name"), None)]
        return self.send_edit(changes, response["revision"], "undrain")


class RollbackCommand(EditCommand):
    """Restore the configuration of an earlier revision."""

    name = "rollback"
    description = "Make the configuration of an earlier revision a new revision."
    arguments = [argument("revision", "Revision made by an edit")]

    def perform(self):
        """Send the differences to the earlier revision."""
        earlier_revision = self.argument("revision")
        earlier = self.client.get("/v1/configuration", revision=earlier_revision)
        response = self.client.get("/v1/configuration")
        configuration_changes = _configuration_changes(
            response["configuration"], earlier["configuration"]
        )
        return self.send_edit(
            configuration_changes,
            response["revision"],
            f"rollback to {earlier_revision}",
        )
