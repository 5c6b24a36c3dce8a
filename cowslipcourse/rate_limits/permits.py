"""Permits to send a request to a rate-limited target.

One daemon issues the permits of a target, so that all daemons together keep to its
limit whatever their number and however their demand is distributed. Splitting the limit
into a share for each daemon would either waste shares without demand or, if each share
allows at least one request, exceed a small limit many times.
"""

from typing import NamedTuple

__all__ = ["PermitDecision", "PermitIssuer"]

SAVED_PERMITS = 2.0
"""Unused permits that can be saved, in addition to those of ``SAVED_S``."""
SAVED_S = 0.25
REQUESTS_PER_PERMIT = 2.0
"""Desired rate of permit requests, relative to the limit. Refused daemons are asked to
wait accordingly: fewer requests leave permits unused, more cost messages."""
MAX_WAIT_S = 120.0
"""Limits the time for which a daemon waits if the others no longer need permits."""


class PermitDecision(NamedTuple):
    """Decision on a permit request.

    :param is_granted: whether the request may be sent now.
    :param wait_s: seconds to wait before the next permit request otherwise.
    """

    is_granted: bool
    wait_s: float = 0.0


class _Bucket:
    """Token bucket of one target, and the daemons that were asked to wait."""

    def __init__(self, now):
        self._permits = 1.0
        self._updated_at = now
        self._retry_at = {}

    def take(self, daemon, limit_per_s, now, rng):
        """Take a permit; return the :class:`PermitDecision`."""
        capacity = SAVED_PERMITS + SAVED_S * limit_per_s
        gained = (now - self._updated_at) * limit_per_s
        self._permits = min(self._permits + gained, capacity)
        self._updated_at = now
        self._retry_at.pop(daemon, None)
        if self._permits >= 1:
            self._permits -= 1
            return PermitDecision(True)
        return PermitDecision(False, self._wait(daemon, limit_per_s, now, rng))

    def _wait(self, daemon, limit_per_s, now, rng):
        self._retry_at = {d: at for d, at in self._retry_at.items() if at > now}
        waiting_count = len(self._retry_at) + 1
        next_permit_s = (1 - self._permits) / limit_per_s
        # Uniform waits up to twice the mean that gives the desired rate.
        spread_s = rng.uniform(0, 2 * waiting_count) / (
            REQUESTS_PER_PERMIT * limit_per_s
        )
        wait_s = min(next_permit_s + spread_s, MAX_WAIT_S)
        self._retry_at[daemon] = now + wait_s
        return wait_s


class PermitIssuer:
    """Issues the permits of the targets that are assigned to this daemon.

    :param rng: :class:`random.Random` that spreads the waits of refused daemons.
    """

    def __init__(self, rng):
        self._rng = rng
        self._buckets = {}

    def decide(self, instance, daemon, limit_per_s, now):
        """Return the :class:`PermitDecision` on the permit request of a daemon.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param daemon: address of the daemon that asks.
        :param limit_per_s: requests per second that the target accepts.
        :param now: loop time.
        """
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = self._buckets[instance] = _Bucket(now)
        return bucket.take(daemon, limit_per_s, now, self._rng)

    def retain(self, instances):
        """Forget all targets but the given ones."""
        self._buckets = {i: b for i, b in self._buckets.items() if i in instances}
