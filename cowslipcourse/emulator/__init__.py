"""Engines, callers and faults in virtual time around the real decision code.

Nothing here runs in production: it tells what a change of a decision does to callers
in a minute, where a play of real processes takes an hour. ``docs/emulator.md`` says
what is emulated and what is not.
"""

from cowslipcourse.emulator.clock import VirtualTimeLoop, run_in_virtual_time
from cowslipcourse.emulator.daemons import SingleCoordinatorScope
from cowslipcourse.emulator.engines import Engine
from cowslipcourse.emulator.world import Faults, World

__all__ = [
    "Engine",
    "Faults",
    "SingleCoordinatorScope",
    "VirtualTimeLoop",
    "World",
    "run_in_virtual_time",
]
