"""Headers of callers' requests and of targets' answers."""

from typing import NamedTuple

from cowslipcourse.exceptions import BadRequest
from cowslipcourse.exchange import ResponseHead

__all__ = [
    "CallerHeaders",
    "attempt_id",
    "attempt_id_header",
    "header_bytes",
    "is_not_executed",
    "not_executed_head",
    "parse_caller_headers",
    "response_headers",
    "retry_after_header",
    "target_headers",
]

MS = 1000.0

_ATTEMPT = b"x-attempt-id"
_COME_BACK = "Retry-After"
_BUDGET = b"x-time-budget-ms"
_EXPECTED_ID = b"x-expect-instance"
_KEY = b"authorization"
_KEY_SCHEME = b"bearer "
_LAST_EVENT = b"last-event-id"
_MODEL = b"x-model"
_NOT_EXECUTED = b"x-not-executed"
_URGENCY = b"x-request-priority"
_WORKSPACE = b"x-tenant"

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
# Set by the system alone, whatever a caller sends.
_OWN = frozenset((_KEY, _WORKSPACE, _EXPECTED_ID, _BUDGET, _URGENCY, b"content-length"))
MISDIRECTED_REQUEST = 421
"""Status of a target that is not the one that was meant; it has run nothing."""


class CallerHeaders(NamedTuple):
    """What the headers of a caller's request say.

    :param attempt_id: id of the caller's attempt; empty if there is none.
    :param time_budget_s: seconds that the caller will wait, or ``None``.
    :param key: the caller's key, or ``None``.
    :param model: model that is asked for, or empty.
    :param last_event_id: id of the last event that the caller has, or ``None``.
    """

    attempt_id: bytes = b""
    time_budget_s: float | None = None
    key: str | None = None
    model: str = ""
    last_event_id: int | None = None


def header_bytes(headers):
    """Return the length of a request's headers."""
    return sum(len(name) + len(value) + 4 for name, value in headers)


def parse_caller_headers(headers):
    """Return the :class:`CallerHeaders` in a request's headers.

    :param headers: ``(lower-case name, value)`` pairs.
    :raises BadRequest: a header cannot be read.
    """
    found = dict(headers)
    try:
        budget = found.get(_BUDGET)
        last_event_id = found.get(_LAST_EVENT)
        return CallerHeaders(
            attempt_id=found.get(_ATTEMPT, b""),
            time_budget_s=None if budget is None else float(budget) / MS,
            key=_key(found.get(_KEY)),
            model=found.get(_MODEL, b"").decode("latin-1"),
            last_event_id=int(last_event_id) if last_event_id else None,
        )
    except ValueError as error:
        raise BadRequest(f"a header cannot be read: {error}") from error


def attempt_id(headers):
    """Return the id of the caller's attempt, for logs, or an empty text."""
    return dict(headers).get(_ATTEMPT, b"").decode("latin-1")


def _key(value):
    if value is None or not value.lower().startswith(_KEY_SCHEME):
        return None
    return value[len(_KEY_SCHEME) :].strip().decode("latin-1")


def attempt_id_header(fields):
    """Return the header that the answer to a request bears too.

    :param fields: :class:`CallerHeaders`
    """
    return _ATTEMPT, fields.attempt_id


def target_headers(headers, entry, left_s, urgency, workspace, last_event_id=None):
    """Return the headers of the request to a target.

    :param headers: the caller's ``(lower-case name, value)`` pairs.
    :param entry: :class:`~cowslipcourse.ports.TargetEntry` that is meant.
    :param left_s: seconds left for the answer.
    :param urgency: from 0, the most urgent, to 9.
    :param workspace: name of the caller's workspace, or ``None``.
    :param last_event_id: id of the last event of a stream that is resumed; ``None`` to
        leave it as the caller sent it.
    """
    dropped = _HOP_BY_HOP | _OWN | _named_by_connection(headers)
    kept = [(name, value) for name, value in headers if name not in dropped]
    kept.append((_BUDGET, b"%d" % max(1, int(left_s * MS))))
    kept.append((_EXPECTED_ID, entry.id.encode()))
    kept.append((_URGENCY, b"%d" % urgency))
    if workspace is not None:
        kept.append((_WORKSPACE, workspace.encode()))
    if last_event_id is not None:
        kept = [(name, value) for name, value in kept if name != _LAST_EVENT]
        kept.append((_LAST_EVENT, b"%d" % last_event_id))
    return tuple(kept)


def _named_by_connection(headers):
    """Return the headers that concern only the caller's connection, by its word."""
    values = [value.lower() for name, value in headers if name == b"connection"]
    return {part.strip() for value in values for part in value.split(b",")}


def response_headers(headers):
    """Return the headers of a target's answer that go to the caller."""
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP]


def retry_after_header(seconds):
    """Return the header that tells a caller when to come back, as a dictionary.

    Callers here take fractions, and count them against what is left of their time.

    :param seconds: seconds, or ``None`` if coming back does not help.
    """
    return {} if seconds is None else {_COME_BACK: f"{seconds:.3f}"}


def not_executed_head(status):
    """Return the head of an answer which says that the request has not run."""
    return ResponseHead(status, ((_NOT_EXECUTED, b"1"),))


def is_not_executed(head):
    """Whether an answer proves that the request has not run and will not.

    :param head: :class:`~cowslipcourse.exchange.ResponseHead`
    """
    return head.status == MISDIRECTED_REQUEST or head.get(_NOT_EXECUTED) is not None
