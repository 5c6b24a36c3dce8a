"""HTTP/1.1 exchanges with targets, one at a time on each connection."""

from cowslipcourse.exchange.connection import ResponseHead, TargetConnection
from cowslipcourse.exchange.pool import ConnectionPool
from cowslipcourse.exchange.request import TargetRequest, encode_request

__all__ = [
    "ConnectionPool",
    "ResponseHead",
    "TargetConnection",
    "TargetRequest",
    "encode_request",
]
