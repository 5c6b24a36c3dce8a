"""Inputs of routing: target views and requests in flight."""

from collections import deque
from typing import NamedTuple

from cowslipcourse.ports import EngineLoad

__all__ = ["InFlight", "TargetView"]


class TargetView(NamedTuple):
    """One target that may take the request.

    :param name: group id or VM name.
    :param load: the target's own report.
    :param load_age_s: age of the report.
    :param own_in_flight: requests of this gateway in flight there.
    :param own_unreported: those of them that the report cannot contain yet.
    :param peers_in_flight: requests of the other gateways, as last reported.
    :param distance: 0 same data centre, 1 same region, and so on.
    :param prefix_tokens: prompt tokens that are probably cached there.
    """

    name: str
    load: EngineLoad
    load_age_s: float = 0.0
    own_in_flight: int = 0
    own_unreported: int = 0
    peers_in_flight: int = 0
    distance: int = 0
    prefix_tokens: int = 0


class InFlight:
    """Requests of this gateway by target, with their start times."""

    def __init__(self):
        self._started = {}

    def start(self, target, now):
        """Record that a request was sent; return its start time."""
        self._started.setdefault(target, deque()).append(now)
        return now

    def finish(self, target, started_at):
        """Record that a request ended."""
        times = self._started[target]
        times.remove(started_at)
        if not times:
            del self._started[target]

    def count(self, target):
        """Return the number of requests that a target has from this gateway."""
        return len(self._started.get(target, ()))

    def count_since(self, target, since):
        """Return how many of them were sent after a loop time."""
        return sum(started > since for started in self._started.get(target, ()))

    def total(self):
        """Return the number of requests in flight."""
        return sum(len(times) for times in self._started.values())

    def snapshot(self):
        """Return the number of requests by target."""
        return {target: len(times) for target, times in self._started.items()}
