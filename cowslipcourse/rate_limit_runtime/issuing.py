"""Issues the permits of the targets that are assigned to this daemon."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import MalformedHeader, TargetError
from cowslipcourse.rate_limits import IssuerDirectory, PermitDecision, PermitIssuer

__all__ = ["UNASSIGNED_WAIT_S", "IssuingDesk"]

HANDOVER_S = 3.0
"""Time from which on a new issuer issues permits: by then all daemons, the previous
issuer included, have noticed the change of the members."""
UNASSIGNED_WAIT_S = 0.5
"""Wait if no daemon issues permits for a target at the moment."""
PROBE_AFTER_S = 1.2
"""Age of the newest statement of a target from which on it is probed. A target with a
small limit gets requests, whose responses would show the end of the limit, only every
few seconds."""
DEMAND_S = 5.0
"""Time since the last permit request after which a target is no longer probed."""

log = get_logger(__name__)


class _Assignment:
    """A target of which this daemon issues permits.

    :param data_centre: data centre of the target.
    :param since: loop time at which it was assigned to this daemon.
    """

    def __init__(self, data_centre, since):
        self.data_centre = data_centre
        self.since = since
        self.requested_at = since
        self.is_probed = False
        self.probe_failed = False
        self.probes_state_limit = False


class IssuingDesk:
    """Decides on permit requests, and probes targets whose statements are old.

    :param peers: :class:`~cowslipcourse.rate_limit_runtime.LimiterPeers`
    :param exchange: :class:`~cowslipcourse.rate_limit_runtime.exchange.LimitExchange`
    :param prober: :class:`~cowslipcourse.rate_limit_runtime.LimitProber`
    :param rng: :class:`random.Random`
    """

    def __init__(self, peers, exchange, prober, rng):
        self._peers = peers
        self._exchange = exchange
        self._prober = prober
        self._issuer = PermitIssuer(rng)
        self._directory = IssuerDirectory()
        self._directory_changed_at = float("-inf")
        self._assignments = {}
        self._tasks = set()

    def issuer(self, instance, data_centre):
        """Return the address of the daemon that issues the permits of a target.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param data_centre: data centre of the target.
        :returns: ``None`` if there is none.
        """
        return self._directory.issuer(instance, data_centre)

    def decide(self, instance, service, data_centre, daemon):
        """Return the ``PermitDecision`` on the permit request of a daemon.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param service: service of the target.
        :param data_centre: data centre of the target.
        :param daemon: address of the daemon, which may be this one.
        """
        limit_per_s = self._exchange.requested_limit_per_s(instance, service)
        if limit_per_s is None:
            return PermitDecision(True)
        now = _now()
        assignment = self._assignment(instance, data_centre)
        if assignment is None:
            return PermitDecision(False, UNASSIGNED_WAIT_S)
        assignment.requested_at = now
        if now < assignment.since + HANDOVER_S:
            return PermitDecision(False, assignment.since + HANDOVER_S - now)
        return self._issuer.decide(instance, daemon, limit_per_s, now)

    def _assignment(self, instance, data_centre):
        issuer = self._directory.issuer(instance, data_centre)
        if issuer != self._peers.address or self._peers.is_isolated():
            self._assignments.pop(instance, None)
            return None
        assignment = self._assignments.get(instance)
        if assignment is None:
            # Before the last change another daemon may have issued its permits.
            assignment = _Assignment(data_centre, self._directory_changed_at)
            self._assignments[instance] = assignment
        return assignment

    def update_directory(self):
        """Follow changes of the daemons."""
        daemons = self._peers.ready_addresses()
        if daemons == self._directory.daemons:
            return
        self._directory = IssuerDirectory(daemons)
        self._directory_changed_at = _now()
        self._assignments = {
            instance: assignment
            for instance, assignment in self._assignments.items()
            if self._directory.issuer(instance, assignment.data_centre)
            == self._peers.address
        }

    def probe_targets(self):
        """Probe targets in demand whose newest statement is old."""
        now = _now()
        for instance, assignment in self._assignments.items():
            statement = self._exchange.limits.newest(instance)
            if (
                statement is not None
                and statement.limit_per_s is not None
                and now - statement.stated_at >= PROBE_AFTER_S
                and now - assignment.requested_at < DEMAND_S
                and not assignment.is_probed
            ):
                task = asyncio.create_task(self._probe(statement, assignment))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _probe(self, known, assignment):
        assignment.is_probed = True
        try:
            limit_per_s = await self._prober.probe(known.instance)
        except (TargetError, MalformedHeader) as error:
            if not assignment.probe_failed:
                log.info("limit-not-probed", target=known.instance.id, why=error)
            assignment.probe_failed = True
            return
        finally:
            assignment.is_probed = False
        assignment.probe_failed = False
        if limit_per_s is not None:
            assignment.probes_state_limit = True
        elif not assignment.probes_state_limit:
            # Responses to probes of this target may never state a limit.
            return
        statement = known._replace(limit_per_s=limit_per_s, stated_at=_now())
        self._exchange.observe(statement, "probe")

    def retain(self, instances):
        """Forget all targets but the given ones."""
        self._issuer.retain(instances)
        self._assignments = {
            instance: assignment
            for instance, assignment in self._assignments.items()
            if instance in instances
        }


def _now():
    return asyncio.get_running_loop().time()
