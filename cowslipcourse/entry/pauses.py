"""Detect pauses of this process."""

import asyncio
from collections import deque

__all__ = ["RecentLateness", "ticks"]


async def ticks(interval_s, is_idle=None, idle_interval_s=0.0):
    """Yield ``(loop time, seconds by which the tick is late)`` forever.

    A late tick means that the process was paused or starved of processor time, or that
    handling the previous tick took long. Its state is then older than it appears, and
    other daemons may have acted in the meantime.

    :param interval_s: seconds between ticks.
    :param is_idle: callable that returns whether there is nothing to check; each
        wake-up costs at least 50 us of a small VM's processor time.
    :param idle_interval_s: seconds until the next tick while idle.
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


class RecentLateness:
    """The largest lateness of recent ticks.

    :param window_s: seconds for which a tick counts.
    """

    def __init__(self, window_s):
        self._window_s = window_s
        self._ticks = deque()

    def record(self, now, late_s):
        """Record a tick.

        :param now: loop time.
        :param late_s: seconds by which the tick is late.
        """
        self._ticks.append((now, late_s))
        while self._ticks[0][0] < now - self._window_s:
            self._ticks.popleft()

    @property
    def max_s(self):
        """Largest lateness in seconds; 0 without ticks."""
        return max((late_s for _, late_s in self._ticks), default=0.0)
