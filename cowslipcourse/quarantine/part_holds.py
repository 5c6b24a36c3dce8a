"""Holds of suspected parts of prompts: requests with them wait, but for one at a time.

A hold lasts until the part is convicted, or a request with it is answered whole, or for
a while after the last exit, but not before a target has survived a request with it:
while no target serves, time says nothing for the part. After each exit under a request
with the part all requests with it are refused for a moment. Then the first evaluator of
the service permits one daemon after the other to let a request through, a probe.
"""

from typing import NamedTuple

from cowslipcourse.quarantine.fingerprints import SERVICE_BYTES
from cowslipcourse.quarantine.verdicts import PART_SUSPICION_S

__all__ = ["HOLD_S", "SURVIVAL_S", "PartHolds"]

REFUSAL_S = 0.5
"""Time after an exit for which all requests with a held part are refused: requests that
are in flight still show whether the part is sound."""
PERMIT_S = 2.0
"""Time from a permit for a probe to the next one: most probes are over by then."""
HOLD_S = 10.0
"""Time after the last exit for which a part is held that a target survives."""
SURVIVAL_S = 2.0
"""Time for which a target answers a request until it is taken to survive it: most of
those that exit do so within their first events."""
MAX_HOLDS = 64
"""Held parts; the one held the longest ago is released first."""


class _Hold(NamedTuple):
    """A held part.

    :param since: loop time of the exit from which on it is held.
    :param exited_at: loop time of the last exit under a request with it.
    :param is_survived: whether a target has survived a request with it since then.
    """

    since: float
    exited_at: float
    is_survived: bool = False

    @property
    def ends_at(self):
        """Loop time at which it ends, if there are no more exits."""
        return self.exited_at + (HOLD_S if self.is_survived else PART_SUSPICION_S)


class _Permit(NamedTuple):
    """A permit for a probe.

    :param part: fingerprint of the part.
    :param at: loop time.
    """

    part: bytes
    at: float


class PartHolds:
    """Parts that are held at this daemon, and the probes that it has let through."""

    def __init__(self):
        self._holds = {}
        self._probes = {}
        self._permits = {}

    def __len__(self):
        return len(self._holds)

    def __iter__(self):
        return iter(self._holds)

    def __contains__(self, part):
        return part in self._holds

    def hold(self, part, exited_at):
        """Hold a part from an exit on, or prolong its hold.

        :param exited_at: loop time.
        :returns: whether it was not held before.
        """
        known = self._holds.pop(part, None)
        new = _Hold(exited_at, exited_at)
        if known is None or exited_at >= known.exited_at + HOLD_S:
            self._holds[part] = new
        elif exited_at > known.exited_at:
            self._holds[part] = new._replace(since=known.since)
        else:
            self._holds[part] = known
        if len(self._holds) > MAX_HOLDS:
            self.release(next(iter(self._holds)))
        return known is None

    def release(self, part):
        """Release a part; return whether it was held."""
        self._probes.pop(part, None)
        return self._holds.pop(part, None) is not None

    def record_survived(self, part, begun_at):
        """Record that a target has survived a request with a part.

        :param begun_at: loop time at which the target began to answer it.
        """
        hold = self._holds.get(part)
        if hold is not None and begun_at > hold.exited_at:
            self._holds[part] = hold._replace(is_survived=True)

    def expire(self, now):
        """Release the parts that were held for long enough; return them."""
        expired = [part for part, hold in self._holds.items() if now >= hold.ends_at]
        for part in expired:
            self.release(part)
        return expired

    def held_since(self, part, at):
        """Return from which loop time on a part was held at another one, or infinity.

        Later than :data:`HOLD_S` after the last exit other daemons may no longer hold
        it.

        :param at: loop time.
        """
        hold = self._holds.get(part)
        is_held = hold is not None and at < hold.exited_at + HOLD_S
        return hold.since if is_held else float("inf")

    def last_exit_at(self, part):
        """Return the loop time of the last exit known of a held part, or ``-inf``."""
        hold = self._holds.get(part)
        return float("-inf") if hold is None else hold.exited_at

    def try_permit(self, part, now):
        """Permit a probe, unless one of any part of the service may be under way.

        Two probes at a target that exits would not tell which of them is the cause.

        :returns: whether it is permitted; it is if the part is not held.
        """
        hold = self._holds.get(part)
        if hold is None:
            return True
        service = part[:SERVICE_BYTES]
        if now - hold.exited_at < REFUSAL_S or self._has_permit(service, now):
            return False
        self._permits[service] = _Permit(part, now)
        return True

    def _has_permit(self, service, now):
        permit = self._permits.get(service)
        if permit is None or now - permit.at >= PERMIT_S:
            return False
        hold = self._holds.get(permit.part)
        return hold is not None and hold.exited_at < permit.at

    def held_parts(self, parts):
        """Return those of some parts that are held."""
        return [part for part in dict.fromkeys(parts) if part in self._holds]

    def is_held(self, parts, call):
        """Whether a request must not be sent to a target now.

        :param parts: fingerprints of the shared parts of its prompt.
        :param call: the request; it may be the probe of the parts that are held.
        """
        return any(
            part in self._holds and self._probes.get(part) is not call for part in parts
        )

    def start_probe(self, parts, call):
        """Let a request with held parts through."""
        self._probes |= dict.fromkeys(self.held_parts(parts), call)

    def is_probe(self, call):
        """Whether a request was let through although a part of it is held."""
        return any(probe is call for probe in self._probes.values())

    def end_probe(self, call):
        """Record that a probe is over, or will not be sent again."""
        for part, probe in list(self._probes.items()):
            if probe is call:
                del self._probes[part]
