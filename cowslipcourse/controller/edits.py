"""Edits of the configuration: plan, commit, audit.

An edit is one transaction: head row, document, audit record and the edit's id, by
which a lost reply is resolved.
"""

import datetime
from typing import NamedTuple

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.config import (
    Configuration,
    ExistingGroup,
    Plan,
    apply_changes,
    conflicting_changes,
    make_plan,
    resolve,
)
from cowslipcourse.controller.groups import GROUP_PREFIX
from cowslipcourse.daemon.revisions import HEAD_KEY, document_key, head_row_value
from cowslipcourse.exceptions import (
    ConditionFailed,
    ConfirmationRequired,
    EditConflict,
    ReplyLost,
    StoreUnavailable,
    UnknownObject,
)
from cowslipcourse.fleet import GroupSpec
from cowslipcourse.membership import Revision
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["AUDIT_PREFIX", "EditResult", "EditService"]

AUDIT_PREFIX = "audit/"
MAX_COMMIT_ATTEMPTS = 20
MAX_READ_BACK_ATTEMPTS = 3

log = get_logger(__name__)


class EditResult(NamedTuple):
    """An edit that was made, or that would be made.

    :param revision: its revision number; 0 for a trial.
    :param plan: its :class:`~cowslipcourse.config.Plan`
    """

    revision: int
    plan: Plan


class EditDraft(NamedTuple):
    """An edit worked out against the newest revision.

    :param head: newest :class:`~cowslipcourse.membership.Revision`
    :param head_version: version of the head row.
    :param history: last change by object name.
    :param configuration: the configuration wanted.
    :param plan: what it would do.
    """

    head: Revision
    head_version: int
    history: dict
    configuration: Configuration
    plan: Plan


class EditService:
    """Plans and commits edits.

    :param table: :class:`~cowslipcourse.ports.TableService`
    :param vm_list: :class:`~cowslipcourse.ports.VmList`
    :param revisions: :class:`~cowslipcourse.daemon.RevisionTable`
    """

    def __init__(self, table, vm_list, revisions):
        self._table = table
        self._vm_list = vm_list
        self._revisions = revisions

    async def plan(self, edit):
        """Work out an edit without making it.

        :param edit: :class:`~cowslipcourse.config.Edit`
        :returns: :class:`EditResult` with revision 0.
        :raises ConfigurationError: the result would not be valid.
        :raises EditConflict: another edit changed the same objects.
        """
        draft = await self._draft(edit)
        return EditResult(0, draft.plan)

    async def commit(self, edit):
        """Make an edit.

        :param edit: :class:`~cowslipcourse.config.Edit`
        :returns: :class:`EditResult`
        :raises ConfirmationRequired: destructive and not confirmed.
        :raises StoreUnavailable: nothing was changed.
        :raises ReplyLost: it is not known whether it was made; the same edit may be
            sent again with the same id.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            made = await self._read_result(edit)
            if made is not None:
                return made
            draft = await self._draft(edit)
            if draft.plan.destructive and edit.confirm != draft.plan.digest:
                raise ConfirmationRequired(draft.plan)
            try:
                return await self._commit(edit, draft)
            except ConditionFailed:
                continue
            except ReplyLost:
                made = await self._resolve_lost_reply(edit)
                if made is not None:
                    return made
        raise StoreUnavailable("the head row is contended; nothing was changed")

    async def read_configuration(self, number=None):
        """Return ``(revision number, configuration)``, the newest by default.

        :raises UnknownObject: no edit made that revision.
        """
        head, _ = await self._revisions.read_head(None)
        if number is None or number == head.number:
            return head.number, head.configuration
        row = await self._table.read(document_key(number))
        if row is None:
            raise UnknownObject(f"revision {number} was not made by an edit")
        return number, row.value["configuration"]

    async def read_audit_records(self):
        """Return the audit records, newest first."""
        rows = await self._table.scan(AUDIT_PREFIX)
        return [row.value for row in reversed(rows)]

    async def _read_result(self, edit):
        row = await self._table.read(f"edit/{edit.edit_id}")
        if row is None:
            return None
        plan = msgspec.convert(row.value["plan"], Plan)
        return EditResult(row.value["revision"], plan)

    async def _resolve_lost_reply(self, edit):
        """Find out whether a commit whose reply was lost took effect."""
        for attempt in range(MAX_READ_BACK_ATTEMPTS):
            try:
                return await self._read_result(edit)
            except StoreUnavailable:
                if attempt == MAX_READ_BACK_ATTEMPTS - 1:
                    raise ReplyLost("send the edit again with the same id") from None
        return None

    async def _draft(self, edit):
        head, version = await self._revisions.read_head(None)
        history = {}
        if head.configuration_number:
            row = await self._table.read(document_key(head.configuration_number))
            history = row.value["history"]
        clashes = conflicting_changes(edit.changes, history, edit.base_revision)
        clashes = [clash for clash in clashes if clash[1] != edit.edit_id]
        if clashes:
            names = [name for name, _ in clashes]
            raise EditConflict(clashes[0][1], names)
        old = Configuration.model_validate(head.configuration)
        new = apply_changes(old, edit.changes)
        vms = await self._vm_list.list_vms()
        rows = await self._table.scan(GROUP_PREFIX)
        specs = [msgspec.convert(row.value, GroupSpec) for row in rows]
        groups = [ExistingGroup(s.group, s.declaration, s.vm_names) for s in specs]
        new_resolved = resolve(new, vms)
        plan = make_plan(old, resolve(old, vms), new, new_resolved, groups)
        return EditDraft(head, version, history, new, plan)

    async def _commit(self, edit, draft):
        accepted = await self._revisions.read_accepted_number()
        content = draft.configuration.model_dump(mode="json")
        revision = draft.head.next(draft.head.members, accepted)
        number = revision.number
        revision = revision._replace(configuration_number=number)
        touched = {str(ref): (number, edit.edit_id) for ref, _ in edit.changes}
        plan = msgspec.to_builtins(draft.plan)
        record = {
            "revision": number,
            "edit_id": edit.edit_id,
            "operator": edit.operator,
            "source": edit.source,
            "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            "changed": sorted(touched),
            "removed": sorted(str(r) for r, value in edit.changes if value is None),
            "plan": {**draft.plan._asdict(), "digest": draft.plan.digest},
            "destructive": draft.plan.destructive,
        }
        writes = {
            HEAD_KEY: head_row_value(revision, edit.edit_id),
            document_key(number): {
                "configuration": content,
                "history": {**draft.history, **touched},
            },
            f"{AUDIT_PREFIX}{number:010d}": msgspec.to_builtins(record),
            f"edit/{edit.edit_id}": {"revision": number, "plan": plan},
        }
        conditions = {HEAD_KEY: draft.head_version, f"edit/{edit.edit_id}": ABSENT}
        await self._table.commit(Transaction(conditions, writes))
        log.info("edit", revision=number, operator=edit.operator, edit=edit.edit_id)
        return EditResult(number, draft.plan)
