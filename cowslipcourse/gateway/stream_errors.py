"""Error events in streamed responses."""

import msgspec

__all__ = ["problem_event"]


def problem_event(error):
    """Return the event that ends an incomplete stream, in place of the end marker.

    :param error: :class:`~cowslipcourse.exceptions.RequestError`
    """
    content = {
        "error": {
            "code": error.code,
            "message": error.detail,
            "outcome": error.outcome,
            "retry_after_s": error.retry_after_s,
        }
    }
    return b"event: error\ndata: " + msgspec.json.encode(content) + b"\n\n"
