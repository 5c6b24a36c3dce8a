"""Edits: sets of changes to declared objects, relative to a base revision."""

from typing import Any, NamedTuple

from cowslipcourse.config.objects import KINDS, Configuration, ObjectRef
from cowslipcourse.exceptions import ConfigurationError, Problem, UnknownObject

__all__ = ["Change", "Edit", "apply_changes", "conflicting_changes"]


class Change(NamedTuple):
    """Replacement or removal of one object.

    :param ref: :class:`ObjectRef` of the object.
    :param value: the new object, or ``None`` to remove it.
    """

    ref: ObjectRef
    value: Any


class Edit(NamedTuple):
    """An operator's request to change the configuration.

    :param edit_id: unique id, assigned by the client so that it can repeat an edit
        after a lost reply.
    :param operator: name of the operator.
    :param source: host and file from which the edit was made.
    :param base_revision: revision on which the edit is based.
    :param changes: :class:`Change` for each object.
    :param confirm: digest of the plan that the operator confirms, or empty.
    """

    edit_id: str
    operator: str
    source: str
    base_revision: int
    changes: tuple[Change, ...]
    confirm: str = ""


def apply_changes(configuration, changes):
    """Return a configuration with the changes applied.

    :param configuration: :class:`Configuration` that is changed.
    :param changes: iterable of :class:`Change`.
    :raises ConfigurationError: a change is to an unknown kind of object.
    :raises UnknownObject: an object to remove does not exist.
    """
    objects_by_kind = {kind: dict(getattr(configuration, kind)) for kind in KINDS}
    for ref, value in changes:
        if ref.kind not in objects_by_kind:
            raise ConfigurationError([Problem(str(ref), "unknown kind")])
        if value is None and ref.name not in objects_by_kind[ref.kind]:
            raise UnknownObject(f"{ref} does not exist")
        if value is None:
            del objects_by_kind[ref.kind][ref.name]
        else:
            objects_by_kind[ref.kind][ref.name] = value
    return Configuration.model_construct(**objects_by_kind)


def conflicting_changes(changes, last_changes, base_revision):
    """Find objects that other edits changed after the base revision.

    :param changes: the edit's changes.
    :param last_changes: mapping of object name to ``(revision, edit id)`` of its last
        change.
    :param base_revision: revision on which the edit is based.
    :returns: list of ``(object name, edit id)``.
    """
    conflicts = []
    for ref, _ in changes:
        if str(ref) not in last_changes:
            continue
        revision, edit_id = last_changes[str(ref)]
        if revision > base_revision:
            conflicts.append((str(ref), edit_id))
    return conflicts
