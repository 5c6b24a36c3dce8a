"""Go on reporting groups and services whose shard's holder has fallen silent.

To say that every member of a group is present needs no lease: it is what the targets
say of themselves. So while a lease lapses and is taken anew, or the table service is
down and it cannot be taken at all, the next controller in line probes the groups that
it knows from records and publishes what it finds, under the same fencing token. It
gives no orders and changes nothing.
"""

import asyncio

from cowslipcourse.controller.health import REASON_OTHER_ASSIGNMENT, Prober
from cowslipcourse.controller.reports import ReportPublisher, group_fault
from cowslipcourse.daemon import now
from cowslipcourse.daemon.reports import (
    GROUP_PREFIX,
    REASON_CHANGING,
    SERVICE_PREFIX,
    decode_report,
)

__all__ = ["Observer"]

SILENT_PROBES = 1.6
"""Probe intervals without news after which the holder counts as silent."""


class Observer:
    """Reports for shards that this controller does not hold.

    :param context: :class:`~cowslipcourse.controller.services.ControllerContext`
    :param shard_manager: :class:`~cowslipcourse.controller.shards.ShardManager`
    """

    def __init__(self, context, shard_manager):
        self._context = context
        self._shard_manager = shard_manager
        self._prober = Prober(context.targets)
        self._publisher = ReportPublisher(
            context.agent, self._prober, context.fleet, observes=True
        )

    async def run(self):
        """Look for ever."""
        interval_s = self._context.settings.repair.probe_s
        while True:
            started_at = now()
            if self._context.agent.may_serve():
                await self._round()
            await asyncio.sleep(max(0.05, started_at + interval_s / 2 - now()))

    async def _round(self):
        groups = self._neglected(GROUP_PREFIX)
        service_records = self._neglected(SERVICE_PREFIX)
        reports = {record.key: decode_report(record) for record in groups}
        addresses = {}
        for report in reports.values():
            addresses |= {m.vm: m.address for m in report.spec.members}
        for record in service_records:
            report = decode_report(record)
            addresses[report.vm] = report.address
        if not addresses:
            return
        probed_at = await self._prober.probe(addresses)
        if not self._context.agent.may_serve():
            return
        for record in groups:
            report = reports[record.key]
            if self._is_outdated(report.spec, probed_at):
                continue
            withheld = REASON_CHANGING if report.reason == REASON_CHANGING else ""
            self._publisher.publish_group(
                report.spec, withheld, probed_at, record.fence
            )
        for record in service_records:
            domain = record.key.split("/")[1]
            self._publisher.publish_services(domain, probed_at, record.fence)

    def _is_outdated(self, spec, probed_at):
        """Whether the engines know more of a group than this observer does."""
        resolved = self._context.fleet.resolved_configuration
        fault = group_fault(spec, self._prober, probed_at, resolved)
        return fault.endswith(REASON_OTHER_ASSIGNMENT)

    def _holder_speaks(self, domain, limit_s):
        """Whether the run that holds a shard's lease answered lately."""
        name, _, incarnation = self._shard_manager.leases.holder_of(domain).partition(
            "/"
        )
        agent = self._context.agent
        member = agent.revision.members.get(name)
        if (
            member is None
            or member.incarnation != incarnation
            or member == agent.member
        ):
            return False
        number = agent.revision.number
        return agent.contacts.confirms_revision(member, number, now(), limit_s)

    def _neglected(self, prefix):
        """Return records that nobody else renews and that are this one's to renew."""
        agent = self._context.agent
        own = agent.member.name
        limit_s = SILENT_PROBES * self._context.settings.repair.probe_s
        found = []
        for record in agent.records.with_prefix(prefix):
            domain = record.key.split("/")[1]
            if domain in self._shard_manager.workers or self._holder_speaks(
                domain, limit_s
            ):
                continue
            rank = self._shard_manager.rank(domain, record.origin, limit_s)
            old = now() - record.observed_at > limit_s
            if rank == 0 and (old or record.origin == own):
                found.append(record)
        return [
            record
            for record in found
            if not record.key.startswith(GROUP_PREFIX)
            or decode_report(record).spec.state == "active"
        ]
