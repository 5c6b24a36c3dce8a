"""Controllers and gateways in one process and virtual time, with fake transports."""

import asyncio
import itertools
import random

from cowslipcourse.admission import RetryBudget
from cowslipcourse.config import Change, Edit, ObjectRef
from cowslipcourse.config.objects import KINDS
from cowslipcourse.controller.acceptor import RevisionAcceptor
from cowslipcourse.controller.context import ControllerContext
from cowslipcourse.controller.edits import EditService
from cowslipcourse.controller.fleet_watch import FleetMonitor
from cowslipcourse.controller.shards import ShardManager
from cowslipcourse.controller.silent_shards import Observer
from cowslipcourse.daemon import Agent, now
from cowslipcourse.daemon.reports import GATEWAY_PREFIX, GatewayReport
from cowslipcourse.gateway.claims import ClaimCommitter
from cowslipcourse.gateway.context import BackgroundTasks, GatewayContext
from cowslipcourse.gateway.fleet_view import FleetView
from cowslipcourse.gateway.group_selection import GroupChooser
from cowslipcourse.gateway.quarantine_adapters import make_quarantine
from cowslipcourse.gateway.services import ServiceHandler
from cowslipcourse.membership import Role
from cowslipcourse.requests import OutcomeStore
from cowslipcourse.settings import ControllerSettings, GatewaySettings, StandinSettings
from cowslipcourse.standin.environment import World
from features.support.fakes import (
    FakeNetwork,
    FakePeers,
    FakePlatform,
    FakeTargets,
    Gate,
)

__all__ = ["InProcessSite", "base_changes", "change"]

TIME_SETTINGS = {"address_ttl_s": 1.0, "drain_limit_s": 60.0}
KEY_SHA256 = "0" * 64


def change(kind, name, **value):
    """Return a change that sets an object, or removes it if no values are given."""
    return Change(ObjectRef(kind, name), KINDS[kind](**value) if value else None)


class DaemonRun:
    """One run of a controller or gateway."""

    def __init__(self, site, name, role):
        self.name = name
        self.gate = Gate()
        self.platform = FakePlatform(site.world, self.gate)
        self.targets = FakeTargets(site.world, self.gate)
        index = site.addresses.setdefault(name, len(site.addresses) + 1)
        address = f"127.0.0.1:{9000 + index}"
        sections = {
            "daemon": {
                "name": name,
                "data_centre": "dc1",
                "peer_address": address,
                "public_address": address,
            },
            "platform": {"url": "http://127.0.0.1:1"},
            "time": TIME_SETTINGS,
        }
        if role == Role.CONTROLLER:
            sections["operators"] = {"tokens_file": "none"}
            sections["repair"] = site.repair
            self.settings = ControllerSettings.model_validate(sections)
        else:
            sections["limits"] = site.gateway_limits
            self.settings = GatewaySettings.model_validate(sections)
        peers = FakePeers(site.network, address, self.gate)
        self.agent = Agent(self.settings, role, self.platform, peers)
        self.tasks = []
        self.crashed = asyncio.Event()

    async def stop(self):
        """Crash: nothing is released and nobody is notified."""
        self.crashed.set()
        self.gate.open()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.agent.stop()


class ControllerRun(DaemonRun):
    """A controller as built by its main module, without its HTTP server."""

    def __init__(self, site, name):
        super().__init__(site, name, Role.CONTROLLER)
        fleet = FleetMonitor(self.platform, self.agent, 1.0)
        self.context = ControllerContext(
            self.settings, self.agent, fleet, self.platform, self.targets
        )
        self.acceptor = RevisionAcceptor(self.agent, self.platform)
        self.shard_manager = ShardManager(self.context)
        self.edits = EditService(self.platform, self.platform, self.agent.revisions)

    async def start(self):
        """Start the agent and the tasks."""
        await self.agent.start()
        observer = Observer(self.context, self.shard_manager)
        components = (self.context.fleet, self.acceptor, self.shard_manager, observer)
        self.tasks = [asyncio.create_task(component.run()) for component in components]

    async def stop(self):
        """Crash."""
        for worker in self.shard_manager._tasks.values():
            worker.cancel()
        await super().stop()


