"""Evaluation of the parts of prompts at crashes, together with the other daemons.

A crash is reported to the evaluators of each part of the prompt. Once a part is at
several crashes, one of them asks all daemons for answers to requests with it; daemons
that know of one, or get one soon, tell the evaluators, which clears the part.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import StoreError
from cowslipcourse.peer_protocol import (
    PartAnswers,
    PartCleared,
    PartCrashes,
    PartInquiry,
)
from cowslipcourse.quarantine import PartAnswer, PartCrash
from cowslipcourse.quarantine.prompt_parts import (
    QUARANTINE_CRASHES,
    ObservedExits,
    PartSuspects,
    SoundParts,
)
from cowslipcourse.quarantine.verdicts import MAX_PARTS
from cowslipcourse.quarantine_runtime.crash_reporting import evaluators
from cowslipcourse.quarantine_runtime.part_lifts import PartLifts

__all__ = ["PartEvaluation"]

REPORT_RESEND_DELAYS_S = (0.4, 2.0, 5.0)
"""Delays after which a report is sent once more: a datagram may be lost, or a daemon
isolated for some seconds."""
POLL_INTERVAL_S = 0.1
"""Interval at which suspected parts are evaluated."""
ACTIVE_S = 10.0
"""Time after its last crash for which a part is asked about and evaluated."""
INQUIRING_S = 1.5
"""Time after its last crash for which a part is asked about. All daemons go on telling
of new answers for :data:`ACTIVE_S` after each inquiry."""
INQUIRY_INTERVAL_S = 0.5
INQUIRY_DELAY_PER_RANK_S = 0.15
"""Additional delay for each evaluator of higher rank, which only asks if it sees no
inquiry of theirs."""
INQUIRY_WAIT_S = 0.3
"""Time from the first inquiry until a part is convicted: answers have arrived by
then."""
ANSWER_INTERVAL_S = 1.0
"""Least interval between two messages of a daemon on new answers to one part: at 410
daemons each evaluator gets as many a second for a part in use everywhere."""
REPLY_INTERVAL_S = 0.3
"""Least interval between two replies of a daemon to inquiries about one part."""
MAX_ANSWER_AGE_S = 3_600.0
MAX_CONVICTED = 512
"""Convicted parts whose crashes are remembered, in case an answer arrives late."""

log = get_logger(__name__)


class PartEvaluation:
    """Reports crashes by parts of prompts, exchanges answers, and convicts parts.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param verdicts: :class:`~cowslipcourse.quarantine.Verdicts` in force.
    :param store: :class:`~cowslipcourse.quarantine.VerdictStore`
    :param convict: callable for each part that is convicted here, with the targets that
        it crashed.
    :param broadcast: callable that sends a message to all daemons, twice.
    """

    def __init__(self, peers, verdicts, store, convict, broadcast):
        self._peers = peers
        self._verdicts = verdicts
        self._store = store
        self._convict = convict
        self._lifts = PartLifts(peers, verdicts, store, broadcast)
        self._suspects = PartSuspects()
        self._sound = SoundParts()
        self._observed_exits = ObservedExits()
        self._inquiries = {}
        self._watched_until = {}
        self._answer_sent_at = {}
        self._crash_times_by_convicted = {}
        self._poll_task = None
        self._tasks = set()

    @property
    def suspect_count(self):
        """Number of crashes under evaluation."""
        return len(self._suspects)

    # Observations of this daemon.

    def report_crash(self, call, report):
        """Report an exit under a request; as a crash if its answer had just begun.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param report: :class:`~cowslipcourse.quarantine.CrashReport`
        """
        parts = call.part_fingerprints[:MAX_PARTS]
        if not parts:
            return
        incarnation = report.target, report.incarnation
        self._observed_exits.record(parts[0], incarnation, _now())
        is_evidence = report.has_begun and not report.relayed_events
        log.info(
            "part-crash",
            request=call.id,
            parts=",".join(part.hex() for part in parts),
            target=report.target,
            begun=report.has_begun,
            events=report.relayed_events,
            counts=is_evidence,
        )
        if not is_evidence:
            return
        crash = PartCrash(
            report.fingerprint, parts, report.target, report.incarnation, 0.0
        )
        crashed_at = _now()
        self._send_crash(crash, crashed_at)
        loop = asyncio.get_running_loop()
        for delay_s in REPORT_RESEND_DELAYS_S:
            loop.call_later(delay_s, self._send_crash, crash, crashed_at)

    def _send_crash(self, crash, crashed_at):
        crash = crash._replace(age_s=_now() - crashed_at)
        addresses = {
            address for part in crash.parts for address in evaluators(self._peers, part)
        }
        if self._peers.address in addresses:
            self._add_crashes([crash])
        self._peers.send(
            PartCrashes((crash,)), sorted(addresses - {self._peers.address})
        )

    def record_answer(self, call, run):
        """Record that a target answers a request, which clears the parts of its prompt.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        parts = call.part_fingerprints
        if not parts:
            return
        now = _now()
        self._sound.record(parts, run.sent_at)
        for part in parts:
            if self._suspects.is_suspected(part) or part in self._watched_until:
                log.info(
                    "part-answer",
                    request=call.id,
                    part=part.hex(),
                    target=run.entry.id,
                    whole=run.succeeded,
                    events=run.relayed_events,
                )
            verdict = self._verdicts.get(part)
            if verdict is not None and verdict.issued_at <= run.sent_at:
                self._lift(part)
                continue
            if self._suspects.is_suspected(part):
                self._suspects.record_answer(part, run.sent_at)
            if verdict is not None or self._watched_until.get(part, 0.0) > now:
                self._send_answer(part, now, ANSWER_INTERVAL_S)

    # Messages of other daemons.

    def handle_message(self, message):
        """Apply a message of another daemon.

        :param message: :class:`~cowslipcourse.peer_protocol.PartCrashes`,
            :class:`~cowslipcourse.peer_protocol.PartInquiry`,
            :class:`~cowslipcourse.peer_protocol.PartAnswers` or
            :class:`~cowslipcourse.peer_protocol.PartCleared`
        """
        if isinstance(message, PartCrashes):
            self._add_crashes(message.crashes)
        elif isinstance(message, PartInquiry):
            self._handle_inquiry(message.parts)
        elif isinstance(message, PartCleared):
            self._lifts.handle_message(message)
            self._clear(message.part, _now() - message.age_s)
        else:
            now = _now()
            for answer in message.answers:
                self._apply_answer(answer.part, now - answer.age_s)

    def add_stored_crashes(self, crashes):
        """Add crashes that were read from the store."""
        self._add_crashes(crashes, is_stored=True)

    def _add_crashes(self, crashes, is_stored=False):
        now = _now()
        for crash in crashes:
            if any(self._verdicts.get(part) is not None for part in crash.parts):
                continue
            self._suspects.add_crash(crash, now, is_stored)
            if not is_stored:
                self._save(crash, now)
        self._start_polling(now)

    def _save(self, crash, now):
        """Store the crashes by the parts of which this daemon is the first evaluator.

        All daemons may restart between two crashes.
        """
        for part in crash.parts:
            if evaluators(self._peers, part)[0] == self._peers.address:
                reports = self._suspects.reports_to_store(part, now)
                if reports:
                    task = asyncio.create_task(self._write(reports))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

    async def _write(self, reports):
        try:
            await self._store.add_part_crashes(reports)
        except StoreError as error:
            # The evaluators hold them; they are lost only if all evaluators exit now.
            log.warning("reports-not-kept", error=error.code, why=error)

    def _handle_inquiry(self, parts):
        now = _now()
        self._expire_watches(now)
        for part in parts:
            first_at, _ = self._inquiries.get(part, (now, now))
            self._inquiries[part] = first_at, now
            self._watched_until[part] = now + ACTIVE_S
            if now - self._sound.last_sent_at(part) < MAX_ANSWER_AGE_S:
                self._send_answer(part, now, REPLY_INTERVAL_S)

    def _expire_watches(self, now):
        for part, until in list(self._watched_until.items()):
            if until <= now:
                del self._watched_until[part]
                for interval_s in (ANSWER_INTERVAL_S, REPLY_INTERVAL_S):
                    self._answer_sent_at.pop((part, interval_s), None)
                self._inquiries.pop(part, None)

    def _send_answer(self, part, now, interval_s):
        """Tell the evaluators of a part when the last answered request was sent.

        :param interval_s: least interval between two such messages for this reason.
        """
        key = part, interval_s
        if now - self._answer_sent_at.get(key, float("-inf")) < interval_s:
            return
        self._answer_sent_at[key] = now
        sent_at = self._sound.last_sent_at(part)
        addresses = evaluators(self._peers, part)
        self._peers.send(
            PartAnswers((PartAnswer(part, now - sent_at),)),
            [address for address in addresses if address != self._peers.address],
        )
        if self._peers.address in addresses:
            self._apply_answer(part, sent_at)

    def _apply_answer(self, part, sent_at):
        self._suspects.record_answer(part, sent_at)
        crash_times = self._crash_times_by_convicted.get(part)
        if crash_times is None or self._verdicts.get(part) is None:
            return
        if sum(at >= sent_at for at in crash_times) < QUARANTINE_CRASHES:
            self._lift(part)

    def drop_explained(self, part):
        """Drop the crashes that a part explains which another evaluator convicted."""
        self._suspects.convict(part)

    def is_outdated(self, verdict):
        """Whether the quarantine of a part was lifted after a verdict on it."""
        return self._lifts.is_outdated(verdict)

    def repeat_lifts(self, now):
        """Repeat the latest lifts; see :meth:`PartLifts.repeat`."""
        self._lifts.repeat(now)

    def _lift(self, part):
        if self._lifts.lift(part):
            self._clear(part, _now())

    def _clear(self, part, lifted_at):
        """Drop the evidence against a part from before its quarantine was lifted."""
        self._suspects.record_answer(part, lifted_at)
        self._crash_times_by_convicted.pop(part, None)

    # Evaluation.

    def _start_polling(self, now):
        is_running = self._poll_task is not None and not self._poll_task.done()
        if not is_running and self._suspects.suspected_parts(now - ACTIVE_S):
            self._poll_task = asyncio.create_task(self._run_polls())

    async def _run_polls(self):
        suspected_since = {}
        while parts := self._suspects.suspected_parts(_now() - ACTIVE_S):
            now = _now()
            new_parts = [part for part in parts if part not in suspected_since]
            if new_parts:
                log.info(
                    "parts-suspected",
                    parts=",".join(part.hex() for part in new_parts),
                    crashes=len(self._suspects),
                )
            suspected_since = {part: suspected_since.get(part, now) for part in parts}
            self._inquire(suspected_since, now)
            self._convict_due_parts(now)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _inquire(self, suspected_since, now):
        """Ask all daemons about suspected parts, unless another evaluator does."""
        due = [
            part
            for part in self._suspects.suspected_parts(now - INQUIRING_S)
            if self._asks(part, suspected_since[part])
        ]
        for first in range(0, len(due), MAX_PARTS):
            parts = tuple(due[first : first + MAX_PARTS])
            self._peers.send(PartInquiry(parts), self._peers.all_addresses())
            self._handle_inquiry(parts)

    def _asks(self, part, suspected_since):
        """Whether it is this daemon's turn to ask about a part."""
        ranked = evaluators(self._peers, part)
        if self._peers.address not in ranked:
            return False
        asked_at = self._inquiries.get(part, (0.0, float("-inf")))[1]
        due_at = max(asked_at + INQUIRY_INTERVAL_S, suspected_since)
        rank = ranked.index(self._peers.address)
        return _now() - due_at >= rank * INQUIRY_DELAY_PER_RANK_S

    def _convict_due_parts(self, now):
        while part := self._next_due_part(now):
            times = self._suspects.convict(part)
            self._remember_conviction(part, times)
            self._convict(part, [target for target, _ in times])

    def _next_due_part(self, now):
        """Return the most suspect part that is due and was asked about, or ``None``."""
        due = self._suspects.due_parts(now, self._sound, self._observed_exits)
        for part in due:
            asked_since, _ = self._inquiries.get(part, (now, now))
            if now - asked_since >= INQUIRY_WAIT_S:
                return part
        return None

    def _remember_conviction(self, part, times):
        self._crash_times_by_convicted[part] = list(times.values())
        if len(self._crash_times_by_convicted) > MAX_CONVICTED:
            del self._crash_times_by_convicted[
                next(iter(self._crash_times_by_convicted))
            ]


def _now():
    return asyncio.get_running_loop().time()
