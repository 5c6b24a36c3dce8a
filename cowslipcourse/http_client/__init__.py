"""HTTP/1.1 client for targets, with one exchange at a time per connection."""

from cowslipcourse.http_client.connection import ResponseHead, TargetConnection
from cowslipcourse.http_client.exchanges import HttpClient, HttpResponse
from cowslipcourse.http_client.pool import (
    ConnectionPool,
    PortCheck,
    PortState,
    check_port,
)
from cowslipcourse.http_client.request import TargetRequest, encode_request

__all__ = [
    "ConnectionPool",
    "HttpClient",
    "HttpResponse",
    "PortCheck",
    "PortState",
    "ResponseHead",
    "TargetConnection",
    "TargetRequest",
    "check_port",
    "encode_request",
]
