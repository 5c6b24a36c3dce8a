"""Buffered HTTP responses as ASGI applications.

Starlette has such classes, but importing it takes a tenth of a daemon's start-up time,
and the entry daemons need nothing else of it.
"""

from urllib.parse import parse_qsl

import msgspec

__all__ = ["BufferedResponse", "json_response", "problem_response", "single_path_app"]

HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405


class BufferedResponse:
    """A response that is sent in one piece.

    :param body: bytes of the body.
    :param status: HTTP status.
    :param headers: additional headers by name.
    :param media_type: value of ``Content-Type``; empty for none.
    """

    def __init__(self, body=b"", status=200, headers=None, media_type=""):
        self.status = status
        self._body = body
        headers_by_name = {**(headers or {}), "content-length": str(len(body))}
        if media_type:
            headers_by_name["content-type"] = media_type
        self._headers = [
            (k.lower().encode(), v.encode()) for k, v in headers_by_name.items()
        ]

    async def __call__(self, scope, receive, send):
        """See the ASGI specification."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status,
                "headers": self._headers,
            }
        )
        is_head = scope.get("method") == "HEAD"
        body = b"" if is_head else self._body
        await send({"type": "http.response.body", "body": body})


def json_response(value, status=200, headers=None):
    """Return a JSON response.

    :param value: any value that msgspec can encode.
    :param status: HTTP status.
    :param headers: additional headers by name.
    """
    return BufferedResponse(
        msgspec.json.encode(value), status, headers, "application/json"
    )


def problem_response(error, headers=None):
    """Return a problem+json response for a failed request.

    :param error: :class:`~cowslipcourse.exceptions.RequestError`
    :param headers: additional headers by name; a ``Retry-After`` among them is kept,
        otherwise it is set to ``error.retry_after_s`` in whole seconds, at least 1.
    """
    content = {
        "type": f"urn:cowslipcourse:{error.code}",
        "title": error.code.replace("-", " "),
        "status": error.status,
        "detail": error.detail,
        "outcome": error.outcome,
    }
    headers = dict(headers or {})
    if error.retry_after_s is not None:
        content["retry_after_s"] = round(error.retry_after_s, 3)
        retry_after_whole_s = max(1, round(error.retry_after_s + 0.49))
        headers.setdefault("Retry-After", str(retry_after_whole_s))
    body = msgspec.json.encode(content)
    return BufferedResponse(body, error.status, headers, "application/problem+json")


def single_path_app(path, create_response):
    """Return an ASGI application that serves GET requests of one path.

    :param path: path that is served; others get status 404.
    :param create_response: called with the query parameters by name, the last value
        of each; returns a :class:`BufferedResponse`.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        if scope["path"] != path:
            response = BufferedResponse(status=HTTP_NOT_FOUND)
        elif scope["method"] not in ("GET", "HEAD"):
            response = BufferedResponse(status=HTTP_METHOD_NOT_ALLOWED)
        else:
            response = create_response(
                dict(parse_qsl(scope["query_string"].decode("latin-1")))
            )
        await response(scope, receive, send)

    return app
