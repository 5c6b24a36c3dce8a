"""Steps for engines that no longer are where the plan has them."""

import asyncio
import logging
import re

from behave import given, then, when

from cowslipcourse.emulator.clock import run_in_virtual_time
from cowslipcourse.entry.engine_calls import EngineClient
from cowslipcourse.entry.settings import ControlSettings
from cowslipcourse.group_plans import (
    DomainPlan,
    ObservedDomain,
    PlannedGroup,
    StepKind,
    broken_groups,
    next_steps,
)
from cowslipcourse.ports import (
    EngineOrder,
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    OrderResult,
    TargetEntry,
)
from features.support.coordinator_runs import SITES
from features.support.settled_runs import idle_engines_after_faults

MEMBERS = ("e1", "e2")
STALL_S = 4.0
ORDER_S = 0.1


def _membership(text, rank=0):
    group, epoch = re.fullmatch(r"(\S+) at epoch (\d+)", text).groups()
    return GroupMembership(group, int(epoch), rank, GroupState.READY, "m")


def _set_up(context, is_retired):
    group = PlannedGroup("g1", "m", 9, MEMBERS, is_retired=is_retired)
    context.plan = DomainPlan("d", 10, (group,))
    context.domain = ObservedDomain()
    for engine in MEMBERS:
        context.domain.update_from_entry(TargetEntry(engine, "llm", "a:1", "dc", 13))


def _report(context, engine, membership, requested_at=19.0):
    report = EngineReport(5, membership, ())
    context.domain.update_from_report(engine, report, requested_at)


@given("a retired group g1 at epoch 9 whose head is in {membership}")
def step_retired(context, membership):
    _set_up(context, True)
    _report(context, "e1", _membership(membership))


@then("the head is ordered to leave {membership}")
def step_ordered_to_leave(context, membership):
    expected = _membership(membership)
    steps = next_steps(context.plan, context.domain.engines, {}, STALL_S, 20.0)
    (step,) = [step for step in steps if step.engine == "e1"]
    assert step.kind is StepKind.ORDER, step
    order = step.order
    assert order.operation is OrderOperation.LEAVE, order
    assert (order.group, order.epoch) == (expected.group, expected.epoch), order


@given("a planned group g1 at epoch 9 whose members were ready in it")
def step_planned(context):
    _set_up(context, False)
    for rank, engine in enumerate(MEMBERS):
        _report(context, engine, _membership("g1 at epoch 9", rank))


@given("a planned group g1 at epoch 9 whose members are in no group")
def step_planned_without_members(context):
    _set_up(context, False)
    for engine in MEMBERS:
        _report(context, engine, None)


class _RefusingControl:
    """Implements ``EngineControl`` for engines that refuse all orders alike."""

    def __init__(self, result):
        self._result = result

    async def order(self, entry, order):
        return self._result


def _send_join(context, epoch, result):
    async def send():
        engine = context.domain.engines["e2"]
        order = EngineOrder(OrderOperation.JOIN, 5, "g1", epoch, "m", MEMBERS)
        client = EngineClient(
            _RefusingControl(result), ControlSettings(), None, None, None
        )
        client.send_order(engine, order, {})
        await asyncio.sleep(ORDER_S)

    run_in_virtual_time(send())


@when(
    "the order to join it is refused by its second member, which has seen epoch "
    "{seen:d}"
)
def step_epoch_refused(context, seen):
    _send_join(context, 9, OrderResult.EPOCH_TOO_OLD)


@when(
    "an order to join g1 at epoch {epoch:d} is refused by its second member, which has "
    "seen epoch {seen:d}"
)
def step_earlier_epoch_refused(context, epoch, seen):
    _send_join(context, epoch, OrderResult.EPOCH_TOO_OLD)


@when("the order to join it is refused by its second member, as its state differs")
def step_state_refused(context):
    _send_join(context, 9, OrderResult.STATE_DIFFERS)


@when("reports at {first:f} s and {second:f} s show its head in no group")
def step_head_left(context, first, second):
    _report(context, "e1", None, first)
    _report(context, "e1", None, second)


@when("a report shows its second member in {membership}")
def step_member_elsewhere(context, membership):
    _report(context, "e2", _membership(membership, 1), 20.0)


@then("the group is to be formed again")
def step_formed_again(context):
    assert broken_groups(context.plan, context.domain) == {"g1"}


@then("the group stays as it is")
def step_stays(context):
    assert not broken_groups(context.plan, context.domain)


@when("a run with faults is made with seed {seed:d} on a {site} site")
def step_run(context, seed, site):
    logging.disable(logging.CRITICAL)
    try:
        run = idle_engines_after_faults(seed, SITES[site])
        context.idle = run_in_virtual_time(run)
    finally:
        logging.disable(logging.NOTSET)


@then("at most {count:d} engines of a domain are in no group that serves")
def step_few_idle(context, count):
    assert max(context.idle.values()) <= count, context.idle
