"""Decodes the operators' configuration from the platform's store."""

from typing import NamedTuple

import msgspec

from cowslipcourse.exceptions import ConfigurationError, MalformedResponse, Problem
from cowslipcourse.platform.json_decoding import (
    Count,
    Name,
    Path,
    Positive,
    Quantity,
    decode_as,
)
from cowslipcourse.routes import (
    OPEN_ACCESS,
    CallerLimits,
    EngineModel,
    EngineTimes,
    KeyedAccess,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
    Workspace,
)

__all__ = ["DecodedConfiguration", "decode_configuration"]

MS_PER_S = 1000.0
DEFAULT_MAX_CONNECTIONS = 100
"""Connection limit of a target, over all callers, if its service sets none."""


_NOT_SENT = msgspec.Raw()


class DecodedConfiguration(NamedTuple):
    """The valid parts of a configuration and the problems with the others.

    :param table: :class:`~cowslipcourse.routes.RouteTable`
    :param problems: :class:`~cowslipcourse.exceptions.Problem` for each part that was
        left out.
    """

    table: RouteTable
    problems: tuple[Problem, ...]


class _WireConfiguration(msgspec.Struct, frozen=True):
    version: Positive
    # Parts are decoded one by one: an invalid one must not invalidate the others.
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw = msgspec.Raw(b"null")
    # Not sent by a configuration whose callers need no key.
    tenants: msgspec.Raw = _NOT_SENT


class _WireBackend(msgspec.Struct, frozen=True):
    service: Name
    weight: Quantity = 1.0


class _WireRoute(msgspec.Struct, frozen=True):
    name: Name
    host: Name
    prefix: Name
    kind: RequestKind
    timeoutMs: Quantity  # noqa: N815
    # Latency objective of a response.
    sloMs: Quantity | None = None  # noqa: N815
    priority: Count | None = None
    maxAttempts: Positive | None = None  # noqa: N815
    public: bool | None = None
    resumable: bool | None = None
    # Longest pause between two events that is within the objective.
    gapTargetMs: Quantity | None = None  # noqa: N815
    # Either one service or several weighted back ends.
    service: Name | None = None
    backends: tuple[_WireBackend, ...] | None = None


class _WirePlace(msgspec.Struct, frozen=True):
    """The part of a route that says which requests it is for."""

    host: Name
    prefix: Name


class _WireModel(msgspec.Struct, frozen=True):
    name: Name
    size: Positive
    share: Quantity | None = None
    pace: Quantity | None = None
    loadS: Quantity | None = None  # noqa: N815
    # Load time when the weights are already on the engine's host.
    warmS: Quantity | None = None  # noqa: N815


class _WireUsualTokens(msgspec.Struct, frozen=True):
    prompt: Quantity | None = None
    answer: Quantity | None = None


class _WireEngine(msgspec.Struct, frozen=True):
    models: tuple[_WireModel, ...] | None = None
    # Per group, not per engine.
    slots: Count | None = None
    # Time from the open order until the group serves.
    formMs: Quantity | None = None  # noqa: N815
    loadsPerS: Quantity | None = None  # noqa: N815
    step_ms: Quantity | None = None
    per_seq_ms: Quantity | None = None
    # Decoding steps (tokens) per event of a stream.
    stride: Positive | None = None
    read_per_s: Quantity | None = None
    chunk: Positive | None = None
    # Tokens that a group's memory holds.
    kvCapacity: Positive | None = None  # noqa: N815
    # Mean token counts of a request.
    usual: _WireUsualTokens | None = None


class _WireService(msgspec.Struct, frozen=True):
    name: Name
    healthPath: Path | None = None  # noqa: N815
    maxConns: Positive | None = None  # noqa: N815
    engine: _WireEngine | None = None
    # Time after a start during which a target is cold, and the requests per second that
    # it tolerates meanwhile.
    coldS: Quantity | None = None  # noqa: N815
    coldPerS: Quantity | None = None  # noqa: N815


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
    """Decode the operators' configuration row.

    :param content: JSON bytes.
    :returns: :class:`DecodedConfiguration`
    :raises ConfigurationError: the row as a whole cannot be decoded.
    """
    try:
        decoded = decode_as(_WireConfiguration, content, "configuration")
    except MalformedResponse as error:
        raise ConfigurationError([Problem("configuration", str(error))]) from error
    problems = []
    routes = _decode_parts(_WireRoute, decoded.routes, "route", _to_route, problems)
    services = _decode_parts(
        _WireService, decoded.services, "service", _to_service, problems
    )
    limits = _decode_parts(
        _WireLimits | None, (decoded.limits,), "limits", _to_caller_limits, problems
    )
    table = RouteTable(
        version=decoded.version,
        routes=[route for route in routes if route is not None],
        services=[service for service in services if service is not None],
        limits=limits[0] or CallerLimits(),
        access=_decode_access(decoded.tenants, problems),
        unreadable_places=_unreadable_places(decoded.routes, routes),
        has_unreadable_services=None in services,
    )
    return DecodedConfiguration(table, tuple(problems))


