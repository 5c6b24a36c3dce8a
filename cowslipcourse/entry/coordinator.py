"""Form and repair groups of the domains that this daemon coordinates.

The first reporter of each data centre coordinates its domains; those of a data centre
without a reporter are coordinated by the first reporter of the site. The loss of a
coordinator therefore stops repairs in one data centre only, and report requests and
orders are divided among coordinators.

The row of a domain is written before any order that follows from it. After a pause of
the process no row is trusted: rows not confirmed recently are read again.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.domains import DomainTracker
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.engine_reassignment import GroupBalancer
from cowslipcourse.entry.isolation_detector import IsolationDetector
from cowslipcourse.entry.model_shares import ModelShares
from cowslipcourse.entry.pauses import ticks
from cowslipcourse.entry.plan_table import PlanTable
from cowslipcourse.exceptions import StoreError
from cowslipcourse.group_plans import (
    LoadRateLimiter,
    StepKind,
    assign_domain,
    broken_groups,
    choose_staging,
    engine_views,
    model_demands,
    models_awaiting_members,
    next_steps,
    revise_plan,
    spare_engines,
    warmup_step,
)
from cowslipcourse.peer_protocol import GroupUpdate, OpenedHead
from cowslipcourse.ports import EngineOrder, OrderOperation

__all__ = ["Coordinator"]

RECONCILE_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.2
"""Interval at which a daemon without owned domains checks whether it has any."""
MAX_TICK_DELAY_S = 0.5
"""Delay of a tick beyond which another daemon may have acted meanwhile."""
DOMAIN_SETTLE_S = 0.8
"""Time without a new engine before a domain forms its first groups."""
SILENT_RETRY_INTERVAL_S = 1.0
"""Interval of report requests to silent engines that are still listed."""
log = get_logger(__name__)


class Coordinator:
    """Reconciles the groups of the owned domains with their plans.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param control: :class:`~cowslipcourse.ports.EngineControl`
    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    :param scope: :class:`~cowslipcourse.entry.coordination_scope.CoordinationScope`
    :param broadcast: called with each :class:`~cowslipcourse.peer_protocol.GroupUpdate`
        to send to all daemons.
    """

    def __init__(self, context, store, control, settings, scope, broadcast):
        self.domains = DomainTracker(context)
        self._context = context
        self._engine_client = EngineClient(
            control,
            settings,
            self.domains.update_from_report,
            self._check_isolation,
            self._on_group_opened,
            self._confirm_links,
            self._accepts_connections,
        )
        self.settings = settings
        self._isolation_detector = IsolationDetector(self.domains, self._engine_client)
        self._scope = scope
        self._broadcast = broadcast
        self._plan_table = PlanTable(store, self.domains.update_from_plan)
        self._group_balancer = GroupBalancer(context, self.domains, self._plan_table)
        self.shares = ModelShares(
            context,
            store,
            scope,
            lambda: self.settings.shares == "observed",
            lambda: bool(self._owned_domains),
        )
        self._load_limiter = LoadRateLimiter()
        self._investigated_at = {}
        self._owned_domains = frozenset()

    @property
    def isolated_until(self):
        """Loop time until which this daemon must not coordinate."""
        return self._isolation_detector.isolated_until

    # Suspicions.

    def investigate(self, target, epoch):
        """Request reports from the members of a group whose head is suspected."""
        if not self._owned_domains:
            return
        now = asyncio.get_running_loop().time()
        recently_investigated = {
            key: at
            for key, at in self._investigated_at.items()
            if now - at < SILENT_RETRY_INTERVAL_S
        }
        self._investigated_at = recently_investigated
        if (target, epoch) in recently_investigated:
            return
        recently_investigated[target, epoch] = now
        for plan in self._plan_table.plans.values():
            if plan.domain not in self._owned_domains:
                continue
            for group in plan.groups:
                is_match = group.head == target and group.epoch == epoch
                if is_match and not group.is_retired:
                    self._query_group(plan, group)

    def _query_group(self, plan, group):
        """Request reports from members, and from spares that may replace them."""
        log.info("group-suspected", group=group.name, epoch=group.epoch)
        for member in group.members:
            self._request_report(plan.domain, member)
        for engine in spare_engines(plan, self.domains.by_name[plan.domain]):
            self._request_report(plan.domain, engine.id)

    # Reconciliation loop.

    async def run(self):
        """Coordinate the owned domains, whichever they are, until cancelled."""
        async for _, late_s in ticks(
            RECONCILE_INTERVAL_S, lambda: not self._owned_domains, IDLE_INTERVAL_S
        ):
            if late_s > MAX_TICK_DELAY_S:
                self._plan_table.invalidate()
            self._update_owned_domains()
            if self._owned_domains:
                await self._reconcile()

    def _update_owned_domains(self):
        """Determine which domains this daemon coordinates now."""
        owned_domains = frozenset(
            name
            for name, domain in self.domains.by_name.items()
            if self._context.table is not None
            and self._scope.coordinates(domain.data_centre)
        )
        if bool(owned_domains) != bool(self._owned_domains):
            log.info("coordinating" if owned_domains else "not-coordinating")
        if owned_domains - self._owned_domains:
            # Another daemon may have coordinated them until now.
            log.info(
                "domains-taken",
                domains=",".join(sorted(owned_domains - self._owned_domains)),
            )
            self._plan_table.invalidate()
            self._load_limiter.record_takeover(asyncio.get_running_loop().time())
        self._owned_domains = owned_domains

    async def _reconcile(self):
        try:
            self._plan_table.check_era()
            if not self._plan_table.is_valid:
                await self._plan_table.read()
            await self._rebalance()
            for domain in sorted(self._owned_domains):
                if self._plan_table.is_readable(domain):
                    await self._reconcile_domain(domain)
        except StoreError as error:
            log.warning("groups-not-tended", error=error.code, why=error)
            self._plan_table.invalidate()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def _rebalance(self):
        now = asyncio.get_running_loop().time()
        for domain in sorted(self._owned_domains):
            spec = self._service_spec(self.domains.by_name[domain])
            if spec is not None:
                await self._group_balancer.rebalance(
                    self.shares.apply(spec),
                    self._owned_domains,
                    now,
                    self.shares.agreement(spec),
                )
                return

    async def _reconcile_domain(self, domain):
        now = asyncio.get_running_loop().time()
        if (
            self._plan_table.is_lost(domain)
            and await self._plan_table.rewrite(domain) is None
        ):
            return
        if not self._plan_table.plan(domain).groups and self._awaits_more_engines(
            domain, now
        ):
            return
        observed_domain = self.domains.by_name[domain]
        declared_spec = self._service_spec(observed_domain)
        if declared_spec is None:
            return
        spec = self.shares.apply(declared_spec)
        assignment = self._assign_domain(domain, spec, declared_spec.models)
        await self._revise_plan(domain, observed_domain, spec, assignment, now)
        plan = self._plan_table.plan(domain)
        self.domains.forget(plan)
        models = {model.name: model for model in spec.models}
        steps = next_steps(
            plan, observed_domain.engines, models, self.settings.stall_s, now
        )
        for step in steps:
            self._run_step(domain, step, models)
        self._stage_models(plan, observed_domain, spec, assignment, now)
        self._warm_up_spares(plan, observed_domain, assignment, models)
        self._query_silent_engines(domain, observed_domain, now)

    def _awaits_more_engines(self, domain, now):
        """Whether more engines, or domains planned together with it, may appear."""
        is_growing = self.domains.time_since_growth_s(domain, now) < DOMAIN_SETTLE_S
        is_new = not self._plan_table.plan(domain).version
        return is_growing or (
            is_new and not self.domains.are_all_discovered(domain, now)
        )

    def _service_spec(self, observed_domain):
        for engine in observed_domain.engines.values():
            spec = self._context.table.services.get(engine.entry.service)
            if spec is not None and spec.models:
                return spec
        return None

    def _assign_domain(self, domain, spec, declared_models):
        known = self.domains.by_name
        data_centres = {name: domain.data_centre for name, domain in known.items()}
        live = [e for e in known[domain].engines.values() if e.is_live]
        warm_models = [model for engine in live for model in engine.warm_models]
        return assign_domain(
            domain,
            self._plan_table.plans,
            data_centres,
            spec.models,
            warm_models,
            declared_models,
        )

    async def _revise_plan(self, domain, observed_domain, spec, assignment, now):
        plan = self._plan_table.plan(domain)
        views = engine_views(plan, observed_domain, self.settings.stall_s, now)
        sizes = {model.name: model.size for model in spec.models}
        demands = model_demands(spec.models, self._group_balancer.usable_plans.values())
        broken = broken_groups(plan, observed_domain)
        changes = self._group_balancer.changes_to_begin(domain, now)
        groups = revise_plan(plan, views, sizes, demands, assignment, broken, changes)
        if groups == plan.groups:
            return
        written = await self._plan_table.replace(plan, groups)
        if written is None:
            return
        _log_lost_members(plan, groups, observed_domain, now)
        _log_revision(plan, groups, written.version)
        _log_moves(plan, groups)
        for update in _ended_group_updates(plan, groups):
            self._broadcast(update)

    def _on_group_opened(self, engine, order):
        """Broadcast that a head begins to serve; the list shows it up to 1 s later."""
        spec = self._context.table.services.get(engine.entry.service)
        plan = self._plan_table.plans.get(engine.entry.domain)
        group = plan and plan.group_of(engine.id, engine.incarnation)
        if spec is None or not group or group.epoch != order.epoch:
            return
        head = OpenedHead(engine.id, engine.incarnation, group.model, spec.open_s)
        self._broadcast(GroupUpdate(group.name, group.epoch, head))

    # Orders and report requests.

    def _run_step(self, domain, step, models):
        if step.kind is StepKind.ASK:
            self._request_report(domain, step.engine)
        else:
            self._send_order(domain, step.engine, step.order, models)

    def _request_report(self, domain, engine_id):
        engine = self.domains.engine(domain, engine_id)
        if engine is not None:
            self._engine_client.request_report(engine)

    async def _confirm_links(self):
        """Return whether this daemon reaches targets; otherwise leave coordination."""
        if await self._context.reachability.confirm():
            return True
        self._isolation_detector.record_isolation(asyncio.get_running_loop().time())
        return False

    async def _accepts_connections(self, address):
        return await self._context.reachability.accepts_connections(address)

    def _check_isolation(self):
        self._isolation_detector.check(
            self._owned_domains, asyncio.get_running_loop().time()
        )

    def _send_order(self, domain, engine_id, order, models):
        engine = self.domains.engine(domain, engine_id)
        now = asyncio.get_running_loop().time()
        if engine is not None and self._plan_table.is_confirmed(now):
            self._engine_client.send_order(engine, order, models)

    def _stage_models(self, plan, observed_domain, spec, assignment, now):
        spares = spare_engines(plan, observed_domain)
        awaiting_models = models_awaiting_members(plan, observed_domain)
        models = [m for m in spec.models if assignment.model in (None, m.name)]
        chosen = choose_staging(plan, spares, models, awaiting_models)
        if not awaiting_models:
            chosen |= self._group_balancer.models_to_stage(plan)
        for engine_id, model in chosen.items():
            engine = observed_domain.engines.get(engine_id)
            if engine is not None and engine.is_live:
                self._stage_model(plan.domain, engine, model, spec, now)

    def _stage_model(self, domain, engine, model, spec, now):
        """Stage a model on an engine's host unless it is staged or being staged."""
        if engine.staging_model is not None or model in engine.staged:
            return
        if engine.order_count is None:
            self._request_report(domain, engine.id)
        elif (
            self._plan_table.is_confirmed(now)
            and not self._engine_client.is_busy(engine)
            and self._load_limiter.try_acquire(
                spec.loads_per_s, self._scope.coordinator_count, now
            )
        ):
            engine.staging_model = model
            order = EngineOrder(OrderOperation.STAGE, engine.order_count, model=model)
            self._send_order(domain, engine.id, order, {})

    def _warm_up_spares(self, plan, observed_domain, assignment, models):
        """Warm up spares while no group of the domain awaits members."""
        if models_awaiting_members(plan, observed_domain):
            return
        served = [name for name in models if assignment.model in (None, name)]
        for engine in spare_engines(plan, observed_domain):
            step = warmup_step(plan, engine, served)
            if step is not None:
                self._run_step(plan.domain, step, models)

    def _query_silent_engines(self, domain, observed_domain, now):
        for engine in observed_domain.engines.values():
            if engine.silent_since is None or not engine.is_listed:
                continue
            if engine.is_replaced:
                continue
            if now - engine.last_probed_at > SILENT_RETRY_INTERVAL_S:
                engine.last_probed_at = now
                self._request_report(domain, engine.id)


