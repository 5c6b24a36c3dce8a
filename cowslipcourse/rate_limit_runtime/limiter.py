"""Keeps requests to rate-limited targets within their limits, with the other daemons.

Once a daemon knows the limit of a target, each of its requests to it needs a permit of
the daemon that issues them.
"""

import asyncio
import itertools
from typing import NamedTuple

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import TargetWithheld
from cowslipcourse.peer_protocol import LimitUpdate, PermitRequest, PermitResponse
from cowslipcourse.rate_limit_runtime.exchange import LimitExchange
from cowslipcourse.rate_limit_runtime.issuing import UNASSIGNED_WAIT_S, IssuingDesk
from cowslipcourse.rate_limits import (
    ColdTargets,
    PermitDecision,
    RateLimitStatement,
    TargetInstance,
)

__all__ = ["Permit", "RateLimiter"]

UPKEEP_INTERVAL_S = 0.5
"""Interval at which issuers follow the members, and old statements are noticed."""
REPEAT_INTERVAL_S = 1.0
PERMIT_TIMEOUT_S = 0.12
"""Time for the answer to a permit request: a round trip within a region and a pause of
a busy daemon. The request goes to another target afterwards."""
PERMIT_VALID_S = 0.5
"""Time from the answer within which the request must be sent: longer than connecting
takes."""
MIN_WAIT_S = 0.05
FIRST_TIMEOUT_WAIT_S = 0.2
MAX_TIMEOUT_WAIT_S = 2.0
"""Wait after an unanswered permit request; it doubles with each one in a row."""
REQUEST_NUMBER_BITS = 31
"""Random start of the numbers of permit requests: an answer to the previous incarnation
of this daemon must not grant another request."""

log = get_logger(__name__)


class Permit(NamedTuple):
    """Permission to send one request to a rate-limited target.

    :param issued_at: loop time at which it was received.
    """

    issued_at: float


class _Withheld(NamedTuple):
    """Time until which a target gets no requests from here.

    :param until: loop time.
    :param limits_per_s: reported limit, and that of a cold target, to which it applies.
    """

    until: float
    limits_per_s: tuple


