"""Evaluation of the parts of prompts at the exits of targets.

Each daemon reports the requests that it had in flight at a target that exited to the
evaluators of the service. These weigh the parts of the prompts against each other, hold
the suspected ones and convict the cause.
"""

import asyncio
import contextlib
from collections import OrderedDict

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import StoreError
from cowslipcourse.peer_protocol import (
    ExitReports,
    PartAnswers,
    PartCleared,
    PartHold,
    PartInquiry,
    ProbeGrant,
    ProbeRequest,
)
from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES
from cowslipcourse.quarantine.part_evidence import (
    MIN_EXITS,
    PartEvidence,
    WeighingContext,
)
from cowslipcourse.quarantine.part_holds import HOLD_S, SURVIVAL_S, PartHolds
from cowslipcourse.quarantine.part_shares import PoolHistories
from cowslipcourse.quarantine_runtime.crash_reporting import service_evaluators
from cowslipcourse.quarantine_runtime.exit_reporting import ExitReporting
from cowslipcourse.quarantine_runtime.part_answers import PartAnswerExchange
from cowslipcourse.quarantine_runtime.part_lifts import PartLifts
from cowslipcourse.quarantine_runtime.pool_runs import PoolRuns, pool_key
from cowslipcourse.quarantine_runtime.probe_permits import ProbePermits
from cowslipcourse.quarantine_runtime.weight_log import WeightLog

__all__ = ["PartEvaluation"]

POLL_INTERVAL_S = 0.1
"""Interval at which suspected parts are weighed without anything new."""
MIN_WEIGHING_INTERVAL_S = 0.05
"""Least interval between two weighings: reports of one exit come together."""
WEIGHING_INTERVAL_PER_EXIT_S = 0.005
"""The same for each exit that is kept: a weighing takes up to 0.4 ms for each."""
RETRY_DELAY_S = 0.25
"""Time from an exit until a request that may be the cause is sent again: the exit has
been weighed by then, and a second one does not count as part of the same loss."""
ACTIVE_S = 10.0
"""Time after its last exit for which a part is weighed."""
HOLD_PROBABILITY = 0.2
"""Probability from which a part is held. Holding a sound part delays its requests by
some seconds; sending a bad one costs all requests at a target. A part that more than
this fraction of the requests have is held from that probability on."""
RELEASE_PROBABILITY = 0.02
"""Probability below which it is released, though no request with it was answered."""
LIFT_PROBABILITY = 0.1
OTHER_CAUSE_PROBABILITY = 0.9
"""Probabilities of a quarantined part and of another one, below and above which the
quarantine is lifted: later exits have shown that the other part is the cause."""
CONVICTION_DELAY_PER_RANK_S = 0.05
"""Additional delay for each evaluator of higher rank, which only convicts if it hears
of no verdict of theirs."""
MAX_SERVICES = 16
MAX_CONVICTED = 512
"""Convicted parts whose exits are remembered, in case an answer arrives late."""

log = get_logger(__name__)


