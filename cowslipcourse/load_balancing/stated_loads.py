"""Load that targets state in their responses."""

from typing import NamedTuple

from cowslipcourse.load_balancing.target_speeds import serving_instance

__all__ = ["ServerLoad", "StatedLoads"]

HALF_LIFE_S = 0.5
"""Age at which a statement has half its weight."""


class ServerLoad(NamedTuple):
    """A target's statement of its load.

    :param running: running requests.
    :param waiting: requests that wait for a slot.
    :param slots: requests that the target runs concurrently.
    """

    running: int
    waiting: int
    slots: int


class _Statement(NamedTuple):
    load: ServerLoad
    at: float


class StatedLoads:
    """The newest statement of each target."""

    def __init__(self):
        self._statements = {}

    def record(self, entry, load, now):
        """Record a statement.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param load: :class:`ServerLoad`
        :param now: loop time.
        """
        self._statements[serving_instance(entry)] = _Statement(load, now)

    def corrected(self, entry, in_flight, now):
        """Return the requests at a target: the count, corrected by a newer statement.

        A statement adds what the counts do not know of, less with its age.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param in_flight: requests in flight as counted by the daemons.
        :param now: loop time.
        """
        statement = self._statements.get(serving_instance(entry))
        if statement is None:
            return in_flight
        stated = statement.load.running + statement.load.waiting
        weight = 0.5 ** ((now - statement.at) / HALF_LIFE_S)
        return in_flight + weight * max(0, stated - in_flight)

    def retain(self, entries):
        """Forget all targets but the given ones."""
        listed = {(entry.id, entry.incarnation) for entry in entries}
        self._statements = {
            instance: statement
            for instance, statement in self._statements.items()
            if (instance.id, instance.incarnation) in listed
        }
