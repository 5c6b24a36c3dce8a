"""What callers and the platform ask a daemon besides requests."""

from cowslipcourse.adapters.answers import Answer, json_answer, one_path_app

__all__ = ["directory_app", "ready_app"]

MOST_ADDRESSES = 64
"""Callers read no more addresses than that."""


def directory_app(addresses, ttl_s):
    """Return the application that says which addresses to use.

    :param addresses: callable that returns the addresses.
    :param ttl_s: time for which callers may keep them.
    """

    def resolve(query):
        found = addresses()
        if not found:
            return Answer(b"no daemon is ready", 503, media_type="text/plain")
        return json_answer({"addresses": found[:MOST_ADDRESSES], "ttlS": ttl_s})

    return one_path_app("/resolve", resolve)


def ready_app(is_ready):
    """Return the application that says whether the daemon is ready.

    :param is_ready: callable.
    """
    return one_path_app(
        "/ready", lambda query: Answer(status=200 if is_ready() else 503)
    )
