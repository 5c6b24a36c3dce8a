"""Emulated daemons: the production decision code without a network."""

import random

from cowslipcourse.admission import MIN_DAEMON_COUNT, SharedRetryBudget
from cowslipcourse.emulator.connections import EmulatedAttemptSender
from cowslipcourse.entry.context import DaemonContext
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.forwarder import Forwarder
from cowslipcourse.entry.host_checks import HostChecks
from cowslipcourse.entry.limit_prober import ListedTargetProber
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.entry.silence_detector import SilenceDetector
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantine_runtime import Quarantine, TargetExitDetector
from cowslipcourse.quarantine_runtime.part_evaluation import PartEvaluation
from cowslipcourse.rate_limit_runtime import RateLimiter

__all__ = ["DataCentreScope", "EmulatedDaemon", "SingleCoordinatorScope"]

UNUSED_ADDRESS = "127.0.0.1:1"


def _entry_settings(name, data_centre):
    listen = dict.fromkeys(("front", "directory", "ready", "peer"), UNUSED_ADDRESS)
    return EntrySettings(
        name=name,
        data_centre=data_centre,
        listen=listen,
        store={"address": UNUSED_ADDRESS},
    )


class SingleCoordinatorScope:
    """Implements :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`.

    One daemon coordinates all domains.

    :param is_coordinator: callable that returns whether it is this daemon.
    """

    coordinator_count = 1

    def __init__(self, is_coordinator):
        self._is_coordinator = is_coordinator

    def coordinates(self, data_centre):
        """Whether this daemon coordinates the groups of all data centres."""
        return self._is_coordinator()


class DataCentreScope:
    """Implements :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`.

    The daemon coordinates some of the site's data centres.

    :param coordinated_data_centres: names of the data centres whose groups this daemon
        coordinates.
    :param coordinator_count: number of daemons that coordinate groups.
    """

    def __init__(self, coordinated_data_centres, coordinator_count):
        self.coordinated_data_centres = frozenset(coordinated_data_centres)
        self.coordinator_count = coordinator_count

    def coordinates(self, data_centre):
        """Whether this daemon coordinates the groups of a data centre."""
        return data_centre in self.coordinated_data_centres


class EmulatedDaemon:
    """A daemon's fleet view, forwarder, silence detector and coordinator.

    :param name: name of the daemon.
    :param data_centre: data centre in which it runs.
    :param table: :class:`~cowslipcourse.routes.RouteTable`
    :param heads: :class:`~cowslipcourse.emulator.connections.GroupHeads`
    :param network: :class:`~cowslipcourse.emulator.messages.MessageNetwork`
    :param broadcast: called with each :class:`~cowslipcourse.peer_protocol.GroupUpdate`
        to send to all daemons.
    :param scope: :class:`DataCentreScope` that it coordinates.
    :param seed: seed of its random choices.
    """

    def __init__(
        self, name, data_centre, table, heads, network, broadcast, scope, seed
    ):
        settings = _entry_settings(name, data_centre)
        self.fleet = FleetView()
        self._conditions = TargetConditions(None, self.fleet)
        self.coordinators = ()
        hosts = HostChecks(heads.is_host_lost)
        self._silence_detector = SilenceDetector(
            self.fleet, hosts.is_lost, self._on_suspect
        )
        context = DaemonContext(
            settings,
            self.fleet,
            EmulatedAttemptSender(name, self.fleet, self._conditions, heads),
            SharedRetryBudget(settings.retries),
            self._silence_detector,
            self._conditions,
            None,
            random.Random(seed),
        )
        context.table = table
        context.retry_budget.set_daemon_count(MIN_DAEMON_COUNT, 0.0)
        self.name = name
        self._context = context
        self._network = network
        self._heads = heads
        self._limiter_rng = random.Random(f"limits-{seed}")
        self.forget()
        self.forwarder = Forwarder(context)
        self.coordinator = Coordinator(
            context,
            heads.world,
            heads.world,
            settings.control,
            scope,
            broadcast,
        )
        self.is_coordinator = bool(scope.coordinated_data_centres)

    def forget(self):
        """Discard what it knows of requests and of engines, as a restart does."""
        heads = self._heads
        peers = self._network.peers_of(self.name)
        exit_detector = TargetExitDetector(
            self.fleet.is_expected, heads.refuses_connections
        )
        verdict_store = VerdictStore(heads.world, heads.now)
        self._context.quarantine = Quarantine(peers, exit_detector, verdict_store)
        self._context.quarantine.load_part_evaluation(PartEvaluation)
        prober = ListedTargetProber(self.fleet, heads.world, lambda service: "")
        self._conditions.rate_limiter = RateLimiter(peers, prober, self._limiter_rng)
        self._network.attach(
            self.name, self._context.quarantine, self._conditions.rate_limiter
        )

    def coroutines(self):
        """Return the coroutines that run for as long as the daemon does."""
        coordinator_coroutines = (
            (self.coordinator.run(),) if self.is_coordinator else ()
        )
        return (self._silence_detector.run(), *coordinator_coroutines)

    def update_entries(self, changed, removed):
        """Apply changes of the list of targets."""
        self.fleet.apply(changed, removed)
        if self.is_coordinator:
            self.coordinator.domains.update_entries(changed)
            self.coordinator.domains.mark_unlisted(removed)

    def apply_group_update(self, update):
        """Apply a group update from a coordinator."""
        self.fleet.apply_group_update(update, self._heads.now())

    def _on_suspect(self):
        now = self._heads.now()
        for target, epoch in self.fleet.suspects(now).items():
            for coordinator in self.coordinators:
                coordinator.investigate(target, epoch)
