"""Imports that the first requests do not need, made while the daemon serves."""

import asyncio
import gc
import importlib
from concurrent.futures import ThreadPoolExecutor

__all__ = ["LATE_MODULES", "import_late_modules"]

IMPORT_PAUSE_S = 0.05
"""Time that requests have for themselves between two imports. All are over before a
daemon that has targets may take a role, 0.6 s after its registration."""
LATE_MODULES = (
    "prometheus_client",
    "cowslipcourse.entry.prometheus_metrics",
    "cowslipcourse.group_plans",
    "cowslipcourse.entry.coordinator",
    "cowslipcourse.entry.late_components",
)
"""Modules in the order in which they are imported; the last one uses the others."""


async def import_late_modules():
    """Import the modules one by one and return the last one.

    An import in the event loop would delay requests by its whole length. A thread
    passes the interpreter on to the loop every 5 ms.
    """
    loop = asyncio.get_running_loop()
    # Nearly all objects created by imports stay alive, so collections would be wasted.
    gc.disable()
    with ThreadPoolExecutor(max_workers=1) as executor:
        for name in LATE_MODULES:
            module = await loop.run_in_executor(executor, importlib.import_module, name)
            await asyncio.sleep(IMPORT_PAUSE_S)
    gc.freeze()
    gc.enable()
    return module
