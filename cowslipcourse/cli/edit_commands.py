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
NAME_HASH_CHARS = 8


def _source(what):
    return f"{getpass.getuser()}@{socket.gethostname()} {what}".strip()


def _read_files(path):
    root = Path(path)
    files = sorted(root.glob("*.toml")) if root.is_dir() else [root]
    if not files:
        raise ConfigurationError([Problem(path, "no .toml file in this directory")])
    try:
        return {str(file): file.read_text() for file in files}
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([Problem(path, str(error))]) from error


def _change(kind, name, value):
    return {"kind": kind, "name": name, "value": value}


def _differences(current, wanted):
    """Return the changes that lead from one configuration to another."""
    changes = []
    for kind in KINDS:
        before, after = current.get(kind, {}), wanted.get(kind, {})
        for name in sorted({*before, *after}):
            if before.get(name) != after.get(name):
                changes.append(_change(kind, name, after.get(name)))
    return changes


class EditCommand(OperatorCommand):
    """A command that sends an edit."""

    options = [
        *OperatorCommand.options,
        option("confirm", None, "Digest of the plan to be confirmed", flag=False),
        option("base-revision", None, "Revision that was looked at", flag=False),
        option("edit-id", None, "Id to send the same edit again", flag=False),
        option(
            "wait", None, "Seconds to wait until in force", flag=False, default="20"
        ),
    ]
    trial = False

    def send(self, changes, base_revision, source):
        """Send an edit and report what came of it."""
        if not changes:
            self.line("nothing to change")
            return ExitCode.DONE
        base_revision = int(self._number("base-revision", base_revision))
        edit_id = self.option("edit-id") or secrets.token_hex(EDIT_ID_BYTES)
        body = {
            "edit_id": edit_id,
            "base_revision": base_revision,
            "changes": changes,
            "source": _source(source),
            "confirm": self.option("confirm") or "",
            "trial": self.trial,
            "wait_s": self._number("wait", 0),
        }
        answer = self.client.post("/v1/edits", body)
        if self.wants_json:
            self.print_json({**answer, "edit_id": edit_id})
        else:
            self._report(answer, changes)
        in_force = self.trial or answer["accepted"]
        return ExitCode.DONE if in_force else ExitCode.NOT_YET_IN_FORCE

    def _number(self, name, default):
        """Return an option's number, or the default if it was not given.

        :raises ConfigurationError: it is not a number.
        """
        text = self.option(name)
        try:
            return default if text is None else float(text)
        except ValueError as error:
            problem = Problem(f"--{name}", "write a number")
            raise ConfigurationError([problem]) from error

    def _report(self, answer, changes):
        for change in changes:
            verb = "remove" if change["value"] is None else "set"
            self.line(f"{verb} {change['kind']}/{change['name']}")
        print_plan(self, answer["plan"])
        if self.trial:
            word = "destructive, " if answer["plan"]["destructive"] else ""
            self.line(f"plan {answer['plan']['digest']} ({word}not made)")
        elif answer["accepted"]:
            self.line(f"revision {answer['revision']} is in force everywhere")
        else:
            missing = ", ".join(answer["missing"]) or "waiting"
            self.line(
                f"revision {answer['revision']} is not in force yet at: {missing}"
            )


class ApplyCommand(EditCommand):
    """Apply objects from files."""

    name = "apply"
    description = "Apply a TOML file, or every .toml file of a directory."
    arguments = [argument("path", "File or directory")]
    options = [
        *EditCommand.options,
        option("prune", None, "Remove objects that the files do not declare"),
    ]

    def work(self):
        """Send what differs from the configuration in force."""
        path = self.argument("path")
        changes = parse_documents(_read_files(path))
        answer = self.client.get("/v1/configuration")
        current = answer["configuration"]
        wanted = (
            {} if self.option("prune") else {k: dict(v) for k, v in current.items()}
        )
        for ref, value in changes:
            wanted.setdefault(ref.kind, {})[ref.name] = value.model_dump(mode="json")
        differences = _differences(current, wanted)
        return self.send(differences, answer["revision"], path)


class PlanCommand(ApplyCommand):
    """Show what applying would do."""

    name = "plan"
    description = "Show what applying a file or directory would do, without doing it."
    trial = True


class LabelCommand(EditCommand):
    """Set labels over a selector."""

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

    def work(self):
        """Declare a label rule."""
        subject, selector = self.argument("subject"), self.argument("selector")
        parse_selector(selector)
        pairs = [text.partition("=") for text in self.argument("labels")]
        if not all(sign and key and value for key, sign, value in pairs):
            raise ConfigurationError([Problem("labels", "write key=value")])
        digest = hashlib.sha256(f"{subject}|{selector}".encode()).hexdigest()
        name = self.option("name") or f"cli-{digest[:NAME_HASH_CHARS]}"
        answer = self.client.get("/v1/configuration")
        known = answer["configuration"].get("label", {}).get(name, {})
        labels = {**known.get("set", {}), **{key: value for key, _, value in pairs}}
        value = {"on": subject, "selector": selector, "set": labels}
        changes = [_change("label", name, value)]
        return self.send(changes, answer["revision"], "label")


class UnlabelCommand(EditCommand):
    """Remove a label rule."""

    name = "unlabel"
    description = "Remove a label rule."
    arguments = [argument("name", "Name of the rule")]

    def work(self):
        """Remove the rule."""
        answer = self.client.get("/v1/configuration")
        changes = [_change("label", self.argument("name"), None)]
        return self.send(changes, answer["revision"], "unlabel")


class DeleteCommand(EditCommand):
    """Remove an object."""

    name = "delete"
    description = "Remove a declared object."
    arguments = [argument("kind", "For example group"), argument("name", "Its name")]

    def work(self):
        """Remove the object."""
        answer = self.client.get("/v1/configuration")
        changes = [_change(self.argument("kind"), self.argument("name"), None)]
        return self.send(changes, answer["revision"], "delete")


class DrainCommand(EditCommand):
    """Take VMs out of service gracefully."""

    name = "drain"
    description = "Drain what a selector matches: a VM, a target, a whole domain."
    arguments = [
        argument("name", "Name of the drain, for undrain"),
        argument("selector", "For example domain=a1"),
        argument("reason", "Why", optional=True, default=""),
    ]

    def work(self):
        """Declare a drain."""
        parse_selector(self.argument("selector"))
        answer = self.client.get("/v1/configuration")
        value = {
            "selector": self.argument("selector"),
            "reason": self.argument("reason"),
        }
        changes = [_change("drain", self.argument("name"), value)]
        return self.send(changes, answer["revision"], "drain")


class UndrainCommand(EditCommand):
    """Put drained VMs back into service."""

    name = "undrain"
    description = "Put drained VMs back into service."
    arguments = [argument("name", "Name of the drain")]

    def work(self):
        """Remove the drain."""
        answer = self.client.get("/v1/configuration")
        changes = [_change("drain", self.argument("name"), None)]
        return self.send(changes, answer["revision"], "undrain")


class RollbackCommand(EditCommand):
    """Make an earlier configuration the newest."""

    name = "rollback"
    description = "Make the configuration of an earlier revision a new revision."
    arguments = [argument("revision", "Revision made by an edit")]

    def work(self):
        """Send the differences to the earlier revision."""
        number = self.argument("revision")
        earlier = self.client.get("/v1/configuration", revision=number)
        answer = self.client.get("/v1/configuration")
        differences = _differences(answer["configuration"], earlier["configuration"])
        return self.send(differences, answer["revision"], f"rollback to {number}")
