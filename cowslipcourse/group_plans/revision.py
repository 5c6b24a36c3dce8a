"""Revises the plan of a fabric domain: repairs, forms and retires groups."""

import itertools

from cowslipcourse.group_plans.plan import PlannedGroup

__all__ = ["revise_plan"]

MIN_REPLACEMENT_GAIN_S = 2.0
"""A loading member is replaced by a warm free engine only if the group serves this much
earlier; a rejoin takes a few tenths of a second."""


def revise_plan(
    plan, engines, sizes, demands, assignment, broken=frozenset(), reassignments=()
):
    """Return the revised tuple of groups of a domain.

    Repairs come first and keep the members that a group has. Groups that cannot be
    completed release their members to one that can; in a domain of one model they do
    so at once, since every other group can use them. New groups are formed from
    engines beyond the reserved spares.

    :param plan: current :class:`~cowslipcourse.group_plans.DomainPlan`
    :param engines: iterable of :class:`EngineView` of the domain.
    :param sizes: group size by model.
    :param demands: iterable of :class:`ModelDemand`.
    :param assignment: :class:`~cowslipcourse.group_plans.DomainAssignment` of the
        domain.
    :param broken: names of groups that are complete but must be formed again.
    :param reassignments: iterable of
        :class:`~cowslipcourse.group_plans.Reassignment` of this domain.
    """
    return _Revision(plan, engines, sizes, assignment, broken).make(
        demands, reassignments
    )


