"""Callers' HTTP routes."""

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cowslipcourse.adapters.answers import json_response, problem_response
from cowslipcourse.adapters.log import get_logger
from cowslipcourse.exceptions import (
    CallerDisconnected,
    GatewayDraining,
    RequestError,
    RequestFailed,
)
from cowslipcourse.gateway.addresses import address_answer
from cowslipcourse.gateway.callers import read_call

__all__ = ["CallerApi"]

log = get_logger(__name__)


class CallerApi:
    """Routes for callers.

    :param context: :class:`~cowslipcourse.gateway.tools.GatewayContext`
    :param chat: :class:`~cowslipcourse.gateway.chat.ChatHandler`
    :param services: :class:`~cowslipcourse.gateway.services.ServiceHandler`
    """

    def __init__(self, context, chat, services):
        self._context = context
        self._chat = chat
        self._services = services
        self._running = 0
        self.leaving = False
        self.refusing = False

    @property
    def running(self):
        """Requests that have not been answered to the end."""
        return self._running

    def app(self):
        """Return the ASGI application."""
        chat = self._guarded(self._chat.respond)
        service = self._guarded(self._services.respond)
        path = "/v1/services/{service}/{operation}"
        routes = [
            Route("/v1/addresses", self._addresses),
            Route("/v1/models", self._models),
            Route("/v1/chat/completions", chat, methods=["POST"]),
            Route(path, service, methods=["POST"]),
            Route("/healthz", self._health),
        ]
        return _Counted(Router(routes), self)

    def _guarded(self, handler):
        async def guarded(scope, receive, send):
            request = Request(scope, receive)
            response = await self._answer(handler, request)
            await response(scope, receive, send)

        return _Endpoint(guarded)

    async def _answer(self, handler, request):
        """Return the response of a handler, or the problem that it ended with."""
        metrics = self._context.metrics
        metrics.count("requests.received")
        try:
            if self.refusing:
                raise GatewayDraining("use another address", 0.0)
            call = read_call(request, self._context.fleet_view)
            self._context.agent.require_serving()
            return await handler(request, call)
        except ClientDisconnect:
            error = CallerDisconnected()
        except RequestError as failed:
            error = failed
        except Exception as failed:
            log.exception("request-crashed", path=request.url.path)
            error = RequestFailed(f"the gateway failed: {failed!r}")
        metrics.count(f"requests.refused.{error.code}")
        log.info("refused", code=error.code, detail=error.detail)
        return self._problem(error, request)

    def _problem(self, error, request):
        headers = {}
        request_id = request.headers.get("x-request-id", "")
        if request_id and request_id.isprintable() and request_id.isascii():
            headers["x-request-id"] = request_id[:100]
        return problem_response(error, headers)

    async def _addresses(self, request):
        return json_response(address_answer(self._context, self.leaving))

    async def _models(self, request):
        try:
            call = read_call(request, self._context.fleet_view)
        except RequestError as error:
            return self._problem(error, request)
        names = self._context.fleet_view.resolved.models_for(call.workspace)
        models = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": models})

    async def _health(self, request):
        serving = self._context.agent.may_serve() and not self.refusing
        return Response("serving" if serving else "stopped", 200 if serving else 503)


class _Endpoint:
    """An ASGI application as a route's endpoint.

    Starlette wraps plain functions, and every piece that they send, in its own
    handling of exceptions; here all of them are handled already.
    """

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        await self._app(scope, receive, send)


class _Counted:
    """ASGI layer that counts requests until their last byte is sent."""

    def __init__(self, app, api):
        self._app = app
        self._api = api

    async def __call__(self, scope, receive, send):
        self._api._running += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._api._running -= 1
