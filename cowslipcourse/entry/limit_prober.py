"""Probes of rate-limited targets."""

from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.platform.backpressure import decode_rate_limit
from cowslipcourse.platform.headers import MISDIRECTED_REQUEST
from cowslipcourse.rate_limits import TargetInstance

__all__ = ["ListedTargetProber"]


class ListedTargetProber:
    """Implements :class:`~cowslipcourse.rate_limit_runtime.LimitProber`.

    :param fleet: :class:`~cowslipcourse.entry.fleet_view.FleetView`
    :param control: :class:`~cowslipcourse.ports.EngineControl`
    :param health_path: callable that takes the name of a service and returns the path
        of its health check.
    """

    def __init__(self, fleet, control, health_path):
        self._fleet = fleet
        self._control = control
        self._health_path = health_path

    async def probe(self, instance):
        """See :class:`~cowslipcourse.rate_limit_runtime.LimitProber`."""
        entry = self._fleet.entries.get(instance.id)
        if entry is None or TargetInstance(entry.id, entry.incarnation) != instance:
            raise TargetUnreachable("the target is not listed", sent=False)
        path = self._health_path(entry.service)
        if not (entry.domain or path):
            raise TargetUnreachable("the target has no health check", sent=False)
        head = await self._control.probe(entry, path)
        if head.status == MISDIRECTED_REQUEST:
            raise TargetUnreachable("another target responds", sent=False)
        return decode_rate_limit(head)
