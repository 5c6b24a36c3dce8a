"""Form and repair groups of the domains that this daemon keeps.

Each data centre's first reporter keeps the groups of its domains; those of a data
centre without one are kept by the first reporter of all. So a coordinator that is lost
costs one data centre its repairs, and each does a part of the questions and orders.

The row of a domain is written first and orders follow from it. Nothing here is trusted
across a pause: rows are read again if they have not been confirmed lately.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.balancing import GroupBalancer
from cowslipcourse.entry.domains import DomainTracker
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.own_links import IsolationDetector
from cowslipcourse.entry.pauses import ticks
from cowslipcourse.entry.plan_table import PlanTable
from cowslipcourse.exceptions import StoreError
from cowslipcourse.groups import (
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
from cowslipcourse.peers import GroupUpdate, OpenedHead
from cowslipcourse.ports import EngineOrder, OrderOperation

__all__ = ["Coordinator"]

RECONCILE_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.2
"""Interval at which a daemon that does not coordinate looks whether it is its turn."""
MAX_TICK_DELAY_S = 0.5
"""A tick that comes this late: another daemon may have acted meanwhile."""
DOMAIN_SETTLE_S = 0.8
"""Time without a new engine before the first groups of a domain are formed."""
SILENT_RETRY_INTERVAL_S = 1.0
"""Interval at which silent engines that are still listed are asked again."""
log = get_logger(__name__)


class Coordinator:
    """Keeps the groups of its domains as they should be.

    :param context: :class:`~cowslipcourse.entry.tools.DaemonContext`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param control: :class:`~cowslipcourse.ports.EngineControl`
    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    :param scope: :class:`~cowslipcourse.entry.scope.CoordinationScope`
    :param broadcast: called with each :class:`~cowslipcourse.peers.GroupUpdate` to
        send to all daemons.
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
        )
        self.settings = settings
        self._isolation_detector = IsolationDetector(self.domains, self._engine_client)
        self._scope = scope
        self._broadcast = broadcast
        self._plan_table = PlanTable(store, self.domains.update_from_plan)
        self._group_balancer = GroupBalancer(context, self.domains, self._plan_table)
        self._load_limiter = LoadRateLimiter()
        self._investigated_at = {}
        self._owned_domains = frozenset()

    @property
    def isolated_until(self):
        """Loop time until which this daemon must not coordinate."""
        return self._isolation_detector.isolated_until

    # What other parts tell.

    def investigate(self, target, epoch):
        """Ask the members of a group whose head was found silent."""
        if not self._owned_domains:
            return
        now = asyncio.get_running_loop().time()
        recent = {
            key: at
            for key, at in self._investigated_at.items()
            if now - at < SILENT_RETRY_INTERVAL_S
        }
        self._investigated_at = recent
        if (target, epoch) in recent:
            return
        recent[target, epoch] = now
        for plan in self._plan_table.plans.values():
            if plan.domain not in self._owned_domains:
                continue
            for group in plan.groups:
                is_match = group.head == target and group.epoch == epoch
                if is_match and not group.is_retired:
                    self._query_group(plan, group)

    def _query_group(self, plan, group):
        """Ask the members, and the spares: they are needed next, if they are there."""
        log.info("group-suspected", group=group.name, epoch=group.epoch)
        for member in group.members:
            self._request_report(plan.domain, member)
        for engine in spare_engines(plan, self.domains.by_name[plan.domain]):
            self._request_report(plan.domain, engine.id)

    # The loop.

    async def run(self):
        """Coordinate for ever, whichever domains are this daemon's turn."""
        async for _, late_s in ticks(
            RECONCILE_INTERVAL_S, lambda: not self._owned_domains, IDLE_INTERVAL_S
        ):
            if late_s > MAX_TICK_DELAY_S:
                self._plan_table.invalidate()
            self._update_owned_domains()
            if self._owned_domains:
                await self._reconcile()

    def _update_owned_domains(self):
        """Take on the domains that this daemon keeps now."""
        owned_domains = frozenset(
            name
            for name, domain in self.domains.by_name.items()
            if self._context.table is not None
            and self._scope.coordinates(domain.data_centre)
        )
        if bool(owned_domains) != bool(self._owned_domains):
            log.info("coordinating" if owned_domains else "not-coordinating")
        if owned_domains - self._owned_domains:
            # Others may have kept them until now.
            log.info(
                "domains-taken",
                domains=",".join(sorted(owned_domains - self._owned_domains)),
            )
            self._plan_table.invalidate()
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
                await self._group_balancer.rebalance(spec, self._owned_domains, now)
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
        domain_knowledge = self.domains.by_name[domain]
        spec = self._service_spec(domain_knowledge)
        if spec is None:
            return
        shape = self._choose_domain_shape(domain, spec)
        await self._revise_plan(domain, domain_knowledge, spec, shape, now)
        plan = self._plan_table.plan(domain)
        self.domains.forget(plan)
        models = {model.name: model for model in spec.models}
        steps = next_steps(
            plan, domain_knowledge.engines, models, self.settings.stall_s, now
        )
        for step in steps:
            self._run_step(domain, step, models)
        self._stage_models(plan, domain_knowledge, spec, shape, now)
        self._practise_joins(plan, domain_knowledge, shape, models)
        self._query_silent_engines(domain, domain_knowledge, now)

    def _awaits_more_engines(self, domain, now):
        """Whether more engines, or domains to be divided with this one, may come."""
        is_growing = self.domains.time_since_growth_s(domain, now) < DOMAIN_SETTLE_S
        is_new = not self._plan_table.plan(domain).version
        return is_growing or (
            is_new and not self.domains.are_all_discovered(domain, now)
        )

    def _service_spec(self, domain_knowledge):
        for engine in domain_knowledge.engines.values():
            spec = self._context.table.services.get(engine.entry.service)
            if spec is not None and spec.models:
                return spec
        return None

    def _choose_domain_shape(self, domain, spec):
        known = self.domains.by_name
        data_centres = {name: domain.data_centre for name, domain in known.items()}
        live = [e for e in known[domain].engines.values() if e.is_live]
        held = [model for engine in live for model in engine.warm_models]
        return assign_domain(
            domain, self._plan_table.plans, data_centres, spec.models, held
        )

    async def _revise_plan(self, domain, domain_knowledge, spec, shape, now):
        plan = self._plan_table.plan(domain)
        views = engine_views(plan, domain_knowledge, self.settings.stall_s, now)
        sizes = {model.name: model.size for model in spec.models}
        wanted = model_demands(spec.models, self._plan_table.plans.values())
        broken = broken_groups(plan, domain_knowledge)
        changes = self._group_balancer.changes_to_begin(domain, now)
        groups = revise_plan(plan, views, sizes, wanted, shape, broken, changes)
        if groups == plan.groups:
            return
        written = await self._plan_table.replace(plan, groups)
        if written is None:
            return
        _log_revision(plan, groups, written.version)
        for update in _ended_group_updates(plan, groups):
            self._broadcast(update)

    def _on_group_opened(self, engine, order):
        """Tell which head begins to serve; the list says so up to a second later."""
        spec = self._context.table.services.get(engine.entry.service)
        plan = self._plan_table.plans.get(engine.entry.domain)
        group = plan and plan.group_of(engine.id, engine.incarnation)
        if spec is None or not group or group.epoch != order.epoch:
            return
        head = OpenedHead(engine.id, engine.incarnation, group.model, spec.open_s)
        self._broadcast(GroupUpdate(group.name, group.epoch, head))

    # Orders and questions.

    def _run_step(self, domain, step, models):
        if step.kind is StepKind.ASK:
            self._request_report(domain, step.engine)
        else:
            self._send_order(domain, step.engine, step.order, models)

    def _request_report(self, domain, engine_id):
        engine = self.domains.engine(domain, engine_id)
        if engine is not None:
            self._engine_client.request_report(engine)

    def _check_isolation(self):
        self._isolation_detector.check(
            self._owned_domains, asyncio.get_running_loop().time()
        )

    def _send_order(self, domain, engine_id, order, models):
        engine = self.domains.engine(domain, engine_id)
        now = asyncio.get_running_loop().time()
        if engine is not None and self._plan_table.is_confirmed(now):
            self._engine_client.send_order(engine, order, models)

    def _stage_models(self, plan, domain_knowledge, spec, shape, now):
        free = spare_engines(plan, domain_knowledge)
        waiting = models_awaiting_members(plan, domain_knowledge)
        models = [m for m in spec.models if shape.model in (None, m.name)]
        chosen = choose_staging(plan, free, models, waiting)
        if not waiting:
            chosen |= self._group_balancer.models_to_stage(plan)
        for engine_id, model in chosen.items():
            engine = domain_knowledge.engines.get(engine_id)
            if engine is not None and engine.is_live:
                self._stage_model(plan.domain, engine, model, spec, now)

    def _stage_model(self, domain, engine, model, spec, now):
        """Load a model onto an engine's host, unless it is there or on its way."""
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

    def _practise_joins(self, plan, domain_knowledge, shape, models):
        """Let spares join once, while nothing is under way in the domain."""
        if models_awaiting_members(plan, domain_knowledge):
            return
        served = [name for name in models if shape.model in (None, name)]
        for engine in spare_engines(plan, domain_knowledge):
            step = warmup_step(plan, engine, served)
            if step is not None:
                self._run_step(plan.domain, step, models)

    def _query_silent_engines(self, domain, domain_knowledge, now):
        for engine in domain_knowledge.engines.values():
            if engine.silent_since is None or not engine.is_listed:
                continue
            if engine.is_replaced:
                continue
            if now - engine.last_probed_at > SILENT_RETRY_INTERVAL_S:
                engine.last_probed_at = now
                self._request_report(domain, engine.id)


def _ended_group_updates(plan, groups):
    """Yield news of groups whose earlier heads serve no longer."""
    previous = {group.name: group for group in plan.groups}
    for group in groups:
        known = previous.get(group.name)
        if known is None or known == group:
            continue
        # If a retired group is formed anew, its epoch is a later one.
        yield GroupUpdate(group.name, group.epoch + group.is_retired)


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
