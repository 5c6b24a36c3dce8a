"""HTTP applications for service discovery and readiness checks."""

from cowslipcourse.adapters.responses import (
    BufferedResponse,
    json_response,
    single_path_app,
)

__all__ = ["directory_app", "ready_app"]

MAX_ADDRESSES = 64
"""Limit of addresses in a response; callers read no more than that."""


def directory_app(addresses, ttl_s):
    """Return the application that answers ``/resolve`` with daemons' addresses.

    :param addresses: callable that returns the addresses of ready daemons.
    :param ttl_s: seconds for which callers may cache them.
    """

    def resolve(query):
        ready_addresses = addresses()
        if not ready_addresses:
            return BufferedResponse(b"no daemon is ready", 503, media_type="text/plain")
        return json_response(
            {"addresses": ready_addresses[:MAX_ADDRESSES], "ttlS": ttl_s}
        )

    return single_path_app("/resolve", resolve)


def ready_app(is_ready):
    """Return the application that answers ``/ready`` with 200 or 503.

    :param is_ready: callable that returns whether the daemon is ready.
    """
    return single_path_app(
        "/ready", lambda query: BufferedResponse(status=200 if is_ready() else 503)
    )
