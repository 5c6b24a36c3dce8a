"""Prometheus metrics of a daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["EntryMetrics"]

MAX_ROUTES = 200
"""Routes with their own counters; all others share one, which bounds memory."""
OTHER_ROUTES = "other"
MAX_PRIORITY = 9
"""Least urgent priority with its own label; those beyond it share it."""
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)


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
        self._model_shares = Gauge(
            "cowslip_model_share",
            "Share of the engines by model, declared and in force",
            ["model", "kind"],
            registry=self._registry,
        )
        self._model_utilisation = Gauge(
            "cowslip_model_utilisation",
            "Lastingly demanded part of a model's engines, where it is observed",
            ["model"],
            registry=self._registry,
        )
        self._withheld_requests = Gauge(
            "cowslip_withheld_requests",
            "Requests not sent to a chosen target, by service, since the start",
            ["service"],
            registry=self._registry,
        )
        self._hedges = Gauge(
            "cowslip_hedges",
            "Requests sent to a second target while the first one was silent, by"
            " outcome, since the start",
            ["outcome"],
            registry=self._registry,
        )
        self._retries = Gauge(
            "cowslip_retries",
            "Retries taken from the budget, refused by it, or free, by service, since"
            " the start",
            ["service", "outcome"],
            registry=self._registry,
        )
        self._limited_targets = Gauge(
            "cowslip_limited_targets",
            "Targets that state a rate limit, by service",
            ["service"],
            registry=self._registry,
        )
        self._leaving_targets = Gauge(
            "cowslip_leaving_targets",
            "Listed targets that are leaving, by service",
            ["service"],
            registry=self._registry,
        )
        self._evacuated = Gauge(
            "cowslip_evacuated_data_centres",
            "Whether a data centre is evacuated; only those that are",
            ["data_centre"],
            registry=self._registry,
        )
        self._cold_targets = Gauge(
            "cowslip_cold_targets",
            "Cold targets of services that limit requests to them, by service",
            ["service"],
            registry=self._registry,
        )
        self._paused_targets = Gauge(
            "cowslip_paused_targets",
            "Targets that have asked for a pause, by service",
            ["service"],
            registry=self._registry,
        )
        self._slow_targets = Gauge(
            "cowslip_slow_targets",
            "Targets that this daemon takes for slow, by service",
            ["service"],
            registry=self._registry,
        )

        self._waiting_requests = Gauge(
            "cowslip_waiting_requests",
            "Requests that wait for a slot, by priority",
            ["priority"],
            registry=self._registry,
        )
        self._slot_wait_s = Histogram(
            "cowslip_slot_wait_seconds",
            "Seconds that placed requests have waited for a slot, by priority",
            ["priority"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._expected_slot_wait_s = Histogram(
            "cowslip_expected_slot_wait_seconds",
            "Seconds that they were expected to wait when they began, by priority",
            ["priority"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def change_waiting(self, priority, change):
        """Change the number of requests of a priority that wait for a slot."""
        self._waiting_requests.labels(min(priority, MAX_PRIORITY)).inc(change)

    def observe_slot_wait(self, priority, expected_s, waited_s):
        """Record how long a request has waited for a slot.

        :param expected_s: what was expected when it began, or ``None``.
        :param waited_s: what it was in the end.
        """
        label = min(priority, MAX_PRIORITY)
        self._slot_wait_s.labels(label).observe(waited_s)
        if expected_s is not None:
            self._expected_slot_wait_s.labels(label).observe(expected_s)

    def observe_request(self, outcome, duration_s):
        """Record the outcome and latency of a finished request."""
        self._requests.labels(outcome).inc()
        self._latency_s.observe(duration_s)

    def count_cause(self, route, model, cause):
        """Count a finished request under the single cause of its end.

        :param route: name of the route; empty if it was not found.
        :param model: requested model, or empty.
        :param cause: ``served``, or why it was lost.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        else:
            self._routes.add(route)
        self._causes.labels(route, model, cause).inc()

    def set_group_counts(self, counts):
        """Set the gauges of groups and engines.

        :param counts: :class:`~cowslipcourse.entry.group_counts.GroupCounts`
        """
        self._groups.clear()
        for model, count in counts.groups_by_model.items():
            self._groups.labels(model).set(count)
        self._engines.clear()
        for (model, state), count in counts.engines_by_state.items():
            self._engines.labels(model, state).set(count)

    def set_model_shares(self, report):
        """Set the gauges of the models' shares and utilisation.

        :param report: :class:`~cowslipcourse.entry.model_shares.ShareReport`
        """
        self._model_shares.clear()
        for kind, shares in (("declared", report.declared), ("agreed", report.agreed)):
            for model, share in shares.items():
                self._model_shares.labels(model, kind).set(share)
        self._model_utilisation.clear()
        for model, utilisation in report.utilisation.items():
            self._model_utilisation.labels(model).set(utilisation)

    def set_limited_counts(self, counts):
        """Set the gauge of targets that state a rate limit.

        :param counts: number of targets by service.
        """
        _set_by_service(self._limited_targets, counts)

    def set_cold_counts(self, counts):
        """Set the gauge of cold targets that are limited.

        :param counts: number of targets by service.
        """
        _set_by_service(self._cold_targets, counts)

    def set_paused_counts(self, counts):
        """Set the gauge of targets that have asked for a pause.

        :param counts: number of targets by service.
        """
        _set_by_service(self._paused_targets, counts)

    def set_slow_counts(self, counts):
        """Set the gauge of slow targets.

        :param counts: number of targets by service.
        """
        _set_by_service(self._slow_targets, counts)

    def set_withheld_counts(self, counts):
        """Set the gauge of requests that were not sent to a chosen target.

        :param counts: number of requests by service since the start.
        """
        for service, count in counts.items():
            self._withheld_requests.labels(service).set(count)

    def set_hedge_counts(self, counts):
        """Set the gauge of requests sent to a second target.

        :param counts: number of requests since the start by outcome.
        """
        for outcome, count in counts.items():
            self._hedges.labels(outcome).set(count)

    def set_retry_counts(self, counts):
        """Set the gauge of retries.

        :param counts: number of retries since the start by service and outcome.
        """
        for (service, outcome), count in counts.items():
            self._retries.labels(service, outcome).set(count)

    def set_leaving_counts(self, counts):
        """Set the gauge of targets that are leaving.

        :param counts: number of targets by service.
        """
        _set_by_service(self._leaving_targets, counts)

    def set_evacuated(self, data_centres):
        """Set the gauge of evacuated data centres.

        :param data_centres: their names.
        """
        self._evacuated.clear()
        for data_centre in data_centres:
            self._evacuated.labels(data_centre).set(1)

    def count_event(self, event):
        """Count a log record."""
        self._events.labels(event).inc()

    def set_state(self, name, value):
        """Set a gauge of the daemon's state."""
        self._state_gauge.labels(name).set(value)

    def render(self):
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _set_by_service(gauge, counts):
    gauge.clear()
    for service, count in counts.items():
        gauge.labels(service).set(count)
