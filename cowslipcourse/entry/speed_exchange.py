"""Tell other daemons of slow targets.

A daemon of a large site sends each target a request in many seconds, so its own
observations alone come too late. Daemons tell the reporter of their data centre, which
tells all others; nothing is sent while no target is slow.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.load_balancing.told_speeds import LocalReports
from cowslipcourse.peer_protocol import SpeedReport

__all__ = ["SpeedExchange"]

REPORT_INTERVAL_S = 0.25
REPORTS_PER_SUMMARY = 2
"""Summaries go to all daemons of a data centre and between data centres."""
PERCENT = 100

log = get_logger(__name__)


class SpeedExchange:
    """Exchanges speeds of targets with the other daemons.

    :param name: name of this daemon.
    :param data_centre: its data centre.
    :param peers: :class:`~cowslipcourse.entry.peer_link.PeerLink`
    :param placing: :class:`~cowslipcourse.entry.target_placing.TargetPlacing`
    """

    def __init__(self, name, data_centre, peers, placing):
        self._name = name
        self._data_centre = data_centre
        self._peers = peers
        self._placing = placing
        self._local_reports = LocalReports()
        self._ignored = set()
        self._has_reported = False
        self._has_summarised = False

    async def run(self):
        """Tell other daemons until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if not self._placing.is_active:
                continue
            now = asyncio.get_running_loop().time()
            number += 1
            self._send_report(now)
            if not number % REPORTS_PER_SUMMARY:
                self._send_summary(now)

    def _send_report(self, now):
        factors = self._placing.speeds.to_tell(now)
        if not self._record_local(self._name, factors, now):
            factors = {}
        # An empty report withdraws the last one.
        if factors or self._has_reported:
            report = self._report(factors, False)
            self._peers.send(report, self._peers.reporter_addresses())
        self._has_reported = bool(factors)

    def _send_summary(self, now):
        factors = self._local_reports.summary(now)
        if not factors and not self._has_summarised:
            return
        self._has_summarised = bool(factors)
        addresses = self._peers.repeat_addresses()
        if addresses:
            self._placing.told.record(self._data_centre, factors, now)
            self._peers.send(self._report(factors, True), addresses)

    def _report(self, factors, is_summary):
        percents = {target: round(PERCENT * f) for target, f in factors.items()}
        return SpeedReport(self._name, self._data_centre, is_summary, percents)

    def handle_message(self, report):
        """Record what another daemon tells.

        :param report: :class:`~cowslipcourse.peer_protocol.SpeedReport`
        """
        if not self._placing.is_active:
            return
        now = asyncio.get_running_loop().time()
        factors = {
            target: percent / PERCENT for target, percent in report.percents.items()
        }
        is_local = report.data_centre == self._data_centre
        if report.is_summary:
            self._placing.told.record(report.data_centre, factors, now)
            if not is_local:
                self._peers.send(report, self._peers.local_repeat_addresses())
        elif is_local:
            self._record_local(report.sender, factors, now)

    def _record_local(self, daemon, factors, now):
        """Record what a daemon tells; return whether it is plausible."""
        target_count = self._placing.target_count
        if self._local_reports.record(daemon, factors, target_count, now):
            self._ignored.discard(daemon)
            return True
        if daemon not in self._ignored:
            self._ignored.add(daemon)
            log.warning("speeds-ignored", daemon=daemon, slow=len(factors))
        return False