class _Revision:
    """One revision of a plan: the groups and the free engines so far."""

    def __init__(self, plan, engines, sizes, assignment, broken):
        self._assignment = assignment
        self._domain = plan.domain
        self._epoch = plan.next_epoch
        self._broken = broken
        self._sizes = sizes
        self._views = {view.id: view for view in engines}
        self._groups = {group.name: group for group in plan.groups}
        self._cold_engines = []
        self._free = [
            view
            for view in self._views.values()
            if view.is_live
            and view.is_free
            and plan.group_of(view.id, view.incarnation) is None
        ]

    def make(self, demands, reassignments):
        self._retire_reassigned(reassignments)
        self._drop_released()
        self._drop_unlisted()
        self._set_aside_cold_engines()
        for group in self._incomplete():
            self._repair(group)
        self._reinstate_retired()
        self._replace_loading_members()
        if self._assignment.model is None:
            self._retire_one_incomplete()
        else:
            self._retire_all_incomplete()
        self._form(demands)
        return tuple(self._groups.values())

    def _drop_released(self):
        """Drop retired groups whose members are all free or no longer exist."""
        released = [
            group for group in self._groups.values() if self._is_released(group)
        ]
        for model in sorted({group.successor for group in released}):
            ended = [group for group in released if group.successor == model]
            freed = [v for group in ended for v in self._members(group)]
            freed = [view for view in freed if view and view.is_live]
            if model and self._awaits_more_engines(model, len(freed)):
                continue
            for group in ended:
                del self._groups[group.name]
            self._free += self._form_successors(model, freed) if model else freed

    def _is_released(self, group):
        views = self._members(group)
        return group.is_retired and all(view is None or view.is_free for view in views)

    def _awaits_more_engines(self, model, number):
        """Whether a successor needs engines of groups that are not yet released.

        :param model: successor model.
        :param number: engines that are already released.
        """
        others = any(
            group.successor == model and not self._is_released(group)
            for group in self._groups.values()
        )
        return others and number < self._sizes.get(model, 0)

    def _retire_reassigned(self, reassignments):
        """Retire the groups whose engines are reassigned to another model."""
        for reassignment in reassignments:
            for name in reassignment.groups if reassignment.is_warm else ():
                group = self._groups.get(name)
                if group is not None and not group.is_retired:
                    self._groups[name] = group._replace(
                        is_retired=True, successor=reassignment.model
                    )

    def _form_successors(self, model, freed):
        """Form successor groups of the warm engines; return the remaining ones."""
        warm = [view for view in freed if model in view.warm_models]
        size = self._sizes.get(model, 0)
        number = len(warm) // size if size else 0
        for index in range(number):
            members = tuple(view.id for view in warm[index * size : (index + 1) * size])
            self._add_group(model, members)
        used = warm[: number * size]
        return [view for view in freed if view not in used]

    def _add_group(self, model, members):
        name = self._new_name()
        self._groups[name] = PlannedGroup(name, model, self._epoch, members)
        self._set_members(self._groups[name], members)

    def _members(self, group):
        """Return the members' views; ``None`` for an incarnation that has ended."""
        views = [self._views.get(member) for member in group.members]
        return [
            view if view and group.has_member(view.id, view.incarnation) else None
            for view in views
        ]

    def _drop_unlisted(self):
        """Drop groups none of whose members is on the target list.

        A member's silence is no reason: the fault may be on this daemon's side. A group
        whose members were all silent to an overloaded coordinator kept serving while
        another coordinator joined its engines to other groups. A member that returns
        after its entry was removed leaves its unplanned group before it is used.
        """
        for group in list(self._groups.values()):
            views = self._members(group)
            if not any(view is not None and view.is_listed for view in views):
                del self._groups[group.name]

    def _set_aside_cold_engines(self):
        """Use only warm engines in a domain of one model.

        While one member loads, the other members of its group could serve in another
        one. Before the first warm group exists this does not matter: loads are short at
        the start, and no group waits for spares.
        """
        model = self._assignment.model
        if any(self._is_warm(group, model) for group in self._groups.values()):
            self._cold_engines = [
                view for view in self._free if model not in view.warm_models
            ]
            self._free = [view for view in self._free if model in view.warm_models]

    def _is_warm(self, group, model):
        """Whether all members of an active group are warm for a model."""
        views = self._members(group)
        return not group.is_retired and all(
            view is not None and model in view.warm_models for view in views
        )

    def _incomplete(self):
        """Return active groups that lack members, largest first."""
        found = [g for g in self._groups.values() if not g.is_retired]
        found = [g for g in found if self._is_incomplete(g)]
        return sorted(found, key=lambda g: -self._size(g))

    def _is_incomplete(self, group):
        if group.epoch == self._epoch:
            return False
        return group.name in self._broken or self._missing_count(group) > 0

    def _missing_count(self, group):
        return self._size(group) - len(self._live_members(group))

    def _size(self, group):
        return self._sizes.get(group.model, len(group.members))

    def _live_members(self, group):
        views = self._members(group)
        return [view.id for view in views if view is not None and view.is_live]

    def _is_still_serving(self, group):
        """Whether the group can serve until a leaving member has left."""
        views = self._members(group)
        return group.name not in self._broken and all(
            view is not None and (view.is_live or view.is_leaving) for view in views
        )

    def _repair(self, group):
        missing = self._missing_count(group)
        if missing > len(self._free):
            return
        warm = sum(group.model in view.warm_models for view in self._free)
        if missing > warm and self._is_still_serving(group):
            # A load from the weight store takes longer than the member stays.
            return
        members = tuple(self._live_members(group)) + self._take_free(
            group.model, missing
        )
        self._set_members(group, members)

    def _reinstate_retired(self):
        """Reactivate retired groups that free engines can complete.

        The live members of a group with a silent head are not free for other groups
        until the head must have become broken, 4.5 s later. Within their own group they
        need not wait: that is an ordinary repair.
        """
        retired = [
            group
            for group in self._groups.values()
            if group.is_retired and not group.successor
        ]
        for group in sorted(retired, key=self._missing_count):
            live = [view for view in self._members(group) if view and view.is_live]
            warm = sum(group.model in view.warm_models for view in self._free)
            if live and 0 < self._missing_count(group) <= warm:
                self._groups[group.name] = group._replace(is_retired=False)
                self._repair(self._groups[group.name])

    def _set_members(self, group, members):
        """Set a group's members, with the new epoch and their incarnations."""
        self._groups[group.name] = group._replace(
            members=members,
            epoch=self._epoch,
            incarnations=self._incarnations_of(members),
        )

    def _incarnations_of(self, members):
        return tuple(self._views[member].incarnation for member in members)

    def _take_free(self, model, number):
        """Take free engines, warm ones first among those that are not slow."""
        self._free.sort(
            key=lambda view: (view.is_slow, model not in view.warm_models, view.id)
        )
        taken, self._free = self._free[:number], self._free[number:]
        return tuple(view.id for view in taken)

    def _replace_loading_members(self):
        """Replace slow members and those with a long load by better free engines."""
        for group in list(self._groups.values()):
            if group.is_retired or group.epoch == self._epoch:
                continue
            # The incarnation of a member that was never listed is unknown.
            if not self._views.keys() >= set(group.members):
                continue
            for member in group.members:
                self._replace_member(group, member)

    def _replace_member(self, group, member):
        view = self._views.get(member)
        if view is None or not view.is_live:
            return
        if view.ready_in_s < MIN_REPLACEMENT_GAIN_S and not view.is_slow:
            return
        group = self._groups[group.name]
        # A restarted member is free, and is still in the group's member list.
        warm = [
            free
            for free in self._free
            if group.model in free.warm_models
            and not free.is_slow
            and free.id not in group.members
        ]
        if not warm:
            return
        self._free.remove(warm[0])
        kept = tuple(each for each in group.members if each != member)
        self._set_members(group, (*kept, warm[0].id))

    def _unrepairable_groups(self):
        """Return the groups that lack members and cannot serve."""
        return [g for g in self._incomplete() if not self._is_still_serving(g)]

    def _retire_all_incomplete(self):
        """Retire all groups that cannot be completed.

        Their members take a while to become free, and the next loss may be soon.
        """
        for group in self._unrepairable_groups():
            self._groups[group.name] = group._replace(is_retired=True)

    def _retire_one_incomplete(self):
        """Retire an incomplete group if its members would complete another one."""
        broken = self._unrepairable_groups()
        if len(broken) < 2:
            return
        # Retire the group with the fewest live members; another can be repaired then.
        retired = min(broken, key=lambda g: len(self._live_members(g)))
        available = len(self._live_members(retired)) + len(self._free)
        for group in broken:
            if group is not retired and self._missing_count(group) <= available:
                self._groups[retired.name] = retired._replace(is_retired=True)
                return

    def _form(self, demands):
        """Form a new group of free engines beyond the spares."""
        pending = sum(self._missing_count(group) for group in self._incomplete())
        reserved = max(self._assignment.spare_count, pending)
        eligible = [d for d in demands if self._assignment.model in (None, d.model)]
        for demand in sorted(eligible, key=lambda d: -d.urgency):
            if len(self._free) - reserved >= demand.size:
                self._add_group(
                    demand.model, self._take_free(demand.model, demand.size)
                )
                break
        if self._assignment.model is not None and not pending:
            self._form_from_cold_engines(demands)

    def _form_from_cold_engines(self, demands):
        """Form groups of engines that are warm for another model than the domain's.

        They would be idle while they load the domain's model. A model in lower demand
        gets none of them: otherwise each group that loses a member would pass its
        engines to it.
        """
        urgencies = {demand.model: demand.urgency for demand in demands}
        own_urgency = urgencies.get(self._assignment.model, 0.0)
        cold_engines = [
            v for v in self._free if self._assignment.model not in v.warm_models
        ] + self._cold_engines
        warm_models = {model for view in cold_engines for model in view.warm_models}
        for model in sorted(
            m for m in warm_models if urgencies.get(m, 0.0) > own_urgency
        ):
            size = self._sizes.get(model)
            warm = [view for view in cold_engines if model in view.warm_models]
            while size and len(warm) >= size:
                self._add_group(model, tuple(view.id for view in warm[:size]))
                cold_engines = [
                    view for view in cold_engines if view not in warm[:size]
                ]
                warm = warm[size:]

    def _new_name(self):
        # The replaced version makes the name unique in the domain; further groups of
        # the same revision get a number.
        first = f"{self._domain}-{self._epoch}"
        names = itertools.chain((first,), (f"{first}-{n}" for n in itertools.count(2)))
        return next(name for name in names if name not in self._groups)
