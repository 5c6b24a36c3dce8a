"""Notice that this process itself stood still."""

import asyncio

__all__ = ["ticks"]


async def ticks(interval_s, is_idle=None, idle_interval_s=0.0):
    """Yield ``(loop time, seconds by which the tick is late)`` for ever.

    A late tick tells that the process was paused or starved, or that the work of the
    last tick took long: what it believes is older than it seems, and others may have
    acted meanwhile.

    :param interval_s: seconds between ticks.
    :param may_rest: callable that tells that there is nothing to look at; each wake-up
        costs 50 us or more of a small VM's processor time.
    :param rest_s: seconds until the next tick in that case.
    """
    loop = asyncio.get_running_loop()
    previous = loop.time()
    while True:
        idle = is_idle is not None and is_idle()
        delay_s = idle_interval_s if idle else interval_s
        await asyncio.sleep(delay_s)
        now = loop.time()
        yield now, now - previous - delay_s
        previous = now
