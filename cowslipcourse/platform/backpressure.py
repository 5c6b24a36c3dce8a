"""Headers in which engines state how much load they accept."""

import re

from cowslipcourse.exceptions import MalformedHeader

__all__ = ["decode_rate_limit", "encode_rate_limit"]

_RATE_LIMIT = b"server-limit"
# It is named after the engine, but it holds for the requests of all daemons together.
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def decode_rate_limit(head):
    """Return the requests per second that an engine accepts, or ``None`` for no limit.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :raises MalformedHeader: the value is not a positive decimal number, or it occurs
        more than once. The response states nothing about a limit then.
    """
    values = [value.strip() for name, value in head.headers if name == _RATE_LIMIT]
    if not values:
        return None
    if len(values) > 1:
        raise MalformedHeader(f"{len(values)} rate limits in one response")
    if not _DECIMAL.fullmatch(values[0]):
        raise MalformedHeader(f"rate limit {values[0][:40]!r} is not a decimal number")
    limit_per_s = float(values[0])
    if limit_per_s == 0:
        raise MalformedHeader("rate limit is zero")
    return limit_per_s


def encode_rate_limit(limit_per_s):
    """Return the headers with which an engine states a rate limit.

    :param limit_per_s: requests per second, or ``None`` for no limit.
    """
    if limit_per_s is None:
        return ()
    return ((_RATE_LIMIT, f"{limit_per_s:g}".encode()),)
