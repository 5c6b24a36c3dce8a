"""Chooses the build of the project that a process is started from."""

import os
from collections import Counter
from pathlib import Path

__all__ = ["OTHER_BUILD_VARIABLE", "Builds"]

OTHER_BUILD_VARIABLE = "COWSLIP_OTHER_BUILD"
"""Environment variable: a set-up checkout of another build, to run beside this one."""


class Builds:
    """Starts processes from this build, or from this and another one in turn.

    With another build, neighbours by number differ in their build, and a process that
    is started again changes it, so that each reads what the other has written.
    """

    def __init__(self):
        other = os.environ.get(OTHER_BUILD_VARIABLE)
        self._other = Path(other).resolve() if other else None
        self._starts = Counter()

    def next_checkout(self, name):
        """Return the checkout for the next start of a process.

        :param name: name of the process; its last character is a digit.
        :returns: path of the other checkout, or ``None`` for this build.
        """
        starts = self._starts[name]
        self._starts[name] += 1
        if self._other is None or (int(name[-1]) + starts) % 2:
            return None
        return self._other
