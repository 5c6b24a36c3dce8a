"""Engines that exit under a part of prompts, in each way: late requests and exits.

Daemons are processes. Prints a line for each run, and the number of runs in which a
bound is exceeded.

Run: ``.venv/bin/python -m measurements.crash_forms FIRST_SEED LAST_SEED [ROW ...]``
"""

import asyncio
import sys

from features.steps.crash_form_steps import wait_for_model
from features.support.crash_form_runs import (
    CrashFormScenario,
    exceeded_bounds,
    make_site,
    play,
)
from features.support.crashing_site import BAD_PARTS, Aftermath, CrashForm

KNOWN_PART = ("1000",)
SCENARIOS = {
    "before-head": CrashFormScenario(CrashForm.BEFORE_HEAD),
    "in-head": CrashFormScenario(CrashForm.IN_HEAD),
    "silent": CrashFormScenario(CrashForm.SILENT),
    "after-head": CrashFormScenario(CrashForm.AFTER_HEAD),
    "in-event": CrashFormScenario(CrashForm.IN_EVENT),
    "after-event": CrashFormScenario(CrashForm.AFTER_EVENT),
    "after-event-reset": CrashFormScenario(CrashForm.AFTER_EVENT, is_reset=True),
    "after-event-unframed": CrashFormScenario(
        CrashForm.AFTER_EVENT, ends_with_connection=True
    ),
    "after-events": CrashFormScenario(CrashForm.AFTER_EVENTS),
    "after-events-unframed": CrashFormScenario(
        CrashForm.AFTER_EVENTS, ends_with_connection=True
    ),
    "quick-restart": CrashFormScenario(
        CrashForm.AFTER_HEAD, aftermath=Aftermath.QUICK_RESTART
    ),
    "closed": CrashFormScenario(CrashForm.AFTER_HEAD, aftermath=Aftermath.CLOSED),
    "known-part": CrashFormScenario(CrashForm.BEFORE_HEAD, bad_parts=KNOWN_PART),
    "two-after-head": CrashFormScenario(CrashForm.AFTER_HEAD, bad_parts=BAD_PARTS),
    "two-before-head": CrashFormScenario(CrashForm.BEFORE_HEAD, bad_parts=BAD_PARTS),
    "two-after-event": CrashFormScenario(CrashForm.AFTER_EVENT, bad_parts=BAD_PARTS),
}
"""Rows by name; the bad part of ``known-part`` is that of a fifteenth of the requests
before it ends engines, the others come from then on only."""
DAEMON_COUNTS = (4, 8)
RUN_S = 24
BAD_FROM_S = 4


def main():
    """Make the runs; daemon counts alternate by seed."""
    first_seed, last_seed = map(int, sys.argv[1:3])
    for row in sys.argv[3:] or SCENARIOS:
        exceeding = 0
        for seed in range(first_seed, last_seed + 1):
            daemon_count = DAEMON_COUNTS[seed % len(DAEMON_COUNTS)]
            scenario = SCENARIOS[row]._replace(daemons=daemon_count)
            run = asyncio.run(_run(scenario, seed))
            exceeded = exceeded_bounds(run, scenario)
            exceeding += bool(exceeded)
            convicted = ",".join(run.convicted) or "none"
            print(
                f"{row} seed {seed}, {daemon_count} daemons: {run.crash_count} exits,"
                f" {run.late_count} late, convicted {convicted},"
                f" {run.sound_convicted} sound ones, served {run.share_before:.2f},"
                f" then {run.share_after:.2f}, {run.lost_count} sound requests lost"
                f" {' '.join(exceeded)}",
                flush=True,
            )
        print(f"{row}: {exceeding} of {last_seed - first_seed + 1} exceed", flush=True)


async def _run(scenario, seed):
    site = make_site(scenario)
    await site.start()
    try:
        await wait_for_model(site)
        return await play(site, scenario.shape, seed, RUN_S, BAD_FROM_S)
    finally:
        await site.stop()


if __name__ == "__main__":
    main()
