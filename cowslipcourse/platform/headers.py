"""Headers of callers' requests and of targets' responses."""

import math
import re
from typing import NamedTuple

from cowslipcourse.exceptions import BadRequest
from cowslipcourse.http_client import ResponseHead
from cowslipcourse.load_balancing import RequestSize
from cowslipcourse.quarantine.verdicts import MAX_PARTS

__all__ = [
    "CallerHeaders",
    "attempt_id",
    "attempt_id_header",
    "is_not_executed",
    "not_executed_head",
    "parse_caller_headers",
    "relay_refusal",
    "relay_refusal_header",
    "relayed_headers",
    "response_headers",
    "retry_after_header",
    "target_headers",
    "total_header_bytes",
]

MS_PER_S = 1000.0

_ATTEMPT_ID = b"x-attempt-id"
_RETRY_AFTER = "Retry-After"
_TIME_BUDGET_MS = b"x-time-budget-ms"
_EXPECTED_INSTANCE = b"x-expect-instance"
_AUTHORIZATION = b"authorization"
_BEARER_SCHEME = b"bearer "
_LAST_EVENT_ID = b"last-event-id"
_MODEL = b"x-model"
_NOT_EXECUTED = b"x-not-executed"
_REQUEST_PRIORITY = b"x-request-priority"
_TENANT = b"x-tenant"
_TOKEN_USAGE = b"x-token-usage"
_PROMPT_PARTS = b"x-prompt-prefix"
"""Lists all parts of the prompt in order, the request's own part last."""
_RELAYED = b"x-cowslip-relayed"
"""On requests that one daemon has sent to another."""
_RELAY_REFUSAL = b"x-cowslip-relay-refused"
"""On responses to them: code of the error that another daemon may not have."""

_TOKEN_COUNTS = re.compile(rb"(\d{1,9}),(\d{1,9})")
_PROMPT_PART = re.compile(rb"([0-9A-Fa-f]{1,64}):\d{1,9}")

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Set by the system only; values that a caller sends are dropped.
_SYSTEM_HEADERS = frozenset(
    (
        _AUTHORIZATION,
        _TENANT,
        _EXPECTED_INSTANCE,
        _TIME_BUDGET_MS,
        _REQUEST_PRIORITY,
        _RELAYED,
        b"content-length",
    )
)
MISDIRECTED_REQUEST = 421
"""Status of a target that is not the addressed one; it has not run the request."""


class CallerHeaders(NamedTuple):
    """Values of the headers of a caller's request.

    :param attempt_id: id of the caller's attempt; empty if there is none.
    :param time_budget_s: seconds for which the caller waits, or ``None``.
    :param key: the caller's API key, or ``None``.
    :param model: requested model, or empty.
    :param last_event_id: id of the last event that the caller received, or ``None``.
    :param size: :class:`~cowslipcourse.load_balancing.RequestSize`
    :param prompt_parts: ids of the parts of the prompt that other requests may share,
        in order; without the last one, which belongs to this request.
    :param is_relayed: whether another daemon has sent the request.
    """

    attempt_id: bytes = b""
    time_budget_s: float | None = None
    key: str | None = None
    model: str = ""
    last_event_id: int | None = None
    size: RequestSize = RequestSize()
    prompt_parts: tuple[str, ...] = ()
    is_relayed: bool = False


def total_header_bytes(headers):
    """Return the size of a request's headers on the wire, in bytes."""
    return sum(len(name) + len(value) + 4 for name, value in headers)


def parse_caller_headers(headers):
    """Parse a request's headers into :class:`CallerHeaders`.

    :param headers: ``(lower-case name, value)`` pairs.
    :raises BadRequest: a header has an invalid value.
    """
    values_by_name = dict(headers)
    try:
        time_budget_ms = values_by_name.get(_TIME_BUDGET_MS)
        last_event_id = values_by_name.get(_LAST_EVENT_ID)
        return CallerHeaders(
            attempt_id=values_by_name.get(_ATTEMPT_ID, b""),
            time_budget_s=None
            if time_budget_ms is None
            else _finite(time_budget_ms) / MS_PER_S,
            key=_bearer_token(values_by_name.get(_AUTHORIZATION)),
            model=values_by_name.get(_MODEL, b"").decode("latin-1"),
            last_event_id=int(last_event_id) if last_event_id else None,
            size=_request_size(values_by_name.get(_TOKEN_USAGE, b"")),
            prompt_parts=_prompt_parts(values_by_name.get(_PROMPT_PARTS, b"")),
            is_relayed=_RELAYED in values_by_name,
        )
    except ValueError as error:
        raise BadRequest(f"invalid header value: {error}") from error


