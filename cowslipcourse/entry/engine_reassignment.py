"""Choose groups whose engines are reassigned to an underprovisioned model."""

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.group_plans import (
    AGREED_THRESHOLDS,
    DECLARED_THRESHOLDS,
    MovePacer,
    choose_reassignments,
    choose_standby,
    group_counts,
    is_present,
    underprovisioned_models,
)

__all__ = ["GroupBalancer"]

REBALANCE_INTERVAL_S = 0.25
"""Interval between searches for underprovisioned models."""
MAX_PLAN_AGE_S = 0.5
"""Largest age of the known plans at which a reassignment may begin."""
PLAN_REREAD_INTERVAL_S = 2.0
"""Interval of plan reads while a model is underprovisioned and nothing changes."""
FORMING_WINDOW_S = 3.0
"""Time after its last new engine in which a domain is expected to form groups."""
STANDBY_INTERVAL_S = 1.0
"""Interval between choices of standby groups."""
OBSERVED_STANDBY_FRACTION = 0.2
"""Fraction of the other models' engines that stand by for each model if shares follow
observed work: a first change of shares then needs no load."""
MIN_PRESENT_FRACTION = 0.85
"""Fraction of the engines planned recently that must be in groups for moves by agreed
shares: with a larger part lost, what moves now would move back when it returns. Single
losses are less on any site."""

log = get_logger(__name__)


