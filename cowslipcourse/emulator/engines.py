"""Engines in fake time: orders, reports that lag, and groups that stand still."""

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
"""Time for which a head that lacks a member stands still before it breaks."""
REPORT_LAG_S = 0.2
"""Reports are as old as that; answers to orders and the list are not."""
OPEN_DELAY_S = 0.3
"""Time from the order to open until a head serves."""
REJOIN_S = 0.2
"""Time of a join if the engine served that model last."""
SERVICE = "llm"
SLOTS = 13


class Engine:
    """One life of an engine."""

    def __init__(self, world, engine_id, domain, staged, incarnation, address):
        self._world = world
        self.id = engine_id
        self.address = address
        self.incarnation = incarnation
        self.domain = domain
        self.staged = staged
        self.is_unreachable = False
        self.order_count = 0
        self.membership = None
        self.members = ()
        self.opened_lives = {}
        self.stands_still_since = None
        self._highest_epoch = 0
        self._joined_model = None
        self._served = set()
        self._turn = 0
        self._reports = deque(maxlen=50)
        self._staged_at = {}

    def entry(self):
        """Return its entry in the platform's list."""
        return TargetEntry(
            self.id,
            SERVICE,
            self.address,
            self._world.data_centre_of(self.domain),
            SLOTS,
            domain=self.domain,
            staged=self.staged,
            membership=self.membership,
            incarnation=self._told_life(),
        )

    def _told_life(self):
        return (
            self.incarnation
            if self._world.reports_incarnations
            else UNKNOWN_INCARNATION
        )

    def report(self):
        """Return what it would report if reports did not lag."""
        return EngineReport(
            self.order_count,
            self.membership,
            self.staged,
            incarnation=self._told_life(),
        )

    def lagging_report(self):
        """Return the report of a moment ago."""
        since = asyncio.get_running_loop().time() - REPORT_LAG_S
        known = [report for at, report in self._reports if at <= since]
        return known[-1] if known else self.report()

    def note_report(self, now):
        """Keep what it would report now."""
        if not self._reports or self._reports[-1][1] != self.report():
            self._reports.append((now, self.report()))

    def execute(self, order):
        """Carry out an order and return the answer."""
        if (
            self._world.faults.checks_order_count
            and order.expected_order_count != self.order_count
        ):
            return OrderResult.STATE_DIFFERS
        if order.operation is OrderOperation.JOIN:
            return self._join(order)
        if order.operation is OrderOperation.STAGE:
            self._stage(order.model)
            return self._begun()
        if not self._is_in(order.group, order.epoch):
            return OrderResult.DONE
        if order.operation is OrderOperation.LEAVE:
            self.membership = None
            self._begun()
            return OrderResult.DONE
        if order.operation is OrderOperation.CLOSE:
            return self._close()
        if self.membership.state is not GroupState.READY:
            return OrderResult.STATE_DIFFERS
        self._later(OPEN_DELAY_S, self._begin_to_serve)
        return self._begun()

    def _close(self):
        if self.membership.state is not GroupState.OPEN:
            return OrderResult.STATE_DIFFERS
        self._set_state(GroupState.CLOSING)
        return self._begun()

    def _stage(self, model):
        if not self._world.loads_take_time:
            self.staged = (model,)
            return
        load_s = self._world.models[model].load_s
        loop = asyncio.get_running_loop()
        self._staged_at[model] = loop.time() + load_s
        loop.call_later(load_s, self._note_staged, model)

    def _note_staged(self, model):
        self._staged_at.pop(model, None)
        self.staged = (model,)

    def _begun(self):
        self.order_count += 1
        return OrderResult.BEGUN

    def _join(self, order):
        if order.epoch < self._highest_epoch:
            return OrderResult.EPOCH_TOO_OLD
        if self._is_in(order.group, order.epoch) and order.members != self.members:
            return OrderResult.EPOCH_TOO_OLD
        self._world.check_join(self, order)
        same = self._last_model() == order.model
        self._joined_model = order.model
        wait_s = REJOIN_S if same else self._load_s(order.model)
        self._highest_epoch = order.epoch
        self.members = order.members
        if not same:
            self.staged = (order.model,)
        self.membership = GroupMembership(
            order.group,
            order.epoch,
            order.members.index(self.id),
            GroupState.JOINING,
            order.model,
        )
        answer = self._begun()
        self._turn += 1
        self._later(wait_s, self._become_ready)
        return answer

    def _load_s(self, name):
        """Return the time until the weights of a model are on the engine."""
        model = self._world.models[name]
        if name in self.staged:
            return model.warm_s
        staged_at = self._staged_at.get(name)
        if staged_at is None:
            return model.load_s
        left_s = staged_at - asyncio.get_running_loop().time()
        return max(0.0, left_s) + model.warm_s

    def _last_model(self):
        """Return the model of its last group, or of its present one alone."""
        if self._world.remembers_models:
            return self._joined_model
        return None if self.membership is None else self.membership.model

    def _become_ready(self):
        self._set_state(GroupState.READY)
        self._world.note_ready(self)

    def _later(self, seconds, act):
        turn, before = self._turn, self.membership

        def run():
            same = self.membership is not None and self._is_in(
                before.group, before.epoch
            )
            lives = self._world.engines.get(self.id) is self
            if turn == self._turn and same and lives:
                act()

        asyncio.get_running_loop().call_later(seconds, run)

    def _begin_to_serve(self):
        self._set_state(GroupState.OPEN)
        self.opened_lives = self._world.lives_of(self.members)

    def _set_state(self, state):
        self.membership = self.membership._replace(state=state)

    def _is_in(self, group, epoch):
        found = self.membership
        return found is not None and (found.group, found.epoch) == (group, epoch)

    @property
    def is_head(self):
        """Whether it is the head of a group."""
        return self.membership is not None and self.membership.rank == 0

    @property
    def is_open_head(self):
        """Whether it takes requests as the head of a group."""
        return self.is_head and self.membership.state is GroupState.OPEN

    @property
    def is_closing_head(self):
        """Whether it finishes what it has as the head of a group."""
        return self.is_head and self.membership.state is GroupState.CLOSING

    def finish_closing(self):
        """Be ready again, after the last request has ended."""
        if self.is_closing_head:
            self._set_state(GroupState.READY)

    def look(self, now):
        """Serve if the group is whole; stand still and then break if it is not."""
        if not self.is_open_head:
            return
        # Who is cut off from the coordinators still works for its group.
        whole = self._world.is_complete(self)
        if whole:
            self.stands_still_since = None
            self._world.check_whole(self)
        elif self.stands_still_since is None:
            self.stands_still_since = now
        elif now - self.stands_still_since > STALL_S:
            self._set_state(GroupState.BROKEN)
            self.stands_still_since = None
