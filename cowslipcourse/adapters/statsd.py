"""Metrics sent by statsd; ``docs/metrics.md`` lists them with their units."""

import statsd

__all__ = ["NullMetrics", "StatsdMetrics", "create_metrics"]


class StatsdMetrics:
    """Sends metrics to a statsd server.

    :param settings: :class:`~cowslipcourse.settings.StatsdSettings`
    """

    def __init__(self, settings):
        self._statsd_client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )

    def count(self, name, value=1):
        """Add to a counter."""
        self._statsd_client.incr(name, value)

    def gauge(self, name, value):
        """Set a gauge."""
        self._statsd_client.gauge(name, value)

    def timing(self, name, duration_s):
        """Record a duration given in seconds; it is sent in milliseconds."""
        self._statsd_client.timing(name, duration_s * 1000)


class NullMetrics:
    """Discards metrics if no statsd server is configured."""

    def count(self, name, value=1):
        """Do nothing."""

    def gauge(self, name, value):
        """Do nothing."""

    def timing(self, name, duration_s):
        """Do nothing."""


def create_metrics(settings):
    """Return :class:`StatsdMetrics`, or :class:`NullMetrics` if no host is configured.

    :param settings: :class:`~cowslipcourse.settings.StatsdSettings`
    """
    return StatsdMetrics(settings) if settings.host else NullMetrics()
