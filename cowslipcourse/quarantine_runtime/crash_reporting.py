"""Reports of target exits to the daemons that evaluate the affected requests.

The evaluators of a request, or of a part of prompts, are the daemons that come first by
a hash of fingerprint and address. All daemons compute the same ones, so that exits seen
by several daemons are counted together.
"""

import asyncio
import contextlib
import hashlib
from typing import NamedTuple, Protocol

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peer_protocol import CrashReports
from cowslipcourse.quarantine import CrashReport, Stage, run_stage
from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES

__all__ = [
    "CrashReporting",
    "ExitObserver",
    "ExitedRun",
    "QuarantinePeers",
    "UnloadedPartEvaluation",
    "evaluators",
    "is_first_evaluator",
    "service_evaluators",
]

EVALUATORS_PER_FINGERPRINT = 8
"""Daemons that evaluate a fingerprint: all of them on the smallest sites. On larger
ones the sets of two daemons may differ slightly while a daemon starts or stops."""
RANK_BYTES = 8

REPORT_RESEND_DELAY_S = 0.4
"""Delay after which a report is sent once more, unless its request has been answered by
then. Most requests that only ran beside the cause of an exit have been, and traffic
between data centres is billed."""
MAX_DATAGRAM_REPORTS = 64
"""Reports in one datagram, 5 KB; many targets may exit at the same moment."""

log = get_logger(__name__)


class QuarantinePeers(Protocol):
    """Messaging between daemons, as the quarantine uses it."""

    @property
    def address(self) -> str:
        """This daemon's own address."""

    def alive_addresses(self) -> list[str]:
        """Return the addresses of the other daemons that are alive."""

    def all_addresses(self) -> list[str]:
        """Return the addresses of all other daemons that are known."""

    def shared_repeat_addresses(self) -> list[str]:
        """Return the addresses to repeat verdicts to; empty if another daemon does."""

    def send(self, message, addresses) -> None:
        """Send a message to some daemons, once; it may be lost."""

    def broadcast(self, message) -> None:
        """Send a message to all other daemons, once; it may be lost."""


class ExitedRun(NamedTuple):
    """A request with shared parts in its prompt, at a target that has exited.

    :param call: :class:`~cowslipcourse.entry.calls.Call`
    :param stage: :class:`~cowslipcourse.quarantine.Stage` of its answer.
    :param is_retry: whether it was sent after an earlier attempt that may have run had
        ended.
    """

    call: object
    stage: Stage
    is_retry: bool


class ExitObserver(Protocol):
    """Evaluates exits of targets by the parts of prompts."""

    def record_broken(self, call, run) -> None:
        """Record that a target has broken off a request with shared parts."""

    def report_exit(self, target_key, runs) -> None:
        """Report a target that has exited, with the :class:`ExitedRun` list there."""


class UnloadedPartEvaluation:
    """Holds, reports and evaluates nothing, until the evaluation of parts is loaded.

    Implements :class:`ExitObserver`. For the other methods see
    :class:`~cowslipcourse.quarantine_runtime.part_evaluation.PartEvaluation`.
    """

    exit_count = 0
    hold_count = 0

    def __init__(self):
        self.stored_exits = []

    def add_stored_exits(self, exits):
        """Keep exits that were read from the store."""
        self.stored_exits += exits

    def is_held(self, call):
        """Return that nothing is held."""
        return False

    def is_probe(self, call):
        """Return that no request is a probe."""
        return False

    def end_probe(self, call):
        """Ignore a request, which is no probe."""

    def expire_holds(self, now):
        """Release nothing."""

    def record_request(self, call):
        """Ignore a request."""

    def tracking(self, call, run):
        """Return a context that does nothing."""
        return contextlib.nullcontext()

    def runs_with(self, part):
        """Return no runs."""
        return []

    def record_broken(self, call, run):
        """Ignore a run."""

    def retry_delay_s(self, call):
        """Return that no request waits."""
        return 0.0

    def report_exit(self, target_key, runs):
        """Ignore an exit."""

    def record_answer(self, call, run):
        """Ignore an answer."""

    def handle_message(self, message):
        """Ignore a message; those on exits are sent again."""

    def handle_verdict(self, part):
        """Ignore a verdict."""

    def is_outdated(self, verdict):
        """Return that no quarantine was lifted."""
        return False

    def repeat_lifts(self, now):
        """Repeat nothing."""


