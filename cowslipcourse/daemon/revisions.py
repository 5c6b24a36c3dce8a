"""Revisions in the platform's table service.

``config/head`` holds the number and the members of the newest revision, and
``config/document/N`` the configuration that the edit of revision N committed.
"""

import msgspec

from cowslipcourse.adapters.peer.codec import (
    member_lists_from_rows,
    members_from_rows,
    members_to_rows,
)
from cowslipcourse.exceptions import ConditionFailed, ReplyLost
from cowslipcourse.membership import Revision
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = [
    "ACCEPTED_KEY",
    "HEAD_KEY",
    "RevisionTable",
    "document_key",
    "head_row_value",
]

HEAD_KEY = "config/head"
ACCEPTED_KEY = "config/accepted"
MAX_COMMIT_ATTEMPTS = 20


def document_key(number):
    """Return the key of the configuration committed by a revision's edit."""
    return f"config/document/{number:010d}"


def head_row_value(revision, edit_id):
    """Return the value of the head row for a revision."""
    return {
        "number": revision.number,
        "configuration_number": revision.configuration_number,
        "members": members_to_rows(revision.members),
        "lists": msgspec.to_builtins(revision.lists),
        "edit_id": edit_id,
    }


class RevisionTable:
    """Reads and commits revisions.

    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, table):
        self._table = table

    async def read_newest(self, cached_revision):
        """Return the newest revision, or ``None`` before the first.

        :param cached_revision: a revision read earlier, or ``None``; its configuration
            is not read again if it is still the newest.
        :raises StoreUnavailable: the table service did not answer.
        """
        row = await self._table.read(HEAD_KEY)
        return None if row is None else await self._decode_head(row, cached_revision)

    async def read_head(self, cached_revision):
        """Return ``(revision, version of the head row)``.

        Before the first revision, its number is 0 and the version is ``ABSENT``.

        :param cached_revision: as for :meth:`read_newest`.
        """
        row = await self._table.read(HEAD_KEY)
        if row is None:
            return Revision(0, {}, {}, 0), ABSENT
        return await self._decode_head(row, cached_revision), row.version

    async def read_accepted_number(self):
        """Return the number of the last accepted revision; 0 before the first."""
        row = await self._table.read(ACCEPTED_KEY)
        return row.value["number"] if row is not None else 0

    async def change_members(self, update, cached_revision=None):
        """Commit a revision with changed members.

        :param update: called with the members by name; returns the new members, or
            ``None`` if there is nothing to change.
        :param cached_revision: as for :meth:`read_newest`.
        :returns: the newest revision, whether or not this call committed it.
        :raises StoreError: it is not known whether the change was committed.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            head, version = await self.read_head(cached_revision)
            members = update(dict(head.members))
            if members is None:
                return head
            revision = head.next(members, await self.read_accepted_number())
            transaction = Transaction(
                {HEAD_KEY: version}, {HEAD_KEY: head_row_value(revision, "")}
            )
            try:
                await self._table.commit(transaction)
            except ConditionFailed:
                continue
            return revision
        raise ReplyLost(
            f"the head row is contended: {MAX_COMMIT_ATTEMPTS} commits conflicted"
        )

    async def _decode_head(self, head_row, cached_revision):
        head = head_row.value
        number = head["configuration_number"]
        if (
            cached_revision is not None
            and cached_revision.configuration_number == number
        ):
            configuration = cached_revision.configuration
        elif number == 0:
            configuration = {}
        else:
            document = await self._table.read(document_key(number))
            configuration = document.value["configuration"]
        members = members_from_rows(head["members"])
        lists = member_lists_from_rows(head["lists"])
        return Revision(head["number"], members, configuration, number, lists)
