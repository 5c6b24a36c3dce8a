"""The program ``cowslip-controller``."""

import sys

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.platform import HttpPlatformClient
from cowslipcourse.adapters.targets import HttpTargetClient
from cowslipcourse.controller.acceptor import RevisionAcceptor
from cowslipcourse.controller.api import OperatorApi
from cowslipcourse.controller.context import ControllerContext
from cowslipcourse.controller.edits import EditService
from cowslipcourse.controller.fleet_watch import FleetMonitor
from cowslipcourse.controller.shards import ShardManager
from cowslipcourse.controller.silent_shards import Observer
from cowslipcourse.daemon import Agent, run_daemon, run_forever
from cowslipcourse.membership import Role
from cowslipcourse.settings import ControllerSettings

__all__ = ["Controller", "main"]

VM_LIST_POLL_INTERVAL_S = 1.0

log = get_logger(__name__)


class Controller:
    """One controller process.

    :param settings: :class:`~cowslipcourse.settings.ControllerSettings`
    """

    def __init__(self, settings):
        self._settings = settings

    async def run(self, stopping):
        """Run until ``stopping`` is set, then stop as planned.

        :param stopping: :class:`asyncio.Event`
        """
        settings = self._settings
        platform = HttpPlatformClient(settings.platform, settings.daemon.name)
        targets = HttpTargetClient(settings.target)
        agent = Agent(settings, Role.CONTROLLER, platform)
        fleet = FleetMonitor(platform, agent, VM_LIST_POLL_INTERVAL_S)
        context = ControllerContext(settings, agent, fleet, platform, targets)
        acceptor = RevisionAcceptor(agent, platform)
        shard_manager = ShardManager(context)
        edits = EditService(platform, platform, agent.revisions)
        api = OperatorApi(context, edits, acceptor, shard_manager)
        server = WebServer(api.app(), settings.daemon.public_address)
        await agent.start()
        await server.start()
        tasks = [
            run_forever(fleet.run(), "fleet-monitor"),
            run_forever(acceptor.run(), "acceptor"),
            run_forever(shard_manager.run(), "shard-manager"),
            run_forever(Observer(context, shard_manager).run(), "observer"),
        ]
        log.info("started", daemon=settings.daemon.name)
        await stopping.wait()
        await server.stop()
        for task in tasks:
            task.cancel()
        await shard_manager.stop()
        await agent.leave()
        await agent.stop()
        await targets.close()
        await platform.close()
        log.info("stopped-as-planned", daemon=settings.daemon.name)


def main():
    """Run a controller."""
    sys.exit(run_daemon(sys.argv[1:], ControllerSettings, Controller))
