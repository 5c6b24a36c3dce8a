"""Emulated weight store: loads share its rate."""

import asyncio

__all__ = ["WeightStore"]


class WeightStore:
    """Serves loads one slice at a time, so that each gets an equal share.

    :param bytes_per_s: rate of the whole store.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._active = 0
        self.faults = {"down": False}
        self.max_concurrent_loads = 0

    async def load(self, size_bytes):
        """Return once the bytes have been read."""
        self._active += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self._active)
        try:
            left = float(size_bytes)
            while left > 0:
                await asyncio.sleep(0.02)
                if not self.faults["down"]:
                    left -= self._bytes_per_s * 0.02 / self._active
        finally:
            self._active -= 1
