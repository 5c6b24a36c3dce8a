"""State of a fabric domain's engines as observed by a coordinator."""

from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    GroupMembership,
    GroupState,
    OrderOperation,
)

__all__ = ["ObservedDomain", "ObservedEngine"]

MAX_REPORT_LAG_S = 0.3
"""Age that a report may have; the platform declares 200 ms."""
_READY_STATES = (GroupState.READY, GroupState.OPEN, GroupState.CLOSING)


class ObservedEngine:
    """Observed state of one incarnation of an engine.

    ``membership`` is the newest one from the target list or a report.
    ``confirmed_membership`` is the membership at ``order_count`` accepted orders: an
    order that carries this count starts only if the engine is still in that group.

    :param entry: newest :class:`~cowslipcourse.ports.TargetEntry`.
    """

    def __init__(self, entry):
        self.entry = entry
        self.is_listed = True
        self.membership = entry.membership
        self.confirmed_membership = None
        self.staged = entry.staged
        self.order_count = None
        self.report_requested_at = None
        self.silent_since = None
        self.is_replaced = False
        self.pace = 1.0
        self.last_probed_at = 0.0
        self.join_sent_at = {}
        self.expected_join_s = {}
        self.open_sent_at = {}
        self.close_sent_at = {}
        self.joined_model = None
        self._loaded_model = None
        self.staging_model = None
        self.report_request_after = 0.0
        self.ungrouped_since = None
        self._ungrouped_order_count = None
        self._evidence_since = 0.0
        self._ready_memberships = set()
        self._highest_epoch = 0
        self._record_membership(entry.membership)

    @property
    def id(self):
        """Id of the engine."""
        return self.entry.id

    @property
    def incarnation(self):
        """Observed incarnation of the engine."""
        return self.entry.incarnation

    @property
    def highest_epoch(self):
        """Highest epoch that it is known to have seen; it refuses earlier ones."""
        return self._highest_epoch

    @property
    def is_live(self):
        """Whether it can be given work."""
        return (
            self.is_listed and not self.entry.is_leaving and self.silent_since is None
        )

    @property
    def warm_models(self):
        """Models that it can join without a load: on its host, or of its last group.

        While a model is being staged, it replaces what is on the host.
        """
        staged = self.staged if self.staging_model is None else ()
        loaded = self._loaded_model
        if loaded is None or loaded != self.joined_model or loaded in staged:
            return staged
        return (*staged, loaded)

    @property
    def is_leaving(self):
        """Whether it still works but accepts no new work."""
        return self.is_listed and self.entry.is_leaving and self.silent_since is None

    def update_from_entry(self, entry):
        """Apply a newer entry of the same incarnation."""
        if entry.address != self.entry.address:
            self.is_replaced = False
            self.silent_since = None
        if not self.is_listed:
            # It was removed from the list and has returned.
            self.silent_since = self.silent_since if self.is_replaced else None
            self.order_count = None
        self.entry = entry
        self.is_listed = True
        self._update_staged(entry.staged)
        if not self._is_older(entry.membership):
            self.membership = entry.membership
        self._record_membership(entry.membership)

    def update_from_report(self, report, requested_at):
        """Apply a report of the same incarnation.

        :param requested_at: loop time of the request; evidence is as old as that.
        """
        if self.is_replaced:
            return
        self.order_count = report.order_count
        self.confirmed_membership = report.membership
        self.report_requested_at = requested_at
        self.silent_since = None
        self.pace = report.pace
        if not self._is_older(report.membership):
            self.membership = report.membership
        self._update_ungrouped(report, requested_at)
        self._update_staged(report.staged)
        self._record_membership(report.membership)
        self._record_closing(report.membership, requested_at)

    def next_incarnation(self, incarnation):
        """Return the state of a later incarnation: nothing but its address is known.

        The state in its list entry is kept until a newer entry arrives.
        """
        entry = self.entry._replace(incarnation=incarnation, membership=None)
        successor = ObservedEngine(entry)
        successor.is_listed = self.is_listed
        return successor

    def mark_silent(self, since):
        """Record that it did not answer a report request sent at ``since``."""
        self.order_count = None
        if self.silent_since is None:
            self.silent_since = since

    def mark_replaced(self, now):
        """Record that another engine has its address, so this one has ended.

        Reports do not name their engine, so later ones from this address are not its.
        An entry of it that is still listed, or listed again, is outdated.
        """
        self.is_replaced = True
        self.order_count = None
        self.silent_since = self.silent_since or now

    def mark_order_refused(self, now):
        """Record that an order was refused because the order count differed.

        The observed state is outdated, and reports remain so for a moment.
        """
        self.order_count = None
        self.report_request_after = now + MAX_REPORT_LAG_S

    def mark_epoch_refused(self, epoch):
        """Record that it refused to join at an epoch, so it has seen a later one."""
        self._highest_epoch = max(self._highest_epoch, epoch + 1)

    def require_evidence_since(self, now):
        """Accept only reports requested after ``now`` as evidence that it is ungrouped.

        Other coordinators may have joined it to a group and retired that since.
        """
        self._evidence_since = now
        self.ungrouped_since = None

    @property
    def needs_report(self):
        """Whether a report is needed that is recent enough to be evidence."""
        if (
            self.report_requested_at is None
            or self.report_requested_at < self._evidence_since
        ):
            return True
        # It has left a group that no plan names.
        return self.membership is None and self.ungrouped_since is None

    def apply_started_order(self, order):
        """Apply the effect of a started order before a report shows it.

        :param order: :class:`~cowslipcourse.ports.EngineOrder`
        """
        self.order_count = order.expected_order_count + 1
        if order.operation is OrderOperation.JOIN:
            rank = order.members.index(self.id)
            self.confirmed_membership = GroupMembership(
                order.group, order.epoch, rank, GroupState.JOINING, order.model
            )
            # Its reports will show whether the staged model stays on its host.
            self.staging_model = None
        elif (
            order.operation is OrderOperation.OPEN
            and self.confirmed_membership is not None
        ):
            opened = self.confirmed_membership._replace(state=GroupState.OPEN)
            self.confirmed_membership = opened
        elif (
            order.operation is OrderOperation.CLOSE
            and self.confirmed_membership is not None
        ):
            closing = self.confirmed_membership._replace(state=GroupState.CLOSING)
            self.confirmed_membership = closing
        elif order.operation is OrderOperation.LEAVE:
            self.confirmed_membership = None

    @property
    def ungrouped_s(self):
        """Seconds for which reports show it in no group, with an unchanged order count.

        Each started order increments the count, so an unchanged count proves that no
        late order joined it to a group between two reports.
        """
        if self.ungrouped_since is None:
            return 0.0
        return self.report_requested_at - self.ungrouped_since

    def was_ready(self, group):
        """Whether it was seen ready in a planned group with its current members.

        Its own rank must match: a report may come from another member that now has its
        address.
        """
        rank = group.members.index(self.id)
        return (group.name, group.epoch, rank) in self._ready_memberships

    def is_joining(self, group):
        """Whether it was last seen joining a planned group."""
        membership = self.membership
        return (
            membership is not None
            and (membership.group, membership.epoch) == (group.name, group.epoch)
            and membership.state is GroupState.JOINING
        )

    def ready_in_s(self, group, now):
        """Return the expected seconds until it is ready in a planned group."""
        join_sent_at = self.join_sent_at.get(group.epoch)
        if join_sent_at is None or self.was_ready(group):
            return 0.0
        return max(0.0, join_sent_at + self.expected_join_s.get(group.epoch, 0.0) - now)

    def state_in(self, group):
        """Return its last seen state in a planned group, or ``None``."""
        membership = self.membership
        if membership is None or (membership.group, membership.epoch) != (
            group.name,
            group.epoch,
        ):
            return None
        return membership.state

    def _update_staged(self, staged):
        self.staged = staged
        if self.staging_model in staged:
            self.staging_model = None

    def _update_ungrouped(self, report, requested_at):
        if report.membership is not None or requested_at < self._evidence_since:
            self.ungrouped_since = None
        elif (
            self.ungrouped_since is None
            or report.order_count != self._ungrouped_order_count
        ):
            self.ungrouped_since = requested_at
            self._ungrouped_order_count = report.order_count

    def _is_older(self, membership):
        """Whether a membership is older than the known one of the same group."""
        known = self.membership
        if known is None or membership is None or known.group != membership.group:
            return False
        return membership.epoch < known.epoch

    def _record_closing(self, membership, requested_at):
        """Record since when it closes if another coordinator ordered that."""
        if membership is not None and membership.state is GroupState.CLOSING:
            self.close_sent_at.setdefault(membership.epoch, requested_at)

    def _record_membership(self, membership):
        if membership is not None:
            self._highest_epoch = max(self._highest_epoch, membership.epoch)
        if membership is not None and membership.model:
            self.joined_model = membership.model
        if membership is not None and membership.state in _READY_STATES:
            ready_membership = membership.group, membership.epoch, membership.rank
            self._ready_memberships.add(ready_membership)
            self._loaded_model = membership.model or self.joined_model