class PartEvaluation:
    """Reports exits by the parts of prompts, exchanges answers, and convicts parts.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param verdicts: :class:`~cowslipcourse.quarantine.Verdicts` in force.
    :param store: :class:`~cowslipcourse.quarantine.VerdictStore`
    :param convict: callable for each part that is convicted here, with the targets that
        exited under it.
    :param broadcast: callable that sends a message to all daemons, twice.
    """

    def __init__(self, peers, verdicts, store, convict, broadcast):
        self._peers = peers
        self._verdicts = verdicts
        self._holds = PartHolds()
        self._permits = ProbePermits(peers, self._holds)
        self._store = store
        self._convict = convict
        self._broadcast = broadcast
        self._lifts = PartLifts(peers, verdicts, store, broadcast)
        self._histories = PoolHistories()
        self._runs = PoolRuns()
        self._exit_reporting = ExitReporting(
            peers, self._runs, self._histories, self._add_reports
        )
        self._answers = PartAnswerExchange(peers, self._handle_answer)
        self._evidence = OrderedDict()
        self._exit_times_by_convicted = OrderedDict()
        self._weight_log = WeightLog()
        self._news = asyncio.Event()
        self._poll_task = None
        self._has_unsaved = False
        self._tasks = set()

    @property
    def exit_count(self):
        """Number of exits under evaluation."""
        return sum(map(len, self._evidence.values()))

    @property
    def hold_count(self):
        """Number of parts that are held."""
        return len(self._holds)

    # Holds.

    def is_held(self, call):
        """Whether a request has a held part, and is not the probe of it.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        return bool(self._holds) and self._holds.is_held(call.part_fingerprints, call)

    async def start_probe(self, call):
        """Let a request with held parts through if it is permitted.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :returns: whether it is.
        """
        held = self._holds.held_parts(call.part_fingerprints)
        if not await self._permits.acquire(held):
            return False
        self._holds.start_probe(held, call)
        return True

    def is_probe(self, call):
        """Whether a request was let through although a part of it is held."""
        return self._holds.is_probe(call)

    def end_probe(self, call):
        """Record that a probe is over, or will not be sent again."""
        self._holds.end_probe(call)

    def expire_holds(self, now):
        """Release the parts at no exit for a while that targets survive."""
        self._record_survived_runs(now)
        for part in self._holds.expire(now):
            log.info("part-released", part=part.hex(), why="expired")

    def _record_survived_runs(self, now):
        for part in list(self._holds):
            for run in self._runs.with_part(part):
                if run.answer_started and now - run.begun_at >= SURVIVAL_S:
                    self._holds.record_survived(part, run.begun_at)

    # Observations of this daemon.

    def record_request(self, call):
        """Record that a request has come.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        if call.part_fingerprints:
            history = self._histories.of_pool(pool_key(call))
            history.sample.add(call.part_fingerprints)

    def tracking(self, call, run):
        """Return a context in which a run counts as in flight.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        if not call.part_fingerprints:
            return contextlib.nullcontext()
        return self._runs.tracking(call, run)

    def runs_with(self, part):
        """Return the runs in flight of requests with a part."""
        return self._runs.with_part(part)

    def record_broken(self, call, run):
        """Record that a target has broken off a request with shared parts."""
        self._exit_reporting.record_broken(call, run)

    def report_exit(self, target_key, runs):
        """Report a target that has exited; see :meth:`ExitReporting.report_exit`."""
        self._exit_reporting.report_exit(target_key, runs)

    def retry_delay_s(self, call):
        """Return the seconds for which a request waits that its target broke off.

        It may be the cause if this daemon knows of no answer with one of its parts; its
        next target must not exit before the exit of the last one has been weighed.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        """
        is_unproven = any(
            self._answers.answered_at(part) == float("-inf")
            for part in call.part_fingerprints
        )
        return RETRY_DELAY_S if is_unproven else 0.0

    def record_answer(self, call, run):
        """Record a whole answer, which clears the parts of its prompt of earlier exits.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        begun_at = run.begun_at
        if call.part_fingerprints:
            history = self._histories.of_pool(pool_key(call))
            history.record_answer(call.part_fingerprints, begun_at)
        for part in call.part_fingerprints:
            if self._is_at_exit(part) or self._answers.is_watched(part):
                log.info(
                    "part-answer",
                    request=call.id,
                    part=part.hex(),
                    target=run.entry.id,
                    begun_s=round(_now() - begun_at, 3),
                )
            self._answers.record_own(part, begun_at)
            self._holds.record_survived(part, begun_at)
            verdict = self._verdicts.get(part)
            if verdict is None:
                continue
            if verdict.issued_at <= begun_at:
                self._lift(part)
            else:
                self._answers.tell(part)

    def _is_at_exit(self, part):
        evidence = self._evidence.get(part[:SERVICE_BYTES])
        return evidence is not None and evidence.has_part(part)

    # Messages of other daemons.

    def handle_message(self, message):
        """Apply a message of another daemon.

        :param message: :class:`~cowslipcourse.peer_protocol.ExitReports`,
            :class:`~cowslipcourse.peer_protocol.PartInquiry`,
            :class:`~cowslipcourse.peer_protocol.PartAnswers`,
            :class:`~cowslipcourse.peer_protocol.PartHold`,
            :class:`~cowslipcourse.peer_protocol.ProbeRequest`,
            :class:`~cowslipcourse.peer_protocol.ProbeGrant`,
            :class:`~cowslipcourse.peer_protocol.PartCleared`, or that of an earlier
            build on a crash, which says too little to be weighed.
        """
        if isinstance(message, ExitReports):
            self._add_reports(message.reports)
        elif isinstance(message, PartInquiry):
            self._answers.handle_inquiry(message.parts)
        elif isinstance(message, PartAnswers):
            self._answers.handle_answers(message)
        elif isinstance(message, PartHold):
            self._hold(message.part, _now() - message.age_s)
        elif isinstance(message, ProbeRequest):
            self._permits.handle_request(message)
        elif isinstance(message, ProbeGrant):
            self._permits.handle_grant(message)
        elif isinstance(message, PartCleared):
            self._lifts.handle_message(message)
            self._clear(message.part, _now() - message.age_s)

    def add_stored_exits(self, exits):
        """Add exits that were read from the store."""
        now = _now()
        for each in exits:
            self._evidence_of(each.parts[0].part).add_stored(each, now)

    def _add_reports(self, reports):
        now = _now()
        for report in reports:
            self._evidence_of(report.parts[0].part).add_report(report, now)
        self._has_unsaved = True
        self._news.set()
        self._start_polling()

    def _evidence_of(self, part):
        service = part[:SERVICE_BYTES]
        if service not in self._evidence:
            self._evidence[service] = PartEvidence()
            if len(self._evidence) > MAX_SERVICES:
                self._evidence.popitem(last=False)
        return self._evidence[service]

    def _handle_answer(self, part, begun_at):
        exit_times = self._exit_times_by_convicted.get(part)
        if exit_times is None or self._verdicts.get(part) is None:
            return
        if sum(at >= begun_at for at in exit_times) < MIN_EXITS:
            self._lift(part)

    def handle_verdict(self, part):
        """Record that a part was quarantined, by this daemon or another one."""
        self._holds.release(part)

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
        self._answers.forget_before(part, lifted_at)
        self._exit_times_by_convicted.pop(part, None)

    # Evaluation.

    def _start_polling(self):
        is_running = self._poll_task is not None and not self._poll_task.done()
        if not is_running and self._suspected_parts(_now() - ACTIVE_S):
            self._poll_task = asyncio.create_task(self._run_polls())

    def _suspected_parts(self, since):
        return [
            part
            for evidence in self._evidence.values()
            for part in evidence.suspected_parts(self._answers.answered_at, since)
        ]

    async def _run_polls(self):
        suspected_since = {}
        while self._suspected_parts(_now() - ACTIVE_S):
            self._news.clear()
            self._weigh_services(suspected_since)
            self._save_new_exits(suspected_since)
            interval_s = WEIGHING_INTERVAL_PER_EXIT_S * self.exit_count
            await asyncio.sleep(max(MIN_WEIGHING_INTERVAL_S, interval_s))
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._news.wait()
            except TimeoutError:
                """Waiting times may have ended, or answers have come."""
        self._weight_log.clear()

    def _weigh_services(self, suspected_since):
        now = _now()
        weighed = set()
        for evidence in list(self._evidence.values()):
            context = WeighingContext(
                now,
                self._answers.answered_at,
                self._answers.is_asked,
                self._expected_answers,
                self._daemon_count,
                self._is_refused,
                self._holds.held_since,
            )
            weights = evidence.weigh(context)
            self._weight_log.log(weights)
            for weight in weights:
                weighed.add(weight.part)
                suspected_since.setdefault(weight.part, now)
                self._act(weight, weights[0], now)
        suspected = set(self._suspected_parts(float("-inf")))
        for part in set(suspected_since) - weighed:
            del suspected_since[part]
            if part not in suspected:
                self._act_on_cleared(part)
        self._answers.inquire(suspected_since)

    def _expected_answers(self, part, since):
        """Return how many answers with a part would have been begun, were it sound.

        While it is held no requests with it are sent.
        """
        now = _now()
        until = min(self._holds.held_since(part, now), now)
        return self._histories.expected_answers(part, since, until)

    @property
    def _daemon_count(self):
        # Also those that this daemon does not reach now have requests in flight.
        return len(self._peers.all_addresses()) + 1

    def _is_refused(self, part):
        return self._verdicts.get(part) is not None or part in self._holds

    def _act(self, weight, worst, now):
        """Convict, hold or release a part as its weight says.

        :param worst: :class:`PartWeight` of the most suspect part of the service.
        """
        part = weight.part
        if self._verdicts.get(part) is not None:
            if (
                weight.probability < LIFT_PROBABILITY
                and worst.probability > OTHER_CAUSE_PROBABILITY
            ):
                self._lift_own(part)
        elif not weight.obstacle:
            if self._is_turn(part, weight, now):
                self._exit_times_by_convicted[part] = list(weight.exits.values())
                if len(self._exit_times_by_convicted) > MAX_CONVICTED:
                    self._exit_times_by_convicted.popitem(last=False)
                self._convict(part, [target for target, _ in weight.exits])
        elif weight.probability >= max(HOLD_PROBABILITY, weight.share):
            is_new = weight.last_at > self._holds.last_exit_at(part)
            if is_new and now - weight.last_at < HOLD_S:
                self._announce_hold(part, weight.last_at, now)
        elif weight.probability < RELEASE_PROBABILITY and self._holds.release(part):
            log.info("part-released", part=part.hex(), why="improbable")

    def _act_on_cleared(self, part):
        """Release or lift a part that is no longer suspected."""
        if self._holds.release(part):
            log.info("part-released", part=part.hex(), why="answered")
        if self._verdicts.get(part) is not None:
            self._lift_own(part)

    def _lift_own(self, part):
        """Lift a quarantine if this daemon has convicted the part."""
        if part in self._exit_times_by_convicted:
            self._lift(part)

    def _is_turn(self, part, weight, now):
        """Whether no evaluator of lower rank has had the time to convict a part."""
        ranked = service_evaluators(self._peers, part)
        if self._peers.address not in ranked:
            return False
        rank = ranked.index(self._peers.address)
        return now - weight.last_at >= rank * CONVICTION_DELAY_PER_RANK_S

    def _announce_hold(self, part, exited_at, now):
        """Hold a part here, and at all daemons if this one is the first evaluator."""
        self._hold(part, exited_at)
        if service_evaluators(self._peers, part)[0] == self._peers.address:
            self._broadcast(PartHold(part, max(0.0, now - exited_at)))

    def _hold(self, part, exited_at):
        if self._verdicts.get(part) is None and self._holds.hold(part, exited_at):
            log.warning("part-held", part=part.hex())

    # Storage.

    def _save_new_exits(self, suspected_since):
        """Store what is known of the suspected parts, if this daemon is to do it.

        All daemons may restart between two exits.
        """
        if not self._has_unsaved:
            return
        self._has_unsaved = False
        exits = []
        for evidence in self._evidence.values():
            parts = {part for part in suspected_since if evidence.has_part(part)}
            if parts and self._is_first_evaluator(next(iter(parts))):
                exits += evidence.exits_to_store(parts, self._daemon_count, _now())
        if exits:
            task = asyncio.create_task(self._write(exits))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _is_first_evaluator(self, part):
        return service_evaluators(self._peers, part)[0] == self._peers.address

    async def _write(self, exits):
        try:
            await self._store.add_exits(exits)
        except StoreError as error:
            # The evaluators hold them; they are lost only if all evaluators exit now.
            log.warning("reports-not-kept", error=error.code, why=error)


def _now():
    return asyncio.get_running_loop().time()
