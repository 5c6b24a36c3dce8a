"""Program ``cowslip-standin``: run the emulated platform and targets."""

import asyncio
import sys

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.daemon import run_daemon
from cowslipcourse.settings import StandinSettings
from cowslipcourse.standin.app import make_app
from cowslipcourse.standin.environment import World

__all__ = ["Standin", "main"]


class Standin:
    """A stand-in process.

    :param settings: :class:`~cowslipcourse.settings.StandinSettings`
    """

    def __init__(self, settings):
        self._settings = settings

    async def run(self, stopping):
        """Serve until ``stopping`` is set."""
        world = World(self._settings)
        refresh = asyncio.create_task(world.refresh_list())
        server = WebServer(make_app(world), self._settings.address)
        await server.start()
        await stopping.wait()
        refresh.cancel()
        await server.stop(0.2)


def main():
    """Run the stand-in."""
    sys.exit(run_daemon(sys.argv[1:], StandinSettings, Standin))
