"""An event loop whose clock stands still unless everything waits.

When no task can run, the clock jumps to the next timer. Tests run in fake time, as
fast as the machine can, and the same way every time.
"""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]


class _JumpingSelector(selectors.SelectSelector):
    """Never waits: it moves the loop's clock instead."""

    loop = None

    def select(self, timeout=None):
        if timeout is None:
            return super().select(0.01)
        if timeout > 0:
            self.loop.jump(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in fake time."""

    def __init__(self):
        selector = _JumpingSelector()
        selector.loop = self
        self._fake_now = 1000.0
        super().__init__(selector)

    def time(self):
        """Return the fake time in seconds."""
        return self._fake_now

    def jump(self, seconds):
        """Move the clock."""
        self._fake_now += seconds


def run_in_virtual_time(coroutine):
    """Run a coroutine in fake time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
