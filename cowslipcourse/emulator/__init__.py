"""Engines, callers and faults in virtual time around the real decision code.

Nothing here runs in production: it tells what a change of a decision does to callers
in a minute, where a play of real processes takes an hour. ``docs/emulator.md`` says
what is emulated and what is not.
"""

from cowslipcourse.emulator.clock import PausedLoop, run_paused
from cowslipcourse.emulator.daemons import WholeSite
from cowslipcourse.emulator.engines import Engine
from cowslipcourse.emulator.world import Faults, World

__all__ = ["Engine", "Faults", "PausedLoop", "WholeSite", "World", "run_paused"]
