"""Emulated engines, callers and faults in virtual time around the production code.

Not used in production: it shows the effect of a change to the decision code on callers
within a minute, where a run of real processes takes an hour. ``docs/emulator.md`` says
what is emulated and what is not.
"""

from cowslipcourse.emulator.clock import VirtualTimeLoop, run_in_virtual_time
from cowslipcourse.emulator.daemons import SingleCoordinatorScope
from cowslipcourse.emulator.engines import Engine
from cowslipcourse.emulator.group_oracle import Faults, World

__all__ = [
    "Engine",
    "Faults",
    "SingleCoordinatorScope",
    "VirtualTimeLoop",
    "World",
    "run_in_virtual_time",
]
