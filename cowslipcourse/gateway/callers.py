"""What callers send besides the body, checked."""

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
KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
REQUEST_ID_BYTES = 9
MAX_DEADLINE_S = 3600.0
MAX_REQUEST_ID_CHARS = 100
DISCARD_FACTOR = 4


class Call(NamedTuple):
    """One call of a caller.

    :param request_id: id, the caller's own or ours.
    :param workspace: workspace that the key belongs to.
    :param priority: :class:`~cowslipcourse.admission.Priority`
    :param deadline: loop time, or ``None``.
    :param key: idempotency key, or empty.
    :param repeatable: the caller's mark, or ``None`` if there is none.
    """

    request_id: str
    workspace: str
    priority: Priority
    deadline: float | None
    key: str
    repeatable: bool | None

    def remaining_s(self):
        """Return the seconds left to the deadline, or ``None``.

        :raises DeadlinePassed: there are none.
        """
        if self.deadline is None:
            return None
        left_s = self.deadline - now()
        if left_s <= 0:
            raise DeadlinePassed("the deadline has passed")
        return left_s


def _deadline(text):
    if text is None:
        return None
    try:
        deadline_s = float(text)
    except ValueError as error:
        raise BadRequest(f"{DEADLINE_HEADER} must be seconds") from error
    if not deadline_s <= MAX_DEADLINE_S:
        raise BadRequest(f"{DEADLINE_HEADER} must be at most {MAX_DEADLINE_S}")
    if deadline_s <= 0:
        raise DeadlinePassed("the deadline has passed")
    return now() + deadline_s


def _priority(text):
    if text is None:
        return Priority.NORMAL
    try:
        return Priority[text.upper()]
    except KeyError as error:
        raise BadRequest(f"{PRIORITY_HEADER} must be low, normal or high") from error


def _repeatable(text):
    if text is None:
        return None
    if text not in ("yes", "no"):
        raise BadRequest(f"{REPEATABLE_HEADER} must be yes or no")
    return text == "yes"


def _request_id(text):
    if text is None:
        return secrets.token_urlsafe(REQUEST_ID_BYTES)
    if len(text) > MAX_REQUEST_ID_CHARS or not text.isprintable() or '"' in text:
        raise BadRequest(f"{REQUEST_ID_HEADER} is too long or not printable")
    return text


def read_call(request, view):
    """Check a call's headers.

    :param request: starlette request.
    :param view: :class:`~cowslipcourse.gateway.fleet_view.FleetView`
    :returns: :class:`Call`
    :raises NotAuthorised: the key belongs to no workspace.
    :raises BadRequest: a header cannot be read.
    :raises DeadlinePassed: the deadline has passed already.
    """
    headers = request.headers
    key = headers.get("authorization", "").removeprefix("Bearer ")
    workspace = view.workspace_for_key(hashlib.sha256(key.encode()).hexdigest())
    if workspace is None:
        raise NotAuthorised("the key belongs to no workspace")
    idempotency_key = headers.get(KEY_HEADER, "")
    if KEY_HEADER in headers:
        check_key(idempotency_key)
    return Call(
        request_id=_request_id(headers.get(REQUEST_ID_HEADER)),
        workspace=workspace,
        priority=_priority(headers.get(PRIORITY_HEADER)),
        deadline=_deadline(headers.get(DEADLINE_HEADER)),
        key=idempotency_key,
        repeatable=_repeatable(headers.get(REPEATABLE_HEADER)),
    )


async def read_body(request, limit_bytes):
    """Read a body of bounded length.

    :raises BodyTooLarge: it is longer than the bound.
    """
    declared = request.headers.get("content-length", "")
    if declared.isdigit() and int(declared) > limit_bytes:
        await _discard(request, DISCARD_FACTOR * limit_bytes)
        raise BodyTooLarge(f"a body may have {limit_bytes} bytes")
    pieces, size = [], 0
    async for piece in request.stream():
        size += len(piece)
        if size > limit_bytes:
            raise BodyTooLarge(f"a body may have {limit_bytes} bytes")
        pieces.append(piece)
    return b"".join(pieces)


async def _discard(request, limit_bytes):
    """Read what is still being sent, within bounds.

    A caller whose connection is closed while it sends may never see the answer.
    """
    size = 0
    async for piece in request.stream():
        size += len(piece)
        if size > limit_bytes:
            return
