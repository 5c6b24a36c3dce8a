"""The operators' configuration as the platform's store holds it."""

from typing import NamedTuple

import msgspec

from cowslipcourse.exceptions import ConfigurationError, MalformedAnswer, Problem
from cowslipcourse.platform.wire import Count, Name, Positive, Quantity, decode_as
from cowslipcourse.routes import (
    CallerLimits,
    EngineModel,
    EngineTimes,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
    Workspace,
)

__all__ = ["DecodedConfiguration", "decode_configuration"]

MS = 1000.0
MOST_CONNECTIONS = 100
"""Connections that a target takes from all callers if its service does not say."""


class DecodedConfiguration(NamedTuple):
    """A configuration without the parts that cannot be read.

    :param table: :class:`~cowslipcourse.routes.RouteTable`
    :param problems: :class:`~cowslipcourse.exceptions.Problem` for each part left out.
    """

    table: RouteTable
    problems: tuple[Problem, ...]


class _WireConfiguration(msgspec.Struct, frozen=True):
    version: Positive
    # Parts are decoded one by one, so that a bad one does not take the others with it.
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw = msgspec.Raw(b"null")
    tenants: tuple[msgspec.Raw, ...] | None = None


class _WireBackend(msgspec.Struct, frozen=True):
    service: Name
    weight: Quantity = 1.0


class _WireRoute(msgspec.Struct, frozen=True):
    name: Name
    host: Name
    prefix: Name
    kind: RequestKind
    timeoutMs: Quantity  # noqa: N815
    # Time within which an answer is on time.
    sloMs: Quantity | None = None  # noqa: N815
    priority: Count | None = None
    maxAttempts: Positive | None = None  # noqa: N815
    public: bool | None = None
    resumable: bool | None = None
    # Longest pause between events that is on time.
    gapTargetMs: Quantity | None = None  # noqa: N815
    # Either one service, or several with weights.
    service: Name | None = None
    backends: tuple[_WireBackend, ...] | None = None


class _WireModel(msgspec.Struct, frozen=True):
    name: Name
    size: Positive
    share: Quantity | None = None
    pace: Quantity | None = None
    loadS: Quantity | None = None  # noqa: N815
    # Time to load from the engine's own host.
    warmS: Quantity | None = None  # noqa: N815


class _WireEngine(msgspec.Struct, frozen=True):
    models: tuple[_WireModel, ...] | None = None
    # Of a whole group, not of one engine.
    slots: Count | None = None
    # Time from the open order until a group serves.
    formMs: Quantity | None = None  # noqa: N815
    loadsPerS: Quantity | None = None  # noqa: N815
    step_ms: Quantity | None = None
    per_seq_ms: Quantity | None = None
    # Token steps between two events of a stream.
    stride: Positive | None = None
    read_per_s: Quantity | None = None
    chunk: Positive | None = None


class _WireService(msgspec.Struct, frozen=True):
    name: Name
    maxConns: Positive | None = None  # noqa: N815
    engine: _WireEngine | None = None


class _WireWorkspace(msgspec.Struct, frozen=True):
    name: Name
    priority: Count | None = None
    apiKeys: tuple[str, ...] | None = None  # noqa: N815


class _WireLimits(msgspec.Struct, frozen=True):
    maxHeaderBytes: Positive | None = None  # noqa: N815
    maxBodyBytes: Positive | None = None  # noqa: N815
    headerTimeoutMs: Quantity | None = None  # noqa: N815
    idleTimeoutMs: Quantity | None = None  # noqa: N815


def decode_configuration(content):
    """Return the :class:`DecodedConfiguration` in the operators' row.

    :param content: JSON bytes.
    :raises ConfigurationError: nothing of it can be read.
    """
    try:
        whole = decode_as(_WireConfiguration, content, "configuration")
    except MalformedAnswer as error:
        raise ConfigurationError([Problem("configuration", str(error))]) from error
    problems = []
    routes = _parts(_WireRoute, whole.routes, "route", _route, problems)
    services = _parts(_WireService, whole.services, "service", _service, problems)
    tenants = whole.tenants or ()
    workspaces = _parts(_WireWorkspace, tenants, "tenant", _keys, problems)
    limits = _parts(_WireLimits | None, (whole.limits,), "limits", _limits, problems)
    table = RouteTable(
        version=whole.version,
        routes=routes,
        services=services,
        limits=limits[0] if limits else CallerLimits(),
        keys={key: workspace for keys in workspaces for key, workspace in keys},
    )
    return DecodedConfiguration(table, tuple(problems))


def _parts(kind, raw_parts, what, convert, problems):
    """Return what the readable parts say; add a problem for each other one."""
    found = []
    for number, raw in enumerate(raw_parts):
        where = f"{what} {number}"
        try:
            found.append(convert(decode_as(kind, raw, where)))
        except MalformedAnswer as error:
            problems.append(Problem(where, str(error)))
    return found


def _route(fields):
    services = [(each.service, each.weight) for each in fields.backends or ()]
    if not services and fields.service is None:
        raise MalformedAnswer("a route to no service")
    return Route(
        name=fields.name,
        host=fields.host,
        prefix=fields.prefix,
        kind=fields.kind,
        services=tuple(services) or ((fields.service, 1.0),),
        timeout_s=fields.timeoutMs / MS,
        objective_s=(fields.sloMs or fields.timeoutMs) / MS,
        priority=fields.priority or 0,
        max_attempts=fields.maxAttempts or 1,
        is_public=bool(fields.public),
        is_resumable=bool(fields.resumable),
        pause_limit_s=(fields.gapTargetMs or 0) / MS,
    )


def _service(fields):
    engine = fields.engine or _WireEngine()
    return ServiceSpec(
        name=fields.name,
        max_connections=fields.maxConns or MOST_CONNECTIONS,
        models=tuple(_model(model) for model in engine.models or ()),
        slots=engine.slots or 0,
        open_s=(engine.formMs or 0) / MS,
        loads_per_s=engine.loadsPerS or 1.0,
        times=_times(engine),
    )


def _model(fields):
    return EngineModel(
        name=fields.name,
        size=fields.size,
        share=fields.share or 0.0,
        pace=fields.pace or 1.0,
        load_s=fields.loadS or 0.0,
        warm_s=fields.warmS or 0.0,
    )


def _times(engine):
    default = EngineTimes()
    return EngineTimes(
        step_s=(engine.step_ms or default.step_s * MS) / MS,
        step_per_request_s=(engine.per_seq_ms or 0.0) / MS,
        steps_per_event=engine.stride or 1,
        prefill_tokens_per_s=engine.read_per_s or default.prefill_tokens_per_s,
        chunk_tokens=engine.chunk or default.chunk_tokens,
    )


def _keys(fields):
    """Return ``(key, workspace)`` pairs."""
    workspace = Workspace(fields.name, fields.priority)
    return [(key, workspace) for key in fields.apiKeys or ()]


def _limits(fields):
    fields = fields or _WireLimits()
    default = CallerLimits()
    return CallerLimits(
        header_bytes=fields.maxHeaderBytes or default.header_bytes,
        body_bytes=fields.maxBodyBytes or default.body_bytes,
        header_s=(fields.headerTimeoutMs or default.header_s * MS) / MS,
        idle_s=(fields.idleTimeoutMs or default.idle_s * MS) / MS,
    )
