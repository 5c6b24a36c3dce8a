"""HTTP endpoints of the stand-in, documented in ``docs/wire-formats.md``."""

import asyncio

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from cowslipcourse.adapters.responses import json_response
from cowslipcourse.standin.engine import Refused
from cowslipcourse.standin.table import StoreDown

__all__ = ["make_app"]

FROZEN_SLEEP_S = 3600.0


class _ConnectionDropped(Exception):
    """Raised to close the connection without a response."""


class ConnectionDropMiddleware:
    """ASGI middleware that closes the connection on :class:`_ConnectionDropped`."""

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        try:
            await self._app(scope, receive, send)
        except _ConnectionDropped:
            # An incomplete body makes the server close the connection.
            headers = [(b"content-length", b"1000000")]
            start = {"type": "http.response.start", "status": 500, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"", "more_body": True})


async def _decode_json(request):
    return msgspec.json.decode(await request.body())


class PlatformEndpoints:
    """Endpoints of the platform: table, object store and VM list."""

    def __init__(self, world):
        self._world = world

    async def _admit(self, request, write=False):
        daemon = request.headers.get("x-daemon", "")
        try:
            await self._world.table.admit(daemon, write)
        except StoreDown as error:
            return json_response({"reason": str(error)}, 503)
        return None

    async def row(self, request):
        """Read a row."""
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        return json_response(self._world.table.read(request.query_params["key"]))

    async def scan(self, request):
        """Read the rows whose key starts with a prefix."""
        refusal = await self._admit(request)
        if refusal is not None:
            return refusal
        return json_response(self._world.table.scan(request.query_params["prefix"]))

    async def commit(self, request):
        """Apply a transaction."""
        content = await _decode_json(request)
        refusal = await self._admit(request, write=True)
        if refusal is not None:
            return refusal
        table = self._world.table
        version, conflicts = table.commit(content["conditions"], content["writes"])
        if table.consume_reply_loss():
            raise _ConnectionDropped
        if conflicts:
            return json_response({"conflicts": conflicts}, 409)
        return json_response({"version": version})

    async def objects(self, request):
        """Read or write an object."""
        if self._world.object_faults["down"]:
            return json_response({"reason": "down"}, 503)
        name = request.path_params["name"]
        if request.method == "PUT":
            self._world.objects[name] = await request.body()
            return json_response({})
        content = self._world.objects.get(name)
        return Response(content or b"", 404 if content is None else 200)

    async def vms(self, request):
        """List the VMs."""
        if self._world.list_faults["down"]:
            return json_response({"reason": "down"}, 503)
        return json_response(self._world.listed())


