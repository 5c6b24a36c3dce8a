"""A daemon's part in keeping requests from targets that they would end.

The judge that convicts a request tells all daemons; one daemon of each data centre
repeats that every second, for those that missed it, were cut off or have just started.
A row of the store keeps it for when all daemons start anew.
"""

import asyncio
import contextlib

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    IncompleteResponse,
    MalformedResponse,
    RequestQuarantined,
    StoreError,
)
from cowslipcourse.peers import CrashReports, QuarantineUpdate, RequestCleared
from cowslipcourse.quarantine import Suspects, Verdict, Verdicts
from cowslipcourse.quarantine.judging import QUARANTINE_S
from cowslipcourse.quarantine.kept import VERDICT_RETENTION_S
from cowslipcourse.quarantining.crash_reporting import (
    CrashReporting,
    is_first_evaluator,
)

__all__ = ["Quarantine"]

UPDATE_RESEND_DELAY_S = 0.3
"""When news is sent once more: a datagram may be lost."""
REPEAT_INTERVAL_S = 1.0
"""Interval at which verdicts are repeated; all daemons are to know within 3 s."""
MAX_REPEATED_VERDICTS = 32
"""Verdicts in one repetition, 1 KB; the others follow in the next ones."""
READ_RETRY_DELAY_S = 2.0
"""Pause after the store has not told what is kept; others repeat it meanwhile."""

log = get_logger(__name__)


