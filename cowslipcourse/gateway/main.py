"""Program ``cowslip-gateway``."""

import asyncio
import random
import sys

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.platform import HttpPlatformClient
from cowslipcourse.adapters.statsd import create_metrics
from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.admission import RetryBudget
from cowslipcourse.daemon import Agent, now, run_daemon, run_forever
from cowslipcourse.daemon.reports import GATEWAY_PREFIX, GatewayReport, GroupReport
from cowslipcourse.gateway.app import CallerApi
from cowslipcourse.gateway.chat import ChatHandler
from cowslipcourse.gateway.claims import ClaimCommitter
from cowslipcourse.gateway.context import BackgroundTasks, GatewayContext
from cowslipcourse.gateway.fleet_view import FleetView
from cowslipcourse.gateway.group_selection import GroupChooser
from cowslipcourse.gateway.outcome_persistence import store_outcomes
from cowslipcourse.gateway.quarantine_adapters import make_quarantine
from cowslipcourse.gateway.services import ServiceHandler
from cowslipcourse.membership import Role
from cowslipcourse.requests import OutcomeStore
from cowslipcourse.settings import GatewaySettings

__all__ = ["Gateway", "main"]

DRAIN_CHECK_INTERVAL_S = 0.1
RESUME_BUDGET_BURST = 256.0

log = get_logger(__name__)


class Gateway:
    """One gateway process.

    :param settings: :class:`~cowslipcourse.settings.GatewaySettings`
    """

    def __init__(self, settings):
        self._settings = settings

    async def run(self, stopping):
        """Serve until the event is set, then stop gracefully.

        :param stopping: :class:`asyncio.Event`
        """
        settings = self._settings
        platform = HttpPlatformClient(settings.platform, settings.daemon.name)
        targets = HttpTargetClient(settings.target)
        self._context = self._make_context(platform, targets)
        agent = self._context.agent
        claims = ClaimCommitter(platform)
        services = ServiceHandler(self._context, claims)
        self._api = CallerApi(self._context, ChatHandler(self._context), services)
        limits = settings.limits
        server = WebServer(
            self._api.app(),
            settings.daemon.public_address,
            limit_concurrency=limits.connections,
        )
        await agent.start()
        await server.start()
        tasks = [
            run_forever(claims.run(), "claims"),
            run_forever(self._publish_reports(), "report"),
            run_forever(self._context.quarantine.run(), "quarantine"),
        ]
        log.info("started", daemon=settings.daemon.name)
        await stopping.wait()
        await self._drain()
        await server.stop()
        await agent.leave()
        for task in tasks:
            task.cancel()
        await agent.stop()
        await targets.close()
        await platform.close()
        log.info("stopped-as-planned", daemon=settings.daemon.name)

    def _make_context(self, platform, targets):
        settings = self._settings
        agent = Agent(settings, Role.GATEWAY, platform)
        fleet_view = FleetView(agent, settings.time.grant_s)
        rng = random.Random()
        chooser = GroupChooser(fleet_view, agent, rng)
        agent.on_record(
            lambda record: self._record_cached_prefixes(chooser, fleet_view, record)
        )
        return GatewayContext(
            settings=settings,
            agent=agent,
            fleet_view=fleet_view,
            chooser=chooser,
            targets=targets,
            table=platform,
            object_store=platform,
            retry_budget=RetryBudget(settings.limits.retry_ratio),
            resume_budget=RetryBudget(
                settings.limits.resume_ratio, RESUME_BUDGET_BURST
            ),
            quarantine=make_quarantine(agent, fleet_view, targets, platform),
            outcomes=OutcomeStore(settings.limits, now()),
            metrics=create_metrics(settings.statsd),
            rng=rng,
            spawn=BackgroundTasks(),
        )

    def _record_cached_prefixes(self, chooser, fleet_view, record):
        group = record.key.rsplit("/", 1)[-1]
        grant = fleet_view.groups.get(group)
        if grant is not None and isinstance(grant.report, GroupReport):
            chooser.record_cached_prefixes(grant.report)

    async def _publish_reports(self):
        """Publish the requests in flight to the other gateways until cancelled."""
        context = self._context
        member = context.agent.member
        key = f"{GATEWAY_PREFIX}{member.name}/{member.incarnation}"
        while True:
            report = GatewayReport(
                member.name,
                self._api.is_draining,
                context.chooser.in_flight.snapshot(),
                dict(context.chooser.in_flight_by_workspace),
                context.fleet_view.visible_groups(),
            )
            context.agent.publish(key, report)
            context.chooser.record_reported()
            context.metrics.gauge("requests.running", self._api.in_flight)
            await asyncio.sleep(context.agent.times.heartbeat_s)

    async def _drain(self):
        """Refuse new requests, wait for those in flight, and store their outcomes."""
        log.info("draining", running=self._api.in_flight)
        self._api.is_draining = True
        # Callers may still use cached addresses that include this gateway.
        await asyncio.sleep(self._settings.time.address_ttl_s)
        self._api.is_refusing = True
        drain_deadline = now() + self._settings.time.drain_limit_s
        while self._api.in_flight and now() < drain_deadline:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        await store_outcomes(self._context)


def main():
    """Run a gateway."""
    sys.exit(run_daemon(sys.argv[1:], GatewaySettings, Gateway))
