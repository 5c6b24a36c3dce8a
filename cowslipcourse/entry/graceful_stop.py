"""Decide which requests a daemon that stops still serves, and end the others in time.

Callers use open connections until the process ends, although the directory no longer
lists it. Only its deadline bounds the time of a request for certain, so a request is
accepted during a stop if its deadline passes before the process ends.

As long as callers may have cached addresses, a caller that is refused may go to another
daemon that stops. Until then requests that may be repeated elsewhere are also accepted
if they are likely to end in time.
"""

import asyncio
from collections import deque
from contextlib import asynccontextmanager, contextmanager
from typing import Protocol

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.entry.calls import Call
from cowslipcourse.exceptions import GatewayDraining, StoppedWhileRunning

__all__ = ["GracefulStop", "RequestDurations", "StoppableRequest"]

DURATIONS_PER_ROUTE = 100
"""Recent durations that are kept per route; 10 s of a busy route."""
DURATION_MARGIN = 1.5
"""Factor on the longest recorded duration: a stop moves load to fewer daemons."""
DRAINING_RETRY_AFTER_S = 0.0
"""Retry-After of a draining daemon: the others are not known to be overloaded."""

log = get_logger(__name__)


class RequestDurations:
    """Durations of the most recent requests of each route."""

    def __init__(self):
        self._by_route = {}

    def record(self, route, duration_s):
        """Record the duration of a request.

        :param route: :class:`~cowslipcourse.routes.Route`
        :param duration_s: seconds from the request to the end of its answer.
        """
        durations_s = self._by_route.setdefault(
            route.name, deque(maxlen=DURATIONS_PER_ROUTE)
        )
        durations_s.append(duration_s)

    def likely_s(self, route):
        """Return the seconds that a request is likely to take at most."""
        durations_s = self._by_route.get(route.name)
        return DURATION_MARGIN * max(durations_s) if durations_s else route.timeout_s


class StoppableRequest(Protocol):
    """A request that is waiting for a target or has been sent to one."""

    @property
    def call(self) -> Call:
        """The caller's request."""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run it."""

    def wake(self) -> None:
        """Let it look at :meth:`GracefulStop.ending_error`."""


class GracefulStop:
    """What the stop of a daemon allows; until it begins, everything."""

    def __init__(self):
        self.durations = RequestDurations()
        self._closes_at = None
        self._addresses_cached_until = 0.0
        self._has_ended = False
        self._requests = set()
        self._unsent_limits = set()

    @property
    def has_begun(self):
        """Whether the daemon is stopping."""
        return self._closes_at is not None

    def begin(self, closes_at, addresses_cached_until):
        """Begin the stop, and refuse requests that have not run and may end too late.

        :param closes_at: loop time at which the last requests are ended.
        :param addresses_cached_until: loop time until which callers may use addresses
            that they got before the stop.
        """
        self._closes_at = closes_at
        self._addresses_cached_until = addresses_cached_until
        for limit in self._unsent_limits:
            limit.reschedule(closes_at)
        self._wake_requests()

    def end_requests(self):
        """End all requests that are still in progress."""
        self._has_ended = True
        for request in self._requests:
            log.info("ended-by-stop", may_have_run=request.may_have_run)
        self._wake_requests()

    def _wake_requests(self):
        for request in self._requests:
            request.wake()

    def ending_error(self, request):
        """Return the error with which a request must end now, or ``None``.

        :param request: :class:`StoppableRequest`
        """
        if request.may_have_run:
            if self._has_ended:
                return StoppedWhileRunning(
                    "this daemon stopped before the answer ended"
                )
            return None
        if self._has_ended or not self._may_accept(request.call):
            return self.refusal()
        return None

    def _may_accept(self, call):
        """Whether a request that has not run may be sent to a target."""
        if self._closes_at is None or call.deadline <= self._closes_at:
            return True
        now = asyncio.get_running_loop().time()
        likely_end_at = now + self.durations.likely_s(call.route)
        return (
            call.route.is_retryable
            and now < self._addresses_cached_until
            and likely_end_at <= self._closes_at
        )

    def check_arrival(self, call):
        """Check that a request that has just arrived may be sent to a target.

        :param call: :class:`~cowslipcourse.entry.calls.Call`
        :raises GatewayDraining: it may not; it has not run.
        """
        if not self._may_accept(call):
            raise self.refusal()

    @staticmethod
    def refusal():
        """Return the error for a request that has not run."""
        return GatewayDraining("this daemon is shutting down", DRAINING_RETRY_AFTER_S)

    @contextmanager
    def tracking(self, request):
        """Let a stop end a request.

        :param request: :class:`StoppableRequest`
        """
        self._requests.add(request)
        try:
            yield
        finally:
            self._requests.discard(request)

    @asynccontextmanager
    async def before_sending(self):
        """Refuse a request if it has not been read or admitted when the stop ends.

        :raises GatewayDraining: the stop ends; the request has not run.
        """
        limit = asyncio.timeout_at(self._closes_at)
        try:
            async with limit:
                self._unsent_limits.add(limit)
                try:
                    yield
                finally:
                    self._unsent_limits.discard(limit)
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise self.refusal() from error
