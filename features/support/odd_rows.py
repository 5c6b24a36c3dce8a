"""Rows that another writer may leave in a table of the store."""

import json

from features.support.wire import entry_fields

__all__ = ["odd_rows"]

DEPTH = 50_000
LONG_NUMBER = "9" * 400
LARGE_BYTES = 800_000
ODD_PORTS = ("0", "65536", "99999", "-1", "4294967297", "5" * 5000, "", "80a", "٨٠")
ODD_HOSTS = ("", "127.0.0.1\r\nX: y", "127.0.0.1\x00", "[::1", "ho st", "é", "a" * 300)
NUMBER_FIELDS = ("slots", "coldLeftMs", "sequence", "born")
ODD_NUMBERS = (LONG_NUMBER, "-" + LONG_NUMBER, "1e400", "-1e400", "NaN", "1.5", "true")


def _entry_with(field, text):
    """Return an entry in which a field has a value that is given as JSON."""
    fields = entry_fields(service="roster") | {field: "@value@"}
    return json.dumps(fields).replace('"@value@"', text).encode()


def odd_rows():
    """Return the values of odd rows by key."""
    nested = (
        b"[" * DEPTH,
        b"[" * DEPTH + b"]" * DEPTH,
        b'{"a":' * DEPTH,
        b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
        _entry_with("group", "[" * DEPTH + "]" * DEPTH),
    )
    bare = (b"", b"null", b"1e400", LONG_NUMBER.encode(), b'"x"', b"\xff\xfe", b"[]")
    addresses = [f"127.0.0.1:{port}" for port in ODD_PORTS]
    addresses += [f"{host}:80" for host in ODD_HOSTS]
    values = [
        *nested,
        *bare,
        _entry_with("service", json.dumps("s" * LARGE_BYTES)),
        *(_entry_with("address", json.dumps(address)) for address in addresses),
        *(_entry_with(f, number) for f in NUMBER_FIELDS for number in ODD_NUMBERS),
    ]
    return {f"odd{number}": value for number, value in enumerate(values)}
