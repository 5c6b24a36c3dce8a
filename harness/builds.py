"""Selects the build of the project from which a process is started."""

import os
from collections import Counter
from pathlib import Path

__all__ = ["OTHER_BUILD_VARIABLE", "Builds", "SingleBuild"]

OTHER_BUILD_VARIABLE = "COWSLIP_OTHER_BUILD"
"""Environment variable with the checkout of another build to run beside this one."""


class Builds:
    """Alternates process starts between this build and another one, if one is set.

    Processes with consecutive numbers use different builds, and a restarted process
    switches its build, so that each build reads what the other has written.
    """

    def __init__(self):
        other_checkout = os.environ.get(OTHER_BUILD_VARIABLE)
        self._other_checkout = (
            Path(other_checkout).resolve() if other_checkout else None
        )
        self._start_counts = Counter()

    def next_checkout(self, name):
        """Return the checkout for the next start of a process.

        :param name: name of the process; its last character is a digit.
        :returns: path of the other checkout, or ``None`` for this build.
        """
        start_count = self._start_counts[name]
        self._start_counts[name] += 1
        if self._other_checkout is None or (int(name[-1]) + start_count) % 2:
            return None
        return self._other_checkout


class SingleBuild:
    """Selects the same build for every start.

    :param checkout: path of its checkout, or ``None`` for this build.
    """

    def __init__(self, checkout):
        self._checkout = None if checkout is None else Path(checkout).resolve()

    def next_checkout(self, name):
        """See :meth:`Builds.next_checkout`."""
        return self._checkout