class CrashReporting:
    """Checks runs that targets broke off, and reports those whose target has exited.

    :param peers: :class:`QuarantinePeers`
    :param exit_detector:
        :class:`~cowslipcourse.quarantine_runtime.target_exits.TargetExitDetector`
    :param suspects: :class:`~cowslipcourse.quarantine.Suspects` of this daemon.
    :param evaluate: callable for each report that this daemon is to evaluate.
    :param exit_observer: callable that returns the :class:`ExitObserver`.
    """

    def __init__(self, peers, exit_detector, suspects, evaluate, exit_observer):
        self._peers = peers
        self._exit_detector = exit_detector
        self._suspects = suspects
        self._evaluate = evaluate
        self._exit_observer = exit_observer
        self._reports = []
        self._runs_by_exit = {}
        self._tasks = set()

    def report_if_exited(self, call, run, is_probe):
        """Report a run that its target broke off, if the target has exited.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        :param is_probe: whether the call was let through although a part is held.
        """
        entry = run.entry
        if call.part_fingerprints:
            self._exit_observer().record_broken(call, run)
        report = CrashReport(
            call.fingerprint,
            entry.id,
            entry.incarnation,
            run.answer_started,
            run.relayed_events,
            run.last_event_id,
        )
        task = asyncio.create_task(
            self._report_if_exited(
                ExitedRun(call, run_stage(run), run.is_retry), entry, report, is_probe
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_if_exited(self, exited_run, entry, report, is_probe):
        if not await self._exit_detector.detect_exit(entry):
            return
        call = exited_run.call
        is_cleared = self._suspects.was_answered(report.fingerprint, _now())
        log.info(
            "ended-under",
            request=call.id,
            fingerprint=report.fingerprint.hex(),
            parts=",".join(part.hex() for part in call.part_fingerprints),
            target=report.target,
            begun=report.has_begun,
            events=report.relayed_events,
            answered_before=is_cleared,
            is_probe=is_probe,
        )
        if not (self._reports or self._runs_by_exit):
            # All requests at the target learn of its exit in one iteration of the loop.
            asyncio.get_running_loop().call_soon(self._send_reports)
        if call.part_fingerprints:
            runs = self._runs_by_exit.setdefault((entry.id, entry.incarnation), [])
            runs.append(exited_run)
        if not is_cleared:
            self._reports.append(report)

    def _send_reports(self):
        reports, self._reports = self._reports, []
        runs_by_exit, self._runs_by_exit = self._runs_by_exit, {}
        for target_key, runs in runs_by_exit.items():
            self._exit_observer().report_exit(target_key, runs)
        by_evaluator = {}
        for report in reports:
            for evaluator in evaluators(self._peers, report.fingerprint):
                by_evaluator.setdefault(evaluator, []).append(report)
        for report in by_evaluator.pop(self._peers.address, ()):
            self._evaluate(report)
        for evaluator, evaluator_reports in by_evaluator.items():
            self._send_to_evaluator(evaluator, evaluator_reports)

    def _send_to_evaluator(self, evaluator, reports, is_resend=False):
        """Send reports, and resend those whose requests are still unanswered."""
        if is_resend:
            now = _now()
            answered = self._suspects.was_answered
            reports = [r for r in reports if not answered(r.fingerprint, now)]
        for first in range(0, len(reports), MAX_DATAGRAM_REPORTS):
            part = tuple(reports[first : first + MAX_DATAGRAM_REPORTS])
            self._peers.send(CrashReports(part), [evaluator])
        if reports and not is_resend:
            loop = asyncio.get_running_loop()
            loop.call_later(
                REPORT_RESEND_DELAY_S, self._send_to_evaluator, evaluator, reports, True
            )


def is_first_evaluator(peers, fingerprint):
    """Return whether this daemon is the first evaluator of a fingerprint.

    :param peers: :class:`QuarantinePeers`
    """
    return evaluators(peers, fingerprint)[0] == peers.address


def evaluators(peers, fingerprint):
    """Return the addresses of the evaluators of a fingerprint, in order of rank.

    :param peers: :class:`QuarantinePeers`
    """
    addresses = [peers.address, *peers.alive_addresses()]
    return sorted(addresses, key=lambda each: _rank(fingerprint, each))[
        :EVALUATORS_PER_FINGERPRINT
    ]


def service_evaluators(peers, part):
    """Return the addresses of the evaluators of the parts of a service, by rank.

    They see all exits of its targets, since parts are weighed against each other.

    :param peers: :class:`QuarantinePeers`
    :param part: fingerprint of any part for the service.
    """
    return evaluators(peers, part[:SERVICE_BYTES])


def _rank(fingerprint, address):
    return hashlib.blake2b(
        fingerprint + address.encode(), digest_size=RANK_BYTES
    ).digest()


def _now():
    return asyncio.get_running_loop().time()
