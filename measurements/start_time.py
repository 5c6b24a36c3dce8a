"""Processor time of a daemon's imports, with and without garbage collection.

Starts with and without collection alternate, since the load of the machine changes; the
minimum of each kind is the least disturbed.

Run: ``.venv/bin/python -m measurements.start_time``
"""

import os
import subprocess
import sys

__all__ = ["main"]

PAIR_COUNT = 7
IMPORT_SOURCE = """
import resource
import cowslipcourse.entry.main
used = resource.getrusage(resource.RUSAGE_SELF)
print(used.ru_utime + used.ru_stime)
"""
IMPORT_ENVIRONMENT = {
    "SSL_CERT_FILE": os.devnull,
    "SSL_CERT_DIR": os.devnull,
    "PYDANTIC_DISABLE_PLUGINS": "1",
}
"""Variables that the program sets before its imports."""


def measure_start(collects_garbage):
    """Return the processor time of one start in seconds.

    :param collects_garbage: whether garbage is collected during the imports.
    """
    source = (
        IMPORT_SOURCE
        if collects_garbage
        else "import gc; gc.disable()\n" + IMPORT_SOURCE
    )
    completed = subprocess.run(
        [sys.executable, "-c", source],
        env=os.environ | IMPORT_ENVIRONMENT,
        capture_output=True,
        text=True,
        check=True,
    )
    return float(completed.stdout)


def main():
    """Print the times of pairs of starts, and the minimum of each kind."""
    pairs_s = [(measure_start(True), measure_start(False)) for _ in range(PAIR_COUNT)]
    for with_s, without_s in pairs_s:
        print(f"{with_s:.3f} s with, {without_s:.3f} s without collection")
    minimum_s = [min(values) for values in zip(*pairs_s, strict=True)]
    print(f"minimum: {minimum_s[0]:.3f} s with, {minimum_s[1]:.3f} s without")


if __name__ == "__main__":
    main()
