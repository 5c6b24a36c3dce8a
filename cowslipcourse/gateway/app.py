"""HTTP routes for callers."""

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.responses import json_response, problem_response
from cowslipcourse.exceptions import (
    CallerDisconnected,
    GatewayDraining,
    RequestError,
    RequestFailed,
)
from cowslipcourse.gateway.addresses import address_content
from cowslipcourse.gateway.callers import read_call

__all__ = ["CallerApi"]

log = get_logger(__name__)


class CallerApi:
    """HTTP API for callers.

    :param context: :class:`~cowslipcourse.gateway.context.GatewayContext`
    :param chat: :class:`~cowslipcourse.gateway.chat.ChatHandler`
    :param services: :class:`~cowslipcourse.gateway.services.ServiceHandler`
    :ivar is_draining: whether this gateway is stopping and no longer advertises itself.
    :ivar is_refusing: whether new requests are refused.
    """

    def __init__(self, context, chat, services):
        self._context = context
        self._chat = chat
        self._services = services
        self._in_flight = 0
        self.is_draining = False
        self.is_refusing = False

    @property
    def in_flight(self):
        """Number of requests whose response is not complete."""
        return self._in_flight

    def app(self):
        """Return the ASGI application."""
        chat_endpoint = self._with_error_handling(self._chat.respond)
        service_endpoint = self._with_error_handling(self._services.respond)
        service_path = "/v1/services/{service}/{operation}"
        routes = [
            Route("/v1/addresses", self._handle_addresses),
            Route("/v1/models", self._handle_models),
            Route("/v1/chat/completions", chat_endpoint, methods=["POST"]),
            Route(service_path, service_endpoint, methods=["POST"]),
            Route("/healthz", self._handle_health),
        ]
        return _InFlightCounter(Router(routes), self)

    def _with_error_handling(self, handler):
        async def handle_errors(scope, receive, send):
            request = Request(scope, receive)
            response = await self._handle(handler, request)
            await response(scope, receive, send)

        return _AsgiEndpoint(handle_errors)

    async def _handle(self, handler, request):
        """Return the response of a handler, or the problem response for its error."""
        metrics = self._context.metrics
        metrics.count("requests.received")
        try:
            if self.is_refusing:
                raise GatewayDraining("use another address", 0.0)
            call = read_call(request, self._context.fleet_view)
            self._context.agent.require_serving()
            return await handler(request, call)
        except ClientDisconnect:
            error = CallerDisconnected()
        except RequestError as exception:
            error = exception
        except Exception as exception:
            log.exception("request-crashed", path=request.url.path)
            error = RequestFailed(f"internal error of the gateway: {exception!r}")
        metrics.count(f"requests.refused.{error.code}")
        log.info("refused", code=error.code, detail=error.detail)
        return self._error_response(error, request)

    def _error_response(self, error, request):
        headers = {}
        request_id = request.headers.get("x-request-id", "")
        if request_id and request_id.isprintable() and request_id.isascii():
            headers["x-request-id"] = request_id[:100]
        return problem_response(error, headers)

    async def _handle_addresses(self, request):
        return json_response(address_content(self._context, self.is_draining))

    async def _handle_models(self, request):
        try:
            call = read_call(request, self._context.fleet_view)
        except RequestError as error:
            return self._error_response(error, request)
        names = self._context.fleet_view.resolved.models_for(call.workspace)
        models = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": models})

    async def _handle_health(self, request):
        serving = self._context.agent.may_serve() and not self.is_refusing
        return Response("serving" if serving else "stopped", 200 if serving else 503)


class _AsgiEndpoint:
    """An ASGI application as a route's endpoint.

    Starlette wraps plain functions, and every message that they send, in its own
    exception handling, which is not needed here: all exceptions are handled.
    """

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        await self._app(scope, receive, send)


class _InFlightCounter:
    """ASGI middleware that counts requests until their last byte is sent."""

    def __init__(self, app, api):
        self._app = app
        self._api = api

    async def __call__(self, scope, receive, send):
        self._api._in_flight += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._api._in_flight -= 1
