"""Targets that are cold, and how many permits they may get meanwhile.

A cold target counts as limited to the rate that its service declares. Every daemon
derives that from the target's list entry.
"""

from cowslipcourse.rate_limits.known_limits import TargetInstance
from cowslipcourse.rate_limits.permits import SAVED_PERMITS, SAVED_S

__all__ = ["ColdTargets", "cold_permit_rate"]

TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5.0
"""In one second a cold target tolerates this many requests beyond the factor times its
declared rate."""
SPARE_REQUESTS = 1.0
"""Tolerated requests that are not used."""
PERMIT_SPREAD_S = 0.62
"""Longest time from issuing a permit until its request is sent: the answer takes up to
0.12 s, and the permit is valid for 0.5 s."""
MAX_COLD_S = 300.0
"""Limits a wrong entry's effect."""


def cold_permit_rate(requests_per_s):
    """Return the permits per second that keep a cold target within its bound.

    One second of requests can use the permits of that second and ``PERMIT_SPREAD_S``,
    and the saved ones.

    :param requests_per_s: rate that the target's service declares.
    """
    tolerated = TOLERATED_FACTOR * requests_per_s + TOLERATED_REQUESTS - SPARE_REQUESTS
    bounded = (tolerated - SAVED_PERMITS) / (1.0 + PERMIT_SPREAD_S + SAVED_S)
    return min(requests_per_s, bounded)


class ColdTargets:
    """Cold targets as this daemon knows them from list entries.

    :param requests_per_s: function of a service's name that returns the requests per
        second that a cold target of it tolerates; 0 if it declares none.
    """

    def __init__(self, requests_per_s=lambda service: 0.0):
        self._requests_per_s = requests_per_s
        self._cold = {}

    def apply(self, entries, now):
        """Apply list entries that have changed.

        An entry tells the seconds left at its write, so that a target counts as cold
        for the time that the entry took longer than it is.

        :param entries: iterable of :class:`~cowslipcourse.ports.TargetEntry`
        :param now: loop time.
        """
        for entry in entries:
            instance = TargetInstance(entry.id, entry.incarnation)
            self._cold.pop(instance, None)
            if entry.cold_left_s > 0:
                until = now + min(entry.cold_left_s, MAX_COLD_S)
                self._cold[instance] = entry.service, until

    def limit_per_s(self, instance, now):
        """Return the permits per second of a target, ``None`` if it is not cold.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param now: loop time.
        """
        service, until = self._cold.get(instance, ("", now))
        return self.service_limit_per_s(service) if now < until else None

    def service_limit_per_s(self, service):
        """Return the permits per second of a cold target of a service, or ``None``."""
        requests_per_s = self._requests_per_s(service)
        return cold_permit_rate(requests_per_s) if requests_per_s > 0 else None

    def counts(self, now):
        """Return the number of cold targets by service, of services with a limit."""
        counts = {}
        for service, until in self._cold.values():
            if now < until and self._requests_per_s(service) > 0:
                counts[service] = counts.get(service, 0) + 1
        return counts

    def retain(self, instances, now):
        """Forget all targets but the given ones, and those that are warm by now.

        :param instances: collection of
            :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param now: loop time.
        """
        self._cold = {
            instance: (service, until)
            for instance, (service, until) in self._cold.items()
            if instance in instances and now < until
        }
