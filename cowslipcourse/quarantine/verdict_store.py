"""Storage of verdicts and crash reports, for daemons that restart."""

from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import ConditionFailed, MalformedResponse
from cowslipcourse.ports import RowWrite
from cowslipcourse.quarantine.exit_reports import (
    REQUEST_ID_BYTES,
    ExitRun,
    Stage,
    StoredExit,
    StoredPart,
)
from cowslipcourse.quarantine.fingerprints import FINGERPRINT_BYTES
from cowslipcourse.quarantine.verdicts import (
    PART_SUSPICION_S,
    SUSPICION_S,
    CrashReport,
    Verdict,
    Verdicts,
)

__all__ = ["StoredQuarantine", "Trial", "VerdictStore"]

QUARANTINE_TABLE = "quarantine"
VERDICTS_KEY = "verdicts"
REPORTS_KEY = "reports"
EXITS_KEY = "exits"
MAX_STORED_REPORTS = 256
"""Reports that are stored, 30 KB; the oldest are dropped first."""
MAX_STORED_EXITS = 64
"""Exits that are stored, about 20 KB with three requests each."""
MAX_STORED_RUNS = 192
"""Requests at the stored exits, 30 KB with two parts each; the oldest exits are dropped
first."""
MAX_WRITE_ATTEMPTS = 5
"""Attempts at a conditional write: a few daemons may write at the same moment."""
VERDICT_RETENTION_S = 86_400.0
"""Time for which a verdict stays in the row after its ``until``: a request that has not
been repeated for a day is forgotten."""

_Fingerprint = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * FINGERPRINT_BYTES}}}$")
]


_RequestId = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * REQUEST_ID_BYTES}}}$")
]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Ratio = Annotated[float, msgspec.Meta(gt=0)]


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
    stored_at: float


class _ExitRow(NamedTuple):
    target: str
    incarnation: _Count
    # Unix time in seconds.
    exited_at: float
    # Fingerprint, stage and ratio of each part.
    parts: Annotated[
        tuple[tuple[_Fingerprint, Stage | None, _Ratio], ...],
        msgspec.Meta(min_length=1),
    ]
    # Each request, its stage, the places of its parts, and whether it was a retry.
    runs: tuple[tuple[_RequestId, Stage, tuple[_Count, ...], bool], ...]

    @property
    def exit_key(self):
        return self.target, self.incarnation


log = get_logger(__name__)

_verdicts_decoder = msgspec.json.Decoder(tuple[_StoredVerdict, ...])
_reports_decoder = msgspec.json.Decoder(tuple[_StoredReport, ...])
_exits_decoder = msgspec.json.Decoder(tuple[_ExitRow, ...])


class StoredQuarantine(NamedTuple):
    """Stored verdicts and crash reports.

    :param verdicts: :class:`~cowslipcourse.quarantine.Verdict` list, their ``until`` in
        seconds from now.
    :param reports: :class:`~cowslipcourse.quarantine.CrashReport` list.
    :param exits: :class:`~cowslipcourse.quarantine.StoredExit` list.
    """

    verdicts: list[Verdict]
    reports: list[CrashReport]
    exits: list[StoredExit]


class Trial(NamedTuple):
    """Result of an attempt to begin the trial of a request.

    :param verdict: verdict now in force, its ``until`` in seconds from now; ``None`` if
        there is none any more.
    :param is_begun: whether this daemon may try the request.
    """

    verdict: Verdict | None
    is_begun: bool


