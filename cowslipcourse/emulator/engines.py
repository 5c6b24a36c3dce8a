"""Emulated engines: orders, delayed reports, and groups that stall."""

import asyncio
from collections import deque

from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    EngineReport,
    GroupMembership,
    GroupState,
    OrderOperation,
    OrderResult,
    TargetEntry,
)

__all__ = ["OPEN_DELAY_S", "SERVICE", "SLOTS", "STALL_S", "Engine"]

STALL_S = 4.0
"""Time for which a head that lacks a member stalls before its group breaks."""
REPORT_DELAY_S = 0.2
"""Age of reports; results of orders and the list of targets are up to date."""
OPEN_DELAY_S = 0.3
"""Time from an open order until the head takes requests."""
REJOIN_DELAY_S = 0.2
"""Duration of a join if the engine joined a group of that model last."""
SERVICE = "llm"
SLOTS = 13


class Engine:
    """One incarnation of an engine."""

    def __init__(self, world, engine_id, domain, staged, incarnation, address):
        self._world = world
        self.id = engine_id
        self.address = address
        self.incarnation = incarnation
        self.domain = domain
        self.staged = staged
        self.is_unreachable = False
        self.rate_limit_per_s = None
        self.has_stated_limit = False
        self.pause_s = None
        self.states_leaving = False
        self.order_count = 0
        self.membership = None
        self.members = ()
        self.opened_incarnations = {}
        self.stalled_since = None
        self._highest_epoch = 0
        self._joined_model = None
        self._served = set()
        self._join_number = 0
        self._reports = deque(maxlen=50)
        self._staged_at_by_model = {}

    def entry(self):
        """Return the engine's entry in the platform's list."""
        return TargetEntry(
            self.id,
            SERVICE,
            self.address,
            self._world.data_centre_of(self.domain),
            SLOTS,
            domain=self.domain,
            staged=self.staged,
            membership=self.membership,
            incarnation=self._reported_incarnation(),
        )

    def _reported_incarnation(self):
        return (
            self.incarnation
            if self._world.reports_incarnations
            else UNKNOWN_INCARNATION
        )

    def report(self):
        """Return the current report."""
        return EngineReport(
            self.order_count,
            self.membership,
            self.staged,
            incarnation=self._reported_incarnation(),
        )

    def delayed_report(self):
        """Return the report as it was :data:`REPORT_DELAY_S` ago."""
        cutoff = asyncio.get_running_loop().time() - REPORT_DELAY_S
        delayed_reports = [report for at, report in self._reports if at <= cutoff]
        return delayed_reports[-1] if delayed_reports else self.report()

    def record_report(self, now):
        """Record the current report if it has changed."""
        if not self._reports or self._reports[-1][1] != self.report():
            self._reports.append((now, self.report()))

    def execute(self, order):
        """Execute an order and return its :class:`~cowslipcourse.ports.OrderResult`."""
        if (
            self._world.faults.checks_order_count
            and order.expected_order_count != self.order_count
        ):
            return OrderResult.STATE_DIFFERS
        if order.operation is OrderOperation.JOIN:
            return self._join(order)
        if order.operation is OrderOperation.STAGE:
            self._stage(order.model)
            return self._accept_order()
        if not self._is_in(order.group, order.epoch):
            return OrderResult.DONE
        if order.operation is OrderOperation.LEAVE:
            self.membership = None
            self._accept_order()
            return OrderResult.DONE
        if order.operation is OrderOperation.CLOSE:
            return self._close()
        if self.membership.state is not GroupState.READY:
            return OrderResult.STATE_DIFFERS
        self._schedule(OPEN_DELAY_S, self._start_serving)
        return self._accept_order()

    def _close(self):
        if self.membership.state is not GroupState.OPEN:
            return OrderResult.STATE_DIFFERS
        self._set_state(GroupState.CLOSING)
        return self._accept_order()

    def _stage(self, model):
        if not self._world.loads_take_time:
            self.staged = (model,)
            return
        load_s = self._world.models[model].load_s
        loop = asyncio.get_running_loop()
        self._staged_at_by_model[model] = loop.time() + load_s
        loop.call_later(load_s, self._complete_staging, model)

    def _complete_staging(self, model):
        self._staged_at_by_model.pop(model, None)
        self.staged = (model,)

    def _accept_order(self):
        self.order_count += 1
        return OrderResult.BEGUN

    def _join(self, order):
        if order.epoch < self._highest_epoch:
            return OrderResult.EPOCH_TOO_OLD
        if self._is_in(order.group, order.epoch) and order.members != self.members:
            return OrderResult.EPOCH_TOO_OLD
        self._world.check_join(self, order)
        is_same_model = self._previous_model() == order.model
        self._joined_model = order.model
        join_duration_s = REJOIN_DELAY_S if is_same_model else self._load_s(order.model)
        self._highest_epoch = order.epoch
        self.members = order.members
        if not is_same_model:
            self.staged = (order.model,)
        self.membership = GroupMembership(
            order.group,
            order.epoch,
            order.members.index(self.id),
            GroupState.JOINING,
            order.model,
        )
        result = self._accept_order()
        self._join_number += 1
        self._schedule(join_duration_s, self._become_ready)
        return result

    def _load_s(self, model_name):
        """Return the seconds until the weights of a model are on the engine."""
        model = self._world.models[model_name]
        if model_name in self.staged:
            return model.warm_s
        staged_at = self._staged_at_by_model.get(model_name)
        if staged_at is None:
            return model.load_s
        remaining_s = staged_at - asyncio.get_running_loop().time()
        return max(0.0, remaining_s) + model.warm_s

    def _previous_model(self):
        """Return the model of the last group joined.

        Unless the world remembers models, an engine that has left its group has none.
        """
        if self._world.remembers_models:
            return self._joined_model
        return None if self.membership is None else self.membership.model

    def _become_ready(self):
        self._set_state(GroupState.READY)
        self._world.record_ready(self)

    def _schedule(self, seconds, action):
        join_number, scheduled_membership = self._join_number, self.membership

        def run():
            is_same_epoch = self.membership is not None and self._is_in(
                scheduled_membership.group, scheduled_membership.epoch
            )
            is_current = self._world.engines.get(self.id) is self
            if join_number == self._join_number and is_same_epoch and is_current:
                action()

        asyncio.get_running_loop().call_later(seconds, run)

    def _start_serving(self):
        self._set_state(GroupState.OPEN)
        self.opened_incarnations = self._world.incarnations_of(self.members)

    def _set_state(self, state):
        self.membership = self.membership._replace(state=state)

    def _is_in(self, group, epoch):
        membership = self.membership
        return membership is not None and (membership.group, membership.epoch) == (
            group,
            epoch,
        )

    @property
    def is_head(self):
        """Whether the engine is the head of a group."""
        return self.membership is not None and self.membership.rank == 0

    @property
    def is_open_head(self):
        """Whether the engine is the head of an open group."""
        return self.is_head and self.membership.state is GroupState.OPEN

    @property
    def is_closing_head(self):
        """Whether the engine is the head of a group that closes after its requests."""
        return self.is_head and self.membership.state is GroupState.CLOSING

    def finish_closing(self):
        """Return to ready after the last request has ended."""
        if self.is_closing_head:
            self._set_state(GroupState.READY)

    def update(self, now):
        """Check the group if complete; otherwise stall, then break the group."""
        if not self.is_open_head:
            return
        # A member that the coordinators cannot reach still works for its group.
        is_complete = self._world.is_complete(self)
        if is_complete:
            self.stalled_since = None
            self._world.check_running_group(self)
        elif self.stalled_since is None:
            self.stalled_since = now
        elif now - self.stalled_since > STALL_S:
            self._set_state(GroupState.BROKEN)
            self.stalled_since = None
