"""Quarantine within a daemon: crash reports, verdicts and refusal of requests."""

from cowslipcourse.quarantining.crash_reporting import CrashReporting, QuarantinePeers
from cowslipcourse.quarantining.daemon_part import Quarantine
from cowslipcourse.quarantining.target_ends import (
    TargetExitDetector,
    refuses_connections,
)

__all__ = [
    "CrashReporting",
    "Quarantine",
    "QuarantinePeers",
    "TargetExitDetector",
    "refuses_connections",
]