class VerdictStore:
    """Reads and updates the row of verdicts and the row of crash reports.

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
        :raises MalformedResponse: another writer has corrupted the row of verdicts.
        """
        rows = await self._read_rows()
        now = self._time_of_day()
        verdicts = [
            verdict._replace(until=verdict.until - now)
            for verdict in _decode_verdicts(rows.get(VERDICTS_KEY))
        ]
        return StoredQuarantine(
            verdicts,
            self._recent_reports(rows.get(REPORTS_KEY)),
            self._recent_exits(rows.get(EXITS_KEY)),
        )

    def _recent_reports(self, row):
        """Return the reports that still count; none if the row is corrupted."""
        oldest_at = self._time_of_day() - SUSPICION_S
        try:
            stored = _decode_reports(row)
        except MalformedResponse as error:
            # Reports only speed up a verdict; the verdicts are read all the same.
            log.warning("reports-unreadable", why=error)
            return []
        return [_to_crash_report(each) for each in stored if each.stored_at > oldest_at]

    def _recent_exits(self, row):
        """Return the exits that still count; none if the row is corrupted."""
        now = self._time_of_day()
        try:
            stored = _decode_exits(row)
        except MalformedResponse as error:
            log.warning("reports-unreadable", why=error)
            return []
        return [
            _to_exit(each, now)
            for each in stored
            if now - each.exited_at < PART_SUSPICION_S
        ]

    async def _read_rows(self):
        """Return the rows by key, from one read."""
        snapshot = await self._store.read_table(QUARANTINE_TABLE)
        return {row.key: row for row in snapshot.rows}

    async def add_reports(self, reports):
        """Add reports; each replaces one of the same request and target incarnation.

        :raises StoreError: the reports may not have been stored.
        """
        now = self._time_of_day()
        added = {_report_key(each): _to_stored_report(each, now) for each in reports}

        def add_to_row(row):
            try:
                known = _decode_reports(row)
            except MalformedResponse:
                # Another writer has corrupted the row; the known reports replace it.
                known = ()
            stored = {_report_key(_to_crash_report(each)): each for each in known}
            newest = list((stored | added).values())[-MAX_STORED_REPORTS:]
            return msgspec.json.encode(newest)

        await self._update_row(REPORTS_KEY, add_to_row)

    async def add_exits(self, exits):
        """Add exits; each replaces one of the same incarnation.

        :param exits: :class:`~cowslipcourse.quarantine.StoredExit` list.
        :raises StoreError: the exits may not have been stored.
        """
        now = self._time_of_day()
        added = [_to_exit_row(each, now) for each in exits]

        def add_to_row(row):
            try:
                known = _decode_exits(row)
            except MalformedResponse:
                # Another writer has corrupted the row; the known exits replace it.
                known = ()
            by_key = {each.exit_key: each for each in (*known, *added)}
            newest = sorted(by_key.values(), key=lambda each: each.exited_at)
            return msgspec.json.encode(_bounded(newest[-MAX_STORED_EXITS:]))

        await self._update_row(EXITS_KEY, add_to_row)

    async def add_verdicts(self, added):
        """Add verdicts, whose ``until`` is in seconds from now.

        :raises StoreError: the verdicts may not have been stored.
        """
        now = self._time_of_day()
        added = [verdict._replace(until=verdict.until + now) for verdict in added]

        def add_to_verdicts(verdicts):
            new_verdicts = [verdict for verdict in added if verdicts.add(verdict)]
            return bool(new_verdicts)

        try:
            await self._update_verdicts(add_to_verdicts)
        except MalformedResponse:
            # Another writer has corrupted the row; the known verdicts replace it.
            verdicts = Verdicts()
            for verdict in added:
                verdicts.add(verdict)
            await self._store.write(
                RowWrite(QUARANTINE_TABLE, VERDICTS_KEY, _encode_verdicts(verdicts))
            )

    async def remove_verdict(self, fingerprint):
        """Remove the verdict on a request.

        :raises StoreError: the verdict may still be stored.
        :raises MalformedResponse: another writer has corrupted the row.
        """
        await self._update_verdicts(lambda verdicts: verdicts.drop(fingerprint))

    async def begin_trial(self, fingerprint):
        """Store that a request is tried, if it may be; return the :class:`Trial`.

        The write precedes the trial, so there is no second one if this daemon exits
        meanwhile.

        :raises StoreError: the request must not be tried.
        :raises MalformedResponse: another writer has corrupted the row.
        """
        now = self._time_of_day()
        trial = Trial(None, False)

        def begin_if_due(verdicts):
            nonlocal trial
            trial = Trial(verdicts.get(fingerprint), False)
            if trial.verdict is None or trial.verdict.until > now:
                return False
            trial = Trial(trial.verdict.after_trial_began(now), True)
            return verdicts.add(trial.verdict)

        await self._update_verdicts(begin_if_due)
        if trial.verdict is None:
            return trial
        relative_verdict = trial.verdict._replace(until=trial.verdict.until - now)
        return trial._replace(verdict=relative_verdict)

    async def _update_verdicts(self, change):
        """Update the row of verdicts.

        :param change: callable that changes :class:`Verdicts` and returns whether it
            did.
        """

        def update_row(row):
            verdicts = Verdicts()
            for verdict in _decode_verdicts(row):
                if self._time_of_day() < verdict.until + VERDICT_RETENTION_S:
                    verdicts.add(verdict)
            return _encode_verdicts(verdicts) if change(verdicts) else None

        await self._update_row(VERDICTS_KEY, update_row)

    async def _update_row(self, key, change):
        """Rewrite a row; try again if it has changed since it was read.

        :param change: callable that takes the row or ``None`` and returns its new
            content, or ``None`` to leave it.
        """
        for attempts_left in reversed(range(MAX_WRITE_ATTEMPTS)):
            row = (await self._read_rows()).get(key)
            content = change(row)
            if content is None:
                return
            version = 0 if row is None else row.version
            try:
                await self._store.write(
                    RowWrite(QUARANTINE_TABLE, key, content, version)
                )
                return
            except ConditionFailed:
                if not attempts_left:
                    raise


def _decode_verdicts(row):
    stored = (
        ()
        if row is None
        else decode_untrusted(_verdicts_decoder, row.value, "row of verdicts")
    )
    return [Verdict(bytes.fromhex(v.fingerprint), v.until, v.trials) for v in stored]


def _decode_reports(row):
    if row is None:
        return ()
    return decode_untrusted(_reports_decoder, row.value, "row of reports")


def _decode_exits(row):
    if row is None:
        return ()
    return decode_untrusted(_exits_decoder, row.value, "row of exits")


def _bounded(exits):
    """Return the latest exits, with a bounded number of requests in all."""
    run_count = 0
    for index in reversed(range(len(exits))):
        run_count += len(exits[index].runs)
        if run_count > MAX_STORED_RUNS:
            return exits[index + 1 :]
    return exits


def _to_exit_row(each, now):
    return _ExitRow(
        each.target,
        each.incarnation,
        now - each.age_s,
        tuple((part.hex(), stage, ratio) for part, stage, ratio in each.parts),
        tuple((run.request.hex(), *run[1:]) for run in each.runs),
    )


def _to_exit(row, now):
    return StoredExit(
        row.target,
        row.incarnation,
        max(0.0, now - row.exited_at),
        tuple(StoredPart(bytes.fromhex(part), *rest) for part, *rest in row.parts),
        tuple(ExitRun(bytes.fromhex(request), *rest) for request, *rest in row.runs),
    )


def _encode_verdicts(verdicts):
    stored = [_StoredVerdict(v.fingerprint.hex(), v.until, v.trials) for v in verdicts]
    return msgspec.json.encode(stored)


def _report_key(report):
    return report.fingerprint, report.target, report.incarnation


def _to_stored_report(report, stored_at):
    return _StoredReport(report.fingerprint.hex(), *report[1:], stored_at)


def _to_crash_report(stored):
    return CrashReport(bytes.fromhex(stored.fingerprint), *stored[1:-1])
