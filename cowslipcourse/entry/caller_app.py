"""ASGI application for callers, without a framework or middleware."""

import asyncio
import time

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.responses import problem_response
from cowslipcourse.admission.failure_attribution import SERVED
from cowslipcourse.entry.calls import Responder, read_call
from cowslipcourse.exceptions import (
    CallerDisconnected,
    ConfigurationUnreadable,
    GatewayDraining,
    NoConfiguration,
    NotAuthorised,
    OutcomeUnknown,
    RelayRefused,
    RequestError,
    UnknownRoute,
)
from cowslipcourse.platform.headers import (
    attempt_id,
    relay_refusal_header,
    retry_after_header,
)

__all__ = ["FrontApp"]

RELAY_REFUSALS = (
    RelayRefused,
    ConfigurationUnreadable,
    GatewayDraining,
    NoConfiguration,
    NotAuthorised,
    UnknownRoute,
)
"""Errors of this daemon that others may not have, as their state or configuration
differs."""

log = get_logger(__name__)


class _RequestResult:
    """Outcome of a request, counted by route and model."""

    def __init__(self):
        self.route = ""
        self.model = ""
        self.cause = SERVED


class FrontApp:
    """Serves callers.

    :param context: :class:`~cowslipcourse.entry.context.DaemonContext`
    :param forwarder: :class:`~cowslipcourse.entry.forwarder.Forwarder`
    :param metrics: :class:`~cowslipcourse.entry.prometheus_metrics.EntryMetrics`
    """

    def __init__(self, context, forwarder, metrics):
        self._context = context
        self._forwarder = forwarder
        self._metrics = metrics
        self.in_flight = 0

    @property
    def is_draining(self):
        """Whether connections are closed after responses, as the daemon stops."""
        return self._context.stop.has_begun

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        started_at = time.monotonic()
        responder = Responder(send, lambda: self.is_draining)
        outcome, result = "ok", _RequestResult()
        try:
            await self._serve(scope, receive, responder, result)
        except CallerDisconnected as error:
            outcome, result.cause = error.code, error.cause
        except RequestError as error:
            outcome, result.cause = error.code, error.cause
            await self._send_error(error, scope, receive, send, responder, result)
        except Exception as error:
            outcome = "crashed"
            log.exception("request-crashed", path=scope["path"])
            if responder.started:
                raise
            unknown = OutcomeUnknown("the daemon failed", cause=type(error).__name__)
            result.cause = unknown.cause
            await self._send_error(unknown, scope, receive, send, responder, result)
        finally:
            self.in_flight -= 1
            self._metrics.observe_request(outcome, time.monotonic() - started_at)
            self._metrics.count_cause(result.route, result.model, result.cause)

    async def _serve(self, scope, receive, responder, result):
        stop = self._context.stop
        async with stop.before_sending():
            call = await read_call(scope, receive, self._context.table)
        result.route, result.model = call.route.name, call.caller_headers.model
        stop.check_arrival(call)
        forwarding = asyncio.create_task(self._forwarder.forward(call, responder))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (forwarding, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
            if not forwarding.done():
                log.info(
                    "caller-left",
                    request=call.id,
                    route=result.route,
                    model=result.model,
                    seconds=round(_now() - call.arrived_at, 3),
                )
                raise CallerDisconnected("the caller closed the connection")
            forwarding.result()
            stop.durations.record(call.route, _now() - call.arrived_at)
        finally:
            disconnect.cancel()
            forwarding.cancel()
            await asyncio.gather(forwarding, disconnect, return_exceptions=True)

    async def _send_error(self, error, scope, receive, send, responder, result):
        log.info(
            "request-failed",
            request=attempt_id(scope["headers"]),
            route=result.route,
            model=result.model,
            error=error.code,
            cause=error.cause,
            status=error.status,
            outcome=error.outcome,
            retry_after_s=error.retry_after_s,
            detail=error,
            started=responder.started,
        )
        if responder.started:
            # Without the last chunk the caller sees that the response is incomplete.
            raise error
        headers = retry_after_header(error.retry_after_s)
        if isinstance(error, RELAY_REFUSALS):
            headers |= relay_refusal_header(scope["headers"], error.code)
        if self.is_draining:
            headers["Connection"] = "close"
        await problem_response(error, headers)(scope, receive, send)


def _now():
    return asyncio.get_running_loop().time()


async def _wait_for_disconnect(receive):
    while (await receive())["type"] != "http.disconnect":
        continue
