"""Header in which targets state their load."""

import re

from cowslipcourse.exceptions import MalformedHeader
from cowslipcourse.load_balancing.stated_loads import ServerLoad

__all__ = ["decode_server_load"]

_SERVER_LOAD = b"x-server-load"
_COUNTS = re.compile(rb"(\d{1,9}),(\d{1,9}),(\d{1,9})")


def decode_server_load(head):
    """Return the :class:`~cowslipcourse.load_balancing.stated_loads.ServerLoad` that a
    response states, or ``None``.

    :param head: :class:`~cowslipcourse.http_client.ResponseHead`
    :raises MalformedHeader: the value is not three counts, or it occurs more than once.
        The response states no load then.
    """
    values = [value.strip() for name, value in head.headers if name == _SERVER_LOAD]
    if not values:
        return None
    counts = _COUNTS.fullmatch(values[0])
    if len(values) > 1 or counts is None:
        raise MalformedHeader(f"load {b';'.join(values)[:40]!r} is not three counts")
    return ServerLoad(*map(int, counts.groups()))
