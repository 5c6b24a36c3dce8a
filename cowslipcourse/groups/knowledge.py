"""What a coordinator knows of the engines of a fabric domain."""

from cowslipcourse.ports import (
    UNKNOWN_INCARNATION,
    GroupMembership,
    GroupState,
    OrderOperation,
)

__all__ = ["ObservedDomain", "ObservedEngine"]

MAX_REPORT_LAG_S = 0.3
"""Reports are as of some hundred ms ago; the platform declares 200."""
_READY_STATES = (GroupState.READY, GroupState.OPEN, GroupState.CLOSING)


class ObservedEngine:
    """What is known of one life of an engine.

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
        self._ready_places = set()
        self._record_membership(entry.membership)

    @property
    def id(self):
        """Id of the engine."""
        return self.entry.id

    @property
    def incarnation(self):
        """Life of the engine that is known."""
        return self.entry.incarnation

    @property
    def is_live(self):
        """Whether it can be given work."""
        return (
            self.is_listed and not self.entry.is_leaving and self.silent_since is None
        )

    @property
    def warm_models(self):
        """Models that it can join without a load: on its host, or of its last group.

        What is on the host is about to be replaced while another model is loaded.
        """
        staged = self.staged if self.staging_model is None else ()
        loaded = self._loaded_model
        if loaded is None or loaded != self.joined_model or loaded in staged:
            return staged
        return (*staged, loaded)

    @property
    def is_leaving(self):
        """Whether it still works but takes no new work."""
        return self.is_listed and self.entry.is_leaving and self.silent_since is None

    def update_from_entry(self, entry):
        """Take in a newer entry of the same life."""
        if entry.address != self.entry.address:
            self.is_replaced = False
            self.silent_since = None
        if not self.is_listed:
            # It was gone and has come back.
            self.silent_since = self.silent_since if self.is_replaced else None
            self.order_count = None
        self.entry = entry
        self.is_listed = True
        self._update_staged(entry.staged)
        if not self._is_older(entry.membership):
            self.membership = entry.membership
        self._record_membership(entry.membership)

    def update_from_report(self, report, requested_at):
        """Take in a report of the same life.

        :param requested_at: when it was asked for; evidence is as old as its request.
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

    def next_incarnation(self, incarnation):
        """Return what is known of a later life of the engine: nothing but its address.

        What its list entry says of its state stays until a newer entry comes.
        """
        entry = self.entry._replace(incarnation=incarnation, membership=None)
        later = ObservedEngine(entry)
        later.is_listed = self.is_listed
        return later

    def mark_silent(self, since):
        """Note that it did not answer a question asked at a time."""
        self.order_count = None
        if self.silent_since is None:
            self.silent_since = since

    def mark_replaced(self, now):
        """Note that another engine has its address: it has ended.

        Reports do not say whose they are, so what comes from there is no longer its.
        An entry of it that is listed still, or again, is an old one.
        """
        self.is_replaced = True
        self.order_count = None
        self.silent_since = self.silent_since or now

    def mark_order_refused(self, now):
        """Note that an order was refused as the order count differed.

        What was known of it is out of date, and so are its reports for a moment.
        """
        self.order_count = None
        self.report_request_after = now + MAX_REPORT_LAG_S

    def require_evidence_since(self, now):
        """Take no report that was asked for before as evidence that it is away.

        Others may have joined it to a group since, and given that up again.
        """
        self._evidence_since = now
        self.ungrouped_since = None

    @property
    def needs_report(self):
        """Whether a report is wanted that is new enough to be evidence."""
        if (
            self.report_requested_at is None
            or self.report_requested_at < self._evidence_since
        ):
            return True
        # It was in a group that no plan names, and has left it since.
        return self.membership is None and self.ungrouped_since is None

    def apply_started_order(self, order):
        """Note that an order began: what it does is known before a report says so.

        :param order: :class:`~cowslipcourse.ports.EngineOrder`
        """
        self.order_count = order.expected_order_count + 1
        if order.operation is OrderOperation.JOIN:
            rank = order.members.index(self.id)
            self.confirmed_membership = GroupMembership(
                order.group, order.epoch, rank, GroupState.JOINING, order.model
            )
            # Whether what it was loading stays on its host, its reports will tell.
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
        """Seconds for which reports say that it is in no group and took no order.

        Orders count up when they begin, so the same count proves that no late order
        has brought it into a group between two reports.
        """
        if self.ungrouped_since is None:
            return 0.0
        return self.report_requested_at - self.ungrouped_since

    def was_ready(self, group):
        """Whether it was seen ready in a planned group with its present members.

        In its own place among them: a report may come from another engine that has
        its address now, and be a member too.
        """
        rank = group.members.index(self.id)
        return (group.name, group.epoch, rank) in self._ready_places

    def is_joining(self, group):
        """Whether it was last seen on its way into a planned group."""
        found = self.membership
        return (
            found is not None
            and (found.group, found.epoch) == (group.name, group.epoch)
            and found.state is GroupState.JOINING
        )

    def ready_in_s(self, group, now):
        """Return the expected seconds until it is ready in a planned group."""
        joined_at = self.join_sent_at.get(group.epoch)
        if joined_at is None or self.was_ready(group):
            return 0.0
        return max(0.0, joined_at + self.expected_join_s.get(group.epoch, 0.0) - now)

    def state_in(self, group):
        """Return its last seen state in a planned group, or ``None``."""
        found = self.membership
        if found is None or (found.group, found.epoch) != (group.name, group.epoch):
            return None
        return found.state

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
        """Whether the list or a report lags behind what is known already."""
        known = self.membership
        if known is None or membership is None or known.group != membership.group:
            return False
        return membership.epoch < known.epoch

    def _record_membership(self, membership):
        if membership is not None and membership.model:
            self.joined_model = membership.model
        if membership is not None and membership.state in _READY_STATES:
            place = membership.group, membership.epoch, membership.rank
            self._ready_places.add(place)
            self._loaded_model = membership.model or self.joined_model


