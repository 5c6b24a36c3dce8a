"""Processor time of a daemon's start, of two checkouts in turn.

A daemon without a store runs until it logs an event, and tells the processor time that
it has taken and the number of modules that it has imported. Checkouts alternate, since
the load of the machine changes; the least of each is the least disturbed.

Run: ``.venv/bin/python -m measurements.time_to_serve [CHECKOUT ...]``
"""

import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from harness.ports import free_ports

__all__ = ["main"]

PAIR_COUNT = 9
EVENTS = ("started", "all-components-loaded")
"""The daemon serves; all that it imports is imported."""
LISTENERS = ("front", "directory", "ready", "peer", "metrics")
PROGRAM = """
import logging, os, runpy, sys, time
path, event = sys.argv[1:]
def report(record):
    if record.getMessage() == event:
        used_s = time.process_time()
        sys.stderr.write(f"{used_s} {len(sys.modules)}")
        sys.stderr.flush()
        os._exit(0)
    return True
logging.getLogger("cowslipcourse.entry.daemon").addFilter(report)
sys.argv = ["cowslip-entry", "run", path]
runpy.run_module("cowslipcourse.entry", run_name="__main__")
"""
START_TIMEOUT_S = 10.0


def _write_settings(path):
    ports = free_ports(len(LISTENERS))
    listen = "".join(
        f'{name} = "127.0.0.1:{port}"\n'
        for name, port in zip(LISTENERS, ports, strict=True)
    )
    path.write_text(
        f'name = "a1"\ndata_centre = "n"\n[listen]\n{listen}'
        f'[store]\naddress = "127.0.0.1:{free_ports(1)[0]}"\n'
    )


def measure_start(checkout, event):
    """Return the processor time in seconds and the modules of a start.

    :param checkout: folder of the checkout.
    :param event: log event up to which the start is measured.
    :returns: ``None`` if the daemon does not log that event.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a1.toml"
        _write_settings(path)
        try:
            completed = subprocess.run(
                [sys.executable, "-c", PROGRAM, str(path), event],
                cwd=checkout,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE,
                text=True,
                timeout=START_TIMEOUT_S,
                check=True,
            )
        except subprocess.TimeoutExpired:
            return None
    used_s, modules = completed.stderr.split()
    return float(used_s), int(modules)


def main():
    """Print the processor times of starts of each checkout."""
    checkouts = sys.argv[1:] or [Path.cwd()]
    for event in EVENTS:
        if any(measure_start(checkout, event) is None for checkout in checkouts):
            print(f"{event}: not logged by all checkouts")
            continue
        starts = {checkout: [] for checkout in checkouts}
        for _ in range(PAIR_COUNT):
            for checkout in checkouts:
                starts[checkout].append(measure_start(checkout, event))
        for checkout, measured in starts.items():
            used_s = [used for used, _ in measured]
            print(
                f"{event}: {checkout}: {measured[0][1]} modules, least "
                f"{min(used_s):.3f} s, median {statistics.median(used_s):.3f} s"
            )


if __name__ == "__main__":
    main()
