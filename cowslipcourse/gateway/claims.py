"""Claims on callers' own idempotency keys, in the table service.

The first gateway whose claim is committed becomes the home of the key. Several
claims go into one transaction when they come close together.
"""

import asyncio
import hashlib
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    ConditionFailed,
    NoTargetAvailable,
    ReplyLost,
    StoreError,
    StoreUnavailable,
)
from cowslipcourse.ports.platform import ABSENT, Transaction

__all__ = ["Claim", "ClaimCommitter", "claim_key"]

MOST_AT_ONCE = 64
STORE_RETRY_S = 5.0
READ_BACK_TRIES = 5
READ_BACK_PAUSE_S = 0.2

log = get_logger(__name__)


class Claim(NamedTuple):
    """Who is the home of a key.

    :param gateway: gateway name.
    :param incarnation: its run.
    :param window: its time window in which the key was claimed.
    :param fingerprint: digest of the request.
    :param claim_id: unique id of the claim, for lost replies.
    """

    gateway: str
    incarnation: str
    window: int
    fingerprint: str
    claim_id: str


def claim_key(workspace, key):
    """Return the row key of a claim."""
    digest = hashlib.sha256(f"{workspace}\n{key}".encode()).hexdigest()
    return f"claim/{digest}"


class ClaimCommitter:
    """Commits claims one batch after another.

    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, table):
        self._table = table
        self._waiting = asyncio.Queue()

    async def claim(self, row_key, claim):
        """Claim a key and return whose it is: this claim or an earlier one.

        :param row_key: key of the row.
        :param claim: :class:`Claim`
        :raises NoTargetAvailable: the table is down; nothing was claimed or run.
        """
        found = asyncio.get_running_loop().create_future()
        await self._waiting.put((row_key, claim, found))
        return await found

    async def run(self):
        """Commit for ever."""
        while True:
            batch = [await self._waiting.get()]
            while len(batch) < MOST_AT_ONCE and not self._waiting.empty():
                batch.append(self._waiting.get_nowait())
            try:
                await self._commit(batch)
            except Exception as error:
                log.exception("claims-failed", claims=len(batch))
                self._refuse(batch, repr(error))

    async def _commit(self, batch):
        by_key = {}
        for item in batch:
            by_key.setdefault(item[0], item)
        while by_key:
            writes = {key: item[1]._asdict() for key, item in by_key.items()}
            conditions = dict.fromkeys(writes, ABSENT)
            try:
                await self._table.commit(Transaction(conditions, writes))
            except ConditionFailed as error:
                for key in error.keys:
                    by_key.pop(key, None)
                continue
            except StoreUnavailable:
                self._refuse(batch, "the table service is down")
                return
            except ReplyLost:
                log.info("claims-reply-lost", claims=len(by_key))
            break
        await asyncio.gather(*(self._settle(*item) for item in batch))

    async def _settle(self, row_key, claim, found):
        """Read back whose the key is; it is the truth whatever the reply said."""
        for attempt in range(READ_BACK_TRIES):
            try:
                row = await self._table.read(row_key)
            except StoreError:
                await asyncio.sleep(READ_BACK_PAUSE_S * (attempt + 1))
                continue
            if row is not None and not found.done():
                found.set_result(Claim(**row.value))
            break
        if not found.done():
            found.set_exception(_not_claimed("the claim could not be read back"))

    def _refuse(self, batch, detail):
        for _, _, found in batch:
            if not found.done():
                found.set_exception(_not_claimed(detail))


def _not_claimed(detail):
    return NoTargetAvailable(f"the key could not be claimed: {detail}", STORE_RETRY_S)
