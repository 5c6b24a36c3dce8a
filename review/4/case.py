"""A standby that the store once turned away keeps a removed target much too long."""

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

LAYOUT = (
    *((f"front-hall-{n}", ZONES[0]) for n in (1, 2, 3)),
    *((f"front-quais-{n}", ZONES[1]) for n in (1, 2, 3)),
    *((f"front-sanit-{n}", ZONES[2]) for n in (1, 2)),
)
TARGETS = {
    "i-a1": ZONES[0],
    "i-a2": ZONES[0],
    "i-b1": ZONES[1],
    "i-c1": ZONES[2],
}
ROUNDS = 3
"""Rounds that are played until one of them breaks the rule."""
TURNED_AWAY_S = 4.0
CALM_S = 7.0
"""Time after that: over twice ``contactMs``."""
DARK_S = 2.0
SETTLE_S = 4.0
EARLIEST_EXIT_S = 2.5
LATEST_EXIT_S = 6.0
"""Time after its removal in which the leaver exits: ``drainMs`` and a little longer."""
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
    first, second, third = site.registered(ZONES[0])
    killed = (first, third, *site.registered(ZONES[1])[:2])
    leaver = Target(site, f"i-leaver-{number}", ZONES[0])
    site.targets[leaver.id] = leaver
    await leaver.start()
    callers = [
        asyncio.create_task(site.press(second, kind, per_s))
        for kind, per_s in (("look", 12), ("book", 6))
    ]
    await asyncio.sleep(1.5)
    if has_trouble():
        site.turned_away |= {first, second}
        site.record.say("store turns away", first, "and", second)
    await asyncio.sleep(TURNED_AWAY_S)
    site.turned_away.clear()
    site.record.say("store serves all machines")
    await asyncio.sleep(CALM_S)
    if has_trouble():
        for name in killed:
            site.signal(name, signal.SIGKILL)
    await asyncio.sleep(0.3)
    removed_at = site.drop_entry(leaver.id)
    await asyncio.sleep(DARK_S)
    if has_trouble():
        for name in killed:
            site.start_daemon(name)
    await serve_until_exit(site, leaver.id, removed_at, EARLIEST_EXIT_S, LATEST_EXIT_S)
    await asyncio.sleep(1.0)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    return judge_leaving(site, leaver.id, removed_at, [second])


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
