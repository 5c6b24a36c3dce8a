"""What targets state about themselves in their responses, and whether they may be used.

All requests of callers to targets pass :meth:`TargetConditions.admit` and
:meth:`TargetConditions.verify`, whichever component has chosen the target.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.target_pauses import TargetPauses
from cowslipcourse.exceptions import MalformedHeader, TargetWithheld
from cowslipcourse.platform.backpressure import (
    REFUSING_STATUSES,
    decode_is_leaving,
    decode_pause_s,
    decode_rate_limit,
)
from cowslipcourse.platform.headers import MISDIRECTED_REQUEST
from cowslipcourse.platform.server_load import decode_server_load
from cowslipcourse.rate_limits import TargetInstance

__all__ = ["TargetConditions"]

log = get_logger(__name__)


class TargetConditions:
    """Records the conditions that targets state, and applies them.

    :param rate_limiter: :class:`~cowslipcourse.rate_limit_runtime.RateLimiter`
    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    """

    def __init__(self, rate_limiter, fleet):
        self.rate_limiter = rate_limiter
        self._fleet = fleet
        self._pauses = TargetPauses()
        self._malformed_instances = set()
        self.stated_loads = None
        """:class:`~cowslipcourse.load_balancing.stated_loads.StatedLoads` while
        statements of load are used."""

    def observe(self, entry, head):
        """Record what the head of a response states about its target.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry` of the target.
        :param head: :class:`~cowslipcourse.http_client.ResponseHead`
        """
        if head.status == MISDIRECTED_REQUEST:
            # Another target responds at this address by now.
            return
        self._observe_limit(entry, head)
        self._observe_pause(entry, head)
        self._observe_leaving(entry, head)
        if self.stated_loads is not None:
            self._observe_load(entry, head)

    def _observe_limit(self, entry, head):
        try:
            limit_per_s = decode_rate_limit(head)
        except MalformedHeader as error:
            self._log_malformed(_instance(entry), error)
        else:
            self.rate_limiter.observe(entry, limit_per_s)

    def _observe_pause(self, entry, head):
        try:
            pause_s = decode_pause_s(head)
        except MalformedHeader as error:
            self._log_malformed(_instance(entry), error)
            return
        instance = _instance(entry)
        if pause_s is None:
            if head.status not in REFUSING_STATUSES:
                self._pauses.record_accepted(instance, _now())
        elif self._pauses.record(instance, pause_s, _now()):
            log.info(
                "target-pause",
                target=entry.id,
                incarnation=entry.incarnation,
                service=entry.service,
                pause_s=pause_s,
                status=head.status,
            )

    def _observe_leaving(self, entry, head):
        try:
            is_leaving = decode_is_leaving(head)
        except MalformedHeader as error:
            self._log_malformed(_instance(entry), error)
            return
        if is_leaving and self._fleet.mark_leaving(entry):
            log.info(
                "target-leaving",
                target=entry.id,
                incarnation=entry.incarnation,
                service=entry.service,
            )

    def _observe_load(self, entry, head):
        try:
            load = decode_server_load(head)
        except MalformedHeader as error:
            self._log_malformed(_instance(entry), error)
            return
        if load is not None:
            self.stated_loads.record(entry, load, _now())

    def pause_left_s(self, entry):
        """Return the seconds for which a target still wants no requests from here.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        """
        return max(0.0, self._pauses.until(_instance(entry)) - _now())

    def _log_malformed(self, instance, error):
        """Log a malformed header once for each target."""
        if instance not in self._malformed_instances:
            self._malformed_instances.add(instance)
            log.warning("target-header-malformed", target=instance.id, why=error)

    def usable(self, candidates, now):
        """Return the candidates that may accept a request now.

        :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
        :param now: loop time.
        """
        return [c for c in candidates if self._withheld_until(c.entry) <= now]

    def usable_at(self, candidates):
        """Return the earliest loop time at which a candidate may accept a request.

        :param candidates: list of :class:`~cowslipcourse.load_balancing.Candidate`
        """
        return min(
            (self._withheld_until(candidate.entry) for candidate in candidates),
            default=float("-inf"),
        )

    def _withheld_until(self, entry):
        return max(
            self.rate_limiter.withheld_until(entry),
            self._pauses.withheld_until(_instance(entry)),
        )

    async def admit(self, entry):
        """Return what a request needs to be sent, for :meth:`verify`.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :raises TargetWithheld: the target accepts no request from here now.
        """
        self._check_evacuated(entry)
        self._check_leaving(entry)
        self._check_pause(entry)
        return await self.rate_limiter.acquire(entry)

    def verify(self, entry, permit):
        """Check immediately before a request is sent that it may be sent.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param permit: result of :meth:`admit`.
        :raises TargetWithheld: the target accepts no request from here now.
        """
        self.rate_limiter.verify(entry, permit)
        self._check_evacuated(entry)
        self._check_leaving(entry)
        self._check_pause(entry)
        self._pauses.begin_trial(_instance(entry), _now())

    def _check_evacuated(self, entry):
        if self._fleet.evacuations.is_evacuated(entry.data_centre):
            raise TargetWithheld("evacuated", float("inf"))

    def _check_leaving(self, entry):
        if self._fleet.is_leaving(entry):
            raise TargetWithheld("leaving", float("inf"))

    def _check_pause(self, entry):
        withheld_until = self._pauses.withheld_until(_instance(entry))
        if _now() < withheld_until:
            raise TargetWithheld("pause", withheld_until)

    def limited_counts(self):
        """Return the number of targets that state a rate limit, by service."""
        return self.rate_limiter.limited_counts()

    def paused_counts(self):
        """Return the number of targets that have asked for a pause, by service."""
        counts = {}
        for instance in self._pauses.paused(_now()):
            entry = self._fleet.entries.get(instance.id)
            if entry is not None:
                counts[entry.service] = counts.get(entry.service, 0) + 1
        return counts

    def retain(self, entries):
        """Forget all targets but the given ones.

        :param entries: iterable of :class:`~cowslipcourse.ports.TargetEntry`
        """
        instances = {_instance(entry) for entry in entries}
        self.rate_limiter.retain(instances)
        self._pauses.retain(instances)
        self._malformed_instances &= instances


def _instance(entry):
    return TargetInstance(entry.id, entry.incarnation)


def _now():
    return asyncio.get_running_loop().time()
