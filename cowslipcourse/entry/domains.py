"""Engines by fabric domain, from the list of targets, reports and plans."""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.group_plans import ObservedDomain

__all__ = ["DomainTracker"]

DISCOVERY_QUIET_S = 2.0
"""Time without a new domain after which all count as discovered: their first entries
are listed up to that far apart."""
MAX_DISCOVERY_S = 4.0
"""Time after which a domain forms groups although others are still discovered."""
log = get_logger(__name__)


class DomainTracker:
    """Tracks the observed engines of each domain.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    """

    def __init__(self, context):
        self._context = context
        self._domain_by_engine = {}
        self._last_growth_at = {}
        self._discovered_at = {}
        self.by_name = {}

    @property
    def engines(self):
        """List of all engines that are listed or still needed."""
        return [e for domain in self.by_name.values() for e in domain.engines.values()]

    def update_entries(self, entries):
        """Apply changed entries; those that name no engine count as removed."""
        now = asyncio.get_running_loop().time()
        for entry in entries:
            if not self._is_engine(entry):
                self.mark_unlisted((entry.id,))
                continue
            self._remove_from_previous_domain(entry)
            self._discovered_at.setdefault(entry.domain, now)
            domain = self.by_name.setdefault(entry.domain, ObservedDomain())
            if entry.id not in domain.engines:
                self._last_growth_at[entry.domain] = now
            domain.update_from_entry(entry)

    def mark_unlisted(self, ids):
        """Mark engines whose entries were removed from the list."""
        for engine_id in ids:
            domain = self._domain_by_engine.get(engine_id)
            if domain is not None:
                self.by_name[domain].mark_unlisted(engine_id)

    def update_from_report(self, engine, report, requested_at):
        """Apply an engine's report.

        :param engine: :class:`~cowslipcourse.group_plans.ObservedEngine` that sent it.
        :param requested_at: loop time at which it was requested.
        """
        if report.incarnation != engine.incarnation:
            log.info(
                "engine-other-life",
                engine=engine.id,
                known=engine.incarnation,
                reported=report.incarnation,
            )
        self.by_name[engine.entry.domain].update_from_report(
            engine.id, report, requested_at
        )

    def update_from_plan(self, plan, is_own):
        """Apply a domain's plan to its engines.

        :param is_own: whether this daemon wrote it to replace the plan that it knew.
        """
        observed_domain = self.by_name.setdefault(plan.domain, ObservedDomain())
        observed_domain.update_from_plan(
            plan, asyncio.get_running_loop().time(), is_own
        )

    def forget(self, plan):
        """Remove engines that neither the list nor their domain's plan names."""
        for engine_id in self.by_name[plan.domain].remove_unlisted(
            plan.contains_engine
        ):
            del self._domain_by_engine[engine_id]

    def time_since_growth_s(self, domain, now):
        """Return the seconds since a domain gained an engine; 0 if it never did."""
        return now - self._last_growth_at.get(domain, now)

    def are_all_discovered(self, domain, now):
        """Whether all domains that are planned together with a new one are known.

        :param domain: name of the domain that is to form its first groups.
        """
        known_for_s = now - self._discovered_at.get(domain, now)
        last_discovery_at = max(self._discovered_at.values(), default=now)
        return (
            now - last_discovery_at >= DISCOVERY_QUIET_S
            or known_for_s >= MAX_DISCOVERY_S
        )

    def engine(self, domain, engine_id):
        """Return the ``ObservedEngine``, or ``None``."""
        observed = self.by_name.get(domain)
        return None if observed is None else observed.engines.get(engine_id)

    def _is_engine(self, entry):
        """Whether an entry names an engine, that is, its service serves models."""
        table = self._context.table
        spec = None if table is None else table.services.get(entry.service)
        return bool(entry.domain) and spec is not None and bool(spec.models)

    def _remove_from_previous_domain(self, entry):
        """Keep an engine in one domain, so that no two plans assign it to groups."""
        previous = self._domain_by_engine.get(entry.id)
        if previous not in (None, entry.domain):
            log.warning(
                "engine-moved", id=entry.id, known=previous, listed=entry.domain
            )
            self.by_name[previous].mark_unlisted(entry.id)
        self._domain_by_engine[entry.id] = entry.domain
