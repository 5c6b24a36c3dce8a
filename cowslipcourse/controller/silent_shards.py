"""Reports of groups and services whose shard's holder is silent.

Reporting that every member of a group is present needs no lease, as it only repeats
what the targets report of themselves. Until a lapsed lease is acquired again, which
is impossible while the table service is down, the controller that ranks first among
the rest probes the groups that it knows from records and publishes their reports under
the same fencing token. It gives no orders and changes nothing.
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

HOLDER_SILENCE_INTERVALS = 1.6
"""Probe intervals without an answer or a report after which a holder is silent."""


class Observer:
    """Publishes reports of shards that this controller does not hold.

    :param context: :class:`~cowslipcourse.controller.context.ControllerContext`
    :param shard_manager: :class:`~cowslipcourse.controller.shards.ShardManager`
    """

    def __init__(self, context, shard_manager):
        self._context = context
        self._shard_manager = shard_manager
        self._prober = Prober(context.targets)
        self._publisher = ReportPublisher(
            context.agent, self._prober, context.fleet, is_observer=True
        )

    async def run(self):
        """Observe the shards, for ever."""
        interval_s = self._context.settings.repair.probe_s
        while True:
            started_at = now()
            if self._context.agent.may_serve():
                await self._run_round()
            await asyncio.sleep(max(0.05, started_at + interval_s / 2 - now()))

    async def _run_round(self):
        group_records = self._unrenewed_records(GROUP_PREFIX)
        service_records = self._unrenewed_records(SERVICE_PREFIX)
        reports = {record.key: decode_report(record) for record in group_records}
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
        for record in group_records:
            report = reports[record.key]
            if self._is_outdated(report.spec, probed_at):
                continue
            withholding_reason = (
                REASON_CHANGING if report.reason == REASON_CHANGING else ""
            )
            self._publisher.publish_group(
                report.spec, withholding_reason, probed_at, record.fence
            )
        for record in service_records:
            domain = record.key.split("/")[1]
            self._publisher.publish_services(domain, probed_at, record.fence)

    def _is_outdated(self, spec, probed_at):
        """Whether the engines hold a newer assignment than the observer knows."""
        resolved = self._context.fleet.resolved_configuration
        fault = group_fault(spec, self._prober, probed_at, resolved)
        return fault.endswith(REASON_OTHER_ASSIGNMENT)

    def _holder_is_responsive(self, domain, silence_limit_s):
        """Whether the run of a daemon that holds a shard's lease answered recently."""
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
        return agent.contacts.confirms_revision(member, number, now(), silence_limit_s)

    def _unrenewed_records(self, prefix):
        """Return records without a responsive holder, for this controller to renew."""
        agent = self._context.agent
        own_name = agent.member.name
        silence_limit_s = (
            HOLDER_SILENCE_INTERVALS * self._context.settings.repair.probe_s
        )
        unrenewed = []
        for record in agent.records.with_prefix(prefix):
            domain = record.key.split("/")[1]
            if domain in self._shard_manager.workers or self._holder_is_responsive(
                domain, silence_limit_s
            ):
                continue
            rank = self._shard_manager.rank(domain, record.origin, silence_limit_s)
            is_stale = now() - record.observed_at > silence_limit_s
            if rank == 0 and (is_stale or record.origin == own_name):
                unrenewed.append(record)
        return [
            record
            for record in unrenewed
            if not record.key.startswith(GROUP_PREFIX)
            or decode_report(record).spec.state == "active"
        ]