class RateLimiter:
    """Learns and spreads the limits of targets, and admits requests to them.

    :param peers: :class:`~cowslipcourse.rate_limit_runtime.LimiterPeers`
    :param prober: :class:`~cowslipcourse.rate_limit_runtime.LimitProber`
    :param rng: :class:`random.Random`
    :param cold_targets: :class:`~cowslipcourse.rate_limits.ColdTargets`
    """

    def __init__(self, peers, prober, rng, cold_targets=None):
        self._peers = peers
        self._cold_targets = cold_targets or ColdTargets()
        self._exchange = LimitExchange(peers, self._cold_targets)
        self._limits = self._exchange.limits
        self._desk = IssuingDesk(peers, self._exchange, prober, rng)
        self._withheld = {}
        self._timeout_waits = {}
        self._pending = {}
        self._request_numbers = itertools.count(rng.getrandbits(REQUEST_NUMBER_BITS))

    async def run(self):
        """Follow the members, probe targets and repeat known limits, forever."""
        repeated_at = _now()
        while True:
            self._desk.update_directory()
            self._desk.probe_targets()
            if _now() - repeated_at >= REPEAT_INTERVAL_S:
                repeated_at = _now()
                self._exchange.repeat()
            await asyncio.sleep(UPKEEP_INTERVAL_S)

    def limit_per_s(self, instance):
        """Return the requests per second that a target accepts, or ``None``.

        :param instance: :class:`~cowslipcourse.rate_limits.TargetInstance`
        """
        return self._limits.get(instance)

    def limited_counts(self):
        """Return the number of limited targets by service."""
        return self._limits.limited_counts()

    def cold_counts(self):
        """Return the number of cold targets with a limit, by service."""
        return self._cold_targets.counts(_now())

    def apply_entries(self, entries):
        """Follow from list entries which targets are cold.

        :param entries: changed :class:`~cowslipcourse.ports.TargetEntry`
        """
        self._cold_targets.apply(entries, _now())
        for entry in entries:
            limit_per_s = self._cold_targets.limit_per_s(_instance(entry), _now())
            if limit_per_s is not None:
                log.info(
                    "target-cold",
                    target=entry.id,
                    incarnation=entry.incarnation,
                    service=entry.service,
                    limit_per_s=limit_per_s,
                    cold_left_s=entry.cold_left_s,
                )

    def observe(self, entry, limit_per_s):
        """Record what a target states in a response.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param limit_per_s: requests per second, or ``None`` for no limit.
        """
        statement = RateLimitStatement(
            _instance(entry), entry.service, limit_per_s, _now()
        )
        self._exchange.observe(statement, "response")

    # Admission.

    def withheld_until(self, entry):
        """Return the loop time until which a target gets no requests from here.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        """
        instance = _instance(entry)
        withheld = self._withheld.get(instance)
        # A changed limit may permit requests earlier than expected.
        if withheld is None or withheld.limits_per_s != self._limits_per_s(instance):
            return float("-inf")
        return withheld.until

    def _limits_per_s(self, instance):
        cold_per_s = self._cold_targets.limit_per_s(instance, _now())
        return self._limits.reported(instance), cold_per_s

    async def acquire(self, entry):
        """Return a :class:`Permit` for one request, or ``None`` if none is needed.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :raises TargetWithheld: the target accepts no request from here now.
        """
        instance = _instance(entry)
        if self._exchange.limit_per_s(instance) is None:
            return None
        if _now() >= self.withheld_until(entry):
            decision = await self._request_permit(entry)
            if decision.is_granted:
                return Permit(_now())
            until = _now() + max(decision.wait_s, MIN_WAIT_S)
            limits_per_s = self._limits_per_s(instance)
            self._withheld[instance] = _Withheld(until, limits_per_s)
        raise TargetWithheld("rate limit", self.withheld_until(entry))

    def verify(self, entry, permit):
        """Check immediately before a request is sent that it may be sent.

        The target may have stated a limit, or become cold, since :meth:`acquire`.

        :param entry: :class:`~cowslipcourse.ports.TargetEntry`
        :param permit: :class:`Permit` or ``None``.
        :raises TargetWithheld: the request needs a new permit.
        """
        now = _now()
        if permit is None:
            is_valid = self._exchange.limit_per_s(_instance(entry)) is None
        else:
            is_valid = now - permit.issued_at <= PERMIT_VALID_S
        if not is_valid:
            raise TargetWithheld("no valid permit", now)

    async def _request_permit(self, entry):
        """Ask the issuer of a target; return its ``PermitDecision``."""
        instance, data_centre = _instance(entry), entry.data_centre
        issuer = self._desk.issuer(instance, data_centre)
        if issuer is None:
            return PermitDecision(False, UNASSIGNED_WAIT_S)
        if issuer == self._peers.address:
            return self._desk.decide(instance, entry.service, data_centre, issuer)
        number = next(self._request_numbers)
        response = asyncio.get_running_loop().create_future()
        self._pending[number] = response
        stated = self._exchange.stated(instance, entry.service)
        request = PermitRequest(number, self._peers.address, data_centre, stated)
        self._peers.send(request, [issuer])
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                decision = await response
        except TimeoutError:
            return PermitDecision(False, self._next_timeout_wait_s(issuer))
        finally:
            del self._pending[number]
        self._timeout_waits.pop(issuer, None)
        return decision

    def _next_timeout_wait_s(self, issuer):
        wait_s = self._timeout_waits.get(issuer)
        if wait_s is None:
            wait_s = FIRST_TIMEOUT_WAIT_S
            log.info("issuer-silent", issuer=issuer)
        self._timeout_waits[issuer] = min(2 * wait_s, MAX_TIMEOUT_WAIT_S)
        return wait_s

    # Messages.

    def handle_message(self, message):
        """Handle a message of another daemon.

        :param message: :class:`~cowslipcourse.peer_protocol.LimitUpdate`,
            :class:`~cowslipcourse.peer_protocol.PermitRequest` or
            :class:`~cowslipcourse.peer_protocol.PermitResponse`
        """
        if isinstance(message, LimitUpdate):
            for stated in message.limits:
                self._exchange.apply(stated)
            return
        self._exchange.apply(message.limit)
        if isinstance(message, PermitRequest):
            self._answer(message)
        else:
            response = self._pending.get(message.number)
            if response is not None and not response.done():
                response.set_result(PermitDecision(message.is_granted, message.wait_s))

    def _answer(self, request):
        instance = TargetInstance(request.limit.target, request.limit.incarnation)
        service = request.limit.service
        is_unlimited = self._exchange.requested_limit_per_s(instance, service) is None
        if is_unlimited and self._limits.newest(instance) is None:
            # It states no limit and is not cold, so no permit is needed.
            return
        decision = self._desk.decide(
            instance, service, request.data_centre, request.address
        )
        response = PermitResponse(
            request.number,
            decision.is_granted,
            decision.wait_s,
            self._exchange.stated(instance, service),
        )
        self._peers.send(response, [request.address])

    def send_all_limits(self, address):
        """Send all known limits to a daemon that has just started.

        :param address: address of that daemon.
        """
        self._exchange.send_all(address)

    def retain(self, instances):
        """Forget the targets that are not listed.

        :param instances: collection of the listed
            :class:`~cowslipcourse.rate_limits.TargetInstance`.
        """
        self._exchange.retain(instances)
        self._cold_targets.retain(instances, _now())
        self._desk.retain(instances)
        self._withheld = {i: w for i, w in self._withheld.items() if i in instances}


def _instance(entry):
    return TargetInstance(entry.id, entry.incarnation)


def _now():
    return asyncio.get_running_loop().time()
