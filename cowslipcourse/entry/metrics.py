"""Counters and latency histograms of a daemon, served as text."""

import logging

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["EntryMetrics"]

MAX_ROUTES = 200
"""Routes with counters of their own; the others share one, so memory is bounded."""
OTHER_ROUTES = "other"
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)


class _EventCounter(logging.Handler):
    def __init__(self, counter):
        super().__init__()
        self._counter = counter

    def emit(self, record):
        self._counter.labels(record.getMessage()).inc()


class EntryMetrics:
    """The metrics of one daemon; ``docs/metrics.md`` lists them."""

    def __init__(self):
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "cowslip_requests",
            "Requests by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._latency_s = Histogram(
            "cowslip_request_seconds",
            "Seconds from the head of a request to the end of its answer",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._events = Counter(
            "cowslip_events",
            "Logged decisions and changes by event",
            ["event"],
            registry=self._registry,
        )
        self._state_gauge = Gauge(
            "cowslip_state", "State of the daemon", ["name"], registry=self._registry
        )
        self._causes = Counter(
            "cowslip_account",
            "Requests by route, model and the one cause of their end",
            ["route", "model", "cause"],
            registry=self._registry,
        )
        self._routes = set()
        self._groups = Gauge(
            "cowslip_groups",
            "Groups that serve a model, as this daemon sees it",
            ["model"],
            registry=self._registry,
        )
        self._engines = Gauge(
            "cowslip_engines",
            "Listed engines by model and state of their group",
            ["model", "state"],
            registry=self._registry,
        )

    def observe_request(self, outcome, duration_s):
        """Count a request that is over."""
        self._requests.labels(outcome).inc()
        self._latency_s.observe(duration_s)

    def count_cause(self, route, model, cause):
        """Count a request that is over under the one cause of its end.

        :param route: name of the route; empty if it was not found.
        :param model: model that was asked for, or empty.
        :param cause: ``served``, or why it was lost.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        else:
            self._routes.add(route)
        self._causes.labels(route, model, cause).inc()

    def set_group_counts(self, counts):
        """Set the numbers of groups and engines.

        :param counts: :class:`~cowslipcourse.entry.census.GroupCounts`
        """
        self._groups.clear()
        for model, count in counts.groups_by_model.items():
            self._groups.labels(model).set(count)
        self._engines.clear()
        for (model, state), count in counts.engines_by_state.items():
            self._engines.labels(model, state).set(count)

    def event_counter(self):
        """Return a log handler that counts what is logged, by event and level."""
        return _EventCounter(self._events)

    def set_state(self, name, value):
        """Set a value of the daemon's state."""
        self._state_gauge.labels(name).set(value)

    def render(self):
        """Return all metrics as text."""
        return generate_latest(self._registry)
