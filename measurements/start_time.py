"""Processor time of a daemon's imports, with and without garbage collection.

Starts alternate, as the machine's load changes; the least of each kind says most.

Run: ``.venv/bin/python -m measurements.start_time``
"""

import os
import subprocess
import sys

__all__ = ["main"]

PAIRS = 7
IMPORTS = """
import resource
import cowslipcourse.entry.main
used = resource.getrusage(resource.RUSAGE_SELF)
print(used.ru_utime + used.ru_stime)
"""
QUIET = {
    "SSL_CERT_FILE": os.devnull,
    "SSL_CERT_DIR": os.devnull,
    "PYDANTIC_DISABLE_PLUGINS": "1",
}
"""What the program sets before its imports."""


def measure(collects):
    """Return the processor seconds of one start.

    :param collects: whether garbage is collected meanwhile.
    """
    source = IMPORTS if collects else "import gc; gc.disable()\n" + IMPORTS
    run = subprocess.run(
        [sys.executable, "-c", source],
        env=os.environ | QUIET,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(run.stdout)


def main():
    """Print pairs of starts, and the least of each kind."""
    pairs = [(measure(True), measure(False)) for _ in range(PAIRS)]
    for with_s, without_s in pairs:
        print(f"{with_s:.3f} s with, {without_s:.3f} s without collection")
    least = [min(values) for values in zip(*pairs, strict=True)]
    print(f"least: {least[0]:.3f} s with, {least[1]:.3f} s without")


if __name__ == "__main__":
    main()