def _finite(value):
    """Return a number that can be compared with others.

    :raises ValueError: the value is no number, or it is not finite.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value[:40]!r} is not finite")
    return number


def _request_size(value):
    """Return the stated size; an invalid statement counts as none.

    The size only helps to choose a target, so it is no reason to refuse a request.
    """
    fields = _TOKEN_COUNTS.fullmatch(value.strip())
    return RequestSize(int(fields[1]), int(fields[2])) if fields else RequestSize()


def _prompt_parts(value):
    """Return the ids of the shared parts; an invalid list counts as none.

    The parts only help to recognise requests that crash targets, so a bad list is no
    reason to refuse a request.
    """
    parts = [_PROMPT_PART.fullmatch(part.strip()) for part in value.split(b",")]
    if not all(parts):
        return ()
    ids = [part[1].decode().lower() for part in parts]
    return tuple(dict.fromkeys(ids[:-1]))[:MAX_PARTS]


def attempt_id(headers):
    """Return the id of the caller's attempt for logs; empty if there is none."""
    return dict(headers).get(_ATTEMPT_ID, b"").decode("latin-1")


def _bearer_token(value):
    if value is None or not value.lower().startswith(_BEARER_SCHEME):
        return None
    return value[len(_BEARER_SCHEME) :].strip().decode("latin-1")


def attempt_id_header(fields):
    """Return the attempt id header, which the response must repeat.

    :param fields: :class:`CallerHeaders`
    """
    return _ATTEMPT_ID, fields.attempt_id


def target_headers(headers, entry, remaining_s, urgency, workspace, last_event_id=None):
    """Return the headers of the request to a target.

    :param headers: the caller's ``(lower-case name, value)`` pairs.
    :param entry: :class:`~cowslipcourse.ports.TargetEntry` of the target.
    :param remaining_s: seconds to the deadline of the response.
    :param urgency: from 0 (most urgent) to 9.
    :param workspace: name of the caller's workspace, or ``None``.
    :param last_event_id: id of the last event received of a resumed stream; ``None``
        keeps the caller's header.
    """
    forwarded = _forwarded_headers(headers, _SYSTEM_HEADERS, remaining_s, last_event_id)
    forwarded.append((_EXPECTED_INSTANCE, entry.id.encode()))
    forwarded.append((_REQUEST_PRIORITY, b"%d" % urgency))
    if workspace is not None:
        forwarded.append((_TENANT, workspace.encode()))
    return tuple(forwarded)


def relayed_headers(headers, remaining_s, last_event_id=None):
    """Return the headers of a request to another daemon, which checks the key itself.

    The parameters are those of :func:`target_headers`.
    """
    replaced = _SYSTEM_HEADERS - {_AUTHORIZATION}
    forwarded = _forwarded_headers(headers, replaced, remaining_s, last_event_id)
    forwarded.append((_RELAYED, b"1"))
    return tuple(forwarded)


def _forwarded_headers(headers, replaced, remaining_s, last_event_id):
    excluded = _HOP_BY_HOP | replaced | _connection_options(headers)
    if last_event_id is not None:
        excluded |= {_LAST_EVENT_ID}
    forwarded = [(name, value) for name, value in headers if name not in excluded]
    forwarded.append((_TIME_BUDGET_MS, b"%d" % max(1, int(remaining_s * MS_PER_S))))
    if last_event_id is not None:
        forwarded.append((_LAST_EVENT_ID, b"%d" % last_event_id))
    return forwarded


def relay_refusal_header(headers, code):
    """Return a dictionary with the header that another daemon may serve a request.

    :param headers: the request's headers; it is empty unless the request is relayed.
    :param code: code of the error of this daemon.
    """
    is_relayed = _RELAYED in dict(headers)
    return {_RELAY_REFUSAL.decode(): code} if is_relayed else {}


def relay_refusal(head):
    """Return the code of the error for which a daemon has not relayed a request.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    """
    return (head.get(_RELAY_REFUSAL) or b"").decode("latin-1")


def _connection_options(headers):
    """Return the header names that a ``Connection`` header declares hop-by-hop."""
    values = [value.lower() for name, value in headers if name == b"connection"]
    return {part.strip() for value in values for part in value.split(b",")}


def response_headers(headers):
    """Return the headers of a target's response that are forwarded to the caller."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP]


def retry_after_header(seconds):
    """Return a dictionary with the ``Retry-After`` header, or an empty one.

    The platform's callers accept fractions of a second and subtract the wait from
    their time budget.

    :param seconds: seconds to wait, or ``None`` if a retry does not help.
    """
    return {} if seconds is None else {_RETRY_AFTER: f"{seconds:.3f}"}


def not_executed_head(status):
    """Return the head of a response that declares the request not executed."""
    return ResponseHead(status, ((_NOT_EXECUTED, b"1"),))


def is_not_executed(head):
    """Return whether a response proves that the request has not run and will not.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    """
    return head.status == MISDIRECTED_REQUEST or head.get(_NOT_EXECUTED) is not None
