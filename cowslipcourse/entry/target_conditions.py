"""What targets state about themselves in their responses."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedHeader
from cowslipcourse.platform.backpressure import decode_rate_limit
from cowslipcourse.platform.headers import MISDIRECTED_REQUEST
from cowslipcourse.rate_limits import KnownLimits, RateLimitStatement, TargetInstance

__all__ = ["TargetConditions"]

log = get_logger(__name__)


class TargetConditions:
    """Records and logs the conditions that targets state.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._limits = KnownLimits()
        self._malformed_instances = set()

    def observe(self, entry, head):
        """Record what the head of a response states about its target.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry` of the target.
        :param head: :class:`~cowslipcourse.http_client.ResponseHead`
        """
        if head.status == MISDIRECTED_REQUEST:
            # Another target responds at this address by now.
            return
        instance = TargetInstance(entry.id, entry.incarnation)
        try:
            limit_per_s = decode_rate_limit(head)
        except MalformedHeader as error:
            self._log_malformed(instance, error)
            return
        now = asyncio.get_running_loop().time()
        previous_per_s = self._limits.get(instance)
        statement = RateLimitStatement(instance, limit_per_s, now)
        if self._limits.apply(statement):
            log.info(
                "target-limit",
                target=entry.id,
                incarnation=entry.incarnation,
                service=entry.service,
                limit_per_s=limit_per_s,
                previous_per_s=previous_per_s,
                source="response",
            )

    def limit_per_s(self, instance):
        """Return the requests per second that a target accepts, or ``None``.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        """
        return self._limits.get(instance)

    def _log_malformed(self, instance, error):
        """Log a malformed header once for each target."""
        if instance not in self._malformed_instances:
            self._malformed_instances.add(instance)
            log.warning("target-header-malformed", target=instance.id, why=error)

    def limited_counts(self):
        """Return the number of targets that state a rate limit, by service."""
        counts = {}
        for instance in self._limits.limited():
            entry = self._fleet.entries.get(instance.id)
            if entry is not None:
                counts[entry.service] = counts.get(entry.service, 0) + 1
        return counts

    def forget_unlisted(self, now):
        """Forget targets that are no longer listed.

        :param now: loop time.
        """
        listed = {
            TargetInstance(entry.id, entry.incarnation)
            for entry in self._fleet.entries.values()
        }
        self._limits.retain(listed, now)
        self._malformed_instances &= listed
