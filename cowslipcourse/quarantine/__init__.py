"""Detection and quarantine of requests that end the targets which run them."""

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
    "PartAnswer",
    "PartCrash",
    "Suspects",
    "Verdict",
    "VerdictStore",
    "Verdicts",
    "fingerprint",
    "part_fingerprints",
]
