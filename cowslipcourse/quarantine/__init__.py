"""Detection and quarantine of requests that end the targets which run them."""

from cowslipcourse.quarantine.exit_reports import (
    ExitReport,
    ExitRun,
    InFlightRuns,
    PartCount,
    Stage,
    StoredExit,
    StoredPart,
    make_exit_report,
    run_stage,
)
from cowslipcourse.quarantine.fingerprints import fingerprint, part_fingerprints
from cowslipcourse.quarantine.verdict_store import VerdictStore
from cowslipcourse.quarantine.verdicts import (
    CrashReport,
    PartAnswer,
    PartCrash,
    Suspects,
    Verdict,
    Verdicts,
)

__all__ = [
    "CrashReport",
    "ExitReport",
    "ExitRun",
    "InFlightRuns",
    "PartAnswer",
    "PartCount",
    "PartCrash",
    "Stage",
    "StoredExit",
    "StoredPart",
    "Suspects",
    "Verdict",
    "VerdictStore",
    "Verdicts",
    "fingerprint",
    "make_exit_report",
    "part_fingerprints",
    "run_stage",
]
