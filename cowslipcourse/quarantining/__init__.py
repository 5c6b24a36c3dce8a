"""A daemon's part in keeping requests from targets that they would end."""

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
