"""Metrics of the first requests, recorded before the metrics library is loaded."""

import logging

__all__ = ["DeferredMetrics"]


class _EventCounter(logging.Handler):
    def __init__(self, metrics):
        super().__init__()
        self._metrics = metrics

    def emit(self, record):
        self._metrics.count_event(record.getMessage())


class DeferredMetrics:
    """Keeps what requests and log events record, and passes it on once it can.

    What is kept needs no limit: the library is loaded within a second or the process
    ends.
    """

    def __init__(self):
        self._metrics = None
        self._kept_calls = []

    def attach(self, metrics):
        """Pass on what was kept, and from now on all calls.

        :param metrics: :class:`~cowslipcourse.entry.prometheus_metrics.EntryMetrics`
        """
        self._metrics = metrics
        kept_calls, self._kept_calls = self._kept_calls, []
        for name, arguments in kept_calls:
            self._record(name, *arguments)

    def observe_request(self, outcome, duration_s):
        """Record the outcome and latency of a finished request."""
        self._record("observe_request", outcome, duration_s)

    def count_cause(self, route, model, cause):
        """Count a finished request under the single cause of its end."""
        self._record("count_cause", route, model, cause)

    def count_event(self, event):
        """Count a log record."""
        self._record("count_event", event)

    def change_waiting(self, priority, change):
        """Change the number of requests of a priority that wait for a slot."""
        self._record("change_waiting", priority, change)

    def observe_slot_wait(self, priority, expected_s, waited_s):
        """Record how long a request has waited for a slot."""
        self._record("observe_slot_wait", priority, expected_s, waited_s)

    def event_counter(self):
        """Return a log handler that counts log records by event."""
        return _EventCounter(self)

    def render(self):
        """Return all metrics in the Prometheus text format, ``None`` if not loaded."""
        return None if self._metrics is None else self._metrics.render()

    def _record(self, name, *arguments):
        if self._metrics is None:
            self._kept_calls.append((name, arguments))
        else:
            getattr(self._metrics, name)(*arguments)
