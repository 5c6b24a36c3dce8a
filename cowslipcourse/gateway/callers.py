"""Validation of callers' headers, and size-limited reading of their bodies."""

import hashlib
import secrets
from typing import NamedTuple

from cowslipcourse.admission import Priority
from cowslipcourse.daemon import now
from cowslipcourse.exceptions import (
    BadRequest,
    BodyTooLarge,
    DeadlinePassed,
    NotAuthorised,
)
from cowslipcourse.requests.keys import check_key

__all__ = ["Call", "read_body", "read_call"]

DEADLINE_HEADER = "cowslip-deadline-s"
PRIORITY_HEADER = "cowslip-priority"
REPEATABLE_HEADER = "cowslip-repeatable"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
GENERATED_REQUEST_ID_BYTES = 9
MAX_DEADLINE_S = 3600.0
MAX_REQUEST_ID_CHARS = 100
DISCARD_LIMIT_FACTOR = 4


class Call(NamedTuple):
    """Validated headers of one request.

    :param request_id: id that the caller sent, or a generated one.
    :param workspace: workspace that the API key belongs to.
    :param priority: :class:`~cowslipcourse.admission.Priority`
    :param deadline: loop time, or ``None``.
    :param idempotency_key: idempotency key; empty if there is none.
    :param repeatable: whether the caller declares the request repeatable; ``None`` if
        it does not say.
    """

    request_id: str
    workspace: str
    priority: Priority
    deadline: float | None
    idempotency_key: str
    repeatable: bool | None

    def remaining_s(self):
        """Return the seconds left to the deadline, or ``None``.

        :raises DeadlinePassed: the deadline has passed.
        """
        if self.deadline is None:
            return None
        remaining_s = self.deadline - now()
        if remaining_s <= 0:
            raise DeadlinePassed("the deadline has passed")
        return remaining_s


def _parse_deadline(text):
    if text is None:
        return None
    try:
        deadline_s = float(text)
    except ValueError as error:
        raise BadRequest(f"{DEADLINE_HEADER} must be a number of seconds") from error
    if not deadline_s <= MAX_DEADLINE_S:
        raise BadRequest(f"{DEADLINE_HEADER} must be at most {MAX_DEADLINE_S}")
    if deadline_s <= 0:
        raise DeadlinePassed("the deadline has passed")
    return now() + deadline_s


def _parse_priority(text):
    if text is None:
        return Priority.NORMAL
    try:
        return Priority[text.upper()]
    except KeyError as error:
        raise BadRequest(f"{PRIORITY_HEADER} must be low, normal or high") from error


def _parse_repeatable(text):
    if text is None:
        return None
    if text not in ("yes", "no"):
        raise BadRequest(f"{REPEATABLE_HEADER} must be yes or no")
    return text == "yes"


def _parse_request_id(text):
    if text is None:
        return secrets.token_urlsafe(GENERATED_REQUEST_ID_BYTES)
    if len(text) > MAX_REQUEST_ID_CHARS or not text.isprintable() or '"' in text:
        raise BadRequest(f"{REQUEST_ID_HEADER} is too long or not printable")
    return text


def read_call(request, fleet_view):
    """Validate the headers of a request.

    :param request: starlette request.
    :param fleet_view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :returns: :class:`Call`
    :raises NotAuthorised: the API key belongs to no workspace.
    :raises BadRequest: a header is malformed or out of range.
    :raises DeadlinePassed: the deadline is not in the future.
    """
    headers = request.headers
    api_key = headers.get("authorization", "").removeprefix("Bearer ")
    workspace = fleet_view.workspace_for_key(
        hashlib.sha256(api_key.encode()).hexdigest()
    )
    if workspace is None:
        raise NotAuthorised("the API key belongs to no workspace")
    idempotency_key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if IDEMPOTENCY_KEY_HEADER in headers:
        check_key(idempotency_key)
    return Call(
        request_id=_parse_request_id(headers.get(REQUEST_ID_HEADER)),
        workspace=workspace,
        priority=_parse_priority(headers.get(PRIORITY_HEADER)),
        deadline=_parse_deadline(headers.get(DEADLINE_HEADER)),
        idempotency_key=idempotency_key,
        repeatable=_parse_repeatable(headers.get(REPEATABLE_HEADER)),
    )


async def read_body(request, max_bytes):
    """Return the body of a request.

    :param request: starlette request.
    :param max_bytes: maximum length of the body.
    :raises BodyTooLarge: the body exceeds the limit.
    """
    content_length = request.headers.get("content-length", "")
    if content_length.isdigit() and int(content_length) > max_bytes:
        await _discard(request, DISCARD_LIMIT_FACTOR * max_bytes)
        raise BodyTooLarge(f"the body exceeds {max_bytes} bytes")
    chunks, size_bytes = [], 0
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise BodyTooLarge(f"the body exceeds {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


async def _discard(request, max_bytes):
    """Read and discard the rest of a body, up to a limit.

    A caller whose connection is closed while it sends may not receive the response.
    """
    size_bytes = 0
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            return
