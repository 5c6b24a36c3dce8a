"""Daemons in this process whose links to the targets can be cut one by one.

Each daemon runs in a context of its own, by which its connections to targets are told
apart; each of them passes a loopback proxy that belongs to the daemon.
"""

import asyncio
import contextvars
from enum import StrEnum

from cowslipcourse.entry.daemon import EntryDaemon
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.exceptions import TargetUnreachable
from cowslipcourse.http_client import TargetConnection
from cowslipcourse.settings_file import load_settings
from features.support.platform_site import PlatformSite
from harness.ports import free_ports
from soak.proxy import LinkState, LoopbackProxy

__all__ = ["Cut", "PartitionedSite"]

DATA_CENTRES = ("n1", "n1", "n1", "n2", "n2", "n2", "n3", "n3")
DAEMON_COUNT = len(DATA_CENTRES)
_daemon_name = contextvars.ContextVar("daemon_name", default=None)
_connect = TargetConnection.connect.__func__


class Cut(StrEnum):
    """How the links of a daemon to all targets fail."""

    HANG = "hang"
    RESET = "are reset"
    REFUSE_NEW = "live on while new ones are refused"


class PartitionedSite(PlatformSite):
    """Eight daemons in three data centres, and the targets behind their links.

    :param daemon_count: number of daemons, the first ones of the eight.
    :param layout: further parameters of :class:`PlatformSite`.
    """

    def __init__(self, daemon_count=DAEMON_COUNT, **layout):
        super().__init__(daemon_count=daemon_count, **layout)
        self.daemons = {}
        self._daemon_tasks = []
        self._proxies = {}
        self._proxy_starts = {}
        self._cuts = {}
        self._target_addresses = set()

    async def start(self):
        """Start everything, with the connections of all daemons intercepted."""
        site = self

        async def connect(cls, address, timeout_s):
            return await site._connect(cls, address, timeout_s)

        TargetConnection.connect = classmethod(connect)
        await super().start()

    async def stop(self):
        """Stop the daemons, the proxies and the platform."""
        TargetConnection.connect = classmethod(_connect)
        for task in self._daemon_tasks:
            task.cancel()
        await asyncio.gather(*self._daemon_tasks, return_exceptions=True)
        # A start that was begun is waited for, as only a started proxy can be stopped.
        await asyncio.gather(*self._proxy_starts.values())
        for proxy in self._proxies.values():
            await proxy.stop()
        await super().stop()

    async def published_address(self, address):
        """See :class:`PlatformSite`."""
        self._target_addresses.add(address)
        return address

    def data_centre_of(self, name):
        """Return the data centre of a daemon."""
        return DATA_CENTRES[int(name[1:]) - 1]

    def start_daemon(self, name):
        """Start a daemon as a task."""
        path = self.folder / f"{name}.toml"
        self._write_settings(name, path)
        text = path.read_text().replace(
            'data_centre = "n"', f'data_centre = "{self.data_centre_of(name)}"'
        )
        path.write_text(text + f'[peers]\nseeds = ["{self._first_peer(text)}"]\n')
        context = contextvars.copy_context()
        context.run(_daemon_name.set, name)
        task = asyncio.create_task(self._run_daemon(name, path), context=context)
        self._daemon_tasks.append(task)

    def _first_peer(self, text):
        """Return the peer address of the first daemon, which is the seed of all."""
        if not hasattr(self, "_seed"):
            self._seed = text.split('peer = "')[1].split('"')[0]
        return self._seed

    async def _run_daemon(self, name, path):
        daemon = EntryDaemon(load_settings(path, EntrySettings), path)
        self.daemons[name] = daemon
        await daemon.run(asyncio.Event())

    def cut(self, names, how):
        """Cut the links of some daemons to all targets."""
        for name in names:
            self._cuts[name] = how
        for (name, _), proxy in self._proxies.items():
            if name in names and how is Cut.HANG:
                proxy.state = LinkState.SILENT
            elif name in names and how is Cut.RESET:
                proxy.reset()

    def silence(self, every):
        """Silence each nth target on the open connections of all daemons."""
        silent = set(sorted(self._target_addresses)[::every])
        for (_, address), proxy in self._proxies.items():
            if address in silent:
                proxy.state = LinkState.SILENT

    def heal(self):
        """Restore all links."""
        self._cuts.clear()
        for proxy in self._proxies.values():
            proxy.state = LinkState.SOUND

    async def link_address(self, name, address):
        """Return the address of the proxy between a daemon and a target.

        :param name: name of the daemon.
        :param address: ``ip:port`` of the target.
        """
        link = name, address
        if link not in self._proxies:
            proxy = LoopbackProxy(f"127.0.0.1:{free_ports(1)[0]}", address)
            self._proxies[link] = proxy
            self._proxy_starts[link] = asyncio.create_task(proxy.start())
        # A connection that is given up must not cancel the start for all later ones.
        await asyncio.shield(self._proxy_starts[link])
        return self._proxies[link].address

    async def _connect(self, cls, address, timeout_s):
        name = _daemon_name.get()
        if name is None or address not in self._target_addresses:
            return await _connect(cls, address, timeout_s)
        cut = self._cuts.get(name)
        if cut is Cut.HANG:
            await asyncio.sleep(timeout_s or 60)
            raise TargetUnreachable("hung", sent=False) from TimeoutError()
        if cut is not None:
            raise TargetUnreachable("refused", sent=False) from ConnectionRefusedError()
        return await _connect(cls, await self.link_address(name, address), timeout_s)
