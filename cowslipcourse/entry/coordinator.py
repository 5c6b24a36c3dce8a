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

TICK_S = 0.05
REST_S = 0.2
"""Interval at which a daemon that does not coordinate looks whether it is its turn."""
OWN_PAUSE_S = 0.5
"""A tick that comes this late: another daemon may have acted meanwhile."""
SETTLE_S = 0.8
"""Time without a new engine before the first groups of a domain are formed."""
SILENT_AGAIN_S = 1.0
"""Interval at which silent engines that are still listed are asked again."""
log = get_logger(__name__)


class Coordinator:
    """Keeps the groups of its domains as they should be.

    :param context: :class:`~cowslipcourse.entry.tools.DaemonContext`
    :param store: :class:`~cowslipcourse.ports.RowStore`
    :param control: :class:`~cowslipcourse.ports.EngineControl`
    :param settings: :class:`~cowslipcourse.entry.settings.ControlSettings`
    :param scope: :class:`~cowslipcourse.entry.scope.CoordinationScope`
    :param tell: called with :class:`~cowslipcourse.peers.GroupUpdate` for all daemons.
    """

    def __init__(self, context, store, control, settings, scope, tell):
        self.domains = DomainTracker(context)
        self._context = context
        self._calls = EngineClient(
            control,
            settings,
            self.domains.update_from_report,
            self._look_at_links,
            self._note_opened,
        )
        self.settings = settings
        self._links = IsolationDetector(self.domains, self._calls)
        self._scope = scope
        self._tell = tell
        self._table = PlanTable(store, self.domains.update_from_plan)
        self._balancing = GroupBalancer(context, self.domains, self._table)
        self._load_limiter = LoadRateLimiter()
        self._investigated = {}
        self._tended = frozenset()

    @property
    def isolated_until(self):
        """Loop time until which this daemon must not coordinate."""
        return self._links.isolated_until

    # What other parts tell.

    def investigate(self, target, epoch):
        """Ask the members of a group whose head was found silent."""
        if not self._tended:
            return
        now = asyncio.get_running_loop().time()
        recent = {
            key: at
            for key, at in self._investigated.items()
            if now - at < SILENT_AGAIN_S
        }
        self._investigated = recent
        if (target, epoch) in recent:
            return
        recent[target, epoch] = now
        for plan in self._table.plans.values():
            if plan.domain not in self._tended:
                continue
            for group in plan.groups:
                is_meant = group.head == target and group.epoch == epoch
                if is_meant and not group.is_retired:
                    self._ask_group(plan, group)

    def _ask_group(self, plan, group):
        """Ask the members, and the spares: they are needed next, if they are there."""
        log.info("group-suspected", group=group.name, epoch=group.epoch)
        for member in group.members:
            self._spawn_ask(plan.domain, member)
        for engine in spare_engines(plan, self.domains.by_name[plan.domain]):
            self._spawn_ask(plan.domain, engine.id)

    # The loop.

    async def run(self):
        """Coordinate for ever, whichever domains are this daemon's turn."""
        async for _, late_s in ticks(TICK_S, lambda: not self._tended, REST_S):
            if late_s > OWN_PAUSE_S:
                self._table.invalidate()
            self._take_scope()
            if self._tended:
                await self._tick()

    def _take_scope(self):
        """Take on the domains that this daemon keeps now."""
        tended = frozenset(
            name
            for name, domain in self.domains.by_name.items()
            if self._context.table is not None
            and self._scope.coordinates(domain.data_centre)
        )
        if bool(tended) != bool(self._tended):
            log.info("coordinating" if tended else "not-coordinating")
        if tended - self._tended:
            # Others may have kept them until now.
            log.info("domains-taken", domains=",".join(sorted(tended - self._tended)))
            self._table.invalidate()
        self._tended = tended

    async def _tick(self):
        try:
            self._table.check_era()
            if not self._table.is_valid:
                await self._table.read()
            await self._balance()
            for domain in sorted(self._tended):
                if self._table.is_readable(domain):
                    await self._tend(domain)
        except StoreError as error:
            log.warning("groups-not-tended", error=error.code, why=error)
            self._table.invalidate()
            await asyncio.sleep(TICK_S)

    async def _balance(self):
        now = asyncio.get_running_loop().time()
        for domain in sorted(self._tended):
            spec = self._spec(self.domains.by_name[domain])
            if spec is not None:
                await self._balancing.rebalance(spec, self._tended, now)
                return

    async def _tend(self, domain):
        now = asyncio.get_running_loop().time()
        if self._table.is_lost(domain) and await self._table.rewrite(domain) is None:
            return
        if not self._table.plan(domain).groups and self._is_settling(domain, now):
            return
        knowledge = self.domains.by_name[domain]
        spec = self._spec(knowledge)
        if spec is None:
            return
        shape = self._shape(domain, spec)
        await self._revise(domain, knowledge, spec, shape, now)
        plan = self._table.plan(domain)
        self.domains.forget(plan)
        models = {model.name: model for model in spec.models}
        steps = next_steps(plan, knowledge.engines, models, self.settings.stall_s, now)
        for step in steps:
            self._take_step(domain, step, models)
        self._stage(plan, knowledge, spec, shape, now)
        self._practise(plan, knowledge, shape, models)
        self._ask_silent(domain, knowledge, now)

    def _is_settling(self, domain, now):
        """Whether more engines, or domains to be divided with this one, may come."""
        is_growing = self.domains.time_since_growth_s(domain, now) < SETTLE_S
        is_new = not self._table.plan(domain).version
        return is_growing or (
            is_new and not self.domains.are_all_discovered(domain, now)
        )

    def _spec(self, knowledge):
        for engine in knowledge.engines.values():
            spec = self._context.table.services.get(engine.entry.service)
            if spec is not None and spec.models:
                return spec
        return None

    def _shape(self, domain, spec):
        known = self.domains.by_name
        places = {name: domain.data_centre for name, domain in known.items()}
        live = [e for e in known[domain].engines.values() if e.is_live]
        held = [model for engine in live for model in engine.warm_models]
        return assign_domain(domain, self._table.plans, places, spec.models, held)

    async def _revise(self, domain, knowledge, spec, shape, now):
        plan = self._table.plan(domain)
        views = engine_views(plan, knowledge, self.settings.stall_s, now)
        sizes = {model.name: model.size for model in spec.models}
        wanted = model_demands(spec.models, self._table.plans.values())
        broken = broken_groups(plan, knowledge)
        changes = self._balancing.changes_to_begin(domain, now)
        groups = revise_plan(plan, views, sizes, wanted, shape, broken, changes)
        if groups == plan.groups:
            return
        written = await self._table.replace(plan, groups)
        if written is None:
            return
        _log_revision(plan, groups, written.version)
        for news in _endings(plan, groups):
            self._tell(news)

    def _note_opened(self, engine, order):
        """Tell which head begins to serve; the list says so up to a second later."""
        spec = self._context.table.services.get(engine.entry.service)
        plan = self._table.plans.get(engine.entry.domain)
        group = plan and plan.group_of(engine.id, engine.incarnation)
        if spec is None or not group or group.epoch != order.epoch:
            return
        head = OpenedHead(engine.id, engine.incarnation, group.model, spec.open_s)
        self._tell(GroupUpdate(group.name, group.epoch, head))

    # Orders and questions.

    def _take_step(self, domain, step, models):
        if step.kind is StepKind.ASK:
            self._spawn_ask(domain, step.engine)
        else:
            self._spawn_order(domain, step.engine, step.order, models)

    def _spawn_ask(self, domain, engine_id):
        engine = self.domains.engine(domain, engine_id)
        if engine is not None:
            self._calls.request_report(engine)

    def _look_at_links(self):
        self._links.check(self._tended, asyncio.get_running_loop().time())

    def _spawn_order(self, domain, engine_id, order, models):
        engine = self.domains.engine(domain, engine_id)
        now = asyncio.get_running_loop().time()
        if engine is not None and self._table.is_confirmed(now):
            self._calls.send_order(engine, order, models)

    def _stage(self, plan, knowledge, spec, shape, now):
        free = spare_engines(plan, knowledge)
        waiting = models_awaiting_members(plan, knowledge)
        models = [m for m in spec.models if shape.model in (None, m.name)]
        chosen = choose_staging(plan, free, models, waiting)
        if not waiting:
            chosen |= self._balancing.wanted_on_hosts(plan)
        for engine_id, model in chosen.items():
            engine = knowledge.engines.get(engine_id)
            if engine is not None and engine.is_live:
                self._load(plan.domain, engine, model, spec, now)

    def _load(self, domain, engine, model, spec, now):
        """Load a model onto an engine's host, unless it is there or on its way."""
        if engine.staging_model is not None or model in engine.staged:
            return
        if engine.order_count is None:
            self._spawn_ask(domain, engine.id)
        elif (
            self._table.is_confirmed(now)
            and not self._calls.is_busy(engine)
            and self._load_limiter.try_acquire(
                spec.loads_per_s, self._scope.coordinators, now
            )
        ):
            engine.staging_model = model
            order = EngineOrder(OrderOperation.STAGE, engine.order_count, model=model)
            self._spawn_order(domain, engine.id, order, {})

    def _practise(self, plan, knowledge, shape, models):
        """Let spares join once, while nothing is under way in the domain."""
        if models_awaiting_members(plan, knowledge):
            return
        served = [name for name in models if shape.model in (None, name)]
        for engine in spare_engines(plan, knowledge):
            step = warmup_step(plan, engine, served)
            if step is not None:
                self._take_step(plan.domain, step, models)

    def _ask_silent(self, domain, knowledge, now):
        for engine in knowledge.engines.values():
            if engine.silent_since is None or not engine.is_listed:
                continue
            if engine.is_replaced:
                continue
            if now - engine.last_probed_at > SILENT_AGAIN_S:
                engine.last_probed_at = now
                self._spawn_ask(domain, engine.id)


def _endings(plan, groups):
    """Yield news of groups whose earlier heads serve no longer."""
    before = {group.name: group for group in plan.groups}
    for group in groups:
        known = before.get(group.name)
        if known is None or known == group:
            continue
        # If a retired group is formed anew, its epoch is a later one.
        yield GroupUpdate(group.name, group.epoch + group.is_retired)


def _log_revision(plan, groups, version):
    before = set(plan.groups)
    for group in groups:
        if group not in before:
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
