"""Program ``cowslip-gateway``."""

import asyncio
import random
import sys

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.metrics import open_metrics
from cowslipcourse.adapters.platform import HttpPlatform
from cowslipcourse.adapters.targets import HttpTargets
from cowslipcourse.adapters.web import WebServer
from cowslipcourse.admission import RetryBudget
from cowslipcourse.daemon import Agent, now, run_daemon, run_forever
from cowslipcourse.daemon.reports import GATEWAY_PREFIX, GatewayReport, GroupReport
from cowslipcourse.gateway.app import CallerApi
from cowslipcourse.gateway.chat import ChatRequests
from cowslipcourse.gateway.chooser import Chooser
from cowslipcourse.gateway.claims import ClaimDesk
from cowslipcourse.gateway.fleet_view import FleetView
from cowslipcourse.gateway.quarantine_ports import make_quarantine
from cowslipcourse.gateway.sealing import seal_outcomes
from cowslipcourse.gateway.services import ServiceRequests
from cowslipcourse.gateway.tools import GatewayTools, Spawner
from cowslipcourse.membership import Role
from cowslipcourse.requests import OutcomeStore
from cowslipcourse.settings import GatewaySettings

__all__ = ["Gateway", "main"]

LOOK_S = 0.1
RESUME_BURST = 256.0

log = get_logger(__name__)


class Gateway:
    """One gateway process.

    :param settings: :class:`~cowslipcourse.settings.GatewaySettings`
    """

    def __init__(self, settings):
        self._settings = settings

    async def run(self, stopping):
        """Serve until told to stop, then stop gracefully."""
        settings = self._settings
        platform = HttpPlatform(settings.platform, settings.daemon.name)
        targets = HttpTargets(settings.target)
        self._tools = self._make_tools(platform, targets)
        agent = self._tools.agent
        claims = ClaimDesk(platform)
        services = ServiceRequests(self._tools, claims)
        self._api = CallerApi(self._tools, ChatRequests(self._tools), services)
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
            run_forever(self._report(), "report"),
            run_forever(self._tools.quarantine.run(), "quarantine"),
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

    def _make_tools(self, platform, targets):
        settings = self._settings
        agent = Agent(settings, Role.GATEWAY, platform)
        view = FleetView(agent, settings.time.grant_s)
        rng = random.Random()
        chooser = Chooser(view, agent, rng)
        agent.on_record(lambda record: self._take_events(chooser, view, record))
        return GatewayTools(
            settings=settings,
            agent=agent,
            view=view,
            chooser=chooser,
            targets=targets,
            table=platform,
            objects=platform,
            retries=RetryBudget(settings.limits.retry_ratio),
            resumes=RetryBudget(settings.limits.resume_ratio, RESUME_BURST),
            quarantine=make_quarantine(agent, view, targets, platform),
            outcomes=OutcomeStore(settings.limits, now()),
            metrics=open_metrics(settings.statsd),
            rng=rng,
            spawn=Spawner(),
        )

    def _take_events(self, chooser, view, record):
        group = record.key.rsplit("/", 1)[-1]
        grant = view.groups.get(group)
        if grant is not None and isinstance(grant.report, GroupReport):
            chooser.take_events(grant.report)

    async def _report(self):
        """Tell the other gateways what is in flight, for ever."""
        tools = self._tools
        member = tools.agent.member
        key = f"{GATEWAY_PREFIX}{member.name}/{member.incarnation}"
        while True:
            report = GatewayReport(
                member.name,
                self._api.leaving,
                tools.chooser.in_flight.snapshot(),
                dict(tools.chooser.by_workspace),
                tools.view.seen_groups(),
            )
            tools.agent.publish(key, report)
            tools.chooser.reported()
            tools.metrics.gauge("requests.running", self._api.running)
            await asyncio.sleep(tools.agent.times.heartbeat_s)

    async def _drain(self):
        """Stop gracefully: no request in flight is cut off."""
        log.info("draining", running=self._api.running)
        self._api.leaving = True
        # Callers may still come with an answer that they were told to keep.
        await asyncio.sleep(self._settings.time.address_ttl_s)
        self._api.refusing = True
        until = now() + self._settings.time.drain_limit_s
        while self._api.running and now() < until:
            await asyncio.sleep(LOOK_S)
        await seal_outcomes(self._tools)


def main():
    """Run a gateway."""
    sys.exit(run_daemon(sys.argv[1:], GatewaySettings, Gateway))
