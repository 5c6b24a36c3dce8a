"""Headers in which engines state how much load they accept."""

import re
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from cowslipcourse.exceptions import MalformedHeader

__all__ = [
    "REFUSING_STATUSES",
    "decode_is_leaving",
    "decode_pause_s",
    "decode_rate_limit",
    "encode_leaving",
    "encode_pause",
    "encode_rate_limit",
]

REFUSING_STATUSES = (429, 503)
"""Statuses with which an engine refuses a request and may ask for a pause."""
_DATE = b"date"
_LEAVING = b"server-leaving"
_IS_LEAVING = b"1"
_RETRY_AFTER = b"retry-after"
_RATE_LIMIT = b"server-limit"
# It is named after the engine, but it holds for the requests of all daemons together.
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def decode_rate_limit(head):
    """Return the requests per second that an engine accepts, or ``None`` for no limit.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :raises MalformedHeader: the value is not a positive decimal number, or it occurs
        more than once. The response states nothing about a limit then.
    """
    value = _single_value(head, _RATE_LIMIT)
    if value is None:
        return None
    if not _DECIMAL.fullmatch(value):
        raise MalformedHeader(f"rate limit {value[:40]!r} is not a decimal number")
    limit_per_s = float(value)
    if limit_per_s == 0:
        raise MalformedHeader("rate limit is zero")
    return limit_per_s


def _single_value(head, name):
    """Return the value of a header that occurs at most once, or ``None``.

    :raises MalformedHeader: the header occurs more than once.
    """
    values = [value.strip() for key, value in head.headers if key == name]
    if len(values) > 1:
        raise MalformedHeader(f"{name.decode()} occurs {len(values)} times")
    return values[0] if values else None


def decode_pause_s(head):
    """Return the seconds for which an engine asks to get no requests, or ``None``.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :raises MalformedHeader: the value is neither a decimal number nor an HTTP date, or
        it occurs more than once. The response asks for no pause then.
    """
    if head.status not in REFUSING_STATUSES:
        return None
    value = _single_value(head, _RETRY_AFTER)
    if value is None:
        return None
    pause_s = float(value) if _DECIMAL.fullmatch(value) else _seconds_until(value, head)
    return pause_s if pause_s > 0 else None


def _seconds_until(value, head):
    """Return the seconds from the date of a response to an HTTP date."""
    until = _parse_date(value)
    response_date = head.get(_DATE)
    # The engine's own clock if known: clocks of machines differ.
    now = datetime.now(UTC) if response_date is None else _parse_date(response_date)
    return (until - now).total_seconds()


def _parse_date(value):
    try:
        date = parsedate_to_datetime(value.decode("ascii"))
    except ValueError as error:
        raise MalformedHeader(f"{value[:40]!r} is not a date: {error}") from error
    return date if date.tzinfo else date.replace(tzinfo=UTC)


def decode_is_leaving(head):
    """Return whether an engine states that it is about to stop.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :raises MalformedHeader: the header has another value or occurs more than once.
    """
    value = _single_value(head, _LEAVING)
    if value not in (None, _IS_LEAVING):
        raise MalformedHeader(f"{value[:40]!r} does not state whether it leaves")
    return value is not None


def encode_leaving(is_leaving):
    """Return the headers with which an engine states whether it is about to stop."""
    return ((_LEAVING, _IS_LEAVING),) if is_leaving else ()


def encode_pause(pause_s):
    """Return the headers with which an engine asks for a pause.

    :param pause_s: seconds, or ``None`` for no pause.
    """
    if pause_s is None:
        return ()
    return ((_RETRY_AFTER, f"{pause_s:g}".encode()),)


def encode_rate_limit(limit_per_s):
    """Return the headers with which an engine states a rate limit.

    :param limit_per_s: requests per second, or ``None`` for no limit.
    """
    if limit_per_s is None:
        return ()
    return ((_RATE_LIMIT, f"{limit_per_s:g}".encode()),)
