"""Event loop in virtual time.

The clock stands still while a task can run; when all tasks wait, it advances to the
next timer. Runs are deterministic and take no longer than their computation.
"""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]


class _ClockAdvancingSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            return super().select(0.01)
        if timeout > 0:
            self.loop.advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only when all tasks wait."""

    def __init__(self):
        selector = _ClockAdvancingSelector()
        selector.loop = self
        self._now_s = 1000.0
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s):
        """Advance the clock."""
        self._now_s += duration_s


def run_in_virtual_time(coroutine):
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