class Quarantine:
    """Reports ends of targets, judges requests, and knows which ones to refuse.

    :param peers: :class:`~cowslipcourse.quarantining.crash_reporting.QuarantinePeers`
    :param exit_detector:
        :class:`~cowslipcourse.quarantining.target_ends.TargetExitDetector`
    :param store: :class:`~cowslipcourse.quarantine.VerdictStore`
    """

    def __init__(self, peers, exit_detector, store):
        self._peers = peers
        self._store = store
        self._suspects = Suspects()
        self._reporting = CrashReporting(
            peers, exit_detector, self._suspects, self._evaluate
        )
        self._verdicts = Verdicts()
        self._unsaved = set()
        self._trial_calls = {}
        self._active_runs = {}
        self._tasks = set()
        self._repeat_offset = 0

    @property
    def size(self):
        """Number of requests that are not sent to targets."""
        return len(self._verdicts)

    # Requests.

    def is_quarantined(self, call):
        """Whether a request must not be sent to a target.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        if self._verdicts.get(call.fingerprint) is None:
            return False
        return self._trial_calls.get(call.fingerprint) is not call

    async def admit(self, call):
        """Let a request pass, or refuse it at once.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :raises RequestQuarantined: it has not run.
        """
        if not self.is_quarantined(call):
            return
        if self._verdicts.get(call.fingerprint).until <= _now():
            await self._begin_trial(call)
        if self.is_quarantined(call):
            raise self.refusal(call)

    def refusal(self, call):
        """Return the error that the caller of a quarantined request gets.

        It says when the request may be tried again, as nothing is sent before.
        """
        left_s = self._verdicts.get(call.fingerprint).until - _now()
        return RequestQuarantined(
            "this request has ended each target that began to run it",
            left_s if left_s > 0 else None,
        )

    async def _begin_trial(self, call):
        """Put a request on trial unless another daemon does; it may run well by now."""
        fingerprint = call.fingerprint
        try:
            trial = await self._store.begin_trial(fingerprint)
        except (StoreError, MalformedResponse) as error:
            log.warning("trial-not-begun", request=call.id, error=error.code)
            return
        if trial.verdict is None:
            if fingerprint not in self._unsaved:
                # Another daemon's trial went well, and its news did not arrive.
                self._verdicts.drop(fingerprint)
            return
        self._apply_verdict(trial.verdict._replace(until=_now() + trial.verdict.until))
        if trial.is_begun:
            self._trial_calls[fingerprint] = call
            self._broadcast(QuarantineUpdate((trial.verdict,)))
            log.warning("trial-begun", request=call.id, fingerprint=fingerprint.hex())

    def record_finished(self, call):
        """Note that a request is over, whatever became of it."""
        if self._trial_calls.get(call.fingerprint) is call:
            del self._trial_calls[call.fingerprint]

    @contextlib.contextmanager
    def tracking(self, call, run):
        """Break a run off if its request is quarantined meanwhile.

        Repeats come at several daemons at once. Those that wait at targets when the
        first ones have ended three would each end another one.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        runs = self._active_runs.setdefault(call.fingerprint, set())
        runs.add(run)
        try:
            yield
        finally:
            runs.discard(run)
            if not runs:
                self._active_runs.pop(call.fingerprint, None)

    def _stop_runs(self, fingerprint):
        for run in list(self._active_runs.get(fingerprint, ())):
            log.info("run-stopped", target=run.entry.id, fingerprint=fingerprint.hex())
            run.abort(IncompleteResponse("the request is quarantined"))

    def record_answered(self, call):
        """Note that a target has answered a request whole: it does not end targets."""
        fingerprint = call.fingerprint
        was_suspected = self._suspects.record_answered(fingerprint, _now())
        if self._verdicts.get(fingerprint) is not None:
            self._lift(fingerprint)
        elif was_suspected:
            log.info("suspect-cleared", fingerprint=fingerprint.hex())

    def _lift(self, fingerprint):
        """Tell all daemons that a quarantined request was answered whole."""
        log.warning("quarantine-lifted", fingerprint=fingerprint.hex())
        self._verdicts.drop(fingerprint)
        self._spawn(self._remove_stored(fingerprint))
        self._broadcast(RequestCleared(fingerprint))

    def record_failed(self, call, run):
        """Take note of a run that failed; look into it if the target broke it off.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        # A trial is one run.
        self.record_finished(call)
        if run.ended_by_target:
            self._reporting.report_if_exited(call, run)

    # Verdicts.

    def _evaluate(self, report):
        fingerprint = report.fingerprint
        if self._verdicts.get(fingerprint) is not None:
            return
        if not self._suspects.add_report(report, _now()):
            self._save_reports(fingerprint)
            return
        incarnations = self._suspects.ended_incarnations(fingerprint)
        log.warning(
            "quarantined",
            fingerprint=fingerprint.hex(),
            targets=",".join(target for target, _ in incarnations),
            term_s=QUARANTINE_S,
        )
        self._apply_verdict(Verdict(fingerprint, _now() + QUARANTINE_S))
        self._broadcast(QuarantineUpdate((Verdict(fingerprint, QUARANTINE_S),)))
        self._save_due()

    def _save_reports(self, fingerprint):
        """Keep what is known of a request that may soon be convicted.

        All daemons may start anew between two ends of targets. When that came every
        6 s, a request that ended two each time was never convicted and ended nine.
        """
        reports = self._suspects.reports_to_store(fingerprint)
        if reports and is_first_evaluator(self._peers, fingerprint):
            self._spawn(self._write_reports(reports))

    async def _write_reports(self, reports):
        try:
            await self._store.add_reports(reports)
        except StoreError as error:
            # The judges know them; they are lost only if all of these end now.
            log.warning("reports-not-kept", error=error.code, why=error)

    def _apply_verdict(self, verdict):
        """Take a verdict in loop time; return whether it was news."""
        fingerprint = verdict.fingerprint
        if self._suspects.was_answered(fingerprint, _now()):
            # Of judges that did not know, or of one that has missed that it was lifted.
            if self._suspects.was_answered_here(fingerprint):
                self._lift(fingerprint)
            return False
        self._suspects.drop(fingerprint)
        if not self._verdicts.add(verdict):
            return False
        # The judge that convicts it need not be the one that keeps it.
        self._unsaved.add(fingerprint)
        self._stop_runs(fingerprint)
        return True

    def handle_message(self, message):
        """Take in what another daemon tells.

        :param message: :class:`~cowslipcourse.peers.CrashReports`,
            :class:`~cowslipcourse.peers.QuarantineUpdate` or
            :class:`~cowslipcourse.peers.RequestCleared`
        """
        if isinstance(message, CrashReports):
            for report in message.reports:
                self._evaluate(report)
        elif isinstance(message, QuarantineUpdate):
            if self._learn_verdicts(message.verdicts, "peer"):
                self._save_due()
        else:
            self._suspects.record_answered(message.fingerprint, _now(), is_local=False)
            if self._verdicts.drop(message.fingerprint):
                log.info("quarantine-lifted", fingerprint=message.fingerprint.hex())

    def _learn_verdicts(self, verdicts, source):
        """Take in verdicts, in seconds left; return the fingerprints that were news."""
        now = _now()
        news = set()
        for verdict in verdicts:
            if self._apply_verdict(verdict._replace(until=now + verdict.until)):
                news.add(verdict.fingerprint)
                log.info(
                    "quarantine-learnt",
                    fingerprint=verdict.fingerprint.hex(),
                    source=source,
                    left_s=round(verdict.until, 1),
                )
        return news

    # What is sent again, and what is kept.

    async def run(self):
        """Read what is kept, and repeat what others may have missed, for ever."""
        self._spawn(self._read_stored())
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            self._repeat_verdicts(_now())

    def _repeat_verdicts(self, now):
        for verdict in self._verdicts:
            if now > verdict.until + VERDICT_RETENTION_S:
                self._verdicts.drop(verdict.fingerprint)
        self._save_due()
        addresses = self._peers.repeat_addresses() if len(self._verdicts) else ()
        if not addresses:
            return
        known = sorted(self._verdicts)
        first = self._repeat_offset % len(known)
        part = (known[first:] + known[:first])[:MAX_REPEATED_VERDICTS]
        self._repeat_offset = first + len(part)
        told = tuple(verdict._replace(until=verdict.until - now) for verdict in part)
        self._peers.send(QuarantineUpdate(told), addresses)

    def _broadcast(self, message):
        addresses = self._peers.all_addresses()
        self._peers.send(message, addresses)
        loop = asyncio.get_running_loop()
        loop.call_later(UPDATE_RESEND_DELAY_S, self._peers.send, message, addresses)

    def _save_due(self):
        """Write what is not kept yet, if this daemon is the first judge of it."""
        known = {each for each in self._unsaved if self._verdicts.get(each)}
        due = {each for each in known if is_first_evaluator(self._peers, each)}
        self._unsaved = known - due
        if due:
            self._spawn(self._write_verdicts(due))

    def mark_all_unsaved(self):
        """Write all verdicts again: the store may have lost some."""
        self._unsaved |= {verdict.fingerprint for verdict in self._verdicts}

    async def _write_verdicts(self, due):
        now = _now()
        # All of them: the row may have been spoiled by another writer.
        known = [each._replace(until=each.until - now) for each in self._verdicts]
        try:
            await self._store.add(known)
        except StoreError as error:
            log.warning("verdict-not-kept", error=error.code, why=error)
            self._unsaved |= due

    async def _remove_stored(self, fingerprint):
        try:
            await self._store.remove(fingerprint)
        except (StoreError, MalformedResponse) as error:
            # Its next trial is later than without this one; it is tried then.
            log.warning("verdict-not-removed", error=error.code, why=error)

    async def _read_stored(self):
        while True:
            try:
                kept = await self._store.read()
                self._unsaved -= self._learn_verdicts(kept.verdicts, "store")
                for report in kept.reports:
                    self._evaluate(report)
                return
            except StoreError as error:
                log.info("verdicts-not-read", error=error.code, why=error)
            except MalformedResponse as error:
                log.warning("verdicts-unreadable", why=error)
                return
            await asyncio.sleep(READ_RETRY_DELAY_S)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now():
    return asyncio.get_running_loop().time()