class ObservedDomain:
    """The engines of one domain."""

    def __init__(self):
        self.engines = {}
        self.data_centre = None
        self._plan = None

    def update_from_entry(self, entry):
        """Take in an entry of the list.

        One of an earlier life than is known says nothing; one of a later life ends what
        was known: order count, evidence, silence, pace, what the engine was told. One
        that does not tell its life is of the life that is known.
        """
        self.data_centre = entry.data_centre
        known = self.engines.get(entry.id)
        if known is None or known.incarnation < entry.incarnation:
            self.engines[entry.id] = ObservedEngine(entry)
        elif entry.incarnation in (UNKNOWN_INCARNATION, known.incarnation):
            known.update_from_entry(entry._replace(incarnation=known.incarnation))

    def update_from_report(self, engine_id, report, requested_at):
        """Take in a report, which may tell of another life than the list.

        :param requested_at: when it was asked for.
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
        """Note who serves in no group any more, and lives that the list has not told.

        What proves that such an engine has left must be newer than that.

        :param plan: :class:`~cowslipcourse.groups.DomainPlan` of the domain.
        :param now: loop time at which the plan was known.
        :param is_own: whether this daemon wrote it in place of the one that it knew.
        """
        for group in plan.groups:
            self._apply_planned_incarnations(group)
        for engine in self.engines.values():
            if self._is_released(plan, engine, is_own):
                engine.require_evidence_since(now)
        self._plan = plan

    def _is_released(self, plan, engine, is_own):
        """Whether an engine serves in no group, and may have done so until now."""
        known = self._plan
        group = plan.group_of(engine.id, engine.incarnation)
        if known is not None and known.version == plan.version:
            return False
        if group is not None:
            return group.is_retired and not (
                known is not None and group in known.groups
            )
        if not is_own:
            # Whom the versions between held, unseen here, is not known.
            return True
        before = known and known.group_of(engine.id, engine.incarnation)
        return before is not None and not before.is_retired

    def _apply_planned_incarnations(self, group):
        for member in group.members:
            known = self.engines.get(member)
            meant = group.incarnation_of(member)
            if known is not None and known.incarnation < meant:
                self.engines[member] = known.next_incarnation(meant)

    def mark_unlisted(self, engine_id):
        """Note that the list no longer holds an engine."""
        known = self.engines.get(engine_id)
        if known is not None:
            known.is_listed = False

    def remove_unlisted(self, keep):
        """Drop engines that are not listed, but for those of which ``keep`` is true.

        :returns: ids of what was dropped.
        """
        dropped = [
            engine_id
            for engine_id, known in self.engines.items()
            if not known.is_listed and not keep(engine_id)
        ]
        for engine_id in dropped:
            del self.engines[engine_id]
        return dropped
