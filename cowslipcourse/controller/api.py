"""HTTP API for operators."""

import hashlib
import hmac

import msgspec
from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.routing import Route

from cowslipcourse.adapters.log import get_logger
from cowslipcourse.adapters.responses import json_response
from cowslipcourse.config import Change, Edit, ObjectRef
from cowslipcourse.config.objects import KINDS
from cowslipcourse.controller.status import system_status
from cowslipcourse.exceptions import (
    BadRequest,
    ConfigurationError,
    ConfirmationRequired,
    CowslipError,
    EditConflict,
    EditError,
    NotAuthorised,
    Problem,
    ReplyLost,
    RequestError,
    StoreError,
)
from cowslipcourse.validation import describe_errors

__all__ = ["OperatorApi"]

MAX_EDIT_BYTES = 4 * 2**20
DEFAULT_ACCEPTANCE_WAIT_S = 20.0

log = get_logger(__name__)


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """One change of an edit in a request body."""

    kind: str
    name: str
    value: dict | None = None


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """Request body of an edit."""

    edit_id: str
    base_revision: int
    changes: list[ChangeBody]
    source: str = ""
    confirm: str = ""
    trial: bool = False
    wait_s: float = DEFAULT_ACCEPTANCE_WAIT_S


class OperatorApi:
    """Routes and handlers of the operators' API.

    :param context: :class:`~cowslipcourse.controller.context.ControllerContext`
    :param edits: :class:`~cowslipcourse.controller.edits.EditService`
    :param acceptor: :class:`~cowslipcourse.controller.acceptor.RevisionAcceptor`
    :param shard_manager: :class:`~cowslipcourse.controller.shards.ShardManager`
    """

    def __init__(self, context, edits, acceptor, shard_manager):
        self._context = context
        self._edits = edits
        self._acceptor = acceptor
        self._shard_manager = shard_manager

    def app(self):
        """Return the ASGI application."""
        routes = [
            Route(
                "/v1/edits", self._authenticated(self._handle_edit), methods=["POST"]
            ),
            Route("/v1/configuration", self._authenticated(self._handle_configuration)),
            Route("/v1/status", self._authenticated(self._handle_status)),
            Route("/v1/audit", self._authenticated(self._handle_audit)),
            Route("/v1/accepted", self._authenticated(self._handle_accepted)),
        ]
        return Starlette(routes=routes)

    def _authenticated(self, handler):
        async def authenticated(request):
            try:
                return await handler(request, self._authenticate(request))
            except CowslipError as error:
                return _error_response(error)

        return authenticated

    def _authenticate(self, request):
        """Return the name of the operator whose token the request bears.

        :raises NotAuthorised: no operator has the token.
        """
        header = request.headers.get("authorization", "")
        token = header.removeprefix("Bearer ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        try:
            token_lines = self._context.settings.operators.tokens_file.read_text()
        except OSError as error:
            raise NotAuthorised("the tokens file cannot be read") from error
        for line in token_lines.splitlines():
            name, _, known_digest = line.strip().partition(" ")
            if known_digest and hmac.compare_digest(known_digest.strip(), digest):
                return name
        raise NotAuthorised("unknown operator token")

    async def _handle_edit(self, request, operator):
        body = await _read_body(request)
        edit = Edit(
            edit_id=body.edit_id,
            operator=operator,
            source=f"{request.client.host} {body.source}".strip(),
            base_revision=body.base_revision,
            changes=_decode_changes(body.changes),
            confirm=body.confirm,
        )
        if body.trial:
            result = await self._edits.plan(edit)
            return json_response(_result_content(result))
        result = await self._edits.commit(edit)
        accepted = await self._acceptor.wait_accepted(result.revision, body.wait_s)
        members_behind = [] if accepted else self._acceptor.members_behind()
        return json_response(
            {**_result_content(result), "accepted": accepted, "missing": members_behind}
        )

    async def _handle_accepted(self, request, operator):
        number = _integer_parameter(request, "revision", 0)
        wait_s = min(float(_integer_parameter(request, "wait_s", 0)), 60.0)
        accepted = await self._acceptor.wait_accepted(number, wait_s)
        members_behind = [] if accepted else self._acceptor.members_behind()
        return json_response({"accepted": accepted, "missing": members_behind})

    async def _handle_configuration(self, request, operator):
        number = _integer_parameter(request, "revision", None)
        number, configuration = await self._edits.read_configuration(number)
        return json_response({"revision": number, "configuration": configuration})

    async def _handle_status(self, request, operator):
        return json_response(
            system_status(self._context, self._acceptor, self._shard_manager)
        )

    async def _handle_audit(self, request, operator):
        records = await self._edits.read_audit_records()
        wanted_operator = request.query_params.get("operator")
        wanted_object = request.query_params.get("object")
        since = _integer_parameter(request, "since", 0)
        limit = _integer_parameter(request, "limit", 100)
        matching = [
            record
            for record in records
            if wanted_operator in (None, record["operator"])
            and (wanted_object is None or wanted_object in record["changed"])
            and record["revision"] >= since
        ]
        return json_response(matching[:limit])


async def _read_body(request):
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_EDIT_BYTES:
            raise BadRequest(f"the edit is larger than {MAX_EDIT_BYTES} bytes")
    try:
        return msgspec.json.decode(body, type=EditBody)
    except msgspec.DecodeError as error:
        raise BadRequest(str(error)) from error


def _decode_changes(bodies):
    changes, problems = [], []
    for body in bodies:
        ref = ObjectRef(body.kind, body.name)
        schema = KINDS.get(body.kind)
        if schema is None:
            problems.append(Problem(str(ref), "unknown kind"))
            continue
        value = None
        if body.value is not None:
            try:
                value = schema.model_validate(body.value)
            except ValidationError as error:
                described = describe_errors(error, schema.model_fields)
                problems += [Problem(f"{ref} {key}", text) for key, text in described]
                continue
        changes.append(Change(ref, value))
    if problems:
        raise ConfigurationError(problems)
    return tuple(changes)


def _integer_parameter(request, name, default):
    text = request.query_params.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as error:
        raise BadRequest(f"{name} must be an integer") from error


def _result_content(result):
    plan = {
        **result.plan._asdict(),
        "digest": result.plan.digest,
        "destructive": result.plan.destructive,
    }
    return {"revision": result.revision, "plan": plan}


def _error_response(error):
    content = {"error": error.code, "detail": error.detail}
    status = 500
    if isinstance(error, RequestError):
        status = error.status
    elif isinstance(error, ConfigurationError):
        status = 422
        content["problems"] = [problem._asdict() for problem in error.problems]
    elif isinstance(error, ConfirmationRequired):
        status = 409
        content["plan"] = {**error.plan._asdict(), "digest": error.plan.digest}
    elif isinstance(error, EditConflict):
        status = 409
        content["other_edit"] = error.other_edit
        content["names"] = error.names
    elif isinstance(error, EditError):
        status = 409
    elif isinstance(error, StoreError):
        status = 503
        content["outcome"] = "unknown" if isinstance(error, ReplyLost) else "not_run"
    else:
        log.warning("operator-request-failed", code=error.code, detail=error.detail)
    return json_response(content, status)
