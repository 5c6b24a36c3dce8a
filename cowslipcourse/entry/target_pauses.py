"""Pauses that targets ask for when they refuse requests. Pure functions of time."""

from typing import NamedTuple

__all__ = ["TargetPauses"]

MAX_PAUSE_S = 60.0
"""Longest pause that is kept: a target must not take itself out of service for good by
a wrong value."""
TRIAL_S = 1.0
"""Time from the first request after a pause for which no other one is sent, unless the
target accepts it earlier. All daemons may return to the target at the same moment."""


class _Pause(NamedTuple):
    """A pause and the time after it in which a target is tried with one request.

    :param until: loop time at which the pause ends.
    :param trial_until: loop time at which the trial ends; before ``until`` if there has
        been none.
    """

    until: float
    trial_until: float = float("-inf")

    @property
    def withheld_until(self):
        """Loop time until which no further request may be sent."""
        return max(self.until, self.trial_until)


class TargetPauses:
    """Pauses that targets have asked this daemon for, until they accept requests."""

    def __init__(self):
        self._pauses = {}

    def record(self, instance, pause_s, now):
        """Record that a target asks for a pause; return whether it had none.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param pause_s: requested duration in seconds.
        :param now: loop time.
        """
        is_new = now >= self.until(instance)
        until = now + min(pause_s, MAX_PAUSE_S)
        self._pauses[instance] = _Pause(max(until, self.until(instance)))
        return is_new

    def record_accepted(self, instance, now):
        """Record that a target has accepted a request.

        During a pause that was a request sent before it, which does not end it.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param now: loop time.
        """
        if instance in self._pauses and now >= self.until(instance):
            del self._pauses[instance]

    def begin_trial(self, instance, now):
        """Record that a request is sent, which is a trial if it ends a pause.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param now: loop time.
        """
        pause = self._pauses.get(instance)
        if pause is not None:
            self._pauses[instance] = pause._replace(trial_until=now + TRIAL_S)

    def until(self, instance):
        """Return the loop time at which the pause of a target ends.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        """
        pause = self._pauses.get(instance)
        return float("-inf") if pause is None else pause.until

    def withheld_until(self, instance):
        """Return the loop time until which a target gets no requests.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        """
        pause = self._pauses.get(instance)
        return float("-inf") if pause is None else pause.withheld_until

    def paused(self, now):
        """Return the targets whose pauses have not ended.

        :param now: loop time.
        """
        return [i for i, pause in self._pauses.items() if now < pause.until]

    def retain(self, instances):
        """Forget all targets but the given ones."""
        self._pauses = {i: p for i, p in self._pauses.items() if i in instances}
