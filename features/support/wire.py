"""Rows as the platform writes them."""

import json

__all__ = ["BORN_MS", "entry_content", "entry_fields"]

BORN_MS = 1_790_000_000_000


def entry_fields(service="s", address="127.0.0.1:1", born=BORN_MS, **more):
    """Return the fields of a valid list entry.

    :param born: start of the target, in milliseconds since 1970.
    :param more: other fields by name.
    """
    return {
        "service": service,
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": 13,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": 4,
        "born": born,
        **more,
    }


def entry_content(**fields):
    """Return the encoded list entry with the given fields."""
    return json.dumps(entry_fields(**fields)).encode()