def _ended_group_updates(plan, groups):
    """Yield updates for groups whose previous heads no longer serve."""
    previous = {group.name: group for group in plan.groups}
    for group in groups:
        known = previous.get(group.name)
        if known is None or known == group:
            continue
        # A retired group that is formed again gets a later epoch.
        yield GroupUpdate(group.name, group.epoch + group.is_retired)


def _log_moves(plan, groups):
    """Log the groups whose engines begin to change over to another model."""
    begun = {group.name for group in plan.groups if group.successor}
    moving = [g for g in groups if g.successor and g.name not in begun]
    for model in sorted({group.successor for group in moving}):
        donated = [group for group in moving if group.successor == model]
        log.info(
            "change-over-begun",
            domain=plan.domain,
            groups=",".join(group.name for group in donated),
            donor=",".join(sorted({group.model for group in donated})),
            model=model,
            engines=sum(len(group.members) for group in donated),
        )


def _log_lost_members(plan, groups, observed_domain, now):
    """Log why groups that may be serving are given up or formed again."""
    kept = set(groups)
    for group in plan.groups:
        if group.is_retired or group in kept:
            continue
        engines = [observed_domain.engines.get(member) for member in group.members]
        log.info(
            "group-given-up",
            domain=plan.domain,
            group=group.name,
            epoch=group.epoch,
            members=",".join(
                f"{member}:{_member_state(group, engine, now)}"
                for member, engine in zip(group.members, engines, strict=True)
            ),
        )


def _member_state(group, engine, now):
    """Return the state of a group's member as a word for logs."""
    if engine is None:
        return "unknown"
    if not group.has_member(engine.id, engine.incarnation):
        return "restarted"
    if engine.is_replaced:
        return "replaced"
    if engine.silent_since is not None:
        return f"silent-{now - engine.silent_since:.2f}s"
    if not engine.is_listed:
        return "not-listed"
    return "leaving" if engine.entry.is_leaving else "live"


def _log_revision(plan, groups, version):
    previous = set(plan.groups)
    for group in groups:
        if group not in previous:
            log.info(
                "group-planned",
                domain=plan.domain,
                group=group.name,
                epoch=group.epoch,
                model=group.model,
                members=",".join(group.members),
                retired=group.is_retired,
                successor=group.successor,
                version=version,
            )
