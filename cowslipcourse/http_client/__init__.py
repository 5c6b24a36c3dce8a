"""HTTP/1.1 client for targets, with one exchange at a time per connection."""

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
