"""Metrics by statsd; ``docs/metrics.md`` lists them with their units."""

import statsd

__all__ = ["Metrics", "NoMetrics", "open_metrics"]


class Metrics:
    """Sends metrics.

    :param settings: :class:`~cowslipcourse.settings.StatsdSettings`
    """

    def __init__(self, settings):
        self._client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )

    def count(self, name, value=1):
        """Add to a counter."""
        self._client.incr(name, value)

    def gauge(self, name, value):
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name, seconds):
        """Record a duration given in seconds, sent in milliseconds."""
        self._client.timing(name, seconds * 1000)


class NoMetrics:
    """Drops metrics, where no statsd is configured."""

    def count(self, name, value=1):
        """Do nothing."""

    def gauge(self, name, value):
        """Do nothing."""

    def timing(self, name, seconds):
        """Do nothing."""


def open_metrics(settings):
    """Return :class:`Metrics`, or :class:`NoMetrics` without a host.

    :param settings: :class:`~cowslipcourse.settings.StatsdSettings`
    """
    return Metrics(settings) if settings.host else NoMetrics()
