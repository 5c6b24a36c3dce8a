"""Pauses that targets ask for when they refuse requests. Pure functions of time."""

__all__ = ["TargetPauses"]

MAX_PAUSE_S = 60.0
"""Longest pause that is kept: a target must not take itself out of service for good by
a wrong value."""


class TargetPauses:
    """Time until which each target has asked this daemon to send no requests."""

    def __init__(self):
        self._until = {}

    def record(self, instance, pause_s, now):
        """Record that a target asks for a pause; return whether it had none.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param pause_s: requested duration in seconds.
        :param now: loop time.
        """
        is_new = now >= self.until(instance)
        until = now + min(pause_s, MAX_PAUSE_S)
        self._until[instance] = max(until, self.until(instance))
        return is_new

    def until(self, instance):
        """Return the loop time at which the pause of a target ends.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        """
        return self._until.get(instance, float("-inf"))

    def paused(self, now):
        """Return the targets whose pauses have not ended.

        :param now: loop time.
        """
        return [instance for instance, until in self._until.items() if now < until]

    def retain(self, instances):
        """Forget all targets but the given ones."""
        self._until = {i: until for i, until in self._until.items() if i in instances}
