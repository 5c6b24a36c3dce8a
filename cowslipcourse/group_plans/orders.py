"""Derives the orders that carry out a plan from the observed engines."""

from typing import NamedTuple

from cowslipcourse.group_plans.observed_domain import MAX_REPORT_LAG_S
from cowslipcourse.group_plans.steps import Step, StepKind
from cowslipcourse.group_plans.warm_up import is_warming_up, is_warmup_group
from cowslipcourse.ports import EngineOrder, GroupState, OrderOperation

__all__ = ["is_present", "next_steps"]

JOIN_RETRY_S = 1.0
"""Time after which a join without visible effect is checked; the list lags less."""
OPEN_RETRY_S = 1.5
"""The same for an open order, which takes effect after the opening time."""
REPORT_REQUEST_INTERVAL_S = 0.5
"""Interval of report requests to engines that still have to leave a group."""
REPORT_REQUEST_MARGIN_S = 0.02
"""Delay of a report request after an engine can be ungrouped for long enough."""
HEAD_UNGROUPED_S = MAX_REPORT_LAG_S
"""Time for which a head's reports must show it ungrouped: they may be that old."""
DRAIN_TIMEOUT_S = 2.5
"""Drain time of a retired group that may still serve; most streams end within two
seconds, and callers have none of its engines meanwhile."""
STALL_MARGIN_S = 0.5
"""Margin on the stall limit before a head counts as broken: clocks and reports lag."""
REJOIN_S = 0.2
"""Duration of a join if the engine served that model last."""


def next_steps(plan, engines, models, stall_s, now):
    """Return the steps that a domain needs now.

    :param plan: :class:`~cowslipcourse.group_plans.DomainPlan`
    :param engines: :class:`~cowslipcourse.group_plans.ObservedEngine` by id.
    :param models: :class:`~cowslipcourse.routes.EngineModel` by name.
    :param stall_s: time after which a head that lacks a member is broken.
    :param now: loop time.
    """
    steps = []
    for group in plan.groups:
        if group.is_retired:
            steps += _retire(group, engines, stall_s, now)
        elif all(is_present(group, member, engines) for member in group.members):
            steps += _form(group, engines, models, now)
    steps += _leave_unplanned_groups(plan, engines)
    steps += _request_evidence(plan, engines)
    return [step for step in steps if now >= engines[step.engine].report_request_after]


def is_present(group, member, engines):
    """Whether the planned incarnation of a member can be given work.

    :param group: :class:`~cowslipcourse.group_plans.PlannedGroup`
    :param member: id of a member.
    :param engines: :class:`~cowslipcourse.group_plans.ObservedEngine` by id.
    """
    engine = engines.get(member)
    return (
        engine is not None
        and engine.is_live
        and group.has_member(member, engine.incarnation)
    )


def _form(group, engines, models, now):
    members = [engines[member] for member in group.members]
    must_leave = _serving_elsewhere(group, members, engines)
    if must_leave:
        return [
            _order(e, OrderOperation.LEAVE, _UnplannedGroup.of(found))
            for e, found in must_leave
        ]
    waiting = [engine for engine in members if not engine.was_ready(group)]
    if waiting:
        steps = (_join(group, engine, models, now) for engine in waiting)
        return [step for step in steps if step is not None]
    return _open(group, members[0], now)


def _serving_elsewhere(group, members, engines):
    """Return engines that must leave another group first, with their memberships.

    These are members with a confirmed membership in another group, and the serving
    heads of such groups. The plan may rest on outdated observations: a coordinator that
    had ordered a head to open joined it to another group 0.6 s later, as the plan of
    another coordinator said, before any report showed that it was open.
    """
    found = [
        (engine, engine.confirmed_membership)
        for engine in members
        if _is_elsewhere(engine.confirmed_membership, group)
    ]
    others = {
        (membership.group, membership.epoch)
        for engine in members
        for membership in (engine.membership, engine.confirmed_membership)
        if _is_elsewhere(membership, group)
    }
    leaving = {engine.id for engine, _ in found}
    for engine in engines.values():
        served = _head_membership_in(engine, others)
        if served is not None and engine.id not in leaving:
            found.append((engine, served))
    return found


def _is_elsewhere(membership, group):
    return (
        membership is not None
        and membership.group != group.name
        and not is_warmup_group(membership)
    )


def _head_membership_in(engine, groups):
    """Return the membership as the serving head of one of ``groups``, or ``None``."""
    if not engine.is_live:
        return None
    for found in (engine.confirmed_membership, engine.membership):
        if (
            found is not None
            and found.rank == 0
            and found.state in (GroupState.OPEN, GroupState.CLOSING)
            and (found.group, found.epoch) in groups
        ):
            return found
    return None


def _join(group, engine, models, now):
    join_sent_at = engine.join_sent_at.get(group.epoch)
    if join_sent_at is not None:
        due_at = join_sent_at + _expected_join_s(group, engine, models)
        requested_at = engine.report_requested_at or 0.0
        if now < due_at or (
            requested_at > due_at and now - requested_at < JOIN_RETRY_S
        ):
            return None
        if requested_at <= due_at or now - requested_at >= JOIN_RETRY_S:
            if requested_at > join_sent_at and engine.state_in(group) is None:
                return _order(engine, OrderOperation.JOIN, group)
            return Step(StepKind.ASK, engine.id)
    return _order(engine, OrderOperation.JOIN, group)


def _expected_join_s(group, engine, models):
    """Return the seconds after which a joined engine should be ready."""
    model = models.get(group.model)
    if model is None:
        return JOIN_RETRY_S
    return engine.expected_join_s.get(group.epoch, REJOIN_S)


