"""Verdicts on requests in the store, and evidence, for daemons that start anew."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import ConditionFailed, MalformedResponse
from cowslipcourse.ports import RowWrite
from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES
from cowslipcourse.quarantine.judging import (
    SUSPICION_S,
    CrashReport,
    Verdict,
    Verdicts,
)

__all__ = ["StoredQuarantine", "Trial", "VerdictStore"]

TABLE = "quarantine"
KEY = "verdicts"
REPORTS_KEY = "reports"
MAX_STORED_REPORTS = 256
"""Reports that are stored, 30 KB; the oldest are dropped first."""
MAX_WRITE_ATTEMPTS = 5
"""Writes under a condition: a few daemons may write at the same moment."""
VERDICT_RETENTION_S = 86_400.0
"""Time for which a verdict stays in the row after its time is over: a request that is
not repeated for a day is forgotten."""

_Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}$")
]


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _StoredVerdict(NamedTuple):
    fingerprint: _Fingerprint
    # Unix time in seconds.
    until: float
    trials: _Count


class _StoredReport(NamedTuple):
    fingerprint: _Fingerprint
    target: str
    incarnation: _Count
    has_begun: bool
    relayed_events: _Count
    last_event_id: _Count
    # Unix time in seconds at which it was stored.
    at: float


log = get_logger(__name__)

_decoder = msgspec.json.Decoder(tuple[_StoredVerdict, ...])
_reports_decoder = msgspec.json.Decoder(tuple[_StoredReport, ...])


class StoredQuarantine(NamedTuple):
    """What the store holds for daemons that start anew.

    :param verdicts: :class:`~cowslipcourse.quarantine.Verdict` list, their times in
        seconds left.
    :param reports: :class:`~cowslipcourse.quarantine.CrashReport` list.
    """

    verdicts: list[Verdict]
    reports: list[CrashReport]


class Trial(NamedTuple):
    """What a daemon found that wanted to try a request.

    :param verdict: the one that holds from now on, its time in seconds left; ``None``
        if there is none any more.
    :param is_begun: whether this daemon tries the request.
    """

    verdict: Verdict | None
    is_begun: bool


class VerdictStore:
    """Reads and changes the two rows.

    Their times are Unix times: no other clock outlives all daemons.

    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param time_of_day: callable that returns the Unix time in seconds.
    """

    def __init__(self, store, time_of_day):
        self._store = store
        self._time_of_day = time_of_day

    async def read(self):
        """Return the :class:`StoredQuarantine`.

        :raises StoreError: the store did not answer.
        :raises MalformedResponse: another writer has spoiled the row of verdicts.
        """
        rows = await self._rows()
        now = self._time_of_day()
        verdicts = [
            verdict._replace(until=verdict.until - now)
            for verdict in _verdicts(rows.get(KEY))
        ]
        return StoredQuarantine(verdicts, self._fresh_reports(rows.get(REPORTS_KEY)))

    def _fresh_reports(self, row):
        """Return the reports that still count; a spoiled row has none."""
        due_at = self._time_of_day() - SUSPICION_S
        try:
            stored = _reports(row)
        except MalformedResponse as error:
            # They make a verdict come sooner, and no more: verdicts are read anyway.
            log.warning("reports-unreadable", why=error)
            return []
        return [_report(each) for each in stored if each.at > due_at]

    async def _rows(self):
        """Return the rows by key, from one call."""
        found = await self._store.read_table(TABLE)
        return {row.key: row for row in found.rows}

    async def add_reports(self, reports):
        """Add reports; those of a life that are there already are replaced.

        :raises StoreError: they may not have been stored.
        """
        now = self._time_of_day()
        added = {_report_key(each): _stored_report(each, now) for each in reports}

        def add(row):
            try:
                known = _reports(row)
            except MalformedResponse:
                # Another writer has spoiled the row; what is known now replaces it.
                known = ()
            stored = {_report_key(_report(each)): each for each in known}
            newest = list((stored | added).values())[-MAX_STORED_REPORTS:]
            return msgspec.json.encode(newest)

        await self._update_row(REPORTS_KEY, add)

    async def add(self, added):
        """Add verdicts, whose times are in seconds left.

        :raises StoreError: they may not have been stored.
        """
        now = self._time_of_day()
        added = [verdict._replace(until=verdict.until + now) for verdict in added]

        def add(verdicts):
            news = [verdict for verdict in added if verdicts.add(verdict)]
            return bool(news)

        try:
            await self._update_verdicts(add)
        except MalformedResponse:
            # Another writer has spoiled the row; all that is known replaces it.
            verdicts = Verdicts()
            for verdict in added:
                verdicts.add(verdict)
            await self._store.write(RowWrite(TABLE, KEY, _content(verdicts)))

    async def remove(self, fingerprint):
        """Remove the verdict on a request.

        :raises StoreError: it may be there still.
        :raises MalformedResponse: another writer has spoiled the row.
        """
        await self._update_verdicts(lambda verdicts: verdicts.drop(fingerprint))

    async def begin_trial(self, fingerprint):
        """Write that a request is tried, if it is time; return the :class:`Trial`.

        The write comes before the trial, so there is no second one if this daemon ends
        meanwhile.

        :raises StoreError: the request must not be tried.
        :raises MalformedResponse: another writer has spoiled the row.
        """
        now = self._time_of_day()
        trial = Trial(None, False)

        def renew(verdicts):
            nonlocal trial
            trial = Trial(verdicts.get(fingerprint), False)
            if trial.verdict is None or trial.verdict.until > now:
                return False
            trial = Trial(trial.verdict.after_trial_began(now), True)
            return verdicts.add(trial.verdict)

        await self._update_verdicts(renew)
        if trial.verdict is None:
            return trial
        left = trial.verdict._replace(until=trial.verdict.until - now)
        return trial._replace(verdict=left)

    async def _update_verdicts(self, change):
        """Change verdicts; ``change`` takes :class:`Verdicts` and tells if it did."""

        def update_row(row):
            verdicts = Verdicts()
            for verdict in _verdicts(row):
                if self._time_of_day() < verdict.until + VERDICT_RETENTION_S:
                    verdicts.add(verdict)
            return _content(verdicts) if change(verdicts) else None

        await self._update_row(KEY, update_row)

    async def _update_row(self, key, change):
        """Write a row anew unless it has changed since it was read; then try again.

        :param change: takes the row or ``None``; returns its new content, or ``None``
            to leave it.
        """
        for attempts_left in reversed(range(MAX_WRITE_ATTEMPTS)):
            row = (await self._rows()).get(key)
            content = change(row)
            if content is None:
                return
            version = 0 if row is None else row.version
            try:
                await self._store.write(RowWrite(TABLE, key, content, version))
                return
            except ConditionFailed:
                if not attempts_left:
                    raise


def _verdicts(row):
    stored = (
        () if row is None else decode_untrusted(_decoder, row.value, "row of verdicts")
    )
    return [Verdict(bytes.fromhex(v.fingerprint), v.until, v.trials) for v in stored]


def _reports(row):
    if row is None:
        return ()
    return decode_untrusted(_reports_decoder, row.value, "row of reports")


def _content(verdicts):
    stored = [_StoredVerdict(v.fingerprint.hex(), v.until, v.trials) for v in verdicts]
    return msgspec.json.encode(stored)


def _report_key(report):
    return report.fingerprint, report.target, report.incarnation


def _stored_report(report, at):
    return _StoredReport(report.fingerprint.hex(), *report[1:], at)


def _report(stored):
    return CrashReport(bytes.fromhex(stored.fingerprint), *stored[1:-1])