class GroupBalancer:
    """Chooses reassignments over all domains and standby models for their groups.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param domains: :class:`~cowslipcourse.entry.domains.DomainTracker`
    :param plan_table: :class:`~cowslipcourse.entry.plan_table.PlanTable`
    """

    def __init__(self, context, domains, plan_table):
        self._context = context
        self._domains = domains
        self._plan_table = plan_table
        self._rebalanced_at = float("-inf")
        self._standby_chosen_at = float("-inf")
        self._changes = ()
        self._serving_at_last_read = {}
        self._standby_models = {}
        self._agreement = None
        self._is_paced = False
        self._move_pacer = MovePacer()

    @property
    def usable_plans(self):
        """Plans by domain, without those of evacuated data centres.

        Their groups remain, but get no requests: they do not count as capacity.
        """
        return {
            name: plan
            for name, plan in self._plan_table.plans.items()
            if not self._is_evacuated(name)
        }

    def _is_evacuated(self, domain):
        observed = self._domains.by_name.get(domain)
        return observed is not None and self._context.fleet.evacuations.is_evacuated(
            observed.data_centre
        )

    async def rebalance(self, spec, owned_domains, now, agreement=None):
        """Choose reassignments and standby groups anew if their intervals have passed.

        :param spec: :class:`~cowslipcourse.routes.ServiceSpec` of the engines.
        :param owned_domains: names of the domains that this daemon coordinates.
        :param agreement: :class:`~cowslipcourse.entry.model_shares.ShareAgreement`, or
            ``None`` if the declared shares hold.
        :raises StoreError: if the plans cannot be read.
        """
        if now - self._rebalanced_at < REBALANCE_INTERVAL_S:
            return
        self._rebalanced_at = now
        self._agreement = agreement
        if self._needs_plan_read(spec, now):
            await self._plan_table.read()
        previous_changes, self._changes = self._changes, self._choose_changes(spec, now)
        if self._needs_read_to_start(owned_domains, now):
            await self._plan_table.read()
            self._changes = self._choose_changes(spec, now)
        if self._changes and self._changes != previous_changes:
            self._log_changes(spec, now)
        if now - self._standby_chosen_at >= STANDBY_INTERVAL_S:
            self._standby_chosen_at = now
            data_centres = {n: d.data_centre for n, d in self._domains.by_name.items()}
            self._standby_models = choose_standby(
                self.usable_plans,
                data_centres,
                spec.models,
                self._staged_member_count,
                0.0 if agreement is None else OBSERVED_STANDBY_FRACTION,
            )

    def _choose_changes(self, spec, now):
        plans = self.usable_plans
        if self._agreement is not None:
            self._move_pacer.update(self._plan_table.plans, now)
        thresholds = self._thresholds(spec)
        self._is_paced = thresholds is AGREED_THRESHOLDS
        if self._is_paced and self._move_pacer.present_fraction < MIN_PRESENT_FRACTION:
            return ()
        chosen = choose_reassignments(
            plans,
            spec.models,
            self._has_all_members,
            self._staged_member_count,
            thresholds,
        )
        if chosen and self._is_domain_about_to_form(spec, now):
            return ()
        return tuple(chosen)

    def _thresholds(self, spec):
        """Return the :class:`~cowslipcourse.group_plans.BalanceThresholds` in force.

        A model that is underprovisioned by its declared share, too, has lost groups and
        gains others without delay.
        """
        agreement = self._agreement
        if agreement is None or not agreement.is_agreed:
            return DECLARED_THRESHOLDS
        counts = group_counts(self.usable_plans.values(), spec.models)
        declared = underprovisioned_models(counts, agreement.declared_models)
        agreed = underprovisioned_models(counts, spec.models)
        return DECLARED_THRESHOLDS if {*declared} & {*agreed} else AGREED_THRESHOLDS

    def _startable_changes(self):
        """Return the reassignments of all domains that may begin once they are warm."""
        if not self._is_paced:
            return self._changes
        warm = [change for change in self._changes if change.is_warm]
        return self._move_pacer.permitted(warm, self._plan_table.plans)

    def _needs_read_to_start(self, owned_domains, now):
        """Whether a reassignment of an owned domain needs newer plans to begin.

        One that waits for others to end needs them now and then.
        """
        age_s = self._plan_table.age_s(now)
        if _has_warm_change(self._startable_changes(), owned_domains):
            return age_s > MAX_PLAN_AGE_S
        is_waiting = self._is_paced and _has_warm_change(self._changes, owned_domains)
        return is_waiting and age_s > PLAN_REREAD_INTERVAL_S

    def changes_to_begin(self, domain, now):
        """Return the :class:`~cowslipcourse.group_plans.Reassignment` list of a domain.

        It is empty if the plans may be outdated, since another coordinator may have
        made a sufficient change already.
        """
        if self._plan_table.age_s(now) > MAX_PLAN_AGE_S:
            return []
        return [c for c in self._startable_changes() if c.domain == domain]

    def _changes_in_domain(self, domain):
        return [change for change in self._changes if change.domain == domain]

    def models_to_stage(self, plan):
        """Return ``{engine id: model}`` of weights to stage on members' hosts.

        A reassignment takes precedence over a standby model. Members that still join
        are left out: loading their own model would replace the staged one.

        :param plan: :class:`~cowslipcourse.group_plans.DomainPlan`
        """
        models = {
            group.name: self._standby_models.get(group.name) for group in plan.groups
        }
        for change in self._changes_in_domain(plan.domain):
            models.update(dict.fromkeys(change.groups, change.model))
        engines = self._domains.by_name[plan.domain].engines
        return {
            member: models[group.name]
            for group in plan.groups
            if models[group.name] and not group.is_retired
            for member in group.members
            if member in engines and engines[member].was_ready(group)
        }

    def _needs_plan_read(self, spec, now):
        """Whether a model is underprovisioned and the known plans may be outdated."""
        serving = self._serving_group_counts(spec, now)
        is_underprovisioned = bool(underprovisioned_models(serving, spec.models))
        has_changed = serving != self._serving_at_last_read
        age_s = self._plan_table.age_s(now)
        if not is_underprovisioned or age_s < (
            MAX_PLAN_AGE_S if has_changed else PLAN_REREAD_INTERVAL_S
        ):
            return False
        self._serving_at_last_read = serving
        return True

    def _serving_group_counts(self, spec, now):
        """Return the number of serving groups by model, as this daemon sees them."""
        fleet = self._context.fleet
        return {
            model.name: len(
                fleet.group_candidates(spec.name, model.name, spec.slots, now)
            )
            for model in spec.models
        }

    def _is_domain_about_to_form(self, spec, now):
        """Whether a domain with enough engines for a group has none yet.

        Its groups are about to be formed, so no other group need be reassigned.
        """
        smallest_group_size = min(model.size for model in spec.models)
        for name, domain in self._domains.by_name.items():
            is_forming = self._domains.time_since_growth_s(name, now) < FORMING_WINDOW_S
            if not is_forming or not self._plan_table.is_readable(name):
                continue
            if self._is_evacuated(name):
                continue
            groups = self._plan_table.plan(name).groups
            unassigned = sum(
                engine.is_live and engine.membership is None
                for engine in domain.engines.values()
            )
            if unassigned >= smallest_group_size and all(
                group.is_retired for group in groups
            ):
                return True
        return False

    def _has_all_members(self, group, domain):
        engines = self._domains.by_name[domain].engines
        return all(is_present(group, member, engines) for member in group.members)

    def _staged_member_count(self, group, domain, model):
        observed_domain = self._domains.by_name.get(domain)
        engines = {} if observed_domain is None else observed_domain.engines
        return sum(
            member in engines and model in engines[member].staged
            for member in group.members
        )

    def _log_changes(self, spec, now):
        counts = group_counts(self.usable_plans.values(), spec.models)
        for change in self._changes:
            log.info(
                "change-over-chosen",
                domain=change.domain,
                groups=",".join(change.groups),
                model=change.model,
                is_warm=change.is_warm,
                counts=",".join(f"{m}:{n}" for m, n in sorted(counts.items())),
                plans_age_s=round(self._plan_table.age_s(now), 3),
            )


def _has_warm_change(changes, domains):
    return any(change.is_warm and change.domain in domains for change in changes)
