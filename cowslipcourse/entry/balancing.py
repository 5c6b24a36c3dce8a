"""Which groups of this daemon's domains give their engines to a model that is short."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.groups import (
    choose_reassignments,
    choose_standby,
    group_counts,
    is_present,
    underprovisioned_models,
)

__all__ = ["GroupBalancer"]

REBALANCE_INTERVAL_S = 0.25
"""Interval at which it is looked for models that are short."""
FRESH_S = 0.5
"""Age of the other coordinators' plans up to which a change is begun."""
READ_AGAIN_S = 2.0
"""Interval at which they are read while a model is short and nothing else changes."""
FORMING_S = 3.0
"""Time after its last new engine within which a domain forms its groups, if it can."""
STANDBY_INTERVAL_S = 1.0
"""Interval at which it is chosen which groups stand by."""

log = get_logger(__name__)


class GroupBalancer:
    """Looks at the groups of all domains, and chooses for those of this daemon.

    :param context: :class:`~cowslipcourse.entry.tools.DaemonContext`
    :param domains: :class:`~cowslipcourse.entry.domains.DomainTracker`
    :param table: :class:`~cowslipcourse.entry.plan_table.PlanTable`
    """

    def __init__(self, context, domains, table):
        self._context = context
        self._domains = domains
        self._table = table
        self._looked_at = float("-inf")
        self._standby_at = float("-inf")
        self._changes = ()
        self._served_at_read = {}
        self._standby = {}

    async def rebalance(self, spec, tended, now):
        """Choose again, if it is time.

        :param spec: :class:`~cowslipcourse.routes.ServiceSpec` of the engines.
        :param tended: names of the domains that this daemon keeps.
        :raises StoreError: the plans could not be read.
        """
        if now - self._looked_at < REBALANCE_INTERVAL_S:
            return
        self._looked_at = now
        if self._must_read(spec, now):
            await self._table.read()
        before, self._changes = self._changes, self._choose(spec, now)
        if self._can_begin(tended) and self._table.age_s(now) > FRESH_S:
            await self._table.read()
            self._changes = self._choose(spec, now)
        if self._changes and self._changes != before:
            self._log(spec, now)
        if now - self._standby_at >= STANDBY_INTERVAL_S:
            self._standby_at = now
            places = {n: d.data_centre for n, d in self._domains.by_name.items()}
            self._standby = choose_standby(
                self._table.plans, places, spec.models, self._held
            )

    def _choose(self, spec, now):
        plans = self._table.plans
        chosen = choose_reassignments(plans, spec.models, self._is_whole, self._held)
        if chosen and self._has_unused_engines(spec, now):
            return ()
        return tuple(chosen)

    def _can_begin(self, tended):
        """Whether a change in this daemon's own domains waits for nothing."""
        return any(c.is_warm and c.domain in tended for c in self._changes)

    def changes_to_begin(self, domain, now):
        """Return the :class:`~cowslipcourse.groups.Reassignment` list of a domain.

        None is begun by plans that may be outdated: another coordinator may have made
        a change that is enough.
        """
        if self._table.age_s(now) > FRESH_S:
            return []
        return self._chosen(domain)

    def _chosen(self, domain):
        return [change for change in self._changes if change.domain == domain]

    def wanted_on_hosts(self, plan):
        """Return ``{engine id: model}`` for members of groups that are to hold it.

        Those that must change over come before those that stand by. While a member
        still joins, its own model would replace what its host is told to hold.

        :param plan: :class:`~cowslipcourse.groups.DomainPlan`
        """
        models = {group.name: self._standby.get(group.name) for group in plan.groups}
        for change in self._chosen(plan.domain):
            models.update(dict.fromkeys(change.groups, change.model))
        engines = self._domains.by_name[plan.domain].engines
        return {
            member: models[group.name]
            for group in plan.groups
            if models[group.name] and not group.is_retired
            for member in group.members
            if member in engines and engines[member].was_ready(group)
        }

    def _must_read(self, spec, now):
        """Whether a model is short, and the plans that are known may be outdated."""
        serving = self._serving(spec, now)
        is_short = bool(underprovisioned_models(serving, spec.models))
        has_changed = serving != self._served_at_read
        age_s = self._table.age_s(now)
        if not is_short or age_s < (FRESH_S if has_changed else READ_AGAIN_S):
            return False
        self._served_at_read = serving
        return True

    def _serving(self, spec, now):
        """Return the number of groups that serve, by model, in this daemon's view."""
        fleet = self._context.fleet
        return {
            model.name: len(
                fleet.group_candidates(spec.name, model.name, spec.slots, now)
            )
            for model in spec.models
        }

    def _has_unused_engines(self, spec, now):
        """Whether a domain has got engines enough for a group, and no group yet.

        Its groups are formed in a moment; nothing else has to be given up for them.
        """
        least = min(model.size for model in spec.models)
        for name, domain in self._domains.by_name.items():
            is_forming = self._domains.time_since_growth_s(name, now) < FORMING_S
            if not is_forming or not self._table.is_readable(name):
                continue
            groups = self._table.plan(name).groups
            unused = sum(
                engine.is_live and engine.membership is None
                for engine in domain.engines.values()
            )
            if unused >= least and all(group.is_retired for group in groups):
                return True
        return False

    def _is_whole(self, group, domain):
        engines = self._domains.by_name[domain].engines
        return all(is_present(group, member, engines) for member in group.members)

    def _held(self, group, domain, model):
        known = self._domains.by_name.get(domain)
        engines = {} if known is None else known.engines
        return sum(
            member in engines and model in engines[member].staged
            for member in group.members
        )

    def _log(self, spec, now):
        counts = group_counts(self._table.plans.values(), spec.models)
        for change in self._changes:
            log.info(
                "change-over-chosen",
                domain=change.domain,
                groups=",".join(change.groups),
                model=change.model,
                is_warm=change.is_warm,
                counts=",".join(f"{m}:{n}" for m, n in sorted(counts.items())),
                plans_age_s=round(self._table.age_s(now), 3),
            )
