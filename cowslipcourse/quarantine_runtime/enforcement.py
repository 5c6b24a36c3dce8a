"""Quarantine of requests, and of parts of their prompts, within a daemon.

The evaluator that convicts one sends the verdict to all daemons. One daemon of each
data centre repeats it every second, for those that missed it, were cut off or have just
started. A row of the store keeps it for a restart of all daemons.
"""

import asyncio
import contextlib

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    IncompleteResponse,
    MalformedResponse,
    RequestHeld,
    RequestQuarantined,
    StoreError,
)
from cowslipcourse.peer_protocol import (
    CrashReports,
    QuarantineUpdate,
    RequestCleared,
)
from cowslipcourse.quarantine import Suspects, Verdict, Verdicts
from cowslipcourse.quarantine.verdict_store import VERDICT_RETENTION_S
from cowslipcourse.quarantine.verdicts import QUARANTINE_S
from cowslipcourse.quarantine_runtime.crash_reporting import (
    CrashReporting,
    UnloadedPartEvaluation,
    is_first_evaluator,
)

__all__ = ["Quarantine"]

UPDATE_RESEND_DELAY_S = 0.3
"""Delay after which an update is sent once more: a datagram may be lost."""
REPEAT_INTERVAL_S = 1.0
"""Interval at which verdicts are repeated; all daemons are to have them within 3 s."""
MAX_REPEATED_VERDICTS = 32
"""Verdicts in one repetition, 1 KB; the others follow in the next repetitions."""
HELD_RETRY_S = 0.5
"""Time until a request with a held part may come again: that until the next probe, in
the mean."""
READ_RETRY_DELAY_S = 2.0
"""Pause after a failed read of the store; other daemons repeat verdicts meanwhile."""

log = get_logger(__name__)