class ObservedDomain:
    """Observed state of the engines of one domain."""

    def __init__(self):
        self.engines = {}
        self.data_centre = None
        self._plan = None

    def update_from_entry(self, entry):
        """Apply an entry of the target list.

        An entry of an earlier incarnation is ignored; one of a later incarnation resets
        order count, evidence, silence, pace and sent orders. An entry without an
        incarnation is taken to be of the known one.
        """
        self.data_centre = entry.data_centre
        known = self.engines.get(entry.id)
        if known is None or known.incarnation < entry.incarnation:
            self.engines[entry.id] = ObservedEngine(entry)
        elif entry.incarnation in (UNKNOWN_INCARNATION, known.incarnation):
            known.update_from_entry(entry._replace(incarnation=known.incarnation))

    def update_from_report(self, engine_id, report, requested_at):
        """Apply a report, whose incarnation may differ from the list's.

        :param requested_at: loop time of the request.
        """
        known = self.engines.get(engine_id)
        if known is None:
            return
        if report.incarnation > known.incarnation:
            known = known.next_incarnation(report.incarnation)
            self.engines[engine_id] = known
        if report.incarnation in (UNKNOWN_INCARNATION, known.incarnation):
            known.update_from_report(report, requested_at)

    def update_from_plan(self, plan, now, is_own=False):
        """Apply a plan: released engines, and incarnations newer than the list's.

        Evidence that a released engine has left must be newer than the plan.

        :param plan: :class:`~cowslipcourse.group_plans.DomainPlan` of the domain.
        :param now: loop time at which the plan was read.
        :param is_own: whether this daemon wrote it to replace the known plan.
        """
        for group in plan.groups:
            self._apply_planned_incarnations(group)
        for engine in self.engines.values():
            if self._is_released(plan, engine, is_own):
                engine.require_evidence_since(now)
        self._plan = plan

    def _is_released(self, plan, engine, is_own):
        """Whether an engine is no longer in an active group but may have been."""
        known = self._plan
        group = plan.group_of(engine.id, engine.incarnation)
        if known is not None and known.version == plan.version:
            return False
        if group is not None:
            return group.is_retired and not (
                known is not None and group in known.groups
            )
        if not is_own:
            # Members of intermediate versions, not seen here, are unknown.
            return True
        previous_group = known and known.group_of(engine.id, engine.incarnation)
        return previous_group is not None and not previous_group.is_retired

    def _apply_planned_incarnations(self, group):
        for member in group.members:
            known = self.engines.get(member)
            planned_incarnation = group.incarnation_of(member)
            if known is not None and known.incarnation < planned_incarnation:
                self.engines[member] = known.next_incarnation(planned_incarnation)

    def mark_unlisted(self, engine_id):
        """Record that an engine is no longer on the target list."""
        known = self.engines.get(engine_id)
        if known is not None:
            known.is_listed = False

    def remove_unlisted(self, keep):
        """Drop engines that are not listed, except those for which ``keep`` is true.

        :returns: ids of the dropped engines.
        """
        dropped = [
            engine_id
            for engine_id, known in self.engines.items()
            if not known.is_listed and not keep(engine_id)
        ]
        for engine_id in dropped:
            del self.engines[engine_id]
        return dropped
