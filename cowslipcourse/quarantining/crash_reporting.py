"""What the ends of targets say of requests, and to whom it is told.

It goes to a few daemons, the judges of a request: those that come first by a hash of
request and address. They are the same whoever asks, so three ends that three daemons
saw are counted together.
"""

import asyncio
import hashlib
from typing import Protocol

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peers import CrashReports
from cowslipcourse.quarantine import CrashReport
from cowslipcourse.quarantine.judging import is_incriminating

__all__ = ["CrashReporting", "QuarantinePeers", "is_first_evaluator"]

EVALUATORS_PER_REQUEST = 8
"""Daemons that judge a request: on the smallest sites all of them. On larger ones a few
may differ from daemon to daemon while one starts or ends."""
HASH_BYTES = 8
REPORT_RESEND_DELAY_S = 0.4
"""When a report is sent once more, if its request has not been answered meanwhile. Most
requests that were only beside an end have been, and bytes between data centres are paid
for."""
MAX_DATAGRAM_REPORTS = 64
"""Reports in one datagram, 5 KB; many targets may end at the same moment."""

log = get_logger(__name__)


class QuarantinePeers(Protocol):
    """How a daemon reaches the others."""

    @property
    def address(self) -> str:
        """This daemon's own address."""

    def alive_addresses(self) -> list[str]:
        """Return the addresses of the other daemons that live."""

    def all_addresses(self) -> list[str]:
        """Return the addresses of all other daemons that are known."""

    def repeat_addresses(self) -> list[str]:
        """Return the addresses that this daemon repeats verdicts to, if it does."""

    def send(self, message, addresses) -> None:
        """Send a message to some daemons, once; it may be lost."""


class CrashReporting:
    """Looks into runs that targets broke off, and reports those that ended them.

    :param peers: :class:`QuarantinePeers`
    :param exit_detector:
        :class:`~cowslipcourse.quarantining.target_ends.TargetExitDetector`
    :param suspects: :class:`~cowslipcourse.quarantine.Suspects` of this daemon.
    :param evaluate: takes the reports that this daemon is to judge, one by one.
    """

    def __init__(self, peers, exit_detector, suspects, evaluate):
        self._peers = peers
        self._exit_detector = exit_detector
        self._suspects = suspects
        self._evaluate = evaluate
        self._reports = []
        self._tasks = set()

    def report_if_exited(self, call, run):
        """Report a run that its target broke off, if the target has ended.

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
        task = asyncio.create_task(self._report_if_exited(call.id, entry, report))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_if_exited(self, request, entry, report):
        if not await self._exit_detector.detect_exit(entry):
            return
        is_cleared = self._suspects.was_answered(report.fingerprint, _now())
        log.info(
            "ended-under",
            request=request,
            fingerprint=report.fingerprint.hex(),
            target=report.target,
            begun=report.has_begun,
            events=report.relayed_events,
            answered_before=is_cleared,
        )
        if is_cleared:
            return
        if not self._reports:
            # All requests that were at the target learn of its end in one turn.
            asyncio.get_running_loop().call_soon(self._send_reports)
        self._reports.append(report)

    def _send_reports(self):
        reports, self._reports = self._reports, []
        by_evaluator = {}
        for report in reports:
            for evaluator in _evaluators(self._peers, report.fingerprint):
                by_evaluator.setdefault(evaluator, []).append(report)
        for report in by_evaluator.pop(self._peers.address, ()):
            self._evaluate(report)
        for evaluator, evaluator_reports in by_evaluator.items():
            self._send_to_evaluator(
                evaluator,
                [each for each in evaluator_reports if is_incriminating(each)],
            )

    def _send_to_evaluator(self, evaluator, reports, is_resend=False):
        """Send reports, and once more those whose requests are not answered by then."""
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
    """Whether this daemon is the first of those that judge a request.

    :param peers: :class:`QuarantinePeers`
    """
    return _evaluators(peers, fingerprint)[0] == peers.address


def _evaluators(peers, fingerprint):
    """Return the addresses of the daemons that judge a request, the first first."""
    addresses = [peers.address, *peers.alive_addresses()]
    return sorted(addresses, key=lambda each: _rank(fingerprint, each))[
        :EVALUATORS_PER_REQUEST
    ]


def _rank(fingerprint, address):
    return hashlib.blake2b(
        fingerprint + address.encode(), digest_size=HASH_BYTES
    ).digest()


def _now():
    return asyncio.get_running_loop().time()
