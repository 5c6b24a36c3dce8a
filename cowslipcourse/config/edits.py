"""Edits: sets of changes to declared objects, based on a revision."""

from typing import Any, NamedTuple

from cowslipcourse.config.objects import KINDS, Configuration, ObjectRef
from cowslipcourse.exceptions import ConfigurationError, Problem, UnknownObject

__all__ = ["Change", "Edit", "apply_changes", "conflicting_changes"]


class Change(NamedTuple):
    """One object set or removed.

    :param ref: which object.
    :param value: the new object, or ``None`` to remove it.
    """

    ref: ObjectRef
    value: Any


class Edit(NamedTuple):
    """What an operator asks for.

    :param edit_id: unique id, chosen by the operator's side, for lost replies.
    :param operator: who asks.
    :param source: where from: host and file.
    :param base_revision: revision that the operator looked at.
    :param changes: what shall change.
    :param confirm: digest of the plan that the operator confirms, or empty.
    """

    edit_id: str
    operator: str
    source: str
    base_revision: int
    changes: tuple[Change, ...]
    confirm: str = ""


def apply_changes(configuration, changes):
    """Return a configuration with the changes made.

    :param configuration: :class:`Configuration` to start from.
    :param changes: iterable of :class:`Change`.
    :raises UnknownObject: if an object to be removed does not exist.
    """
    kinds = {kind: dict(getattr(configuration, kind)) for kind in KINDS}
    for ref, value in changes:
        if ref.kind not in kinds:
            raise ConfigurationError([Problem(str(ref), "unknown kind")])
        if value is None and ref.name not in kinds[ref.kind]:
            raise UnknownObject(f"{ref} does not exist")
        if value is None:
            del kinds[ref.kind][ref.name]
        else:
            kinds[ref.kind][ref.name] = value
    return Configuration.model_construct(**kinds)


def conflicting_changes(changes, history, base_revision):
    """Find objects that were changed by others after the edit's base revision.

    :param changes: the edit's changes.
    :param history: mapping of object name to ``(revision, edit id)`` of its last
        change.
    :param base_revision: revision that the operator looked at.
    :returns: list of ``(object name, edit id)``.
    """
    found = []
    for ref, _ in changes:
        if str(ref) not in history:
            continue
        revision, edit_id = history[str(ref)]
        if revision > base_revision:
            found.append((str(ref), edit_id))
    return found
