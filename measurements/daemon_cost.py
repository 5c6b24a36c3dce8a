"""Processor time and memory of idle ``cowslip-entry`` daemons, by their number.

``python -m measurements.daemon_cost NUMBER [NUMBER ...]`` starts that many daemons in
one data centre with a small emulated platform on loopback. It prints the mean processor
time of a start and of each second after it, and the highest peak memory of a daemon.
"""

import asyncio
import json
import os
import statistics
import sys
from pathlib import Path

from features.support.platform_site import PlatformSite

STARTUP_S = 6.0
"""Time in which all daemons start and all groups serve, on an idle machine."""
MEASUREMENT_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _peak_memory_mib(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _measure_daemons(daemon_count):
    site = PlatformSite(daemon_count=daemon_count)
    await site.start()
    try:
        pids = [process.pid for process in site.processes.values()]
        await asyncio.sleep(STARTUP_S)
        startup_cpu_s = [_cpu_s(pid) for pid in pids]
        await asyncio.sleep(MEASUREMENT_S)
        total_cpu_s = [_cpu_s(pid) for pid in pids]
        return {
            "daemons": daemon_count,
            "start_s": round(statistics.mean(startup_cpu_s), 3),
            "core_share": round(
                statistics.mean(
                    after_s - before_s
                    for before_s, after_s in zip(
                        startup_cpu_s, total_cpu_s, strict=True
                    )
                )
                / MEASUREMENT_S,
                4,
            ),
            "peak_mb": round(max(_peak_memory_mib(pid) for pid in pids), 1),
        }
    finally:
        await site.stop()


def main():
    """Print a JSON line for each number of daemons."""
    for daemon_count in sys.argv[1:] or ("3",):
        print(json.dumps(asyncio.run(_measure_daemons(int(daemon_count)))), flush=True)


if __name__ == "__main__":
    main()
