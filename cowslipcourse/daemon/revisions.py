"""Revisions in the platform's table service.

``config/head`` holds the newest revision's number and members, and
``config/document/N`` the configuration made by the edit of revision N.
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
    """Return the key of the configuration made at a revision."""
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

    async def read_newest(self, known):
        """Return the newest revision, or ``None`` before the first.

        :param known: a revision known here, or ``None``; saves reading the
            configuration again.
        :raises StoreUnavailable: the table service did not answer.
        """
        row = await self._table.read(HEAD_KEY)
        return None if row is None else await self._load(row, known)

    async def read_head(self, known):
        """Return ``(revision, version of the head row)``.

        Before the first edit, the revision is number 0 and the version absent.
        """
        row = await self._table.read(HEAD_KEY)
        if row is None:
            return Revision(0, {}, {}, 0), ABSENT
        return await self._load(row, known), row.version

    async def read_accepted_number(self):
        """Return the number of the last accepted revision; 0 before the first."""
        row = await self._table.read(ACCEPTED_KEY)
        return row.value["number"] if row is not None else 0

    async def change_members(self, change, known=None):
        """Commit a revision with other members.

        :param change: called with the members by name; returns the new members, or
            ``None`` if nothing is to be done.
        :returns: the newest revision, whether or not it was changed here.
        :raises StoreError: it is not known whether the change was made.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            head, version = await self.read_head(known)
            members = change(dict(head.members))
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
        raise ReplyLost("the head row is contended")

    async def _load(self, row, known):
        value = row.value
        number = value["configuration_number"]
        if known is not None and known.configuration_number == number:
            configuration = known.configuration
        elif number == 0:
            configuration = {}
        else:
            document = await self._table.read(document_key(number))
            configuration = document.value["configuration"]
        members = members_from_rows(value["members"])
        lists = member_lists_from_rows(value["lists"])
        return Revision(value["number"], members, configuration, number, lists)
