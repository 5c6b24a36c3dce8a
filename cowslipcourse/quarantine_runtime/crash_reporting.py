"""Reports of target exits to the daemons that evaluate the affected requests.

The evaluators of a request, or of a part of prompts, are the daemons that come first by
a hash of fingerprint and address. All daemons compute the same ones, so that exits seen
by several daemons are counted together.
"""

import asyncio
import hashlib
from typing import Protocol

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peer_protocol import CrashReports
from cowslipcourse.quarantine import CrashReport

__all__ = ["CrashReporting", "QuarantinePeers", "evaluators", "is_first_evaluator"]

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

    def repeat_addresses(self) -> list[str]:
        """Return the addresses to repeat verdicts to; empty if another daemon does."""

    def send(self, message, addresses) -> None:
        """Send a message to some daemons, once; it may be lost."""


class CrashReporting:
    """Checks runs that targets broke off, and reports those whose target has exited.

    :param peers: :class:`QuarantinePeers`
    :param exit_detector:
        :class:`~cowslipcourse.quarantine_runtime.target_exits.TargetExitDetector`
    :param suspects: :class:`~cowslipcourse.quarantine.Suspects` of this daemon.
    :param evaluate: callable for each report that this daemon is to evaluate.
    :param report_parts: callable for each call and report of a target that has exited.
    """

    def __init__(self, peers, exit_detector, suspects, evaluate, report_parts):
        self._peers = peers
        self._exit_detector = exit_detector
        self._suspects = suspects
        self._evaluate = evaluate
        self._report_parts = report_parts
        self._reports = []
        self._tasks = set()

    def report_if_exited(self, call, run):
        """Report a run that its target broke off, if the target has exited.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`
        """
        entry = run.entry
        report = CrashReport(
            call.fingerprint,
            entry.id,
            entry.incarnation,
            run.answer_started,
            run.relayed_events,
            run.last_event_id,
        )
        task = asyncio.create_task(self._report_if_exited(call, entry, report))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_if_exited(self, call, entry, report):
        if not await self._exit_detector.detect_exit(entry):
            return
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
        )
        self._report_parts(call, report)
        if is_cleared:
            return
        if not self._reports:
            # All requests at the target learn of its exit in one iteration of the loop.
            asyncio.get_running_loop().call_soon(self._send_reports)
        self._reports.append(report)

    def _send_reports(self):
        reports, self._reports = self._reports, []
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


def _rank(fingerprint, address):
    return hashlib.blake2b(
        fingerprint + address.encode(), digest_size=RANK_BYTES
    ).digest()


def _now():
    return asyncio.get_running_loop().time()
