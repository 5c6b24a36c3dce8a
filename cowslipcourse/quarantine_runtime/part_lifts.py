"""Lifts of the quarantines of parts that turned out to be sound, at all daemons.

A daemon that misses a lift would go on refusing requests, and repeat or store the
verdict again. So lifts are repeated, and a verdict issued before a lift is ignored.
Times are relative in messages, as clocks of different machines are not compared.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedResponse, StoreError
from cowslipcourse.peer_protocol import PartCleared
from cowslipcourse.quarantine_runtime.crash_reporting import is_first_evaluator

__all__ = ["PartLifts"]

MARGIN_S = 0.5
"""Greater than the delays of messages, by which the times of a verdict differ between
daemons."""
REPEAT_S = 60.0
"""Time for which a lift is repeated, for daemons that missed it."""
MAX_LIFTS = 512

log = get_logger(__name__)


class PartLifts:
    """The latest lifts, their repetition and the removal of stored verdicts.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param verdicts: :class:`~cowslipcourse.quarantine.Verdicts` in force.
    :param store: :class:`~cowslipcourse.quarantine.VerdictStore`
    :param broadcast: callable that sends a message to all daemons, twice.
    """

    def __init__(self, peers, verdicts, store, broadcast):
        self._peers = peers
        self._verdicts = verdicts
        self._store = store
        self._broadcast = broadcast
        self._lifted_at = {}
        self._removals = {}

    def lift(self, part):
        """Lift the quarantine of a part at all daemons.

        :returns: whether there was one.
        """
        if not self._apply(part, _now()):
            return False
        log.warning("quarantine-lifted", fingerprint=part.hex(), part=True)
        self._remove_stored(part)
        self._broadcast(PartCleared(part, 0.0))
        return True

    def handle_message(self, message):
        """Apply a :class:`~cowslipcourse.peer_protocol.PartCleared`."""
        if not self._apply(message.part, _now() - message.age_s):
            return
        log.info("quarantine-lifted", fingerprint=message.part.hex(), part=True)
        if message.age_s > MARGIN_S:
            # Meanwhile this daemon may have stored the verdict again.
            self._remove_stored(message.part)

    def _apply(self, part, lifted_at):
        """Drop the verdict on a part that was issued before a lift.

        :returns: whether there was such a verdict.
        """
        known_at = self._lifted_at.pop(part, lifted_at)
        self._lifted_at[part] = max(known_at, lifted_at)
        if len(self._lifted_at) > MAX_LIFTS:
            del self._lifted_at[next(iter(self._lifted_at))]
        verdict = self._verdicts.get(part)
        if verdict is None or not self._precedes_lift(verdict):
            return False
        return self._verdicts.drop(part)

    def _precedes_lift(self, verdict):
        lifted_at = self._lifted_at.get(verdict.fingerprint)
        return lifted_at is not None and verdict.issued_at < lifted_at + MARGIN_S

    def is_outdated(self, verdict):
        """Whether a verdict was lifted; if so, its sender is told again."""
        if not self._precedes_lift(verdict):
            return False
        part = verdict.fingerprint
        if is_first_evaluator(self._peers, part):
            age_s = _now() - self._lifted_at[part]
            self._peers.broadcast(PartCleared(part, age_s))
        return True

    def repeat(self, now):
        """Repeat lifts, and try again to remove verdicts that are still stored.

        :param now: loop time.
        """
        for part, removal in list(self._removals.items()):
            if removal.done():
                self._remove_stored(part)
        recent = [
            PartCleared(part, now - lifted_at)
            for part, lifted_at in self._lifted_at.items()
            if now - lifted_at < REPEAT_S
        ]
        addresses = self._peers.shared_repeat_addresses() if recent else ()
        for message in recent if addresses else ():
            self._peers.send(message, addresses)

    def _remove_stored(self, part):
        self._removals[part] = asyncio.create_task(self._remove(part))

    async def _remove(self, part):
        try:
            await self._store.remove_verdict(part)
            self._removals.pop(part, None)
        except (StoreError, MalformedResponse) as error:
            log.warning("verdict-not-removed", error=error.code, why=error)


def _now():
    return asyncio.get_running_loop().time()
