"""Claims of idempotency keys that callers made themselves, in the table service.

The first gateway whose claim is committed becomes the key's home gateway. Claims that
arrive while a transaction is in progress are combined in the next one.
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

MAX_CLAIMS_PER_TRANSACTION = 64
STORE_RETRY_AFTER_S = 5.0
MAX_READ_BACK_ATTEMPTS = 5
READ_BACK_BACKOFF_S = 0.2

log = get_logger(__name__)


class Claim(NamedTuple):
    """Claim of a key by the gateway that becomes its home.

    :param gateway: name of the home gateway.
    :param incarnation: incarnation of the home gateway.
    :param window: time window of that incarnation in which the key was claimed.
    :param fingerprint: digest of the request.
    :param claim_id: unique id of the claim, to recognise it after a lost reply.
    """

    gateway: str
    incarnation: str
    window: int
    fingerprint: str
    claim_id: str


def claim_key(workspace, key):
    """Return the row key of the claim of a workspace's idempotency key."""
    digest = hashlib.sha256(f"{workspace}\n{key}".encode()).hexdigest()
    return f"claim/{digest}"


class ClaimCommitter:
    """Commits claims in batches, one transaction at a time.

    :param table: :class:`~cowslipcourse.ports.TableService`
    """

    def __init__(self, table):
        self._table = table
        self._queue = asyncio.Queue()

    async def claim(self, row_key, claim):
        """Claim a key and return the claim in force: this one or an earlier one.

        :param row_key: key of the row.
        :param claim: :class:`Claim`
        :raises NoTargetAvailable: the table service failed; nothing was run.
        """
        future = asyncio.get_running_loop().create_future()
        await self._queue.put((row_key, claim, future))
        return await future

    async def run(self):
        """Commit claims until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while len(batch) < MAX_CLAIMS_PER_TRANSACTION and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            try:
                await self._commit(batch)
            except Exception as error:
                log.exception("claims-failed", claims=len(batch))
                self._fail_batch(batch, repr(error))

    async def _commit(self, batch):
        claims_by_key = {}
        for pending_claim in batch:
            claims_by_key.setdefault(pending_claim[0], pending_claim)
        while claims_by_key:
            writes = {
                key: pending_claim[1]._asdict()
                for key, pending_claim in claims_by_key.items()
            }
            conditions = dict.fromkeys(writes, ABSENT)
            try:
                await self._table.commit(Transaction(conditions, writes))
            except ConditionFailed as error:
                for key in error.keys:
                    claims_by_key.pop(key, None)
                continue
            except StoreUnavailable:
                self._fail_batch(batch, "the table service is unavailable")
                return
            except ReplyLost:
                log.info("claims-reply-lost", claims=len(claims_by_key))
            break
        await asyncio.gather(
            *(self._read_back(*pending_claim) for pending_claim in batch)
        )

    async def _read_back(self, row_key, claim, future):
        """Set the result to the claim in the table, whatever the commit replied."""
        for attempt in range(MAX_READ_BACK_ATTEMPTS):
            try:
                row = await self._table.read(row_key)
            except StoreError:
                await asyncio.sleep(READ_BACK_BACKOFF_S * (attempt + 1))
                continue
            if row is not None and not future.done():
                future.set_result(Claim(**row.value))
            break
        if not future.done():
            future.set_exception(_not_claimed_error("the claim could not be read back"))

    def _fail_batch(self, batch, detail):
        for _, _, future in batch:
            if not future.done():
                future.set_exception(_not_claimed_error(detail))


def _not_claimed_error(detail):
    return NoTargetAvailable(
        f"the key could not be claimed: {detail}", STORE_RETRY_AFTER_S
    )
