"""Daemons keep a target that left as the store went away, beyond the time to settle."""

import asyncio
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

LAYOUT = (
    *((f"front-hall-{n}", ZONES[0]) for n in (1, 2, 3)),
    *((f"front-quais-{n}", ZONES[1]) for n in (1, 2, 3)),
    *((f"front-sanit-{n}", ZONES[2]) for n in (1, 2)),
)
TARGETS = {"i-a1": ZONES[0], "i-b1": ZONES[1], "i-c1": ZONES[2]}
ROUNDS = 3
"""Rounds that are played until one of them breaks the rule."""
SETTLE_S = 4.0
DOWN_S = 3.0
"""Time for which the store is down."""
CONTACT_S = 3.02
"""``contactMs`` of the site, and the time from a daemon to a target."""
WATCHED_S = 0.25
"""Time for which the leaver serves on at least after the machines are in touch."""
LATEST_EXIT_S = 9.0
"""Time from its removal in which the leaver exits: ``drainMs`` and many seconds."""
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
        if number < ROUNDS:
            await asyncio.sleep(RECOVERY_S)
    return 0


async def _play_round(site, number):
    """Play one round; return whether it broke the rule."""
    names = [name for name, _ in LAYOUT]
    leaver = Target(site, f"i-leaver-{number}", ZONES[0])
    site.targets[leaver.id] = leaver
    await leaver.start()
    callers = [
        asyncio.create_task(site.press(name, kind, 5))
        for name in names
        for kind in ("look", "book")
    ]
    await asyncio.sleep(2.0)
    left_at = site.drop_entry(leaver.id)
    if has_trouble():
        site.turned_away.update(names)
        site.record.say("store is down")
    await asyncio.sleep(DOWN_S)
    site.turned_away.clear()
    returned_at = site.record.now()
    site.record.say("store answers")
    settled_s = returned_at + CONTACT_S + WATCHED_S - left_at
    await serve_until_exit(site, leaver.id, left_at, settled_s, LATEST_EXIT_S)
    await asyncio.sleep(1.0)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    return judge_leaving(site, leaver.id, left_at, names, returned_at + CONTACT_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
