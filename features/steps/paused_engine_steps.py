"""Steps for engines that pause while their groups serve."""

import asyncio
from unittest import mock

from behave import given, step, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.plan_table import GROUPS_TABLE
from cowslipcourse.group_plans import (
    DomainPlan,
    ObservedEngine,
    PlannedGroup,
    StepKind,
    next_steps,
)
from cowslipcourse.group_plans.plan import decode_plan, encode_plan
from cowslipcourse.ports import (
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    RowWrite,
    TargetEntry,
)
from features.support.engine_world import STALL_S
from features.support.paused_engine_runs import (
    ENDING_ORDERS,
    PausedEngineSite,
    pausing_run,
)

AFTERMATH_S = 3.0
"""Time after a pause in which orders that it causes are sent."""
ENDED_S = 8.0
"""Time for which an engine that has ended is observed."""
UNCOORDINATED_S = 1.0
"""Time without a coordinator before another one takes over."""
RETIREMENT_S = 6.0
"""Time in which a retired group ends."""


@given("a serving group of {model} on a {kind} site")
def step_serving_group(context, model, kind):
    context.model, context.kind = model, kind


def _chosen_engines(chosen, head):
    return {
        "the head": (head.id,),
        "one member": head.members[1:2],
        "every engine": head.members,
    }[chosen]


class _PausedRun:
    """A run in which engines of a serving group do not answer for a while."""

    def __init__(self, kind, model, chosen):
        self._kind = kind
        self._model = model
        self._chosen = chosen

    async def run(
        self, seconds, reaction="accepts", takeover_after_s=None, connections=""
    ):
        site = PausedEngineSite(self._kind, 1 if takeover_after_s is None else 2)
        await site.settle()
        site.host_reaction = reaction
        site.failing_connections = connections
        head = site.open_head(self._model)
        self.membership, self.members = head.membership, head.members
        self.began_at = asyncio.get_running_loop().time()
        if takeover_after_s is not None:
            asyncio.get_running_loop().call_later(
                takeover_after_s, setattr, site, "coordinating", 1
            )
        silent_ids = _chosen_engines(self._chosen, head)
        await site.silence(silent_ids, head.id, seconds)
        await asyncio.sleep(AFTERMATH_S)
        self.orders = [o for o in site.orders if o.at >= self.began_at]
        self.updates = site.updates
        self.last_membership = site.world.engines[head.id].membership
        await site.stop()
        return self

    @property
    def ending_orders(self):
        """Orders that end the work of the group."""
        return [
            order
            for order in self.orders
            if order.engine in self.members and order.operation in ENDING_ORDERS
        ]

    @property
    def ending_updates(self):
        """Updates by which daemons take the group for ended."""
        group, epoch = self.membership.group, self.membership.epoch
        return [u for u in self.updates if u.group == group and u.epoch > epoch]

    @property
    def faults(self):
        """What has ended the group or kept it from serving; empty if nothing has."""
        faults = [*self.ending_orders, *self.ending_updates]
        if self.last_membership != self.membership:
            faults.append(self.last_membership)
        return faults


@when(
    "engines of serving groups pause, and in some of the runs another coordinator "
    "takes over meanwhile"
)
def step_pause(context):
    context.runs = {}
    for row in context.table:
        run = _PausedRun(row["kind"], row["model"], row["engines"])
        takeover_s = float(row["takeover_s"]) if row["takeover_s"] else None
        coroutine = run.run(float(row["paused_s"]), takeover_after_s=takeover_s)
        context.runs[tuple(row.cells)] = run_in_virtual_time(coroutine)


@when(
    "engines of serving groups pause, and some of the connections to their hosts fail"
)
def step_pause_failing(context):
    context.runs = {}
    for row in context.table:
        run = _PausedRun(row["kind"], row["model"], row["engines"])
        coroutine = run.run(float(row["paused_s"]), connections=row["connections"])
        context.runs[tuple(row.cells)] = run_in_virtual_time(coroutine)


@then("no order or group update has ended any of these groups, and all of them serve")
def step_keep_serving(context):
    found = {cells: run.faults[0] for cells, run in context.runs.items() if run.faults}
    assert not found, "\n".join(f"{cells}: {fault}" for cells, fault in found.items())
    states = {run.membership.state for run in context.runs.values()}
    assert states == {GroupState.OPEN}, states


@when("{chosen} of that group ends, and its host {reaction} connections")
def step_ends(context, chosen, reaction):
    run = _PausedRun(context.kind, context.model, chosen)
    context.run = run_in_virtual_time(run.run(ENDED_S, reaction))


@then("the group is formed again or given up within {limit_s:f} s")
def step_given_up(context, limit_s):
    run = context.run
    assert run.ending_orders, run.orders
    seconds = run.ending_orders[0].at - run.began_at
    assert seconds <= limit_s, seconds
    assert run.ending_updates, run.updates


@when("another coordinator has retired that group, though its engines answer")
def step_retired_by_another(context):
    async def run():
        site = PausedEngineSite(context.kind)
        await site.settle()
        head = site.open_head(context.model)
        context.membership = head.membership
        site.coordinating = None
        await asyncio.sleep(UNCOORDINATED_S)
        await _retire(site.world, head)
        site.orders.clear()
        site.coordinating = 0
        await asyncio.sleep(RETIREMENT_S)
        context.orders = [order for order in site.orders if order.engine == head.id]
        context.violations = site.world.violations
        await site.stop()

    run_in_virtual_time(run())


