"""Quarantine within a daemon: crash reports, verdicts and refusal of requests."""

from cowslipcourse.quarantine_runtime.crash_reporting import (
    CrashReporting,
    QuarantinePeers,
)
from cowslipcourse.quarantine_runtime.enforcement import Quarantine
from cowslipcourse.quarantine_runtime.target_exits import (
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