class GatewayRun(DaemonRun):
    """A gateway as built by its main module, without its HTTP server."""

    def __init__(self, site, name):
        super().__init__(site, name, Role.GATEWAY)
        rng = random.Random(f"{site.seed}/{name}")
        self.view = FleetView(self.agent, self.settings.time.grant_s)
        self.chooser = GroupChooser(self.view, self.agent, rng)
        limits = self.settings.limits
        self.context = GatewayContext(
            settings=self.settings,
            agent=self.agent,
            fleet_view=self.view,
            chooser=self.chooser,
            targets=self.targets,
            table=self.platform,
            object_store=self.platform,
            retry_budget=RetryBudget(limits.retry_ratio),
            resume_budget=RetryBudget(limits.resume_ratio, 256.0),
            quarantine=make_quarantine(
                self.agent, self.view, self.targets, self.platform
            ),
            outcomes=OutcomeStore(limits, now()),
            metrics=site.metrics,
            rng=rng,
            spawn=BackgroundTasks(),
        )
        self.claims = ClaimCommitter(self.platform)
        self.requests = ServiceHandler(self.context, self.claims)

    async def start(self):
        """Start the agent and the tasks."""
        await self.agent.start()
        self.tasks = [
            asyncio.create_task(self.claims.run()),
            asyncio.create_task(self._publish_reports()),
            asyncio.create_task(self.context.quarantine.run()),
        ]

    async def stop(self):
        """Crash, with all requests in flight."""
        for _, entries in self.context.outcomes._windows.items():
            for entry in entries.values():
                entry.task.cancel()
        await super().stop()

    async def _publish_reports(self):
        key = f"{GATEWAY_PREFIX}{self.name}/{self.agent.member.incarnation}"
        while True:
            in_flight = self.chooser.in_flight.snapshot()
            report = GatewayReport(self.name, False, in_flight, {})
            self.agent.publish(key, report)
            await asyncio.sleep(self.agent.times.heartbeat_s)


class InProcessSite:
    """Controllers and gateways with an emulated platform.

    :param seed: seed of all random choices.
    :param vms: VM specifications as in the stand-in's settings.
    :param controllers: names of controllers.
    :param gateways: names of gateways.
    """

    def __init__(self, seed, vms, controllers=("c1", "c2"), gateways=("g1",)):
        self.seed = seed
        self.rng = random.Random(seed)
        engine = {"token_s": 0.05, "load_lag_s": 0.5}
        self.world = World(
            StandinSettings.model_validate(
                {
                    "address": "127.0.0.1:1",
                    "vms": vms,
                    "engine": engine,
                    "seed": seed,
                    "weights_bytes_per_s": 1e8,
                }
            )
        )
        self.repair = {"weights_bytes_per_s": 1e8, "order_in_flight_s": 3.0}
        self.gateway_limits = {}
        self.metrics = _NullMetrics()
        self.network = FakeNetwork()
        self.addresses = {}
        self._daemon_names = (controllers, gateways)
        self.controllers, self.gateways = {}, {}
        self._edit_ids = itertools.count(1)

    async def start(self):
        """Start all daemons and wait until they serve."""
        self._refresh_task = asyncio.create_task(self.world.refresh_list())
        for name in self._daemon_names[0]:
            await self.start_daemon(name)
        for name in self._daemon_names[1]:
            await self.start_daemon(name)
        await self.wait_until(lambda: all(d.agent.may_serve() for d in self.daemons()))

    def daemons(self):
        """Return all running daemons."""
        return [*self.controllers.values(), *self.gateways.values()]

    def daemon(self, name):
        """Return the current run of a daemon."""
        return self.controllers.get(name) or self.gateways[name]

    async def start_daemon(self, name):
        """Start a new run of a daemon."""
        if name in self._daemon_names[0]:
            run = self.controllers[name] = ControllerRun(self, name)
        else:
            run = self.gateways[name] = GatewayRun(self, name)
        await run.start()

    async def restart(self, name):
        """Crash a daemon and start a new run."""
        await self.daemon(name).stop()
        await self.start_daemon(name)

    async def stop(self):
        """Stop all daemons."""
        for daemon in self.daemons():
            await daemon.stop()
        self._refresh_task.cancel()

    async def wait_until(self, condition, timeout_s=120.0):
        """Wait until a condition holds.

        :param condition: function without arguments.
        :raises TimeoutError: it did not hold within ``timeout_s``.
        """
        deadline = now() + timeout_s
        while not condition():
            if now() > deadline:
                raise TimeoutError(condition)
            await asyncio.sleep(0.1)

    async def edit(self, name, *changes, confirm=True):
        """Commit an edit through a controller.

        :param confirm: whether to confirm the effects that the plan shows.
        """
        edits = self.controllers[name].edits
        revision, _ = await edits.read_configuration()
        edit_id = f"edit-{next(self._edit_ids)}"
        edit = Edit(edit_id, "test", "test", revision, changes)
        if confirm:
            planned = await edits.plan(edit)
            edit = edit._replace(confirm=planned.plan.digest)
        return await edits.commit(edit)

    def rows(self, prefix):
        """Return the values of the table rows with a key prefix, by key."""
        return {row["key"]: row["value"] for row in self.world.table.scan(prefix)}


class _NullMetrics:
    def count(self, name, value=1):
        """Discard the value."""

    def gauge(self, name, value):
        """Discard the value."""

    def timing(self, name, seconds):
        """Discard the value."""


def base_changes(vms_per_group, count, weights_bytes=100_000_000):
    """Return changes that declare one model, its groups and one service."""
    return (
        change("workspace", "crew", key_sha256=KEY_SHA256, labels={"site": "s"}),
        change("model", "m", version="1", weights_bytes=weights_bytes),
        change(
            "group",
            "grp",
            model="m",
            vms="pool=large",
            vms_per_group=vms_per_group,
            count=count,
        ),
        change("placement", "p", model="m", workspaces="site=s", groups="name=grp"),
        change("service", "svc", targets="pool=small", workspaces="site=s"),
    )
