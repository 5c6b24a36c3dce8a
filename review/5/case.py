"""A standby that has lost the store is trusted until it is needed."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site2 import (  # noqa: E402
    ZONES,
    Site,
    Target,
    has_trouble,
    judge_leaving,
    run_case,
    serve_until_exit,
)

# The spare machine of the first zone has been added.
LAYOUT = (
    *((f"front-hall-{n}", ZONES[0]) for n in (1, 2, 3, 4)),
    *((f"front-quais-{n}", ZONES[1]) for n in (1, 2, 3)),
    *((f"front-sanit-{n}", ZONES[2]) for n in (1, 2)),
)
TARGETS = {"i-a1": ZONES[0], "i-b1": ZONES[1], "i-c1": ZONES[2]}
ROUNDS = 3
"""Rounds that are played until one of them breaks the rule."""
SETTLE_S = 4.0
CUT_BEFORE_S = 1.0
CUT_S = 5.5
"""Time for which one machine is partitioned from the store."""
LEAVES_AFTER_S = 0.05
EARLIEST_EXIT_S = 2.1
LATEST_EXIT_S = 6.0
"""Time from its report in which the leaver exits: ``drainMs`` and a little longer."""
RECOVERY_S = 8.0
"""Time between two rounds, over twice ``contactMs``."""


async def case(folder):
    """Run the case."""
    site = Site(folder, LAYOUT)
    try:
        if not await site.start(TARGETS):
            return 2
        return await _play(site)
    finally:
        await site.stop("--keep" in sys.argv)


async def _play(site):
    await asyncio.sleep(SETTLE_S)
    for number in range(1, ROUNDS + 1):
        if await _play_round(site, number):
            return 1
    return 0


async def _play_round(site, number):
    """Play one round; return whether it broke the rule."""
    first, second, _, fourth = site.registered(ZONES[0])
    leaver = Target(site, f"i-leaver-{number}", ZONES[0])
    site.targets[leaver.id] = leaver
    await leaver.start()
    callers = [
        asyncio.create_task(site.press(fourth, kind, 20)) for kind in ("look", "book")
    ]
    await asyncio.sleep(1.0)
    site.configure()
    await asyncio.sleep(2.0)
    if has_trouble():
        site.turned_away.add(second)
        site.record.say("partitioned from the store:", second)
        loop = asyncio.get_running_loop()
        loop.call_later(CUT_S, site.turned_away.clear)
    await asyncio.sleep(CUT_BEFORE_S)
    site.signal(first, signal.SIGTERM)
    await asyncio.sleep(LEAVES_AFTER_S)
    left_at = leaver.publish("draining")
    await serve_until_exit(site, leaver.id, left_at, EARLIEST_EXIT_S, LATEST_EXIT_S)
    site.drop_entry(leaver.id)
    await asyncio.sleep(SETTLE_S)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    is_broken = judge_leaving(site, leaver.id, left_at, [fourth])
    if not is_broken and number < ROUNDS:
        site.start_daemon(first)
        await asyncio.sleep(RECOVERY_S)
    return is_broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
