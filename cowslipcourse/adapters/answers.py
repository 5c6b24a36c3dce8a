"""Whole HTTP answers as ASGI applications.

The framework's own classes do the same, but importing them takes a tenth of a daemon's
start, and the daemons before the users' platform need nothing else of the framework.
"""

from urllib.parse import parse_qsl

import msgspec

__all__ = ["BufferedResponse", "json_response", "problem_response", "single_path_app"]

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405


class BufferedResponse:
    """An answer in one piece.

    :param body: bytes.
    :param status: HTTP status.
    :param headers: additional headers by name.
    :param media_type: value of ``Content-Type``; empty for none.
    """

    def __init__(self, body=b"", status=200, headers=None, media_type=""):
        self.status = status
        self._body = body
        fields = {**(headers or {}), "content-length": str(len(body))}
        if media_type:
            fields["content-type"] = media_type
        self._headers = [(k.lower().encode(), v.encode()) for k, v in fields.items()]

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
    """Return a JSON answer.

    :param value: anything that msgspec encodes.
    """
    return BufferedResponse(
        msgspec.json.encode(value), status, headers, "application/json"
    )


def problem_response(error, headers=None):
    """Return a problem+json answer for a failed request.

    :param error: :class:`~cowslipcourse.exceptions.RequestError`
    :param headers: additional headers; ``Retry-After`` goes before whole seconds.
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
        whole_s = max(1, round(error.retry_after_s + 0.49))
        headers.setdefault("Retry-After", str(whole_s))
    body = msgspec.json.encode(content)
    return BufferedResponse(body, error.status, headers, "application/problem+json")


def single_path_app(path, respond):
    """Return an application that answers GET on one path.

    :param path: the path.
    :param respond: callable that takes the query's last values by name and returns a
        :class:`BufferedResponse`.
    """

    async def app(scope, receive, send):
        if scope["type"] != "http":
            return
        if scope["path"] != path:
            answer = BufferedResponse(status=NOT_FOUND)
        elif scope["method"] not in ("GET", "HEAD"):
            answer = BufferedResponse(status=METHOD_NOT_ALLOWED)
        else:
            answer = respond(dict(parse_qsl(scope["query_string"].decode("latin-1"))))
        await answer(scope, receive, send)

    return app
