"""Daemons with the real decision code and no network."""

import random

from cowslipcourse.admission import SharedRetryBudget
from cowslipcourse.emulator.connections import EmulatedAttemptSender
from cowslipcourse.entry.coordinator import Coordinator
from cowslipcourse.entry.fleet import FleetView
from cowslipcourse.entry.forwarding import Forwarder
from cowslipcourse.entry.settings import EntrySettings
from cowslipcourse.entry.silence import SilenceDetector
from cowslipcourse.entry.tools import DaemonContext
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantining import Quarantine, TargetExitDetector

__all__ = ["DataCentreScope", "EmulatedDaemon", "SingleCoordinatorScope"]

ADDRESS = "127.0.0.1:1"


def _settings(name, data_centre):
    listen = dict.fromkeys(("front", "directory", "ready", "peer"), ADDRESS)
    return EntrySettings(
        name=name, data_centre=data_centre, listen=listen, store={"address": ADDRESS}
    )


class SingleCoordinatorScope:
    """Meets :class:`~cowslipcourse.entry.scope.CoordinationScope`.

    One daemon keeps all domains.

    :param acts: callable that tells whether it is this one.
    """

    coordinator_count = 1

    def __init__(self, acts):
        self._acts = acts

    def coordinates(self, data_centre):
        """Whether this daemon keeps the groups, wherever they are."""
        return self._acts()


class DataCentreScope:
    """Meets :class:`~cowslipcourse.entry.scope.CoordinationScope`: a part of the site.

    :param tended: names of the data centres whose groups this daemon keeps.
    :param coordinator_count: number of daemons that keep groups.
    """

    def __init__(self, tended, coordinator_count):
        self.tended = frozenset(tended)
        self.coordinator_count = coordinator_count

    def coordinates(self, data_centre):
        """Whether this daemon keeps the groups of a data centre."""
        return data_centre in self.tended


class EmulatedDaemon:
    """What a daemon decides with: views, forwarder, silence watch, coordinator.

    :param name: name of the daemon.
    :param data_centre: where it runs.
    :param table: :class:`~cowslipcourse.routes.RouteTable`
    :param heads: :class:`~cowslipcourse.emulator.connections.Heads`
    :param network: :class:`~cowslipcourse.emulator.messages.MessageNetwork`
    :param tell: called with news for all daemons.
    :param scope: :class:`DataCentreScope` that it keeps the groups of.
    :param seed: of its choices.
    """

    def __init__(self, name, data_centre, table, heads, network, tell, scope, seed):
        settings = _settings(name, data_centre)
        self.fleet = FleetView()
        self.coordinators = ()
        self._silence = SilenceDetector(self.fleet, self._on_suspect)
        context = DaemonContext(
            settings,
            self.fleet,
            EmulatedAttemptSender(name, self.fleet, heads),
            SharedRetryBudget(settings.retries),
            self._silence,
            None,
            random.Random(seed),
        )
        context.table = table
        self.name = name
        self._context = context
        self._network = network
        self._heads = heads
        self.forget()
        self.forwarder = Forwarder(context)
        self.coordinator = Coordinator(
            context,
            heads.world,
            heads.world,
            settings.control,
            scope,
            tell,
        )
        self.acts = bool(scope.tended)

    def forget(self):
        """Lose what it knows of requests that end engines, as in a new start."""
        heads = self._heads
        peers = self._network.peers_of(self.name)
        ends = TargetExitDetector(self.fleet.is_expected, heads.refuses)
        kept = VerdictStore(heads.world, heads.now)
        self._context.quarantine = Quarantine(peers, ends, kept)
        self._network.attach(self.name, self._context.quarantine)

    def coroutines(self):
        """Return the coroutines that keep it going."""
        acting = (self.coordinator.run(),) if self.acts else ()
        return (self._silence.run(), *acting)

    def see_list(self, changed, gone):
        """Take changes of the list of targets."""
        self.fleet.apply(changed, gone)
        if self.acts:
            self.coordinator.domains.update_entries(changed)
            self.coordinator.domains.mark_unlisted(gone)

    def take_news(self, news):
        """Take in what a coordinator has decided about a group."""
        self.fleet.apply_group_update(news, self._heads.now())

    def _on_suspect(self):
        now = self._heads.now()
        for target, epoch in self.fleet.suspects(now).items():
            for coordinator in self.coordinators:
                coordinator.investigate(target, epoch)
