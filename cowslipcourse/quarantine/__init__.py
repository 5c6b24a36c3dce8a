"""Detection and quarantine of requests that end the targets which run them."""

from cowslipcourse.quarantine.fingerprints import fingerprint
from cowslipcourse.quarantine.judging import CrashReport, Suspects, Verdict, Verdicts
from cowslipcourse.quarantine.kept import VerdictStore

__all__ = [
    "CrashReport",
    "Suspects",
    "Verdict",
    "VerdictStore",
    "Verdicts",
    "fingerprint",
]
