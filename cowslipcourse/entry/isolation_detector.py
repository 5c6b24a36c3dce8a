"""Distinguish silent engines from an isolation of this daemon."""

from cowslipcourse.adapters.log import get_logger

__all__ = ["IsolationDetector"]

MAX_SILENT_SHARE = 0.4
"""Share of a coordinator's engines that may be silent before it suspects its own
isolation: two of five domains."""
ANSWER_VALIDITY_S = 1.0
"""Time for which an engine's answer shows that this daemon reaches engines."""
PROBE_COUNT = 5
"""Engines of other domains that are probed on suspicion: they are in other racks, so
one of them answers if this daemon is not isolated."""
PROBE_TIMEOUT_S = 0.3
"""Time for answers to a probe: two report requests of 0.15 s each."""
ISOLATION_S = 3.0
"""Time for which an isolated daemon leaves coordination to others."""

log = get_logger(__name__)


class IsolationDetector:
    """Detects isolation of this daemon if many engines seem silent at once.

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

    def record_isolation(self, now):
        """Record that this daemon reaches no targets.

        :param now: loop time.
        """
        if now >= self._isolated_until:
            log.warning("coordinator-without-links")
        self._isolated_until = now + ISOLATION_S

    def check(self, owned_domains, now):
        """Check for isolation after an engine was found silent.

        :param owned_domains: names of the domains that this daemon coordinates.
        :param now: loop time.
        """
        listed = self._listed_engines(owned_domains)
        silent = [engine for engine in listed if engine.silent_since is not None]
        if now < self._isolated_until:
            # Report requests that were in flight when the isolation was detected.
            _clear_silence(silent)
            return
        if len(silent) <= MAX_SILENT_SHARE * len(listed):
            return
        if now - self._engine_client.last_report_at <= ANSWER_VALIDITY_S:
            return
        if self._engine_client.last_report_at >= self._probed_at:
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
        """Return a few engines that are not silent, of other domains if possible."""
        elsewhere = [
            name for name in self._domains.by_name if name not in owned_domains
        ]
        candidates = self._listed_engines(elsewhere) or self._listed_engines(
            owned_domains
        )
        candidates = [engine for engine in candidates if engine.silent_since is None]
        return candidates[:: max(1, len(candidates) // PROBE_COUNT)][:PROBE_COUNT]


def _clear_silence(engines):
    """Clear the silence of engines, except of those that were replaced."""
    for engine in engines:
        if not engine.is_replaced:
            engine.silent_since = None