def _decode_parts(type_, encoded_parts, part_name, convert, problems):
    """Convert the parts; return ``None`` for each invalid one and append a problem."""
    converted = []
    for number, encoded in enumerate(encoded_parts):
        location = f"{part_name} {number}"
        try:
            converted.append(convert(decode_as(type_, encoded, location)))
        except MalformedResponse as error:
            problems.append(Problem(location, str(error)))
            converted.append(None)
    return converted


def _decode_access(encoded, problems):
    """Return the :class:`~cowslipcourse.routes.Access` of a configuration."""
    if not bytes(encoded):
        return OPEN_ACCESS
    try:
        tenants = decode_as(tuple[msgspec.Raw, ...], encoded, "tenants")
    except MalformedResponse as error:
        problems.append(Problem("tenants", str(error)))
        return KeyedAccess({}, is_complete=False)
    key_pairs = _decode_parts(
        _WireWorkspace, tenants, "tenant", _to_key_pairs, problems
    )
    workspaces = {
        key: workspace for pairs in key_pairs for key, workspace in pairs or ()
    }
    return KeyedAccess(workspaces, is_complete=None not in key_pairs)


def _unreadable_places(encoded_routes, routes):
    """Return ``(host, prefix)`` of the invalid routes for which they can be decoded."""
    places = []
    for number, (encoded, route) in enumerate(zip(encoded_routes, routes, strict=True)):
        if route is not None:
            continue
        try:
            place = decode_as(_WirePlace, encoded, f"route {number}")
        except MalformedResponse:
            # The route has been reported as a problem already.
            continue
        places.append((place.host, place.prefix))
    return places


def _to_route(fields):
    services = [(each.service, each.weight) for each in fields.backends or ()]
    if not services and fields.service is None:
        raise MalformedResponse("route without service")
    if services and not any(weight for _, weight in services):
        raise MalformedResponse("route whose services have no weight")
    return Route(
        name=fields.name,
        host=fields.host,
        prefix=fields.prefix,
        kind=fields.kind,
        services=tuple(services) or ((fields.service, 1.0),),
        timeout_s=fields.timeoutMs / MS_PER_S,
        objective_s=(fields.sloMs or fields.timeoutMs) / MS_PER_S,
        priority=fields.priority or 0,
        max_attempts=fields.maxAttempts or 1,
        is_public=bool(fields.public),
        is_resumable=bool(fields.resumable),
        pause_limit_s=(fields.gapTargetMs or 0) / MS_PER_S,
    )


def _to_service(fields):
    engine = fields.engine or _WireEngine()
    usual = engine.usual or _WireUsualTokens()
    return ServiceSpec(
        name=fields.name,
        max_connections=fields.maxConns or DEFAULT_MAX_CONNECTIONS,
        models=tuple(_to_model(model) for model in engine.models or ()),
        slots=engine.slots or 0,
        open_s=(engine.formMs or 0) / MS_PER_S,
        loads_per_s=engine.loadsPerS or 1.0,
        times=_to_engine_times(engine),
        health_path=fields.healthPath or "",
        memory_tokens=engine.kvCapacity or 0,
        usual_prompt_tokens=usual.prompt or 0.0,
        usual_answer_tokens=usual.answer or 0.0,
        cold_s=fields.coldS or 0.0,
        cold_requests_per_s=fields.coldPerS or 0.0,
    )


def _to_model(fields):
    return EngineModel(
        name=fields.name,
        size=fields.size,
        share=fields.share or 0.0,
        pace=fields.pace or 1.0,
        load_s=fields.loadS or 0.0,
        warm_s=fields.warmS or 0.0,
    )


def _to_engine_times(engine):
    default = EngineTimes()
    return EngineTimes(
        step_s=(engine.step_ms or default.step_s * MS_PER_S) / MS_PER_S,
        step_per_request_s=(engine.per_seq_ms or 0.0) / MS_PER_S,
        steps_per_event=engine.stride or 1,
        prefill_tokens_per_s=engine.read_per_s or default.prefill_tokens_per_s,
        chunk_tokens=engine.chunk or default.chunk_tokens,
    )


def _to_key_pairs(fields):
    """Return ``(key, workspace)`` pairs."""
    workspace = Workspace(fields.name, fields.priority)
    return [(key, workspace) for key in fields.apiKeys or () if key]


def _to_caller_limits(fields):
    fields = fields or _WireLimits()
    default = CallerLimits()
    return CallerLimits(
        header_bytes=fields.maxHeaderBytes or default.header_bytes,
        body_bytes=fields.maxBodyBytes or default.body_bytes,
        header_s=(fields.headerTimeoutMs or default.header_s * MS_PER_S) / MS_PER_S,
        idle_s=(fields.idleTimeoutMs or default.idle_s * MS_PER_S) / MS_PER_S,
    )