class Quarantine:
    """Reports exits of targets, evaluates requests and parts of prompts, and refuses
    quarantined ones.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param exit_detector:
        :class:`~cowslipcourse.quarantine_runtime.target_exits.TargetExitDetector`
    :param store: :class:`~cowslipcourse.quarantine.VerdictStore`
    """

    def __init__(self, peers, exit_detector, store):
        self._peers = peers
        self._store = store
        self._suspects = Suspects()
        self._verdicts = Verdicts()
        self._parts = UnloadedPartEvaluation()
        self._reporting = CrashReporting(
            peers,
            exit_detector,
            self._suspects,
            self._evaluate_report,
            lambda: self._parts,
        )
        self._unsaved_fingerprints = set()
        self._trial_calls = {}
        self._active_runs = {}
        self._tasks = set()
        self._repeat_offset = 0

    @property
    def verdict_count(self):
        """Number of quarantined requests and parts."""
        return len(self._verdicts)

    @property
    def part_exit_count(self):
        """Number of exits that are evaluated by the parts of prompts."""
        return self._parts.exit_count

    @property
    def hold_count(self):
        """Number of parts that are held."""
        return self._parts.hold_count

    def load_part_evaluation(self, part_evaluation):
        """Evaluate parts of prompts from now on, which the first requests do not need.

        :param part_evaluation: the class
            :class:`~cowslipcourse.quarantine_runtime.part_evaluation.PartEvaluation`
        """
        stored_exits = self._parts.stored_exits
        self._parts = part_evaluation(
            self._peers,
            self._verdicts,
            self._store,
            self._convict_part,
            self._broadcast,
        )
        self._parts.add_stored_exits(stored_exits)

    # Requests.

    def is_refused(self, call):
        """Whether a request must not be sent to a target now.

        It or a part of its prompt is quarantined and it is not the trial, or a part is
        held and it is not the probe.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        return self.is_quarantined(call) or self._is_held(call)

    def is_quarantined(self, call):
        """Whether a request, or a part of its prompt, is quarantined and not on trial.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        return bool(self._verdicts) and any(
            self._trial_calls.get(verdict.fingerprint) is not call
            for verdict in self._verdicts_on(call)
        )

    def _is_held(self, call):
        if self._suspects.hold_left_s(call.fingerprint, _now()) > 0:
            return True
        return self._parts.is_held(call)

    def is_on_trial(self, call):
        """Whether a request is a trial or a probe, which lasts for one run.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        is_trial = any(trial is call for trial in self._trial_calls.values())
        return is_trial or self._parts.is_probe(call)

    def _verdicts_on(self, call):
        verdicts = map(self._verdicts.get, (call.fingerprint, *call.part_fingerprints))
        return [verdict for verdict in verdicts if verdict is not None]

    async def admit(self, call):
        """Admit a request, or refuse it at once.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :raises RequestQuarantined: the request is quarantined and has not run.
        :raises RequestHeld: a part of it is held, and it has not run.
        """
        self._parts.record_request(call)
        if self.is_quarantined(call):
            await self._try(call)
        if self._is_held(call) and not await self._may_probe(call):
            raise self.refusal(call)

    async def _may_probe(self, call):
        """Whether a held request may be sent as a probe of its held parts."""
        if self._suspects.hold_left_s(call.fingerprint, _now()) > 0:
            return False
        is_permitted = await self._parts.start_probe(call)
        return is_permitted and not self.is_quarantined(call)

    async def _try(self, call):
        """Begin the trial of a quarantined request, or refuse it."""
        verdicts = self._verdicts_on(call)
        if max(verdict.until for verdict in verdicts) <= _now():
            for verdict in verdicts:
                await self._begin_trial(call, verdict.fingerprint)
        if self.is_quarantined(call):
            raise self.refusal(call)

    def refusal(self, call):
        """Return the error for the caller of a quarantined or held request.

        It states when the request may be tried again, as it is not sent before.
        """
        if not self.is_quarantined(call):
            wait_s = max(
                self._suspects.hold_left_s(call.fingerprint, _now()), HELD_RETRY_S
            )
            return RequestHeld(
                "targets have just ended under this request, or under others with a"
                " part of its prompt",
                wait_s,
            )
        left_s = max(verdict.until for verdict in self._verdicts_on(call)) - _now()
        is_request = self._verdicts.get(call.fingerprint) is not None
        return RequestQuarantined(
            "this request has ended each target that began to run it"
            if is_request
            else "a part of this prompt has ended each target that began to answer it",
            left_s if left_s > 0 else None,
        )

    async def _begin_trial(self, call, fingerprint):
        """Begin a trial, which may succeed by now, unless another daemon does."""
        try:
            trial = await self._store.begin_trial(fingerprint)
        except (StoreError, MalformedResponse) as error:
            log.warning("trial-not-begun", request=call.id, error=error.code)
            return
        if trial.verdict is None:
            if fingerprint not in self._unsaved_fingerprints:
                # Another daemon's trial succeeded, and its update was lost.
                self._verdicts.drop(fingerprint)
            return
        self._apply_verdict(trial.verdict._replace(until=_now() + trial.verdict.until))
        if trial.is_begun:
            self._trial_calls[fingerprint] = call
            self._broadcast(QuarantineUpdate((trial.verdict,)))
            log.warning("trial-begun", request=call.id, fingerprint=fingerprint.hex())

    def record_finished(self, call):
        """Record that a request has finished, with any outcome."""
        self._parts.end_probe(call)
        for fingerprint in (call.fingerprint, *call.part_fingerprints):
            if self._trial_calls.get(fingerprint) is call:
                del self._trial_calls[fingerprint]

    @contextlib.contextmanager
    def tracking(self, call, run):
        """Abort a run if its request, or a part of it, is quarantined while it lasts.

        Repeats arrive at several daemons at once. Those that wait at targets when the
        first ones have ended three targets would each end another one. A run that has
        relayed events goes on if a part is quarantined, as it may prove the part sound.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        self._active_runs.setdefault(call.fingerprint, set()).add(run)
        try:
            with self._parts.tracking(call, run):
                yield
        finally:
            runs = self._active_runs[call.fingerprint]
            runs.discard(run)
            if not runs:
                del self._active_runs[call.fingerprint]

    def _abort_runs(self, fingerprint):
        aborted = list(self._active_runs.get(fingerprint, ()))
        aborted += [
            run for run in self._parts.runs_with(fingerprint) if not run.relayed_events
        ]
        for run in aborted:
            log.info("run-stopped", target=run.entry.id, fingerprint=fingerprint.hex())
            run.abort(IncompleteResponse("the request is quarantined"))

    def record_answered(self, call, run):
        """Record that a target has answered a request completely, which clears it.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        self._parts.record_answer(call, run)
        fingerprint = call.fingerprint
        was_suspected = self._suspects.record_answered(fingerprint, _now())
        if self._verdicts.get(fingerprint) is not None:
            self._lift_quarantine(fingerprint)
        elif was_suspected:
            log.info("suspect-cleared", fingerprint=fingerprint.hex())

    def _lift_quarantine(self, fingerprint):
        """Lift a quarantine at all daemons, after a complete answer to the request."""
        log.warning("quarantine-lifted", fingerprint=fingerprint.hex())
        self._verdicts.drop(fingerprint)
        self._spawn(self._remove_stored_verdict(fingerprint))
        self._broadcast(RequestCleared(fingerprint))

    def record_failed(self, call, run):
        """Record a failed run; report it if the target broke it off and has exited.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        is_probe = self._parts.is_probe(call)
        # A trial and a probe last for one run.
        self.record_finished(call)
        if run.ended_by_target:
            self._reporting.report_if_exited(call, run, is_probe)

    def retry_delay_s(self, call, run):
        """Return the seconds for which a request waits after a failed run.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        return self._parts.retry_delay_s(call) if run.ended_by_target else 0.0

    # Verdicts.

    def _evaluate_report(self, report):
        fingerprint = report.fingerprint
        if self._verdicts.get(fingerprint) is not None:
            return
        if not self._suspects.add_report(report, _now()):
            self._save_reports(fingerprint)
            return
        incarnations = self._suspects.exited_incarnations(fingerprint)
        log.warning(
            "quarantined",
            fingerprint=fingerprint.hex(),
            targets=",".join(target for target, _ in incarnations),
            term_s=QUARANTINE_S,
        )
        self._issue_verdict(fingerprint)

    def _convict_part(self, part, targets):
        log.warning(
            "part-quarantined",
            fingerprint=part.hex(),
            targets=",".join(targets),
            term_s=QUARANTINE_S,
        )
        self._issue_verdict(part)

    def _issue_verdict(self, fingerprint):
        self._apply_verdict(Verdict(fingerprint, _now() + QUARANTINE_S))
        self._broadcast(QuarantineUpdate((Verdict(fingerprint, QUARANTINE_S),)))
        self._save_unsaved_verdicts()

    def _save_reports(self, fingerprint):
        """Store the reports on a request that may soon be convicted.

        All daemons may restart between two exits of targets. When they did every 6 s, a
        request that ended two targets each time was never convicted and ended nine.
        """
        reports = self._suspects.reports_to_store(fingerprint)
        if reports and is_first_evaluator(self._peers, fingerprint):
            self._spawn(self._write_reports(reports))

    async def _write_reports(self, reports):
        try:
            await self._store.add_reports(reports)
        except StoreError as error:
            # The evaluators hold them; they are lost only if all evaluators exit now.
            log.warning("reports-not-kept", error=error.code, why=error)

    def _apply_verdict(self, verdict):
        """Apply a verdict with ``until`` in loop time; return whether it was new."""
        fingerprint = verdict.fingerprint
        if self._suspects.was_answered(fingerprint, _now()):
            # It is from evaluators that did not know of the answer, or from a daemon
            # that has missed that the quarantine was lifted.
            if self._suspects.was_answered_here(fingerprint):
                self._lift_quarantine(fingerprint)
            return False
        if self._parts.is_outdated(verdict):
            return False
        self._suspects.drop(fingerprint)
        self._parts.handle_verdict(fingerprint)
        if not self._verdicts.add(verdict):
            return False
        # The evaluator that convicts a request need not be the one that stores it.
        self._unsaved_fingerprints.add(fingerprint)
        self._abort_runs(fingerprint)
        return True

    def handle_message(self, message):
        """Apply a message of another daemon.

        :param message: one of the messages on crashes and quarantines of
            :mod:`cowslipcourse.peer_protocol`.
        """
        if isinstance(message, CrashReports):
            for report in message.reports:
                self._evaluate_report(report)
        elif isinstance(message, QuarantineUpdate):
            if self._apply_relative_verdicts(message.verdicts, "peer"):
                self._save_unsaved_verdicts()
        elif isinstance(message, RequestCleared):
            self._suspects.record_answered(message.fingerprint, _now(), is_local=False)
            if self._verdicts.drop(message.fingerprint):
                log.info("quarantine-lifted", fingerprint=message.fingerprint.hex())
        else:
            self._parts.handle_message(message)

    def _apply_relative_verdicts(self, verdicts, source):
        """Apply verdicts with ``until`` in seconds from now.

        :param source: origin of the verdicts, for the log.
        :returns: fingerprints of those that were new.
        """
        now = _now()
        new_fingerprints = set()
        for verdict in verdicts:
            if self._apply_verdict(verdict._replace(until=now + verdict.until)):
                new_fingerprints.add(verdict.fingerprint)
                log.info(
                    "quarantine-learnt",
                    fingerprint=verdict.fingerprint.hex(),
                    source=source,
                    left_s=round(verdict.until, 1),
                )
        return new_fingerprints

    # Repetition and storage.

    async def run(self):
        """Read the stored verdicts and reports, then repeat verdicts forever."""
        self._spawn(self._read_stored())
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            self._repeat_verdicts(_now())

    def _repeat_verdicts(self, now):
        for verdict in self._verdicts:
            if now > verdict.until + VERDICT_RETENTION_S:
                self._verdicts.drop(verdict.fingerprint)
        self._parts.expire_holds(now)
        self._save_unsaved_verdicts()
        self._parts.repeat_lifts(now)
        addresses = self._peers.shared_repeat_addresses() if len(self._verdicts) else ()
        if not addresses:
            return
        verdicts = sorted(self._verdicts)
        start = self._repeat_offset % len(verdicts)
        repeated = (verdicts[start:] + verdicts[:start])[:MAX_REPEATED_VERDICTS]
        self._repeat_offset = start + len(repeated)
        relative_verdicts = tuple(
            verdict._replace(until=verdict.until - now) for verdict in repeated
        )
        self._peers.send(QuarantineUpdate(relative_verdicts), addresses)

    def _broadcast(self, message):
        self._peers.broadcast(message)
        loop = asyncio.get_running_loop()
        loop.call_later(UPDATE_RESEND_DELAY_S, self._peers.broadcast, message)

    def _save_unsaved_verdicts(self):
        """Store unsaved verdicts of which this daemon is the first evaluator."""
        unsaved = {
            each for each in self._unsaved_fingerprints if self._verdicts.get(each)
        }
        due_fingerprints = {
            each for each in unsaved if is_first_evaluator(self._peers, each)
        }
        self._unsaved_fingerprints = unsaved - due_fingerprints
        if due_fingerprints:
            self._spawn(self._write_verdicts(due_fingerprints))

    def mark_all_unsaved(self):
        """Mark all verdicts to be stored again, as the store may have lost some."""
        self._unsaved_fingerprints |= {
            verdict.fingerprint for verdict in self._verdicts
        }

    async def _write_verdicts(self, due_fingerprints):
        now = _now()
        # All verdicts, as another writer may have corrupted the row.
        relative_verdicts = [
            each._replace(until=each.until - now) for each in self._verdicts
        ]
        try:
            await self._store.add_verdicts(relative_verdicts)
        except StoreError as error:
            log.warning("verdict-not-kept", error=error.code, why=error)
            self._unsaved_fingerprints |= due_fingerprints

    async def _remove_stored_verdict(self, fingerprint):
        try:
            await self._store.remove_verdict(fingerprint)
        except (StoreError, MalformedResponse) as error:
            # It is tried again at its next trial, which this one has postponed.
            log.warning("verdict-not-removed", error=error.code, why=error)

    async def _read_stored(self):
        while True:
            try:
                stored = await self._store.read()
                self._unsaved_fingerprints -= self._apply_relative_verdicts(
                    stored.verdicts, "store"
                )
                for report in stored.reports:
                    self._evaluate_report(report)
                self._parts.add_stored_exits(stored.exits)
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
