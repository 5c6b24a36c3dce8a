"""Exchange of rate limits between daemons.

A daemon that learns a target's limit from a response sends it to all daemons. One
daemon of each data centre repeats the known limits, for those that missed a message.
"""

import asyncio

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.peer_protocol import LimitUpdate, StatedLimit
from cowslipcourse.rate_limits import (
    ColdTargets,
    KnownLimits,
    RateLimitStatement,
    TargetInstance,
)

__all__ = ["LimitExchange"]

UPDATE_DELAY_S = 0.05
"""Time for which changed limits are collected into one message."""
MIN_UPDATE_INTERVAL_S = 1.0
"""Interval between two updates on one target, which may change its limit often."""
UPDATE_RESEND_DELAY_S = 0.3
"""Delay after which an update is sent once more: a datagram may be lost."""
MAX_REPEATED_LIMITS = 32
"""Limits in one repetition, 1 KB; the others follow in the next repetitions."""
MAX_DATAGRAM_LIMITS = 64
UNSTATED_AGE_S = 1e6
"""Age of a statement that was never made, so that it replaces no other."""

log = get_logger(__name__)


class LimitExchange:
    """Newest statements of targets, as known here and sent to other daemons.

    :param peers: :class:`~cowslipcourse.rate_limit_runtime.LimiterPeers`
    :param cold_targets: :class:`~cowslipcourse.rate_limits.ColdTargets`
    """

    def __init__(self, peers, cold_targets=None):
        self._peers = peers
        self._cold_targets = cold_targets or ColdTargets()
        self._limits = KnownLimits()
        self._unsent_instances = set()
        self._sent_at = {}
        self._is_update_scheduled = False
        self._repeat_offset = 0

    @property
    def limits(self):
        """The :class:`~cowslipcourse.rate_limits.KnownLimits`."""
        return self._limits

    def limit_per_s(self, instance):
        """Return the permits per second of a target, or ``None``.

        It is the lower one of what the target states and what it tolerates while cold.
        """
        return _lower(
            self._limits.get(instance), self._cold_targets.limit_per_s(instance, _now())
        )

    def requested_limit_per_s(self, instance, service):
        """Return the permits per second of a target that a daemon asks permits for.

        That daemon may know earlier than this one that the target is cold.
        """
        cold_per_s = self._cold_targets.service_limit_per_s(service)
        limit_per_s = self.limit_per_s(instance)
        return cold_per_s if limit_per_s is None else limit_per_s

    def observe(self, statement, source):
        """Apply a statement that a target has made to this daemon.

        :param statement: :class:`~cowslipcourse.rate_limits.RateLimitStatement`
        :param source: kind of response, for the log.
        """
        if self._apply(statement, source):
            self._unsent_instances.add(statement.instance)
            self._schedule_update()

    def apply(self, stated):
        """Apply a statement that another daemon has sent.

        :param stated: :class:`~cowslipcourse.peer_protocol.StatedLimit`
        """
        instance = TargetInstance(stated.target, stated.incarnation)
        statement = RateLimitStatement(
            instance, stated.service, stated.limit_per_s, _now() - stated.age_s
        )
        self._apply(statement, "peer")

    def _apply(self, statement, source):
        """Apply a statement; return whether the limit has changed significantly."""
        instance = statement.instance
        previous_per_s = self._limits.get(instance)
        if not self._limits.apply(statement):
            return False
        log.info(
            "target-limit",
            target=instance.id,
            incarnation=instance.incarnation,
            service=statement.service,
            limit_per_s=statement.limit_per_s,
            previous_per_s=previous_per_s,
            source=source,
            age_s=round(_now() - statement.stated_at, 3),
        )
        return True

    def stated(self, instance, service=""):
        """Return what is known of a target as a part of a message.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        :param service: its service, if the target may not be in :attr:`limits`.
        :returns: :class:`~cowslipcourse.peer_protocol.StatedLimit`
        """
        statement = self._limits.newest(instance)
        if statement is None:
            return StatedLimit(
                instance.id, instance.incarnation, service, None, UNSTATED_AGE_S
            )
        return StatedLimit(
            instance.id,
            instance.incarnation,
            statement.service,
            statement.limit_per_s,
            max(0.0, _now() - statement.stated_at),
        )

    def _schedule_update(self):
        if not self._is_update_scheduled:
            self._is_update_scheduled = True
            asyncio.get_running_loop().call_later(UPDATE_DELAY_S, self._send_update)

    def _send_update(self):
        self._is_update_scheduled = False
        now = _now()
        due = {
            instance
            for instance in self._unsent_instances
            if now - self._sent_at.get(instance, float("-inf")) >= MIN_UPDATE_INTERVAL_S
        }
        self._unsent_instances -= due
        if self._unsent_instances:
            self._schedule_update()
        self._sent_at |= dict.fromkeys(due, now)
        addresses = self._peers.all_addresses()
        self._send(due, addresses)
        loop = asyncio.get_running_loop()
        loop.call_later(UPDATE_RESEND_DELAY_S, self._send, due, addresses)

    def _send(self, instances, addresses):
        known = [each for each in sorted(instances) if self._limits.newest(each)]
        for first in range(0, len(known), MAX_DATAGRAM_LIMITS):
            part = known[first : first + MAX_DATAGRAM_LIMITS]
            self._peers.send(LimitUpdate(tuple(map(self.stated, part))), addresses)

    def send_all(self, address):
        """Send all known limits to a daemon that has just started.

        Only the daemon that repeats limits does, so that it gets them once.

        :param address: address of the other daemon.
        """
        if self._peers.repeat_addresses():
            self._send(self._limits.instances(), [address])

    def repeat(self):
        """Send some of the known limits again if this daemon is to repeat them."""
        instances = sorted(self._limits.instances())
        addresses = self._peers.repeat_addresses() if instances else ()
        if not addresses:
            return
        start = self._repeat_offset % len(instances)
        repeated = (instances[start:] + instances[:start])[:MAX_REPEATED_LIMITS]
        self._repeat_offset = start + len(repeated)
        self._send(repeated, addresses)

    def retain(self, instances):
        """Forget all targets but the given ones."""
        self._limits.retain(instances, _now())
        known = self._limits.instances()
        self._unsent_instances &= known
        self._sent_at = {i: at for i, at in self._sent_at.items() if i in known}


def _lower(first_per_s, second_per_s):
    """Return the lower one of two limits, each of which may be ``None``."""
    limits = [each for each in (first_per_s, second_per_s) if each is not None]
    return min(limits, default=None)


def _now():
    return asyncio.get_running_loop().time()
