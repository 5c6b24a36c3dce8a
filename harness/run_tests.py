"""Run every check and close with one line that counts them.

Scenarios that ``KNOWN-RED.txt`` names may fail; they are printed, not counted as
failures.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

__all__ = ["main"]

ROOT = Path(__file__).parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
PASSED, FAILED = "passed", "failed"
MOST_JOBS = 6
LONGEST = (
    "quarantine",
    "duel_variants",
    "restart_duels",
    "duels",
    "emulator",
    "platform",
    "size",
    "processes",
    "groups",
    "membership",
    "bookings",
)
"""Features that take longest; begun first, so that none runs alone at the end."""


def _lint():
    """Return ``(name, result)`` of the linter's and the formatter's check."""
    results = []
    for command in (["check", "."], ["format", "--check", "."]):
        done = subprocess.run([BIN / "ruff", *command], cwd=ROOT, check=False)
        name = f"ruff {command[0]}"
        results.append((name, PASSED if done.returncode == 0 else FAILED))
    return results


def _behave(feature):
    """Run one feature file and return ``(scenario name, result)`` of its scenarios."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        # Formatters without a file of their own write to standard output.
        command = [BIN / "behave", "--no-capture", "--format", "json"]
        command += ["--outfile", report, "--format", "progress3", feature]
        # A fixed hash seed gives sets, and so the runs, the same order every time.
        environment = {**os.environ, "PYTHONHASHSEED": "0", "TMPDIR": folder}
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        print(done.stdout, end="", flush=True)
        try:
            features = json.loads(report.read_text() or "[]")
        except (OSError, json.JSONDecodeError):
            return [(f"behave itself on {feature}", FAILED)]
    results = []
    for found in features:
        for scenario in found.get("elements", ()):
            if scenario["type"] == "background":
                continue
            name = f"{found['name']}: {scenario['name']}"
            passed = scenario.get("status") == "passed"
            results.append((name, PASSED if passed else FAILED))
    if done.returncode != 0 and all(result == PASSED for _, result in results):
        results.append((f"behave itself on {feature}", FAILED))
    return results


def _features(arguments):
    """Return the feature files below the paths, the longest running first."""
    paths = [ROOT / argument for argument in arguments] or [ROOT / "features"]
    files = [path for path in paths if path.is_file()]
    for path in paths:
        files += sorted(path.rglob("*.feature"))
    return sorted(files, key=lambda path: path.stem not in LONGEST)


def _run_features(arguments):
    """Run the feature files beside each other; each has its own process."""
    files = _features(arguments)
    jobs = max(1, min(MOST_JOBS, (os.cpu_count() or 2) - 2))
    with ThreadPoolExecutor(jobs) as pool:
        found = pool.map(_behave, files)
        return [result for results in found for result in results]


def _known_red():
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    names = {line.split(" | ")[0] for line in lines if line.strip()}
    if len(names) > MOST_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt names more than {MOST_KNOWN_RED} tests")
    return names


def main():
    """Run the checks and return the exit code."""
    arguments = sys.argv[1:]
    results = [] if arguments else _lint()
    results += _run_features(arguments)
    known = _known_red()
    failed = [name for name, result in results if result == FAILED]
    for name in failed:
        print(f"{'KNOWN RED' if name in known else 'FAILED'}: {name}")
    unknown = [name for name in failed if name not in known]
    print(f"{len(results) - len(failed)} passed, {len(unknown)} failed")
    return 1 if unknown or not results else 0


if __name__ == "__main__":
    sys.exit(main())
