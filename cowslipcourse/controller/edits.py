"""Edits of the configuration: plan, commit, audit.

An edit is one transaction on the head row, the configuration document, the audit
record and the row of the edit's id. The last tells, after a lost reply, whether the
edit was committed.
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
    """An edit that was committed, or the trial of one.

    :param revision: number of the committed revision; 0 for a trial.
    :param plan: effects of the edit, :class:`~cowslipcourse.config.Plan`.
    """

    revision: int
    plan: Plan


class EditDraft(NamedTuple):
    """An edit applied to the newest revision, not yet committed.

    :param head: newest :class:`~cowslipcourse.membership.Revision`
    :param head_version: version of the head row.
    :param history: last change by object name.
    :param configuration: configuration after the edit.
    :param plan: effects of the edit, :class:`~cowslipcourse.config.Plan`.
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
        """Plan an edit without committing it.

        :param edit: :class:`~cowslipcourse.config.Edit`
        :returns: :class:`EditResult` with revision 0.
        :raises ConfigurationError: the result would not be valid.
        :raises EditConflict: another edit changed the same objects.
        """
        draft = await self._prepare_draft(edit)
        return EditResult(0, draft.plan)

    async def commit(self, edit):
        """Commit an edit.

        :param edit: :class:`~cowslipcourse.config.Edit`
        :returns: :class:`EditResult`
        :raises ConfirmationRequired: the edit is destructive and not confirmed.
        :raises StoreUnavailable: nothing was changed.
        :raises ReplyLost: it is not known whether the edit was committed; it may be
            sent again with the same id.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            result = await self._read_result(edit)
            if result is not None:
                return result
            draft = await self._prepare_draft(edit)
            if draft.plan.destructive and edit.confirm != draft.plan.digest:
                raise ConfirmationRequired(draft.plan)
            try:
                return await self._commit(edit, draft)
            except ConditionFailed:
                continue
            except ReplyLost:
                result = await self._resolve_lost_reply(edit)
                if result is not None:
                    return result
        raise StoreUnavailable(
            f"the head row is contended: {MAX_COMMIT_ATTEMPTS} commits failed; "
            "nothing was changed"
        )

    async def read_configuration(self, number=None):
        """Return ``(revision number, configuration)``.

        :param number: revision number; the newest by default.
        :raises UnknownObject: no edit committed that revision.
        """
        head, _ = await self._revisions.read_head(None)
        if number is None or number == head.number:
            return head.number, head.configuration
        row = await self._table.read(document_key(number))
        if row is None:
            raise UnknownObject(f"revision {number} was not committed by an edit")
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
        """Return the edit's result if it was committed although its reply was lost."""
        for attempt in range(MAX_READ_BACK_ATTEMPTS):
            try:
                return await self._read_result(edit)
            except StoreUnavailable:
                if attempt == MAX_READ_BACK_ATTEMPTS - 1:
                    raise ReplyLost(
                        f"whether edit {edit.edit_id} was committed is unknown; send "
                        "it again with the same id"
                    ) from None
        return None

    async def _prepare_draft(self, edit):
        head, version = await self._revisions.read_head(None)
        history = {}
        if head.configuration_number:
            row = await self._table.read(document_key(head.configuration_number))
            history = row.value["history"]
        conflicts = conflicting_changes(edit.changes, history, edit.base_revision)
        conflicts = [conflict for conflict in conflicts if conflict[1] != edit.edit_id]
        if conflicts:
            names = [name for name, _ in conflicts]
            raise EditConflict(conflicts[0][1], names)
        old_configuration = Configuration.model_validate(head.configuration)
        new_configuration = apply_changes(old_configuration, edit.changes)
        vms = await self._vm_list.list_vms()
        rows = await self._table.scan(GROUP_PREFIX)
        specs = [msgspec.convert(row.value, GroupSpec) for row in rows]
        groups = [
            ExistingGroup(spec.group, spec.declaration, spec.vm_names) for spec in specs
        ]
        new_resolved = resolve(new_configuration, vms)
        plan = make_plan(
            old_configuration,
            resolve(old_configuration, vms),
            new_configuration,
            new_resolved,
            groups,
        )
        return EditDraft(head, version, history, new_configuration, plan)

    async def _commit(self, edit, draft):
        accepted_number = await self._revisions.read_accepted_number()
        configuration = draft.configuration.model_dump(mode="json")
        revision = draft.head.next(draft.head.members, accepted_number)
        number = revision.number
        revision = revision._replace(configuration_number=number)
        changed_objects = {str(ref): (number, edit.edit_id) for ref, _ in edit.changes}
        plan = msgspec.to_builtins(draft.plan)
        audit_record = {
            "revision": number,
            "edit_id": edit.edit_id,
            "operator": edit.operator,
            "source": edit.source,
            "at": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
            "changed": sorted(changed_objects),
            "removed": sorted(str(ref) for ref, value in edit.changes if value is None),
            "plan": {**draft.plan._asdict(), "digest": draft.plan.digest},
            "destructive": draft.plan.destructive,
        }
        writes = {
            HEAD_KEY: head_row_value(revision, edit.edit_id),
            document_key(number): {
                "configuration": configuration,
                "history": {**draft.history, **changed_objects},
            },
            f"{AUDIT_PREFIX}{number:010d}": msgspec.to_builtins(audit_record),
            f"edit/{edit.edit_id}": {"revision": number, "plan": plan},
        }
        conditions = {HEAD_KEY: draft.head_version, f"edit/{edit.edit_id}": ABSENT}
        await self._table.commit(Transaction(conditions, writes))
        log.info("edit", revision=number, operator=edit.operator, edit=edit.edit_id)
        return EditResult(number, draft.plan)
