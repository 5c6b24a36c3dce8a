"""Idempotency keys.

A key with a prefix that a gateway issued identifies its home: the gateway incarnation
that alone may run the request, and the time window in which that incarnation remembers
the outcome::

    cw1.<gateway>.<incarnation>.<window>.<nonce>
"""

from typing import NamedTuple

from cowslipcourse.exceptions import BadRequest

__all__ = ["MAX_KEY_CHARS", "MintedKey", "check_key", "key_prefix", "parse_minted_key"]

KEY_SCHEME = "cw1"
MAX_KEY_CHARS = 200


class MintedKey(NamedTuple):
    """A key with a prefix that its home gateway issued.

    :param gateway: name of the home gateway.
    :param incarnation: incarnation of the home gateway.
    :param window: time window of that incarnation.
    :param nonce: part that the caller appended.
    """

    gateway: str
    incarnation: str
    window: int
    nonce: str


def key_prefix(gateway, incarnation, window):
    """Return the prefix to which callers append a nonce."""
    return f"{KEY_SCHEME}.{gateway}.{incarnation}.{window}."


def check_key(key):
    """Validate a key.

    :raises BadRequest: the key is empty, too long, or has characters that are not
        allowed in a header.
    """
    if (
        not key
        or len(key) > MAX_KEY_CHARS
        or not key.isascii()
        or not key.isprintable()
    ):
        raise BadRequest(
            f"an idempotency key needs 1 to {MAX_KEY_CHARS} printable ASCII characters"
        )


def parse_minted_key(key):
    """Return the :class:`MintedKey`, or ``None`` for a key without issued prefix.

    :raises BadRequest: the key starts with the scheme but is malformed.
    """
    scheme, _, rest = key.partition(".")
    if scheme != KEY_SCHEME:
        return None
    parts = rest.split(".", 3)
    if len(parts) != 4 or not all(parts) or not parts[2].isdecimal():
        raise BadRequest(
            "malformed key: the form is cw1.GATEWAY.INCARNATION.WINDOW.NONCE"
        )
    return MintedKey(parts[0], parts[1], int(parts[2]), parts[3])
