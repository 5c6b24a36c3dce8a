"""Command: run seeds of the soak and print those that broke a promise."""

import argparse
import asyncio
import logging
import os
import random
import shutil
import sys
from pathlib import Path

import aiohttp

from soak.callers import Callers
from soak.checks import check
from soak.history import CallKind
from soak.schedule import make_schedule
from soak.site import SoakSite

__all__ = ["main", "soak_run"]

SETTLE_S = 20.0
"""Time for a loaded machine to start the site, and to serve again after the faults."""
LOOK_S = 0.2
LATE_REPEATS = 2
CALM_S = 2.0
SOUND_LOOKS = 3
"""Rounds in a row in which all daemons must serve everything."""


async def _serves(site, callers):
    """Wait until every daemon serves every kind of call; return whether it did."""
    loop = asyncio.get_running_loop()
    until, good = loop.time() + SETTLE_S, 0
    async with aiohttp.ClientSession() as session:
        while loop.time() < until:
            calls = [
                callers.call(session, daemon, kind)
                for daemon in site.fronts
                for kind in (CallKind.STREAM, CallKind.BOOKING, CallKind.LOOKUP)
            ]
            records = await asyncio.gather(*calls)
            answered = [r.status == 200 or r.turn is not None for r in records]
            good = good + 1 if all(answered) else 0
            if good == SOUND_LOOKS:
                return True
            await asyncio.sleep(LOOK_S)
    return False


async def _repeat_ending(site, callers):
    """Repeat what has ended targets once nothing disturbs the daemons any more."""
    # What has not ended three targets yet may end more, under other requests too.
    with site.history.disturbance("targets"):
        for _ in range(LATE_REPEATS):
            await asyncio.sleep(CALM_S)
            for name in sorted({end.name for end in site.ends}):
                await callers.call_ending(name)


async def soak_run(seed, duration_s):
    """Make one run and return ``(violations, site)``.

    :param seed: of the faults and of the callers.
    :param duration_s: seconds of faults.
    """
    rng = random.Random(seed)
    site = SoakSite(rng)
    callers = Callers(site, rng)
    site.call_ending = callers.call_ending
    calling = None
    try:
        await site.start()
        if not await _serves(site, callers):
            return ["the site never served"], site
        calling = asyncio.create_task(callers.run())
        began_at = asyncio.get_running_loop().time()
        for fault in make_schedule(rng, duration_s, seed):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, began_at + fault.at_s - now))
            site.apply(fault)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, began_at + duration_s - now))
        await site.faults_over()
        recovered = await _serves(site, callers)
        if site.ends:
            await _repeat_ending(site, callers)
        found = [] if recovered else ["not served again after the faults"]
        return [*found, *check(site)], site
    finally:
        if calling is not None:
            calling.cancel()
            await asyncio.gather(calling, return_exceptions=True)
        await site.stop()


def main():
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--seconds", type=float, default=12.0, help="of faults a seed")
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(arguments.first, arguments.last + 1):
        violations, site = asyncio.run(soak_run(seed, arguments.seconds))
        print(f"seed {seed}: {len(site.history.calls)} calls", flush=True)
        for violation in violations[:5]:
            print(f"seed {seed}: {violation}", flush=True)
        failed += bool(violations)
        if violations and arguments.keep:
            target = arguments.keep / f"seed-{seed}"
            shutil.copytree(site.folder, target, dirs_exist_ok=True)
        if not os.environ.get("COWSLIP_KEEP_LOGS"):
            shutil.rmtree(site.folder)
    print(f"{arguments.last - arguments.first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
