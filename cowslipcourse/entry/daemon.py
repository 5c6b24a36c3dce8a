"""The daemon of one entry VM: builds its components and runs them."""

import asyncio
import contextlib
import logging
import os
import random
import time

from cowslipcourse.adapters.http_server import WebServer
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.admission import MIN_DAEMON_COUNT, SharedRetryBudget
from cowslipcourse.entry.attempts import AttemptSender
from cowslipcourse.entry.caller_app import FrontApp
from cowslipcourse.entry.context import DaemonContext
from cowslipcourse.entry.daemon_registration import DaemonRegistrar
from cowslipcourse.entry.deferred_metrics import DeferredMetrics
from cowslipcourse.entry.evacuation_exchange import EvacuationExchange
from cowslipcourse.entry.evacuations import Evacuations
from cowslipcourse.entry.fleet_view import FleetView
from cowslipcourse.entry.forwarder import Forwarder
from cowslipcourse.entry.internal_apps import metrics_app, peer_app
from cowslipcourse.entry.late_imports import import_late_modules
from cowslipcourse.entry.limit_prober import ListedTargetProber
from cowslipcourse.entry.peer_link import PeerLink
from cowslipcourse.entry.roles import RoleAssignment
from cowslipcourse.entry.settings_reload import SettingsWatcher
from cowslipcourse.entry.silence_detector import SilenceDetector
from cowslipcourse.entry.state_replica import StateReplica
from cowslipcourse.entry.target_conditions import TargetConditions
from cowslipcourse.entry.target_placing import TargetPlacing
from cowslipcourse.entry.unloaded_components import (
    UnloadedCoordinator,
    UnloadedSpeedExchange,
)
from cowslipcourse.peer_protocol import Heartbeat, Member, PeerRegistry
from cowslipcourse.platform import (
    HttpEngineControl,
    HttpRowStore,
    directory_app,
    ready_app,
)
from cowslipcourse.ports import era_of
from cowslipcourse.quarantine import VerdictStore
from cowslipcourse.quarantine_runtime import (
    Quarantine,
    TargetExitDetector,
    refuses_connections,
)
from cowslipcourse.rate_limit_runtime import RateLimiter
from cowslipcourse.rate_limits import ColdTargets

__all__ = ["EntryDaemon"]

EXIT_CRASHED = 70
LOG_FLUSH_S = 0.05
"""Time for the queued log lines to be written before a crashed process ends."""
HOUSEKEEPING_INTERVAL_S = 1.0
MAX_LATE_DELAY_S = 1.0
"""Longest wait for a configuration and targets before further components are loaded,
which would take the processor from reading them."""
ADDRESS_TTL_FACTOR = 3
"""Some callers cache addresses for this multiple of the TTL."""
STOP_CHECK_INTERVAL_S = 0.1
STOP_MARGIN_S = 0.3
"""Remainder of the grace period when the last requests are ended."""
LAST_ANSWERS_S = 0.15
"""Longest time for the errors of these requests to be sent before the process ends."""
LAST_ANSWERS_CHECK_INTERVAL_S = 0.01

log = get_logger(__name__)


