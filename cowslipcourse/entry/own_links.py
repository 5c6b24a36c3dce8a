"""Tell whether engines are silent, or this daemon is cut off from them."""

from cowslipcourse.adapters.log import get_logger

__all__ = ["IsolationDetector"]

MAX_SILENT_SHARE = 0.4
"""Share of a coordinator's engines that may seem lost before it doubts itself: two of
five domains."""
ANSWER_VALIDITY_S = 1.0
"""Time for which one engine's answer proves that this daemon reaches engines."""
PROBE_COUNT = 5
"""Engines elsewhere that are asked then: they are in other racks, so one of them
answers if this daemon is not cut off."""
PROBE_TIMEOUT_S = 0.3
"""Time for their answers: two questions of 0.15 s."""
ISOLATION_S = 3.0
"""Time for which a daemon that seems cut off leaves coordination to others."""

log = get_logger(__name__)


class IsolationDetector:
    """Doubts this daemon's own links if too many engines seem silent at once.

    :param domains: :class:`~cowslipcourse.entry.domains.DomainTracker`
    :param engine_client: :class:`~cowslipcourse.entry.engine_calls.EngineClient`
    """

    def __init__(self, domains, engine_client):
        self._domains = domains
        self._engine_client = engine_client
        self._probed_at = float("-inf")
        self._isolated_until = 0.0

    @property
    def isolated_until(self):
        """Loop time until which this daemon must not coordinate."""
        return self._isolated_until

    def check(self, owned_domains, now):
        """Look again after an engine was found silent.

        :param owned_domains: names of the domains that this daemon keeps.
        :param now: loop time.
        """
        listed = self._listed_engines(owned_domains)
        silent = [engine for engine in listed if engine.silent_since is not None]
        if now < self._isolated_until:
            # Questions that were under way when the doubt arose.
            _clear_silence(silent)
            return
        if len(silent) <= MAX_SILENT_SHARE * len(listed):
            return
        if now - self._engine_client.last_answer_at <= ANSWER_VALIDITY_S:
            return
        if self._engine_client.last_answer_at >= self._probed_at:
            self._probed_at = now
            for engine in self._probe_candidates(owned_domains):
                self._engine_client.request_report(engine)
        elif now - self._probed_at >= PROBE_TIMEOUT_S:
            log.warning("engines-unreachable", silent=len(silent), listed=len(listed))
            self._isolated_until = now + ISOLATION_S
            self._probed_at = float("-inf")
            _clear_silence(silent)

    def _listed_engines(self, domains):
        return [
            engine
            for name in domains
            for engine in self._domains.by_name[name].engines.values()
            if engine.is_listed
        ]

    def _probe_candidates(self, owned_domains):
        """Return a few engines of other domains, or else any that are not silent."""
        elsewhere = [
            name for name in self._domains.by_name if name not in owned_domains
        ]
        found = self._listed_engines(elsewhere) or self._listed_engines(owned_domains)
        found = [engine for engine in found if engine.silent_since is None]
        return found[:: max(1, len(found) // PROBE_COUNT)][:PROBE_COUNT]


def _clear_silence(silent):
    """Take back that engines are silent, but for those that have ended."""
    for engine in silent:
        if not engine.is_replaced:
            engine.silent_since = None
