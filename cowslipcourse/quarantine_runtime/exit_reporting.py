"""Reports of exits of targets to the evaluators of the parts of prompts there."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from cowslipcourse.peer_protocol import ExitReports
from cowslipcourse.quarantine import make_exit_report
from cowslipcourse.quarantine_runtime.crash_reporting import service_evaluators
from cowslipcourse.quarantine_runtime.pool_runs import pool_key

__all__ = ["ExitReporting"]

REPORT_RESEND_DELAYS_S = (0.4, 2.0, 5.0)
"""Delays after which a report is sent once more: a datagram may be lost, or a daemon
isolated for some seconds."""
MAX_BROKEN_TARGETS = 256


class _BrokenTarget(NamedTuple):
    """What was in flight when the first request at a target broke off.

    :param at: loop time.
    :param in_flight: :class:`~cowslipcourse.quarantine.InFlightRuns`
    """

    at: float
    in_flight: object


class ExitReporting:
    """Reports the requests that this daemon had in flight at targets that have exited.

    It implements
    :class:`~cowslipcourse.quarantine_runtime.crash_reporting.ExitObserver`.

    :param peers:
        :class:`~cowslipcourse.quarantine_runtime.crash_reporting.QuarantinePeers`
    :param runs: :class:`~cowslipcourse.quarantine_runtime.pool_runs.PoolRuns`
    :param histories: :class:`~cowslipcourse.quarantine.part_shares.PoolHistories`
    :param evaluate: callable for each list of reports that this daemon evaluates.
    """

    def __init__(self, peers, runs, histories, evaluate):
        self._peers = peers
        self._runs = runs
        self._histories = histories
        self._evaluate = evaluate
        self._broken_targets = OrderedDict()

    def record_broken(self, call, run):
        """Record what is in flight while the first request at a target breaks off.

        :param call: :class:`~cowslipcourse.entry.calls.Call` with shared parts.
        :param run: :class:`~cowslipcourse.entry.attempts.TargetRun`, which has ended.
        """
        if run.target_key in self._broken_targets:
            return
        in_flight = self._runs.in_flight_with(call, run)
        self._broken_targets[run.target_key] = _BrokenTarget(_now(), in_flight)
        if len(self._broken_targets) > MAX_BROKEN_TARGETS:
            self._broken_targets.popitem(last=False)

    def report_exit(self, target_key, runs):
        """Report that a target has exited, with the requests that were in flight there.

        :param target_key: id and incarnation of the target.
        :param runs: list of
            :class:`~cowslipcourse.quarantine_runtime.crash_reporting.ExitedRun`
        """
        broken = self._broken_targets.get(target_key)
        if broken is None:
            return
        history = self._histories.of_pool(pool_key(runs[0].call))
        report = make_exit_report(
            self._peers.address, target_key, runs, broken.in_flight, history.sample
        )
        self._send_report(report, broken.at)
        loop = asyncio.get_running_loop()
        for delay_s in REPORT_RESEND_DELAYS_S:
            loop.call_later(delay_s, self._send_report, report, broken.at)

    def _send_report(self, report, exited_at):
        report = report._replace(age_s=_now() - exited_at)
        addresses = service_evaluators(self._peers, report.parts[0].part)
        if self._peers.address in addresses:
            self._evaluate([report])
        self._peers.send(
            ExitReports((report,)),
            [address for address in addresses if address != self._peers.address],
        )


def _now():
    return asyncio.get_running_loop().time()