@when(
    "the entry of {chosen} of that group is removed, and it answers for another "
    "{seconds:f} s"
)
def step_unlisted(context, chosen, seconds):
    async def run():
        site = PausedEngineSite(context.kind)
        await site.settle()
        head = site.open_head(context.model)
        context.membership = head.membership
        site.orders.clear()
        site.unlist(_chosen_engines(chosen, head))
        await asyncio.sleep(seconds)
        context.orders = [order for order in site.orders if order.engine == head.id]
        context.violations = site.world.violations
        await site.stop()

    run_in_virtual_time(run())


async def _retire(world, head):
    """Write the plan of a head's domain with its group retired."""
    name = head.membership.group
    rows = await world.read_table(GROUPS_TABLE)
    (row,) = [row for row in rows.rows if row.key == head.domain]
    plan = decode_plan(head.domain, row.value, row.version)
    groups = tuple(g._replace(is_retired=g.name == name) for g in plan.groups)
    content = encode_plan(groups, plan.next_epoch)
    await world.write(RowWrite(GROUPS_TABLE, head.domain, content, row.version))


@then("its head is ordered to close the group before it is ordered to leave")
def step_closed_first(context):
    group = context.membership.group, context.membership.epoch
    operations = [o.operation for o in context.orders if (o.group, o.epoch) == group]
    expected = [OrderOperation.CLOSE, OrderOperation.LEAVE]
    assert operations[:2] == expected, operations


@then("no engine has joined another group while the head of its group served")
def step_no_violations(context):
    assert not context.violations, context.violations


def _membership(rank, state, epoch=9):
    return GroupMembership("g1", epoch, rank, state, "m")


def _report(context, engine_id, membership, requested_at):
    report = EngineReport(5, membership, ())
    context.engines[engine_id].update_from_report(report, requested_at)


@given("a retired group of e1 and e2 that is open, and whose members all report")
def step_retired_group(context):
    group = PlannedGroup("g1", "m", 9, ("e1", "e2"), True, (1, 1))
    context.plan = DomainPlan("d", 10, (group,))
    context.engines = {}
    for engine in group.members:
        entry = TargetEntry(engine, "llm", "a:1", "dc", 13, domain="d", incarnation=1)
        context.engines[engine] = ObservedEngine(entry)
    _report(context, "e1", _membership(0, GroupState.OPEN), 9.9)
    _report(context, "e2", _membership(1, GroupState.READY), 9.9)


@step("{engine} is not listed and is silent")
def step_is_unlisted_and_silent(context, engine):
    step_is_unlisted(context, engine)
    step_is_silent(context, engine)


@step("{engine} is silent")
def step_is_silent(context, engine):
    context.engines[engine].mark_silent(9.95)


@step("{engine} is not listed")
def step_is_unlisted(context, engine):
    context.engines[engine].is_listed = False


@step("{engine} is leaving")
def step_is_leaving(context, engine):
    known = context.engines[engine]
    entry = known.entry._replace(is_leaving=True, membership=known.membership)
    known.update_from_entry(entry)


@step("{engine} has restarted")
def step_has_restarted(context, engine):
    context.engines[engine] = context.engines[engine].next_incarnation(2)


@step("{engine} has left the group")
def step_has_left(context, engine):
    _report(context, engine, None, 9.95)


@step("{engine} is in a later epoch")
def step_in_later_epoch(context, engine):
    _report(context, engine, _membership(1, GroupState.READY, 12), 9.95)


@when("{engine} reports at {at:f} s that it closes")
def step_reports_closing(context, engine, at):
    _report(context, engine, _membership(0, GroupState.CLOSING), at)


@when("{engine} reports at {at:f} s that it is ready")
def step_reports_ready(context, engine, at):
    _report(context, engine, _membership(0, GroupState.READY), at)


def _orders(context, now):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, now)
    orders = [step for step in steps if step.kind is StepKind.ORDER]
    return [(o.engine, o.order.operation, o.order.group, o.order.epoch) for o in orders]


@then(
    "at {now:f} s {engine} is ordered to {operation} the group, and nothing else is "
    "ordered"
)
def step_only_order(context, now, engine, operation):
    expected = [(engine, OrderOperation(operation), "g1", 9)]
    assert _orders(context, now) == expected, _orders(context, now)


@then("at {now:f} s a report of {engine} is requested")
def step_report_requested(context, now, engine):
    steps = next_steps(context.plan, context.engines, {}, STALL_S, now)
    asked = [step.engine for step in steps if step.kind is StepKind.ASK]
    assert engine in asked, asked


@then("at {now:f} s nothing is ordered")
def step_no_order(context, now):
    assert _orders(context, now) == [], _orders(context, now)


@when(
    "runs with random pauses of up to {pause_s:f} s are made with the seeds {seeds} on "
    "a {kind} site"
)
def step_random_pauses(context, pause_s, seeds, kind):
    context.violations_by_seed = {
        seed: run_in_virtual_time(pausing_run(int(seed), kind, pause_s))
        for seed in seeds.split()
    }


@when(
    "runs with random pauses of up to {pause_s:f} s are made with the seeds {seeds} on "
    "a {kind} site, without patience"
)
def step_random_pauses_without_patience(context, pause_s, seeds, kind):
    async def answers_late(self, engine, silent_since):
        return False

    with mock.patch.object(EngineClient, "_answers_late", answers_late):
        step_random_pauses(context, pause_s, seeds, kind)


@then("no run has a violation")
def step_no_run_fails(context):
    found = {s: v[0] for s, v in context.violations_by_seed.items() if v}
    assert not found, found


@then("each run has a violation")
def step_each_run_fails(context):
    assert all(context.violations_by_seed.values()), context.violations_by_seed
