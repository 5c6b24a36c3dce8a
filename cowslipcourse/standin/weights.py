"""Emulated weight store whose rate is shared by concurrent loads."""

import asyncio

__all__ = ["WeightStore"]


class WeightStore:
    """Serves loads in short slices, so that each gets an equal share of the rate.

    :param bytes_per_s: total rate of the store.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._active_loads = 0
        self.faults = {"down": False}
        self.max_concurrent_loads = 0

    async def load(self, size_bytes):
        """Wait until ``size_bytes`` have been read."""
        self._active_loads += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self._active_loads)
        try:
            remaining_bytes = float(size_bytes)
            while remaining_bytes > 0:
                await asyncio.sleep(0.02)
                if not self.faults["down"]:
                    remaining_bytes -= self._bytes_per_s * 0.02 / self._active_loads
        finally:
            self._active_loads -= 1
