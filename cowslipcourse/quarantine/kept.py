"""Verdicts on requests as one row of the store, for daemons that start anew."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decoded
from cowslipcourse.exceptions import ConditionFailed, MalformedAnswer
from cowslipcourse.ports import RowWrite
from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES
from cowslipcourse.quarantine.judging import Verdict, Verdicts

__all__ = ["KeptVerdicts", "Trial"]

TABLE = "quarantine"
KEY = "verdicts"
TRIES = 5
"""Writes under a condition: a few daemons may write at the same moment."""
KEPT_AFTER_S = 86_400.0
"""Time for which a verdict stays in the row after its time is over: a request that is
not repeated for a day is forgotten."""

_Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}$")
]


class _KeptVerdict(NamedTuple):
    fingerprint: _Fingerprint
    # Unix time in seconds.
    until: float
    trials: Annotated[int, msgspec.Meta(ge=0)]


_decoder = msgspec.json.Decoder(tuple[_KeptVerdict, ...])


class Trial(NamedTuple):
    """What a daemon found that wanted to try a request.

    :param verdict: the one that holds from now on, its time in seconds left; ``None``
        if there is none any more.
    :param is_begun: whether this daemon tries the request.
    """

    verdict: Verdict | None
    is_begun: bool


class KeptVerdicts:
    """Reads and changes the row.

    Its times are Unix times: no other clock outlives all daemons.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param time_of_day: callable that returns the Unix time in seconds.
    """

    def __init__(self, store, time_of_day):
        self._store = store
        self._time_of_day = time_of_day

    async def read(self):
        """Return the :class:`~cowslipcourse.quarantine.Verdict` list, in seconds left.

        :raises StoreError: the store did not answer.
        :raises MalformedAnswer: another writer has spoiled the row.
        """
        verdicts, _ = await self._read()
        now = self._time_of_day()
        return [verdict._replace(until=verdict.until - now) for verdict in verdicts]

    async def _read(self):
        found = await self._store.read_table(TABLE)
        for row in found.rows:
            if row.key == KEY:
                kept = decoded(_decoder, row.value, "row of verdicts")
                return [_verdict(each) for each in kept], row.version
        return [], 0

    async def add(self, added):
        """Add verdicts, whose times are in seconds left.

        :raises StoreError: they may not have been kept.
        """
        now = self._time_of_day()
        added = [verdict._replace(until=verdict.until + now) for verdict in added]

        def add(verdicts):
            news = [verdict for verdict in added if verdicts.note(verdict)]
            return bool(news)

        try:
            await self._change(add)
        except MalformedAnswer:
            # Another writer has spoiled the row; all that is known replaces it.
            verdicts = Verdicts()
            for verdict in added:
                verdicts.note(verdict)
            await self._store.write(RowWrite(TABLE, KEY, _content(verdicts)))

    async def remove(self, fingerprint):
        """Remove the verdict on a request.

        :raises StoreError: it may be there still.
        :raises MalformedAnswer: another writer has spoiled the row.
        """
        await self._change(lambda verdicts: verdicts.drop(fingerprint))

    async def begin_trial(self, fingerprint):
        """Write that a request is tried, if it is time; return the :class:`Trial`.

        The write comes before the trial, so there is no second one if this daemon ends
        meanwhile.

        :raises StoreError: the request must not be tried.
        :raises MalformedAnswer: another writer has spoiled the row.
        """
        now = self._time_of_day()
        trial = Trial(None, False)

        def renew(verdicts):
            nonlocal trial
            trial = Trial(verdicts.get(fingerprint), False)
            if trial.verdict is None or trial.verdict.until > now:
                return False
            trial = Trial(trial.verdict.after_trial(now), True)
            return verdicts.note(trial.verdict)

        await self._change(renew)
        if trial.verdict is None:
            return trial
        left = trial.verdict._replace(until=trial.verdict.until - now)
        return trial._replace(verdict=left)

    async def _change(self, change):
        """Change the row; ``change`` takes :class:`Verdicts` and tells if it did."""
        for tries_left in reversed(range(TRIES)):
            known, version = await self._read()
            verdicts = Verdicts()
            for verdict in known:
                if self._time_of_day() < verdict.until + KEPT_AFTER_S:
                    verdicts.note(verdict)
            if not change(verdicts):
                return
            try:
                write = RowWrite(TABLE, KEY, _content(verdicts), version)
                await self._store.write(write)
                return
            except ConditionFailed:
                if not tries_left:
                    raise


def _verdict(kept):
    return Verdict(bytes.fromhex(kept.fingerprint), kept.until, kept.trials)


def _content(verdicts):
    kept = [_KeptVerdict(v.fingerprint.hex(), v.until, v.trials) for v in verdicts]
    return msgspec.json.encode(kept)