class EntryDaemon:
    """Owns the components of one daemon and connects them.

    :param settings: :class:`~cowslipcourse.entry.settings.EntrySettings`
    :param path: settings file, reloaded when it changes.
    """

    def __init__(self, settings, path):
        self._settings = settings
        self.settings_watcher = SettingsWatcher(path, settings, self._apply_settings)
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._is_ready = False
        self._registered_count = None
        """Number of daemons that were registered at the start; ``None`` before they
        have been read."""
        self._last_store_era = 0
        self._tasks = set()
        self._can_serve = asyncio.Event()
        self._build()

    def _build(self):
        settings = self._settings
        rng = random.Random()
        evacuations = Evacuations(rng)
        self._fleet = FleetView(evacuations)
        self._deferred_metrics = DeferredMetrics()
        logging.getLogger().addHandler(self._deferred_metrics.event_counter())
        self._store = HttpRowStore(settings.store)
        self._control = HttpEngineControl(settings.control)
        retry_budget = SharedRetryBudget(settings.retries, rng)
        silence_detector = SilenceDetector(
            self._fleet, self._is_host_lost, self._on_suspect
        )
        self._registry = PeerRegistry(settings.peers, settings.data_centre)
        self._fleet.set_peers_in_flight(self._registry.in_flight)
        self._peer_link = PeerLink(settings, self._registry, self)
        self.evacuation_exchange = EvacuationExchange(evacuations, self._peer_link, rng)
        prober = ListedTargetProber(self._fleet, self._control, self._health_path)
        cold_targets = ColdTargets(self._cold_requests_per_s)
        self.rate_limiter = RateLimiter(self._peer_link, prober, rng, cold_targets)
        self._conditions = TargetConditions(self.rate_limiter, self._fleet)
        self._placing = TargetPlacing(
            settings.balancing, self._fleet, self._conditions, settings.data_centre
        )
        self.speed_exchange = UnloadedSpeedExchange()
        attempt_sender = AttemptSender(self._fleet, self._conditions)
        exit_detector = TargetExitDetector(self._fleet.is_expected, self._has_refused)
        verdict_store = VerdictStore(self._store, time.time)
        self.quarantine = Quarantine(self._peer_link, exit_detector, verdict_store)
        self._context = DaemonContext(
            settings,
            self._fleet,
            attempt_sender,
            retry_budget,
            silence_detector,
            self._conditions,
            self.quarantine,
            rng,
            self._placing,
        )
        self._context.metrics = self._deferred_metrics
        self._front = FrontApp(
            self._context, Forwarder(self._context), self._deferred_metrics
        )
        self._registrar = DaemonRegistrar(
            settings, self._store, self._on_registrations, rng
        )
        self.replica = StateReplica(
            settings, self._store, self._registry, rng, self, evacuations
        )
        self._roles = RoleAssignment(
            settings, self._registry, self._registrar, self.replica, self
        )
        self._coordinator = UnloadedCoordinator(settings.control)

    async def _run_late_components(self):
        """Load and build what the first requests do not need, and run it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_LATE_DELAY_S):
                await self._can_serve.wait()
        late_components = await import_late_modules()
        self.quarantine.load_part_evaluation(late_components.PartEvaluation)
        self._metrics = late_components.EntryMetrics()
        self._deferred_metrics.attach(self._metrics)
        self._coordinator = late_components.Coordinator(
            self._context,
            self._store,
            self._control,
            self._settings.control,
            self._roles,
            self.broadcast_group_update,
        )
        self._coordinator.domains.update_entries(self._fleet.entries.values())
        reachability = late_components.ReachabilityMonitor(
            self._fleet,
            self._context.rng,
            self._context.attempt_sender.silent_s,
            self._on_links_lost,
        )
        relays = late_components.Relays(
            self._settings.data_centre,
            self._ready_members,
            self._peer_link.alive_addresses,
            self._context.rng,
        )
        self.speed_exchange = late_components.SpeedExchange(
            self._settings.name,
            self._settings.data_centre,
            self._peer_link,
            self._placing,
        )
        self._context.reachability = reachability
        self._context.relays = relays
        log.info("all-components-loaded")
        self._run_forever(reachability.run())
        self._run_forever(relays.run())
        self._run_forever(self.speed_exchange.run())
        group_counter = late_components.GroupCountMonitor()
        self._run_forever(self._run_housekeeping(group_counter))
        self._run_forever(self._coordinator.shares.run())
        await self._coordinator.run()

    async def run(self, stopping):
        """Serve until ``stopping`` is set, then stop gracefully."""
        listen = self._settings.listen
        servers = [
            WebServer(self._front, listen.front),
            WebServer(
                directory_app(self._ready_addresses, self._settings.address_ttl_s),
                listen.directory,
            ),
            WebServer(ready_app(lambda: self._is_ready), listen.ready),
            WebServer(peer_app(self.replica.encoded_state), listen.peer),
        ]
        if listen.metrics:
            servers.append(
                WebServer(metrics_app(self._deferred_metrics), listen.metrics)
            )
        for server in servers:
            await server.start()
        await self._peer_link.start()
        log.info("started", daemon=self._settings.name, incarnation=self._incarnation)
        for coroutine in (
            self._peer_link.run(),
            *self.replica.coroutines(),
            self._context.silence_detector.run(),
            self.quarantine.run(),
            self.rate_limiter.run(),
            self.evacuation_exchange.run(),
            self._registrar.run(),
            self._roles.run(),
            self._run_late_components(),
            self.settings_watcher.run(),
        ):
            self._run_forever(coroutine)
        await stopping.wait()
        await self._stop(servers)

    def _run_forever(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(_exit_on_failure)

    async def _stop(self, servers):
        """Leave the directory and finish the requests that arrive meanwhile."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        addresses_cached_until = now + ADDRESS_TTL_FACTOR * self._settings.address_ttl_s
        requests_end_at = now + self._settings.stop.grace_s - STOP_MARGIN_S
        log.info("stopping", in_flight=self._front.in_flight)
        self._is_ready = False
        self._context.stop.begin(requests_end_at, addresses_cached_until)
        self._peer_link.heartbeat_now()
        while loop.time() < requests_end_at:
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
            # Idle connections do not delay the stop: by now their callers have a newer
            # list of addresses.
            if not self._front.in_flight and loop.time() > addresses_cached_until:
                break
        await self._end_requests()
        log.info(
            "stopped",
            in_flight=self._front.in_flight,
            connections=servers[0].connections,
        )

    async def _end_requests(self):
        """End the requests that are still in progress, and send their errors."""
        loop = asyncio.get_running_loop()
        self._context.stop.end_requests()
        process_ends_at = loop.time() + LAST_ANSWERS_S
        while self._front.in_flight and loop.time() < process_ends_at:
            await asyncio.sleep(LAST_ANSWERS_CHECK_INTERVAL_S)

    def _apply_settings(self, settings):
        """Apply changed settings."""
        self._settings = settings
        self._context.retry_budget.settings = settings.retries
        self._coordinator.settings = settings.control
        self._control.settings = settings.control
        self._context.admission = settings.admission
        self._context.answers = settings.answers
        self._context.held_answers.max_bytes = settings.answers.max_held_bytes
        self._placing.apply_settings(settings.balancing)

    @property
    def is_draining(self):
        """Whether the daemon is draining before a stop."""
        return self._front.is_draining

    # Changes from the replica.

    def apply_configuration(self, table):
        """Apply a newer configuration."""
        self._context.table = self._placing.table = table
        self._is_ready = not self._front.is_draining
        log.info("configuration", version=table.version, routes=len(table))
        # The services determine which entries name engines.
        self._coordinator.domains.update_entries(self._fleet.entries.values())
        self._note_state()

    def apply_targets(self, entries, gone):
        """Apply changes to the list of targets."""
        self.rate_limiter.apply_entries(entries)
        self._fleet.apply(entries, gone)
        self._coordinator.domains.update_entries(entries)
        self._coordinator.domains.mark_unlisted(gone)
        self._note_state()

    def _note_state(self):
        if self._context.table is not None and self._fleet.entries:
            self._can_serve.set()

    # Peers.

    def heartbeat(self):
        """Return the current heartbeat with the next sequence number."""
        self._sequence += 1
        settings = self._settings
        now = asyncio.get_running_loop().time()
        member = Member(
            name=settings.name,
            incarnation=self._incarnation,
            registration_version=self._registrar.version,
            peer_address=settings.listen.peer,
            front_address=settings.listen.front,
            data_centre=settings.data_centre,
            is_ready=self._is_ready,
            configuration_version=self.replica.configuration_version,
        )
        return Heartbeat(
            member=member,
            sequence=self._sequence,
            is_healthy=self._is_healthy(now),
            targets_version=self.replica.targets_version,
            in_flight=dict(self._fleet.in_flight),
            suspects=self._announced_suspects(now),
            interval_s=self.heartbeat_interval_s(),
        )

    def heartbeat_interval_s(self):
        """Return the seconds until the next heartbeat."""
        now = asyncio.get_running_loop().time()
        return self._registry.heartbeat_interval_s(self._roles.is_reporter, now)

    def _is_healthy(self, now):
        """Whether it is current, reaches engines and is not draining."""
        return (
            self.replica.is_current
            and now >= self._coordinator.isolated_until
            and not self._front.is_draining
        )

    def investigate_suspects(self, message):
        """Investigate the suspects that a peer's heartbeat or digest names."""
        self._fleet.notify_room_changed()
        for target, epoch in message.suspects.items():
            self._coordinator.investigate(target, epoch)

    def _update_daemon_count(self, now):
        known_count = self._registry.known_daemon_count(now) + 1
        self._context.daemon_count = max(known_count, MIN_DAEMON_COUNT)
        if self._registered_count is None:
            return
        recent_count = self._registry.recent_daemon_count(now) + 1
        self._context.retry_budget.set_daemon_count(
            max(recent_count, min(self._registered_count, MIN_DAEMON_COUNT)), now
        )

    def apply_group_update(self, update):
        """Apply a coordinator's :class:`~cowslipcourse.peer_protocol.GroupUpdate`."""
        self._fleet.apply_group_update(update, asyncio.get_running_loop().time())

    def broadcast_group_update(self, update):
        """Apply a group update here, then send it to all other daemons."""
        self.apply_group_update(update)
        self._peer_link.broadcast_group_update(update)

    def push_changes(self, changes):
        """Send target changes to the daemons of the data centre."""
        self._peer_link.push_changes(changes)

    def _on_links_lost(self):
        """Withdraw what was concluded about targets from the lost links."""
        self._fleet.clear_suspicions()
        self._context.attempt_sender.report_silent()

    def _announced_suspects(self, now):
        """Return the suspects to name to others; without links there are none."""
        is_reachable = self._context.reachability.is_reachable
        return self._fleet.suspects(now) if is_reachable else {}

    async def _has_refused(self, address):
        """Return whether a target refuses connections while others accept them."""
        is_refused = await refuses_connections(address)
        return is_refused and await self._context.reachability.confirm()

    def _is_host_lost(self, entry, now):
        return self._context.reachability.is_host_lost(entry, now)

    def _on_suspect(self):
        self._context.reachability.doubt()
        now = asyncio.get_running_loop().time()
        self._peer_link.heartbeat_now()
        for target, epoch in self._announced_suspects(now).items():
            self._coordinator.investigate(target, epoch)

    def _health_path(self, service):
        spec = self._service_spec(service)
        return "" if spec is None else spec.health_path

    def _cold_requests_per_s(self, service):
        spec = self._service_spec(service)
        return 0.0 if spec is None else spec.cold_requests_per_s

    def _service_spec(self, service):
        table = self._context.table
        return None if table is None else table.services.get(service)

    def _ready_members(self):
        now = asyncio.get_running_loop().time()
        return self._registry.ready_members(self._settings.name, now)

    def _ready_addresses(self):
        addresses = [member.front_address for member in self._ready_members()]
        if self._is_ready:
            addresses.append(self._settings.listen.front)
        self._context.rng.shuffle(addresses)
        return addresses

    def _on_registrations(self, registrations):
        """Add the addresses at which other daemons have registered."""
        now = asyncio.get_running_loop().time()
        for registration in registrations:
            self._registry.add_address(
                registration.peer_address, registration.data_centre, now
            )
        self._registered_count = len(registrations)
        self._update_daemon_count(now)
        self._peer_link.heartbeat_now()

    async def _run_housekeeping(self, group_counter):
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self._update_daemon_count(now)
            self._conditions.retain(self._fleet.entries.values())
            self._context.attempt_sender.close_stale_connections()
            self._metrics.set_state("in_flight", self._front.in_flight)
            self._metrics.set_state("quarantined", self.quarantine.verdict_count)
            self._metrics.set_state("part_crashes", self.quarantine.part_exit_count)
            self._metrics.set_state("held_parts", self.quarantine.hold_count)
            self._metrics.set_state(
                "reaches_targets", int(self._context.reachability.is_reachable)
            )
            self._metrics.set_state(
                "loop_late_s", self._context.silence_detector.own_late_s
            )
            self._metrics.set_group_counts(
                group_counter.count(self._context.table, self._fleet)
            )
            self._metrics.set_limited_counts(self._conditions.limited_counts())
            self._metrics.set_cold_counts(self.rate_limiter.cold_counts())
            self._metrics.set_paused_counts(self._conditions.paused_counts())
            self._placing.update(now)
            self._metrics.set_slow_counts(self._placing.slow_counts())
            self._metrics.set_leaving_counts(self._fleet.leaving_counts())
            self._metrics.set_model_shares(self._coordinator.shares.report())
            self._metrics.set_evacuated(self._fleet.evacuations.data_centres)
            self._metrics.set_withheld_counts(self._context.withheld_counts)
            self._metrics.set_hedge_counts(self._context.hedge_counts)
            self._metrics.set_retry_counts(self._context.retry_counts)
            self._check_store_era()

    def _check_store_era(self):
        """Rewrite rows that a store restored to an older state may have lost."""
        # Versions may also come from peers that read the store.
        era = era_of(self.replica.targets_version)
        if era > max(self._last_store_era, era_of(self._registrar.version)):
            self._registrar.rewrite_later()
            self.quarantine.mark_all_unsaved()
        self._last_store_era = era
        self._metrics.set_state("store_era", era)


def _exit_on_failure(task):
    if task.cancelled() or task.exception() is None:
        return
    try:
        raise task.exception()
    except Exception:
        log.exception("task-crashed", task=task.get_coro().__qualname__)
    time.sleep(LOG_FLUSH_S)
    os._exit(EXIT_CRASHED)