class TargetEndpoints:
    """Endpoints of engines and plain services."""

    def __init__(self, world):
        self._world = world

    async def _target(self, request):
        target = self._world.find(request.path_params["vm"])
        if target is None or target.faults["dead"]:
            raise _ConnectionDropped
        if target.faults["frozen"]:
            await asyncio.sleep(FROZEN_SLEEP_S)
        return target

    async def status(self, request):
        """Return the status that the target reports."""
        return json_response((await self._target(request)).status())

    async def orders(self, request):
        """Submit an order to an engine."""
        target = await self._target(request)
        content = await _decode_json(request)
        delay_s = target.faults.get("order_delay_s", 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        try:
            target.order(content)
        except Refused as error:
            return json_response({"reason": str(error)}, 409)
        return json_response({})

    async def generate(self, request):
        """Stream an answer."""
        body = await request.body()
        target = await self._target(request)
        try:
            sequence = target.generate(request.headers, body)
        except Refused as error:
            return json_response({"reason": str(error)}, 409)
        if target.consume_early_break():
            raise _ConnectionDropped
        headers = {
            "x-attempt": sequence.attempt,
            "x-group": target.assignment["group"],
            "x-epoch": str(target.assignment["epoch"]),
        }
        return StreamingResponse(
            _event_stream(target, sequence), 200, headers, "text/event-stream"
        )

    async def cancel(self, request):
        """Cancel an answer."""
        target = await self._target(request)
        target.cancel(request.query_params["attempt"])
        return json_response({})

    async def call(self, request):
        """Run an operation of a plain service."""
        body = await request.body()
        target = await self._target(request)
        attempt = request.headers.get("x-attempt", "")
        if _consume_fault(target.faults, "drop_unread"):
            raise _ConnectionDropped
        try:
            result = await target.call(request.path_params["operation"], attempt, body)
        except Refused as error:
            headers = {"x-not-started": "1", "x-attempt": attempt}
            return json_response({"reason": str(error)}, 409, headers)
        if _consume_fault(target.faults, "drop_before_answer"):
            raise _ConnectionDropped
        if _consume_fault(target.faults, "wrong_attempt"):
            attempt = "another-attempt"
        return json_response(result, 200, {"x-attempt": attempt})


def _consume_fault(faults, name):
    if not faults.get(name):
        return False
    faults[name] -= 1
    return True


async def _event_stream(target, sequence):
    try:
        while True:
            event = await sequence.events.get()
            if event is None or target.faults["dead"]:
                raise _ConnectionDropped
            while not sequence.events.empty():
                following = sequence.events.get_nowait()
                if following is None:
                    yield event
                    raise _ConnectionDropped
                event += following
            yield event
            if b"data: [DONE]" in event:
                return
    finally:
        target.cancel(sequence.attempt)


class ControlEndpoints:
    """Fault knobs and histories, for tests and operators."""

    def __init__(self, world):
        self._world = world

    async def faults(self, request):
        """Return or set fault knobs: ``{"scope": name, "set": {knob: value}}``."""
        if request.method == "GET":
            faults = self._world.faults_of(request.query_params["scope"])
            return json_response(faults)
        content = await _decode_json(request)
        try:
            faults = self._world.faults_of(content["scope"])
        except (KeyError, AttributeError):
            return json_response({"reason": "unknown scope"}, 404)
        faults.update(content["set"])
        if content["set"].get("dead") and hasattr(
            self._world.find(content["scope"]), "break_streams"
        ):
            self._world.find(content["scope"]).break_streams()
        return json_response(faults)

    async def vm(self, request):
        """Change a VM: ``leave``, ``stay``, ``restart`` or ``remove``."""
        content = await _decode_json(request)
        try:
            self._world.change_vm(content["vm"], content["action"])
        except KeyError as error:
            return json_response({"reason": f"unknown: {error}"}, 404)
        return json_response({})

    async def history(self, request):
        """Return the histories of all targets by VM, and counts of the stores."""
        names = [*self._world.targets, *self._world.removed]
        return json_response(
            {
                "vms": {name: self._world.find(name).history for name in names},
                "table": self._world.table.counts,
                "loads_at_once": self._world.weights.max_concurrent_loads,
            }
        )

    async def engines(self, request):
        """Return the current state and the faults of each target."""
        target_states = {}
        for name, target in self._world.targets.items():
            target_states[name] = {**target.status(), "faults": target.faults}
        return json_response(target_states)


def make_app(world):
    """Return the ASGI application of a stand-in.

    :param world: :class:`~cowslipcourse.standin.environment.World`
    """
    platform, target, control = (
        PlatformEndpoints(world),
        TargetEndpoints(world),
        ControlEndpoints(world),
    )
    routes = [
        Route("/table/row", platform.row),
        Route("/table/scan", platform.scan),
        Route("/table/commit", platform.commit, methods=["POST"]),
        Route("/objects/{name:path}", platform.objects, methods=["GET", "PUT"]),
        Route("/vms", platform.vms),
        Route("/vm/{vm}/status", target.status),
        Route("/vm/{vm}/orders", target.orders, methods=["POST"]),
        Route("/vm/{vm}/generate", target.generate, methods=["POST"]),
        Route("/vm/{vm}/cancel", target.cancel, methods=["POST"]),
        Route("/vm/{vm}/call/{operation}", target.call, methods=["POST"]),
        Route("/control/faults", control.faults, methods=["GET", "POST"]),
        Route("/control/vm", control.vm, methods=["POST"]),
        Route("/control/history", control.history),
        Route("/control/engines", control.engines),
    ]
    return ConnectionDropMiddleware(Starlette(routes=routes))
