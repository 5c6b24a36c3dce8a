"""Processor time and memory of idle ``cowslip-entry`` daemons, as their number grows.

``python -m measurements.daemon_cost NUMBER [NUMBER ...]`` starts that many daemons in
one data centre before a small platform on loopback and prints, for each, the processor
time of its start and of each second after it, and its peak memory.
"""

import asyncio
import json
import os
import statistics
import sys
from pathlib import Path

from features.support.platform_site import PlatformSite

START_S = 6.0
"""Time after which all daemons have started and groups serve, on an idle machine."""
MEASURED_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _processor_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _measure(number):
    site = PlatformSite(daemon_count=number)
    await site.start()
    try:
        pids = [process.pid for process in site.processes.values()]
        await asyncio.sleep(START_S)
        started = [_processor_s(pid) for pid in pids]
        await asyncio.sleep(MEASURED_S)
        ran = [_processor_s(pid) for pid in pids]
        return {
            "daemons": number,
            "start_s": round(statistics.mean(started), 3),
            "core_share": round(
                statistics.mean(b - a for a, b in zip(started, ran, strict=True))
                / MEASURED_S,
                4,
            ),
            "peak_mb": round(max(_peak_mb(pid) for pid in pids), 1),
        }
    finally:
        await site.stop()


def main():
    """Measure each number of daemons and print JSON lines."""
    for number in sys.argv[1:] or ("3",):
        print(json.dumps(asyncio.run(_measure(int(number)))), flush=True)


if __name__ == "__main__":
    main()
