"""Tell whether engines are silent, or this daemon is cut off from them."""

from cowslipcourse.adapters.log import get_logger

__all__ = ["IsolationDetector"]

MOST_SILENT = 0.4
"""Share of a coordinator's engines that may seem lost before it doubts itself: two of
five domains."""
HEARD_S = 1.0
"""Time for which one engine's answer proves that this daemon reaches engines."""
COMPARED = 5
"""Engines elsewhere that are asked then: they are in other racks, so one of them
answers if this daemon is not cut off."""
ANSWER_S = 0.3
"""Time for their answers: two questions of 0.15 s."""
UNFIT_S = 3.0
"""Time for which a daemon that seems cut off leaves coordination to others."""

log = get_logger(__name__)


class IsolationDetector:
    """Doubts this daemon's own links if too many engines seem silent at once.

    :param domains: :class:`~cowslipcourse.entry.domains.DomainTracker`
    :param calls: :class:`~cowslipcourse.entry.engine_calls.EngineClient`
    """

    def __init__(self, domains, calls):
        self._domains = domains
        self._calls = calls
        self._compared_at = float("-inf")
        self._unfit_until = 0.0

    @property
    def isolated_until(self):
        """Loop time until which this daemon must not coordinate."""
        return self._unfit_until

    def check(self, tended, now):
        """Look again after an engine was found silent.

        :param tended: names of the domains that this daemon keeps.
        :param now: loop time.
        """
        listed = self._listed(tended)
        silent = [engine for engine in listed if engine.silent_since is not None]
        if now < self._unfit_until:
            # Questions that were under way when the doubt arose.
            _withdraw(silent)
            return
        if len(silent) <= MOST_SILENT * len(listed):
            return
        if now - self._calls.last_report_at <= HEARD_S:
            return
        if self._calls.last_report_at >= self._compared_at:
            self._compared_at = now
            for engine in self._others(tended):
                self._calls.request_report(engine)
        elif now - self._compared_at >= ANSWER_S:
            log.warning("engines-unreachable", silent=len(silent), listed=len(listed))
            self._unfit_until = now + UNFIT_S
            self._compared_at = float("-inf")
            _withdraw(silent)

    def _listed(self, domains):
        return [
            engine
            for name in domains
            for engine in self._domains.by_name[name].engines.values()
            if engine.is_listed
        ]

    def _others(self, tended):
        """Return a few engines of other domains, or else any that are not silent."""
        elsewhere = [name for name in self._domains.by_name if name not in tended]
        found = self._listed(elsewhere) or self._listed(tended)
        found = [engine for engine in found if engine.silent_since is None]
        return found[:: max(1, len(found) // COMPARED)][:COMPARED]


def _withdraw(silent):
    """Take back that engines are silent, but for those that have ended."""
    for engine in silent:
        if not engine.is_replaced:
            engine.silent_since = None
