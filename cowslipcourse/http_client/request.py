"""Encoding of requests to targets."""

from typing import NamedTuple

from cowslipcourse.http_framing import MAX_BODY_BYTES

__all__ = ["TargetRequest", "encode_request"]


class TargetRequest(NamedTuple):
    """A request to a target.

    :param method: HTTP method.
    :param path: path and query as the caller sent them.
    :param headers: ``(name, value)`` pairs without framing headers.
    :param body: complete body.
    :param echoed_header: ``(name, value)`` of a header that the response must repeat,
        or ``None``.
    :param max_response_bytes: largest body of the response.
    """

    method: str
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    echoed_header: tuple[bytes, bytes] | None
    max_response_bytes: int = MAX_BODY_BYTES


def encode_request(request):
    """Encode a :class:`TargetRequest` as HTTP/1.1 bytes."""
    lines = [request.method.encode() + b" " + request.path + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in request.headers]
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body