def _open(group, head, now):
    state = head.state_in(group)
    if state in (GroupState.OPEN, GroupState.CLOSING):
        return []
    open_sent_at = head.open_sent_at.get(group.epoch)
    if open_sent_at is not None and now - open_sent_at < OPEN_RETRY_S:
        return []
    if state is GroupState.READY:
        return [_order(head, OrderOperation.OPEN, group)]
    return [Step(StepKind.ASK, head.id)] if state is None else []


def _order(engine, operation, group):
    """Return the order, or a report request if its order count is unknown."""
    if engine.order_count is None:
        return Step(StepKind.ASK, engine.id)
    is_join = operation is OrderOperation.JOIN
    order = EngineOrder(
        operation,
        engine.order_count,
        group.name,
        group.epoch,
        group.model if is_join else "",
        group.members if is_join else (),
    )
    return Step(StepKind.ORDER, engine.id, order)


def _retire(group, engines, stall_s, now):
    """Make the head leave, which frees the members.

    A head first finishes its requests if its group is whole: a group that is given up
    while its engines pause or are not reached may go on. If the head does not answer,
    the other members leave, and it becomes broken.
    """
    head = engines.get(group.head)
    if head is not None and head.silent_since is None:
        may_serve = group.successor or _is_whole(group, engines)
        if may_serve and not _is_drained(group, head, now):
            return _drain(group, head, now) + _ask_unlisted(group, engines, now)
        return _leave(group, head, HEAD_UNGROUPED_S, now) + _release(
            group, engines, now
        )
    ungrouped_s = stall_s + STALL_MARGIN_S
    steps = []
    for member in group.members:
        engine = engines.get(member)
        if engine is not None and engine is not head and engine.is_live:
            steps += _leave(group, engine, ungrouped_s, now)
    return steps


def _release(group, engines, now):
    """Make the other members leave a group that is reassigned to another model.

    Its head has left or is leaving, so nothing that they could interrupt is served.
    """
    head = engines[group.head]
    if not group.successor or head.state_in(group) is not None:
        return []
    members = (engines.get(member) for member in group.members[1:])
    live = [engine for engine in members if engine is not None and engine.is_live]
    return [step for engine in live for step in _leave(group, engine, 0.0, now)]


def _is_whole(group, engines):
    """Whether all members still work, and are in the group as planned."""
    return all(_works_in(group, engines.get(member)) for member in group.members)


def _works_in(group, engine):
    """Whether an engine works as a member; one without an entry may still do so."""
    return (
        engine is not None
        and engine.silent_since is None
        and group.has_member(engine.id, engine.incarnation)
        and engine.state_in(group) is not None
    )


def _ask_unlisted(group, engines, now):
    """Request reports of members without an entry, which may have ended."""
    members = (engines.get(member) for member in group.members)
    return [
        Step(StepKind.ASK, engine.id)
        for engine in members
        if engine is not None and not engine.is_listed and _is_report_due(engine, now)
    ]


def _is_drained(group, head, now):
    """Whether a head has finished its requests, or its drain time is over."""
    close_sent_at = head.close_sent_at.get(group.epoch)
    if close_sent_at is not None and now - close_sent_at >= DRAIN_TIMEOUT_S:
        return True
    return head.state_in(group) not in (GroupState.OPEN, GroupState.CLOSING)


def _drain(group, head, now):
    """Let a serving head finish its requests and accept no more."""
    if (
        head.state_in(group) is GroupState.OPEN
        and group.epoch not in head.close_sent_at
    ):
        return [_order(head, OrderOperation.CLOSE, group)]
    return [Step(StepKind.ASK, head.id)] if _is_report_due(head, now) else []


def _is_report_due(engine, now):
    return now - (engine.report_requested_at or 0.0) >= REPORT_REQUEST_INTERVAL_S


def _leave(group, engine, ungrouped_s, now):
    """Make an engine leave a group, or request the report that may prove it left.

    It may be in another group, or in an earlier epoch of this one, that no plan names
    any more; then nothing else makes it leave that, and it would never be free.
    """
    found = engine.membership
    if found is not None:
        return [_order(engine, OrderOperation.LEAVE, _UnplannedGroup.of(found))]
    if engine.ungrouped_since is not None and engine.ungrouped_s <= ungrouped_s:
        due_at = engine.ungrouped_since + ungrouped_s + REPORT_REQUEST_MARGIN_S
    else:
        due_at = (engine.report_requested_at or 0.0) + REPORT_REQUEST_INTERVAL_S
    return [Step(StepKind.ASK, engine.id)] if now >= due_at else []


def _leave_unplanned_groups(plan, engines):
    """Make engines leave groups in which no plan has them."""
    steps = []
    for engine in engines.values():
        found = engine.membership
        if not engine.is_live or found is None:
            continue
        if plan.group_of(engine.id, engine.incarnation) is not None:
            continue
        if is_warming_up(engine):
            continue
        steps.append(_order(engine, OrderOperation.LEAVE, _UnplannedGroup.of(found)))
    return steps


def _request_evidence(plan, engines):
    """Request reports of unplanned engines: only a report proves that they are free."""
    return [
        Step(StepKind.ASK, engine.id)
        for engine in engines.values()
        if engine.is_live
        and engine.needs_report
        and plan.group_of(engine.id, engine.incarnation) is None
    ]


class _UnplannedGroup(NamedTuple):
    """A group that an engine is in although it is not planned there."""

    name: str
    epoch: int
    model: str = ""
    members: tuple[str, ...] = ()

    @classmethod
    def of(cls, membership):
        """Return the group of a :class:`~cowslipcourse.ports.GroupMembership`."""
        return cls(membership.group, membership.epoch)
