"""Steps for engines that pause while their groups serve."""

import asyncio

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.ports import GroupState, OrderOperation
from features.support.paused_engine_runs import PausedEngineSite

AFTERMATH_S = 3.0
"""Time after a pause in which orders that it causes are sent."""
ENDED_S = 8.0
"""Time for which an engine that has ended is observed."""
ENDING_ORDERS = (OrderOperation.CLOSE, OrderOperation.LEAVE, OrderOperation.JOIN)


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

    async def run(self, seconds, reaction="accepts", takeover_after_s=None):
        site = PausedEngineSite(self._kind, 1 if takeover_after_s is None else 2)
        await site.start()
        site.host_reaction = reaction
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
