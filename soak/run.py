"""Command: run seeds of the soak test and print the violated guarantees."""

import argparse
import asyncio
import logging
import os
import random
import shutil
import sys
from pathlib import Path

import aiohttp

from cowslipcourse.entry.settings import RetrySettings
from features.support.engine_world import SERVICE
from features.support.platform_site import route_entry
from soak.callers import MIX_WITH_BOTH_STREAMS, Callers
from soak.checks import check, streams_checked_in_silences
from soak.schedule import (
    SERVICE_SILENT_MIN_SEED,
    TARGETS_FAIL_MIN_SEED,
    make_schedule,
)
from soak.site import SoakSite

__all__ = ["main", "run_soak"]

RETRY_SETTINGS = RetrySettings(ratio=0.1, slack=16.0, window_s=10.0)
"""A budget that the callers of a run can use up."""
SERVING_TIMEOUT_S = 20.0
"""Time limit for a loaded machine to start the site and to recover after the faults."""
POLL_INTERVAL_S = 0.2
CRASH_REPEATS = 2
REPEAT_PAUSE_S = 2.0
KEEP_PROBABILITY = 0.8
STREAM_ONCE_ROUTE = route_entry("tell", "/tell/", "streaming", SERVICE)
GOOD_ROUNDS_REQUIRED = 3
"""Consecutive rounds in which every daemon must serve every kind of call."""


async def _wait_until_serving(site, callers):
    """Wait until every daemon serves every kind of call; return whether it did."""
    loop = asyncio.get_running_loop()
    deadline, good_rounds = loop.time() + SERVING_TIMEOUT_S, 0
    async with aiohttp.ClientSession() as session:
        while loop.time() < deadline:
            calls = [
                callers.call(session, daemon, kind)
                for daemon in site.front_addresses
                for kind in callers.kinds
            ]
            records = await asyncio.gather(*calls)
            answered = [
                record.status == 200 or record.key_version is not None
                for record in records
            ]
            good_rounds = good_rounds + 1 if all(answered) else 0
            if good_rounds == GOOD_ROUNDS_REQUIRED:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
    return False


async def _repeat_crashing_requests(site, callers):
    """Repeat the requests that have crashed targets, without other disturbances."""
    # A request that has crashed fewer than three targets may crash more, which
    # interrupts other requests too.
    with site.history.disturbance("targets"):
        for _ in range(CRASH_REPEATS):
            await asyncio.sleep(REPEAT_PAUSE_S)
            for request_name in sorted({crash.request_name for crash in site.crashes}):
                await callers.send_crashing_request(request_name)


async def run_soak(seed, duration_s):
    """Run one seed and return ``(violations, site)``.

    :param seed: seed of the faults and of the callers.
    :param duration_s: seconds during which faults are injected.
    """
    rng = random.Random(seed)
    has_failures = seed >= TARGETS_FAIL_MIN_SEED
    site = SoakSite(rng, RETRY_SETTINGS if has_failures else None)
    callers, schedule_rng = Callers(site, rng), rng
    if seed >= SERVICE_SILENT_MIN_SEED:
        site.extra_routes.append(STREAM_ONCE_ROUTE)
        callers = Callers(site, rng, MIX_WITH_BOTH_STREAMS, KEEP_PROBABILITY)
        # The callers draw from the other generator, in an order that varies.
        schedule_rng = random.Random(seed)
    site.send_crashing_request = callers.send_crashing_request
    caller_task = None
    try:
        await site.start()
        if not await _wait_until_serving(site, callers):
            return ["the site did not serve every kind of call before the faults"], site
        caller_task = asyncio.create_task(callers.run())
        began_at = asyncio.get_running_loop().time()
        for fault in make_schedule(schedule_rng, duration_s, seed):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, began_at + fault.at_s - now))
            site.apply(fault)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, began_at + duration_s - now))
        await site.wait_for_faults()
        recovered = await _wait_until_serving(site, callers)
        if site.crashes:
            await _repeat_crashing_requests(site, callers)
        violations = []
        if not recovered:
            violations.append(
                "the site did not serve every kind of call after the faults"
            )
            violations += [f"the list shows an old row of {e}" for e in site.old_rows()]
        return [*violations, *check(site)], site
    finally:
        if caller_task is not None:
            caller_task.cancel()
            await asyncio.gather(caller_task, return_exceptions=True)
        await site.stop()


def main():
    """Run the seeds of the command line and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="duration of the faults per seed"
    )
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(arguments.first, arguments.last + 1):
        violations, site = asyncio.run(run_soak(seed, arguments.seconds))
        print(
            f"seed {seed}: {len(site.history.calls)} calls, "
            f"{streams_checked_in_silences(site.history)} streams checked in silences, "
            f"platform stood still for {site.history.stand_still_s():.1f} s",
            flush=True,
        )
        for violation in violations[:5]:
            print(f"seed {seed}: {violation}", flush=True)
        failed += bool(violations)
        if violations and arguments.keep:
            log_folder = arguments.keep / f"seed-{seed}"
            shutil.copytree(site.folder, log_folder, dirs_exist_ok=True)
        if not os.environ.get("COWSLIP_KEEP_LOGS"):
            shutil.rmtree(site.folder)
    print(f"{arguments.last - arguments.first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
